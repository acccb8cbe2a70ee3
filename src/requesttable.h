// Requests that an entry daemon has not ended yet, with the order in which waiting ones are shed
// and one timer each.

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
    Duration service {}; // predicted when reserved, 0 while unknown
    std::uint64_t cachedTokens = 0;
    bool probe = false; // counts as the probe of an ejected server
};

// A backend server that rejected the request.
struct AvoidedServer
{
    ServerSlot slot = noServerSlot;
    bool forGood = false; // false: its queue was full, it may be asked again later
};

struct EntryRequest
{
    RequestArrival arrival;
    RequestState state = RequestState::Waiting;
    double versionDraw = 0; // in [0, 1); decides on the rollout's version for the whole life

    // While waiting.
    std::vector<EntryReservation> reservations; // at different servers
    std::vector<AvoidedServer> avoided;
    // Servers that took a dispatch and reported it as not run. They are not asked again, so that a
    // late or repeated report of theirs can never be taken for one about a later dispatch.
    std::vector<BackendServerId> offeredBackBy;
    Instant latestStart = instantNever;
    std::uint32_t extraReservations = 0; // wanted beyond the usual number, as no grant came
    Instant extraAt = instantNever;      // when one more is wanted
    Duration extraDelay {};              // wait before the first extra one; doubles for each
    bool cacheTried = false;             // was reserved where its prefix is cached, if anywhere
    Instant fillUpAt = instantNever;     // then it is offered to other servers as well
    bool tooSlowSomewhere = false;       // a server could not finish it in time when it had room
    Instant retryAt = instantNever;      // when servers with full queues are asked again
    std::uint32_t rounds = 0;            // pauses before servers with full queues are asked again

    // While dispatched.
    EntryReservation dispatchedTo;
    GrantId grant;
    Instant dispatchedAt;
    bool started = false;        // a part of the answer arrived
    bool firstChunkSeen = false; // a part of its body arrived

    Instant timer = instantNever;
};

class RequestTable
{
public:
    EntryRequest *find(RequestId id);

    // The request must be new. It is waiting.
    EntryRequest &insert(const RequestArrival &arrival);
    void erase(RequestId id);

    // Keeps the counts and the shed order in step.
    void setState(EntryRequest &request, RequestState state);

    void setTimer(EntryRequest &request, Instant at);
    Instant nextTimer() const;
    // A request whose timer is due; its timer is cleared.
    std::optional<RequestId> takeDue(Instant now);

    // The waiting request to be shed first: of the lowest tier, the one with the latest deadline.
    std::optional<RequestId> firstToShed() const;
    // Whether the arrival would be shed before every waiting request.
    bool shedsBeforeAll(const RequestArrival &arrival) const;

    // Highest tier and earliest deadline first.
    std::vector<RequestId> waiting() const;
    std::vector<RequestId> dispatchedTo(ServerSlot slot) const;

    std::size_t waitingCount() const { return m_shedOrder.size(); }
    std::size_t dispatchedCount() const { return m_requests.size() - m_shedOrder.size(); }

private:
    using ShedKey = std::tuple<TierRank, Instant, RequestId>;
    using TimerKey = std::pair<Instant, RequestId>;

    static ShedKey shedKey(const RequestArrival &arrival);

    std::unordered_map<RequestId, EntryRequest> m_requests; // ended ones are erased at once
    std::set<ShedKey> m_shedOrder;                          // waiting requests; shed from the end
    std::set<TimerKey> m_timers; // one entry for each request whose timer is set
};

} // namespace cornelshed

#endif // CORNELSHED_REQUESTTABLE_H
