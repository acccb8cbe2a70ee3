// At-most-once execution for calls with an idempotency key. A request may be dispatched only after
// the table row claim/<organisation>/<key> was inserted for it on condition that the row is absent,
// or was taken over from a released claim. Of all requests with the same key, at any entry daemon,
// at most one runs.
//
// If the answer to a transaction is lost, the tracker reads the rows back: a row that carries the
// request's own id is its claim, no matter when the write took effect. A claim that is not resolved
// within claimTimeout, or that the platform refuses, is abandoned. If its write may have taken
// effect or still do so, its row is then marked as released, on condition of the row's version.
//
// ClaimTracker does no I/O: the caller performs the returned actions and reports their results.
//
// Example:
//     for (const ClaimAction &it : tracker.claim(key, request, bodyDigest, now))
//         perform(it);

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
    Finished,     // an earlier request with the key finished; the result has its stored answer
    Open,         // another request with the key is running, or its outcome is unknown
    BodyMismatch, // the key was used with a different method, path or body
    Unavailable   // the table is unreachable or did not answer in time: do not dispatch
};

// Answer of a finished call, returned to later requests with the same key.
struct StoredResponse
{
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;

    bool operator==(const StoredResponse &) const = default;
};

struct ClaimResult
{
    ClaimVerdict verdict = ClaimVerdict::Unavailable;
    StoredResponse answer; // set if Finished

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
    Duration batchInterval = std::chrono::milliseconds(10); // minimum time between transactions
    Duration claimTimeout = std::chrono::seconds(3); // then Unavailable, once no call is open
    Duration initialUpdateRetryDelay = std::chrono::milliseconds(200); // doubles with each retry
    std::size_t maxBatchRows = 64;                                     // per transaction
    std::size_t maxPendingCount = 10000;       // claims and updates that are not resolved yet
    std::size_t maxStoredAnswerBytes = 262144; // beyond: not stored, the claim stays open

    bool operator==(const ClaimLimits &) const = default;
};

// Commit the transaction, then call committed() with the id.
struct CommitClaims
{
    std::uint64_t id = 0;
    TableTransaction transaction;

    bool operator==(const CommitClaims &) const = default;
};

// Read the rows, then call rowsRead() with the id.
struct ReadClaims
{
    std::uint64_t id = 0;
    std::vector<std::string> keys;

    bool operator==(const ReadClaims &) const = default;
};

// Outcome of claim(). Each call of claim() leads to exactly one.
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

    // A request may claim one key only, and once. bodyDigest is a hash of method, path and body.
    ClaimActions claim(const ClaimKey &key, RequestId request, std::uint64_t bodyDigest,
                       Instant now);

    // The request that holds the claim has ended. finish() stores its answer for later requests
    // with the key. release() frees the key again, and is allowed only if the request certainly did
    // not run.
    ClaimActions finish(const ClaimKey &key, RequestId request, const StoredResponse &answer,
                        Instant now);
    ClaimActions release(const ClaimKey &key, RequestId request, Instant now);

    // Results of CommitClaims and ReadClaims; error is the reason why a commit failed.
    ClaimActions committed(std::uint64_t id, const std::optional<TableError> &error, Instant now);
    ClaimActions rowsRead(std::uint64_t id, const Result<TableRows, TableError> &rows, Instant now);

    // To be called at the time that nextWakeTime() returns, or later.
    ClaimActions tick(Instant now);
    Instant nextWakeTime() const;

    std::size_t pendingCount() const; // claims and updates that are not resolved yet

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_CLAIMS_H
