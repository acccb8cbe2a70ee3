// Decisions of the entry scheduler: the protocol with the agents over the request table. Internal
// to EntryScheduler, which documents the behaviour.

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
    void callerGone(RequestId id, Instant now);
    void handle(const BackendServerId &from, const AgentMessage &message, Instant now);
    void tick(Instant now);
    Instant nextWake() const;
    void beginShutdown() { m_shuttingDown = true; }

    std::size_t waitingCount() const { return m_requests.waitingCount(); }
    std::size_t dispatchedCount() const { return m_requests.dispatchedCount(); }

    // The actions decided on since the last call, in order.
    EntryActions takeActions();

private:
    // Messages of agents.
    void on(ServerSlot from, const Welcome &message, Instant now);
    void on(ServerSlot from, const Grant &message, Instant now);
    void on(ServerSlot from, const Reject &message, Instant now);
    void on(ServerSlot from, const ResponseHead &message, Instant now);
    void on(ServerSlot from, const Chunk &message, Instant now);
    void on(ServerSlot from, const Finished &message, Instant now);
    void on(ServerSlot from, const Failed &message, Instant now);
    void on(ServerSlot from, const Load &message, Instant now);
    void on(ServerSlot from, const Leaving &message, Instant now);

    // Servers.
    void applyView(ServerSlot slot);
    void setBlock(ServerSlot slot, ServerBlock block, bool on, Instant now);
    void syncEjection(ServerSlot slot, Instant now);
    void recordResult(ServerSlot slot, const AttemptResult &result, Instant now);

    // Reservations.
    enum class Reserved { Some, Unreachable, NoServer };
    Reserved reserve(EntryRequest &request, Instant now);
    void collectExcluded(const EntryRequest &request);
    void collectCached(const EntryRequest &request, Instant now);
    CachedPrefix homeOf(const EntryRequest &request) const;
    PlacementQuery query(const EntryRequest &request, Instant now) const;
    bool reserveWhereCached(EntryRequest &request, Instant now);
    void reserveChoices(EntryRequest &request, Instant now);
    void setWaitTimer(EntryRequest &request, Instant now);
    void addReservation(EntryRequest &request, const EntryReservation &reservation, Instant now);
    bool addProbe(EntryRequest &request, Instant now);
    void reserveOrRefuse(EntryRequest &request, Instant now);
    void refreshLatestStart(EntryRequest &request) const;
    Duration savedByCache(const EntryRequest &request, const PlacementChoice &choice,
                          Instant now) const;
    std::size_t wantedReservations(const EntryRequest &request) const;
    bool extraIsDue(const EntryRequest &request, Instant now) const;
    void reserveExtra(EntryRequest &request, Instant now);
    bool mayGetDispatch(const EntryRequest &request, const EntryReservation &reservation) const;
    // Takes the reservation out of the list; false if there is none at the server.
    bool takeReservation(EntryRequest &request, ServerSlot slot, EntryReservation &taken);
    void dropProbe(const EntryReservation &reservation);
    void withdrawAll(EntryRequest &request);
    void withdrawWhereForbidden(Instant now);
    void topUp(Instant now);

    // Transitions of a request; each ends the reference to a request that has ended.
    bool transition(EntryRequest &request, RequestEvent event);
    void dispatch(EntryRequest &request, const EntryReservation &reservation, const Grant &grant,
                  Instant now);
    void refuse(EntryRequest &request, NotRunReason reason);
    void finish(EntryRequest &request, const Finished &message, Instant now);
    void endUnknown(EntryRequest &request, RequestEvent event, UnknownReason reason, Instant now);
    void cancel(EntryRequest &request, UnknownReason reason, Instant now);
    void backToWaiting(EntryRequest &request, Instant now);
    void shedOverLimit();
    void end(RequestId id, Ending ending);
    void startRound(EntryRequest &request, Instant now);

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
    RetryBudget m_retries;
    RequestTable m_requests;
    std::vector<ServerSlot> m_probing; // servers in state ProbeReady
    bool m_shuttingDown = false;
    EntryActions m_actions;

    // Scratch memory of one decision, kept between calls.
    CandidateSet m_candidates;
    CandidateSet m_noCandidates; // always empty
    std::vector<CachedPrefix> m_cached;
    std::vector<ServerSlot> m_excluded;
    std::vector<PlacementChoice> m_choices;
};

} // namespace cornelshed::detail

#endif // CORNELSHED_ENTRYDECISIONS_H
