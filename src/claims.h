// At-most-once claims for calls that must not run twice. A request may be dispatched only after the
// row claim/<organisation>/<key> was inserted for it on condition of absence, so that of all
// requests with the key, at any entry daemon, one at most runs.
//
// A transaction whose answer was lost is settled by reading its rows back: a row with the own
// request id is the own claim, whenever it took effect. A claim that cannot be settled in time is
// given up; its row is then deleted if it is found to exist, on condition of its version.
//
// Example:
//     for (const ClaimAction &it : tracker.claim(key, request, bodyDigest, now))
//         carryOut(it);

#ifndef CORNELSHED_CLAIMS_H
#define CORNELSHED_CLAIMS_H

#include "table.h"
#include "types.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cornelshed {

enum class ClaimVerdict {
    Claimed,      // this request owns the key and may be dispatched
    Finished,     // the key's request has ended; its stored answer is in the result
    Open,         // another request with the key has not ended, or its end is unknown
    BodyMismatch, // the key was used with another body
    Unavailable   // the table cannot be reached or did not answer: do not dispatch
};

// Answer of a finished call that a retry with the same key gets again.
struct StoredAnswer
{
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;

    bool operator==(const StoredAnswer &) const = default;
};

struct ClaimResult
{
    ClaimVerdict verdict = ClaimVerdict::Unavailable;
    StoredAnswer answer; // set if Finished

    bool operator==(const ClaimResult &) const = default;
};

struct ClaimKey
{
    std::string organisation;
    std::string idempotencyKey;

    auto operator<=>(const ClaimKey &) const = default;
};

struct ClaimLimits
{
    Duration batchPeriod = std::chrono::milliseconds(10); // between two transactions
    Duration claimTimeout = std::chrono::seconds(3);      // to Unavailable, if not settled
    Duration updateRetry = std::chrono::milliseconds(200);
    std::size_t batchCount = 64;           // rows of one transaction
    std::size_t waitingCount = 10000;      // claims and updates not yet settled
    std::size_t answerLimitBytes = 262144; // larger answers are not stored; the claim stays open

    bool operator==(const ClaimLimits &) const = default;
};

// Send the transaction and call committed with the id.
struct CommitClaims
{
    std::uint64_t id = 0;
    TableTransaction transaction;

    bool operator==(const CommitClaims &) const = default;
};

// Read the rows and call rowsRead with the id.
struct ReadClaims
{
    std::uint64_t id = 0;
    std::vector<std::string> keys;

    bool operator==(const ReadClaims &) const = default;
};

// Answer to claim; exactly one is returned for each.
struct ClaimDecided
{
    RequestId request;
    ClaimResult result;

    bool operator==(const ClaimDecided &) const = default;
};

using ClaimAction = std::variant<CommitClaims, ReadClaims, ClaimDecided>;
using ClaimActions = std::vector<ClaimAction>;

class ClaimTracker
{
public:
    explicit ClaimTracker(const ClaimLimits &limits);
    ~ClaimTracker();
    ClaimTracker(ClaimTracker &&) noexcept;
    ClaimTracker &operator=(ClaimTracker &&) noexcept;

    // A request claims one key in its life. bodyDigest is a hash of method, path and body.
    ClaimActions claim(const ClaimKey &key, RequestId request, std::uint64_t bodyDigest,
                       Instant now);

    // The claimed request ended: with an answer to be stored, or truly not run.
    ClaimActions finish(const ClaimKey &key, RequestId request, const StoredAnswer &answer,
                        Instant now);
    ClaimActions release(const ClaimKey &key, RequestId request, Instant now);

    ClaimActions committed(std::uint64_t id, const std::optional<TableError> &error, Instant now);
    ClaimActions rowsRead(std::uint64_t id, const Result<TableRows, TableError> &rows, Instant now);

    ClaimActions tick(Instant now);
    Instant nextWake() const;

    std::size_t waitingCount() const; // claims and updates not yet settled

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_CLAIMS_H
