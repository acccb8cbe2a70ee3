// Ledger of the requests that ran on a stand-in. Tests and the load tool compare it with the
// outcomes that callers received, to find requests that ran more than once, and requests that were
// reported as not run although they did run.

#ifndef CORNELSHED_STANDINS_RUNLEDGER_H
#define CORNELSHED_STANDINS_RUNLEDGER_H

#include <cstdint>
#include <fstream>
#include <map>
#include <string>
#include <tuple>

namespace cornelshed::standins {

struct LedgerKey
{
    std::string idempotencyKey; // empty in the ledger of an engine
    std::string requestId;
    std::string marker;

    bool operator<(const LedgerKey &other) const
    {
        return std::tie(idempotencyKey, requestId, marker)
                < std::tie(other.idempotencyKey, other.requestId, other.marker);
    }
};

struct LedgerCounts
{
    std::uint64_t started = 0;
    std::uint64_t finished = 0;  // the complete response was written to the connection
    std::uint64_t failed = 0;    // because of an injected fault
    std::uint64_t cancelled = 0; // by a command or because the connection broke
    std::uint64_t resumed = 0;   // not included in started
};

class RunLedger
{
public:
    RunLedger() = default;

    // Loads the starts that an earlier process wrote to the file. Each new start is appended to the
    // file and flushed before it is counted, so that the number of starts survives kill -9. With an
    // empty name, no file is used.
    explicit RunLedger(const std::string &fileName);

    // Records the start of a run. The parts of the key must not contain tabs or line feeds, which
    // separate the fields and lines of the file.
    LedgerCounts &recordStart(const LedgerKey &key);

    // Returns the counts of a key for which a start was recorded.
    LedgerCounts &entry(const LedgerKey &key) { return m_entries[key]; }
    [[nodiscard]] bool contains(const LedgerKey &key) const { return m_entries.count(key) > 0; }

    // Returns a JSON array of {idempotency_key, request_id, marker, count, finished, failed,
    // cancelled, resumed}; count is the number of starts.
    [[nodiscard]] std::string toJson() const;

private:
    std::map<LedgerKey, LedgerCounts> m_entries;
    std::ofstream m_file;
};

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_RUNLEDGER_H
