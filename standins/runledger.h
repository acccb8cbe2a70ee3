// Ledger of the runs of a stand-in, from which tests count duplicates and false "not run".

#ifndef CORNELSHED_STANDINS_RUNLEDGER_H
#define CORNELSHED_STANDINS_RUNLEDGER_H

#include <cstdint>
#include <fstream>
#include <map>
#include <string>

namespace cornelshed::standins {

struct LedgerKey
{
    std::string idempotencyKey; // empty at engines
    std::string requestId;
    std::string marker;

    auto operator<=>(const LedgerKey &) const = default;
};

struct LedgerCounts
{
    std::uint64_t started = 0;
    std::uint64_t finished = 0;  // the whole answer was handed to the connection
    std::uint64_t failed = 0;    // by an injected fault
    std::uint64_t cancelled = 0; // by command or by a broken connection
    std::uint64_t resumed = 0;   // not part of started
};

class RunLedger
{
public:
    RunLedger() = default;

    // Appends each start to the file before it counts, and takes over the starts that an earlier
    // process wrote there, so that the counts survive kill -9. An empty name means no file.
    explicit RunLedger(const std::string &fileName);

    // Counts a run; keys must not contain tabs or line feeds.
    LedgerCounts &start(const LedgerKey &key);

    // Returns the counts of a key that has runs.
    LedgerCounts &entry(const LedgerKey &key) { return m_entries[key]; }
    [[nodiscard]] bool contains(const LedgerKey &key) const { return m_entries.count(key) > 0; }

    // JSON list of {idempotency_key, request_id, marker, count, finished, failed, cancelled,
    // resumed}; count is the number of runs started.
    [[nodiscard]] std::string toJson() const;

private:
    std::map<LedgerKey, LedgerCounts> m_entries;
    std::ofstream m_file;
};

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_RUNLEDGER_H
