// Ledger of the runs of a stand-in, from which tests count duplicates and false "not run".

#ifndef CORNELSHED_STANDINS_RUNLEDGER_H
#define CORNELSHED_STANDINS_RUNLEDGER_H

#include <cstdint>
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
    LedgerCounts &entry(const LedgerKey &key) { return m_entries[key]; }
    [[nodiscard]] bool contains(const LedgerKey &key) const { return m_entries.count(key) > 0; }

    // JSON list of {idempotency_key, request_id, marker, count, finished, failed, cancelled,
    // resumed}; count is the number of runs started.
    [[nodiscard]] std::string toJson() const;

private:
    std::map<LedgerKey, LedgerCounts> m_entries;
};

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_RUNLEDGER_H
