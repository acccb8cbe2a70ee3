// Compares the open requests with the scheduler's queue and its started requests.

#include "requestaudit.h"

#include "directscheduler.h"

#include <unordered_set>

namespace cornelshed {

namespace {

using IdSet = std::unordered_set<RequestId>;

IdSet startedIds(const DirectScheduler &scheduler)
{
    IdSet ids;
    for (const auto &[backend, started] : scheduler.runningByBackend())
        ids.insert(started.begin(), started.end());
    return ids;
}

// Removes the request's entries from the sets.
RequestState takeState(const OpenRequest &request, IdSet &queued, IdSet &started)
{
    const bool isQueued = request.queuedId && queued.erase(*request.queuedId) > 0;
    const bool isStarted = request.attemptId && started.erase(*request.attemptId) > 0;
    if (request.silentAttemptId)
        started.erase(*request.silentAttemptId);
    if (request.attemptId && !isStarted)
        return RequestState::NotStarted;
    if (request.queuedId && !isQueued)
        return RequestState::NotQueued;
    if (isStarted)
        return isQueued ? RequestState::Searching : RequestState::Running;
    if (isQueued)
        return RequestState::Queued;
    return request.isWaiting ? RequestState::Waiting : RequestState::Nowhere;
}

} // namespace

const char *nameOf(RequestState state)
{
    switch (state) {
    case RequestState::Queued:
        return "queued";
    case RequestState::Running:
        return "running";
    case RequestState::Searching:
        return "searching";
    case RequestState::Waiting:
        return "waiting";
    case RequestState::NotQueued:
        return "not_queued";
    case RequestState::NotStarted:
        return "not_started";
    case RequestState::Nowhere:
        return "nowhere";
    }
    return "unknown";
}

RequestAudit auditRequests(const std::vector<OpenRequest> &open, const DirectScheduler &scheduler)
{
    const std::vector<RequestId> waiting = scheduler.queuedRequests();
    IdSet queued(waiting.begin(), waiting.end());
    IdSet started = startedIds(scheduler);
    RequestAudit audit;
    for (const OpenRequest &it : open) {
        const RequestState state = takeState(it, queued, started);
        switch (state) {
        case RequestState::Queued:
            ++audit.queued;
            break;
        case RequestState::Running:
            ++audit.running;
            break;
        case RequestState::Searching:
            ++audit.searching;
            break;
        case RequestState::Waiting:
            ++audit.waiting;
            break;
        case RequestState::NotQueued:
        case RequestState::NotStarted:
        case RequestState::Nowhere:
            audit.unowned.push_back({it.id, state});
            break;
        }
    }
    audit.strayQueued.assign(queued.begin(), queued.end());
    audit.strayStarted.assign(started.begin(), started.end());
    return audit;
}

} // namespace cornelshed
