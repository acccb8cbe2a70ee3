// Looks for open requests that nothing would end before their time limit, because they are neither
// queued nor running, and for entries of the scheduler whose request has ended. Neither may exist
// between two events of the traffic thread.

#ifndef CORNELSHED_REQUESTAUDIT_H
#define CORNELSHED_REQUESTAUDIT_H

#include "types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace cornelshed {

class DirectScheduler;

// Where a request says that it is.
struct OpenRequest
{
    RequestId id;
    std::optional<RequestId> queuedId {};  // of its place in the scheduler's queue
    std::optional<RequestId> attemptId {}; // under which the scheduler started its running attempt
    bool isWaiting = false;                // will be queued again at a set time
    std::optional<RequestId> silentAttemptId {}; // like attemptId, of one that was set aside

    bool operator==(const OpenRequest &) const = default;
};

enum class RequestState : std::uint8_t {
    Queued,
    Running,
    Searching, // running, and queued for another attempt
    Waiting,
    NotQueued,  // unowned: the scheduler does not know its place in the queue
    NotStarted, // unowned: the scheduler does not know its attempt
    Nowhere     // unowned: neither queued, nor running, nor waiting
};

const char *nameOf(RequestState state);

struct RequestAudit
{
    std::size_t queued = 0;
    std::size_t running = 0;
    std::size_t searching = 0;
    std::size_t waiting = 0;

    struct UnownedRequest
    {
        RequestId id; // of the OpenRequest
        RequestState state = RequestState::Nowhere;

        bool operator==(const UnownedRequest &) const = default;
    };
    std::vector<UnownedRequest> unowned;

    // Entries of the scheduler that belong to no open request.
    std::vector<RequestId> strayQueued;
    std::vector<RequestId> strayStarted;

    std::size_t faults() const { return unowned.size() + strayQueued.size() + strayStarted.size(); }
    bool operator==(const RequestAudit &) const = default;
};

RequestAudit auditRequests(const std::vector<OpenRequest> &open, const DirectScheduler &scheduler);

} // namespace cornelshed

#endif // CORNELSHED_REQUESTAUDIT_H
