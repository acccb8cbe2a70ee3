// Outcomes of a run, counted per tier and checked against the ledgers of the stand-ins.

#ifndef CORNELSHED_LOAD_TALLY_H
#define CORNELSHED_LOAD_TALLY_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cornelshed::load {

enum class Outcome {
    InTime,      // whole answer before the deadline
    Late,        // whole answer after it
    NotRun,      // refused, and reported as not run
    Unknown,     // reported as unknown
    ServerError, // an error of the backend server, passed on as the answer
    Rejected,    // 4xx: the system calls the request malformed
    Broken,      // the connection ended before the whole answer
    Unsent,      // no entry daemon accepted a connection, or over the limit of open requests
    MixedUp,     // another request's answer or altered text
    Truncated,   // presented as whole, but incomplete
    Lost         // nothing was reported until long after the deadline
};

struct RequestRecord
{
    std::string tier;
    std::string marker;
    std::string idempotencyKey; // empty for completions
    std::string code;           // error code of a refusal
    Outcome outcome = Outcome::Lost;
    bool stream = false;
    bool claimsNotRun = false; // no attempt of the request can have run, by what was reported
    double totalMs = 0;
    double firstByteMs = 0;
};

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
    std::uint64_t falseNotRun = 0; // reported as not run, but in a ledger
    std::uint64_t unrecorded = 0;  // answered whole, but in no ledger

    [[nodiscard]] std::uint64_t count(Outcome outcome) const;
};

struct Tally
{
    std::map<std::string, TierTally> tiers;
    std::map<std::string, std::uint64_t> codes; // of refusals
    double firstByteP95Ms = 0;                  // of streams in time
    bool audited = false;                       // the ledgers were read

    [[nodiscard]] std::uint64_t total(Outcome outcome) const;

    // Runs that were repeated, mixed up, truncated, lost, or falsely reported as not run.
    [[nodiscard]] std::uint64_t violationCount() const;
    [[nodiscard]] std::string toTable() const;
    [[nodiscard]] std::string toJson() const;
};

Tally countRecords(const std::vector<RequestRecord> &records);

// Adds duplicates, false "not run" and unrecorded answers.
void auditRecords(Tally &tally, const std::vector<RequestRecord> &records,
                  const std::vector<LedgerRow> &ledger);

// Reads the JSON of GET /ledger. Throws std::exception when it is malformed.
std::vector<LedgerRow> parseLedger(const std::string &text);

} // namespace cornelshed::load

#endif // CORNELSHED_LOAD_TALLY_H
