// Requests of an entry daemon that have not ended, with the shedding order of the waiting ones and
// one timer for each request.

#ifndef CORNELSHED_REQUESTTABLE_H
#define CORNELSHED_REQUESTTABLE_H

#include "entryscheduler.h"
#include "requestlifecycle.h"
#include "serverslot.h"

#include <cstdint>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cornelshed {

struct EntryReservation
{
    ServerSlot slot = noServerSlot;
    Duration serviceTime {};        // predicted at the time of the reservation; 0: unknown
    std::uint64_t cachedTokens = 0; // prompt tokens expected in the server's prefix cache
    bool probe = false;             // tests whether an ejected server works again
};

// A backend server that rejected the request, or whose grant was declined.
struct AvoidedServer
{
    ServerSlot slot = noServerSlot;
    bool permanent = false; // false: its queue was full or shed the request; it may be asked again
};

struct EntryRequest
{
    RequestArrival arrival;
    RequestState state = RequestState::Waiting;
    double versionDraw = 0; // in [0, 1); selects a rollout's version, also for retries

    // Used while the request waits.
    std::vector<EntryReservation> reservations; // at most one for each server
    std::vector<AvoidedServer> avoided;
    // Servers that reported an earlier dispatch as not run. They are not asked again, so that a
    // delayed or duplicate report cannot be taken for one about a later dispatch.
    std::vector<BackendServerId> reportedNotRunBy;
    Instant latestStart = instantNever;  // refused if there is no grant until then
    std::uint32_t extraReservations = 0; // beyond the usual number, because no grant arrived
    Instant nextExtraAt = instantNever;  // when the next extra reservation is due
    Duration extraDelay {};              // lower bound of the delay of the first extra reservation
    bool cacheOnlyTried = false;         // reserving only where the prefix is cached was tried
    Instant cacheOnlyUntil = instantNever; // when it is reserved at other servers as well
    bool deadlineMissPredicted = false;    // found when a server granted or rejected it
    Instant retryAt = instantNever;        // when temporarily avoided servers are asked again
    std::uint32_t retryRounds = 0;         // number of backoffs so far; sets the length of the next

    // Used while the request is dispatched.
    EntryReservation dispatchedTo;
    GrantId grant;
    Instant dispatchedAt;
    bool answerStarted = false;  // response head or body data arrived
    bool firstChunkSeen = false; // body data arrived

    Instant timer = instantNever; // changed by RequestTable::setTimer() only
};

class RequestTable
{
public:
    EntryRequest *find(RequestId id);

    // The id must not be in the table. The request is in state Waiting.
    EntryRequest &insert(const RequestArrival &arrival);
    void erase(RequestId id);

    // Also updates the counts and the shedding order.
    void setState(EntryRequest &request, RequestState state);

    void setTimer(EntryRequest &request, Instant at);
    Instant nextTimer() const;
    // Returns a request whose timer is due, if any, and clears that timer.
    std::optional<RequestId> takeDue(Instant now);

    // The waiting request to shed first: the one with the latest deadline in the lowest tier.
    std::optional<RequestId> firstToShed() const;
    // Whether the arrival would be shed before all waiting requests.
    bool isFirstToShed(const RequestArrival &arrival) const;

    // Highest tier and earliest deadline first.
    std::vector<RequestId> waiting() const;
    std::vector<RequestId> dispatchedTo(ServerSlot slot) const;

    std::size_t waitingCount() const { return m_shedOrder.size(); }
    std::size_t dispatchedCount() const { return m_requests.size() - m_shedOrder.size(); }

private:
    using ShedKey = std::tuple<TierRank, Instant, RequestId>;
    using TimerKey = std::pair<Instant, RequestId>;

    static ShedKey shedKey(const RequestArrival &arrival);

    std::unordered_map<RequestId, EntryRequest> m_requests; // waiting or dispatched
    std::set<ShedKey> m_shedOrder; // waiting requests; the last one is shed first
    std::set<TimerKey> m_timers;   // requests whose timer is set
};

} // namespace cornelshed

#endif // CORNELSHED_REQUESTTABLE_H
