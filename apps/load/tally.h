// Counts the outcomes of a load run per tier and checks them against the ledgers of the stand-ins.

#ifndef CORNELSHED_LOAD_TALLY_H
#define CORNELSHED_LOAD_TALLY_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cornelshed::load {

enum class Outcome {
    InTime,      // complete answer within the deadline
    Late,        // complete answer after the deadline
    NotRun,      // refused with an error that says the request did not run
    Unknown,     // an error reports the outcome of the request as unknown
    ServerError, // error of the backend server, passed on as the answer
    Rejected,    // status 4xx: the request was rejected as invalid
    Broken,      // the connection ended before the answer was complete
    Unsent,      // no entry daemon accepted a connection, or too many requests were open
    MixedUp,     // answer of another request, or altered text
    Truncated,   // answer that ended normally but is incomplete
    Lost         // no complete reply by the end of the grace period after the deadline
};

struct RequestRecord
{
    std::string tier;
    std::string marker;         // identifies the request in its prompt and in the ledgers
    std::string idempotencyKey; // empty for completions
    std::string code;           // error code of the reply; empty if it has none
    Outcome outcome = Outcome::Lost;
    bool stream = false;
    bool reportedNotRun = false; // according to the replies, no attempt can have run
    double totalMs = 0;
    double firstByteMs = 0;
};

// Runs of a request on one stand-in.
struct LedgerRow
{
    std::string idempotencyKey;
    std::string marker;
    std::uint64_t count = 0;
};

struct TierTally
{
    std::uint64_t sent = 0;
    std::map<Outcome, std::uint64_t> outcomes;
    std::uint64_t duplicates = 0;  // requests that ran more than once
    std::uint64_t falseNotRun = 0; // requests reported as not run that are in a ledger
    std::uint64_t unrecorded = 0;  // requests with a complete answer that are in no ledger

    [[nodiscard]] std::uint64_t count(Outcome outcome) const;
};

struct Tally
{
    std::map<std::string, TierTally> tiers;
    std::map<std::string, std::uint64_t> codes; // number of requests per error code
    double firstByteP95Ms = 0;                  // time to first byte of streams answered in time
    bool audited = false;                       // the counts that need the ledgers have been added

    [[nodiscard]] std::uint64_t total(Outcome outcome) const;

    // Requests that ran more than once, got a mixed-up or truncated answer, were lost, were falsely
    // reported as not run, or are in no ledger although they were answered.
    [[nodiscard]] std::uint64_t violationCount() const;
    [[nodiscard]] std::string toTable() const;
    [[nodiscard]] std::string toJson() const;
};

Tally countRecords(const std::vector<RequestRecord> &records);

// Adds the counts that need the ledgers: duplicates, falseNotRun and unrecorded.
void auditRecords(Tally &tally, const std::vector<RequestRecord> &records,
                  const std::vector<LedgerRow> &ledger);

// Parses the JSON body of GET /ledger. Throws std::exception when it is malformed.
std::vector<LedgerRow> parseLedger(const std::string &text);

} // namespace cornelshed::load

#endif // CORNELSHED_LOAD_TALLY_H
