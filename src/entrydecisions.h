// Internal implementation of EntryScheduler, which documents its behaviour: the reservation
// protocol with the agents, and the life cycle of each request.

#ifndef CORNELSHED_ENTRYDECISIONS_H
#define CORNELSHED_ENTRYDECISIONS_H

#include "candidateselector.h"
#include "entryscheduler.h"
#include "outlierdetector.h"
#include "placement.h"
#include "prefixindex.h"
#include "requestlifecycle.h"
#include "requesttable.h"
#include "retrybudget.h"
#include "serverdirectory.h"
#include "speedestimate.h"
#include "versiondraw.h"

#include <memory>
#include <vector>

namespace cornelshed::detail {

class EntryDecisions
{
public:
    EntryDecisions(const EntryLimits &limits, std::shared_ptr<const RoutingView> view,
                   RandomSource &random, EntryParts parts);

    void setView(std::shared_ptr<const RoutingView> view, Instant now);
    void connected(const Welcome &welcome, Instant now);
    void disconnected(const BackendServerId &backendServer, Instant now);
    void submit(const RequestArrival &arrival, Instant now);
    void callerDisconnected(RequestId id, Instant now);
    void answerOverLimit(RequestId id, bool serverFault, Instant now);
    void handle(const BackendServerId &from, const AgentMessage &message, Instant now);
    void tick(Instant now);
    Instant nextWakeTime() const;
    void beginShutdown() { m_shuttingDown = true; }

    std::size_t waitingCount() const { return m_requests.waitingCount(); }
    std::size_t dispatchedCount() const { return m_requests.dispatchedCount(); }

    // Returns the actions collected since the last call, in order.
    EntryActions takeActions();

private:
    // One overload for each kind of agent message.
    void handleMessage(ServerSlot from, const Welcome &message, Instant now);
    void handleMessage(ServerSlot from, const Grant &message, Instant now);
    void handleMessage(ServerSlot from, const Reject &message, Instant now);
    void handleMessage(ServerSlot from, const ResponseHead &message, Instant now);
    void handleMessage(ServerSlot from, const Chunk &message, Instant now);
    void handleMessage(ServerSlot from, const Finished &message, Instant now);
    void handleMessage(ServerSlot from, const Failed &message, Instant now);
    void handleMessage(ServerSlot from, const Load &message, Instant now);
    void handleMessage(ServerSlot from, const Leaving &message, Instant now);

    // Backend servers.
    void updateViewBlocks(ServerSlot slot);
    void setBlock(ServerSlot slot, ServerBlock block, bool blocked, Instant now);
    void updateEjectionBlock(ServerSlot slot, Instant now);
    void recordResult(ServerSlot slot, const AttemptResult &result, Instant now);

    // Reservations.
    enum class ReservationResult { Reserved, NoTimelyServer, NoServer };
    ReservationResult reserve(EntryRequest &request, Instant now);
    void collectExcludedServers(const EntryRequest &request);
    void collectCandidates(const EntryRequest &request, Instant now);
    CachedPrefix consistentHashChoice(const EntryRequest &request) const;
    PlacementQuery placementQuery(const EntryRequest &request, Instant now) const;
    bool reserveCachedOnly(EntryRequest &request, Instant now);
    void reserveChoices(EntryRequest &request, Instant now);
    void setWaitTimer(EntryRequest &request, Instant now);
    void addReservation(EntryRequest &request, const EntryReservation &reservation, Instant now);
    bool addProbe(EntryRequest &request, Instant now);
    void reserveOrRefuse(EntryRequest &request, Instant now);
    void refreshLatestStart(EntryRequest &request) const;
    Duration timeSavedByCache(const EntryRequest &request, const PlacementChoice &choice,
                              Instant now) const;
    std::size_t targetReservationCount(const EntryRequest &request) const;
    bool extraReservationDue(const EntryRequest &request, Instant now) const;
    void addExtraReservation(EntryRequest &request, Instant now);
    bool dispatchAllowed(const EntryRequest &request, const EntryReservation &reservation) const;
    // Moves the request's reservation at the server to `taken`; returns false if there is none.
    bool takeReservation(EntryRequest &request, ServerSlot slot, EntryReservation &taken);
    void releaseProbe(const EntryReservation &reservation);
    void withdrawAll(EntryRequest &request);
    void withdrawDisallowed(Instant now);
    void refillReservations(Instant now);

    // Transitions of a request. When one of them ends the request, the reference to it dangles.
    bool transition(EntryRequest &request, RequestEvent event);
    void dispatch(EntryRequest &request, const EntryReservation &reservation, const Grant &grant,
                  Instant now);
    void refuse(EntryRequest &request, NotRunReason reason);
    void finish(EntryRequest &request, const Finished &message, Instant now);
    void endUnknown(EntryRequest &request, RequestEvent event, UnknownReason reason, Instant now);
    void cancel(EntryRequest &request, UnknownReason reason, Instant now);
    void requeue(EntryRequest &request, Instant now);
    void shedOverLimit();
    void endRequest(RequestId id, Ending ending);
    void startRetryRound(EntryRequest &request, Instant now);

    void send(ServerSlot slot, EntryMessage message);
    void reportOutcome(const EntryRequest &request, bool failed, const Usage &usage, Instant now);
    CandidateRequest candidateRequest(const EntryRequest &request) const;

    EntryLimits m_limits;
    RandomSource &m_random;
    RequestLifecycle m_lifecycle;
    std::unique_ptr<PlacementPolicy> m_placement; // never null
    ServerDirectory m_directory;
    CandidateSelector m_selector;
    SpeedEstimate m_speeds;
    PrefixIndex m_prefixes;
    OutlierDetector m_outliers;
    VersionDraws m_versionDraws;
    RetryBudget m_retryBudget;
    RequestTable m_requests;
    std::vector<ServerSlot> m_probeReady; // ejected servers in OutlierState::ProbeReady
    bool m_shuttingDown = false;
    EntryActions m_actions;

    // Buffers of a single decision; members only to reuse their memory.
    CandidateSet m_candidates;
    CandidateSet m_noCandidates; // always empty
    std::vector<CachedPrefix> m_cached;
    std::vector<ServerSlot> m_excluded;
    std::vector<PlacementChoice> m_choices;
};

} // namespace cornelshed::detail

#endif // CORNELSHED_ENTRYDECISIONS_H
