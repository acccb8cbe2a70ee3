// Event handling of the entry scheduler: sessions with agents, agent messages, the life cycle of
// requests, and timers. The reservations are in entryreservations.cpp.

#include "entrydecisions.h"

#include <algorithm>
#include <utility>

namespace cornelshed::detail {

namespace {

// How long a caller should wait before it sends the request again: after overload, about the usual
// duration of a short request; without a backend server, about the time in which a host is replaced
// or returned.
Duration retryAfter(NotRunReason reason)
{
    switch (reason) {
    case NotRunReason::WaitingLimit:
    case NotRunReason::RetryBudget:
        return std::chrono::milliseconds(500);
    case NotRunReason::NoBackendServer:
        return std::chrono::seconds(1);
    default:
        return Duration::zero();
    }
}

bool isServerFault(FailReason reason)
{
    return reason == FailReason::EngineUnreachable || reason == FailReason::EngineError
            || reason == FailReason::StreamCut;
}

bool isTemporaryRejection(RejectReason reason)
{
    return reason == RejectReason::QueueFull || reason == RejectReason::Shed;
}

WorkSize workSize(const EntryRequest &request, std::uint64_t cachedTokens)
{
    const RequestArrival &arrival = request.arrival;
    return {arrival.promptTokens - std::min(cachedTokens, arrival.promptTokens),
            arrival.outputTokens};
}

StateChart takeRequestChart(EntryParts &parts)
{
    return parts.requestChart ? std::move(*parts.requestChart) : defaultRequestChart();
}

std::unique_ptr<PlacementPolicy> takePlacement(EntryParts &parts)
{
    if (parts.placement)
        return std::move(parts.placement);
    return std::make_unique<ScoredPlacement>();
}

OutlierSettings outlierSettings(const EntryLimits &limits)
{
    OutlierSettings settings;
    settings.ejectedShareLimit = limits.ejectedShareLimit;
    return settings;
}

} // namespace

EntryDecisions::EntryDecisions(const EntryLimits &limits, std::shared_ptr<const RoutingView> view,
                               RandomSource &random, EntryParts parts)
    : m_limits(limits), m_random(random), m_lifecycle(takeRequestChart(parts)),
      m_placement(takePlacement(parts)), m_selector(m_directory),
      m_outliers(outlierSettings(limits)),
      m_retryBudget(limits.retryBudgetShare, limits.retryBudgetBurst)
{
    m_selector.setView(std::move(view));
}

EntryActions EntryDecisions::takeActions()
{
    return std::exchange(m_actions, {});
}

void EntryDecisions::send(ServerSlot slot, EntryMessage message)
{
    m_actions.emplace_back(SendToAgent {m_directory.at(slot).id, std::move(message)});
}

// --- backend servers ---

void EntryDecisions::updateViewBlocks(ServerSlot slot)
{
    const DirectoryEntry &entry = m_directory.at(slot);
    m_directory.setBlock(slot, ServerBlock::ZoneWithdrawn,
                         m_selector.zoneWithdrawn(entry.availabilityZone));
    m_directory.setBlock(slot, ServerBlock::HostLeaving, m_selector.hostLeaving(entry.id.name));
}

void EntryDecisions::setView(std::shared_ptr<const RoutingView> view, Instant now)
{
    m_selector.setView(std::move(view));
    for (ServerSlot slot = 0; slot < m_directory.slotCount(); ++slot)
        if (m_directory.at(slot).connected)
            updateViewBlocks(slot);
    withdrawDisallowed(now);
    refillReservations(now);
}

void EntryDecisions::connected(const Welcome &welcome, Instant now)
{
    // The agent may have reconnected without the loss of its old session being reported.
    disconnected(welcome.backendServer, now);
    const ServerSlot slot = m_directory.add(welcome);
    m_speeds.add(slot, m_directory.at(slot).versionNumber);
    m_outliers.add(slot, m_directory.at(slot).poolNumber);
    updateViewBlocks(slot);
    m_speeds.recordLoadReport(slot, welcome.load, now);
    refillReservations(now);
}

void EntryDecisions::disconnected(const BackendServerId &backendServer, Instant now)
{
    const auto slot = m_directory.find(backendServer);
    if (!slot)
        return;
    for (const RequestId &id : m_requests.dispatchedTo(*slot))
        endUnknown(*m_requests.find(id), RequestEvent::SessionLost, UnknownReason::SessionLost,
                   now);
    std::vector<RequestId> affected;
    for (const RequestId &id : m_requests.waiting()) {
        EntryRequest &request = *m_requests.find(id);
        std::erase_if(request.avoided, [&](const AvoidedServer &it) { return it.slot == *slot; });
        EntryReservation lost;
        if (takeReservation(request, *slot, lost))
            affected.push_back(id);
    }
    m_directory.remove(*slot);
    m_speeds.removeServer(*slot);
    m_prefixes.removeServer(*slot);
    m_outliers.forget(*slot);
    std::erase(m_probeReady, *slot);
    for (const RequestId &id : affected)
        reserveOrRefuse(*m_requests.find(id), now);
}

void EntryDecisions::setBlock(ServerSlot slot, ServerBlock block, bool blocked, Instant now)
{
    if (m_directory.setBlock(slot, block, blocked))
        withdrawDisallowed(now);
}

void EntryDecisions::updateEjectionBlock(ServerSlot slot, Instant now)
{
    setBlock(slot, ServerBlock::Ejected, m_outliers.state(slot) != OutlierState::Admitted, now);
}

void EntryDecisions::recordResult(ServerSlot slot, const AttemptResult &result, Instant now)
{
    if (m_outliers.record(slot, result, now))
        updateEjectionBlock(slot, now);
}

// --- agent messages ---

void EntryDecisions::handle(const BackendServerId &from, const AgentMessage &message, Instant now)
{
    // Ignores messages of a lost session: its requests have ended or are reserved elsewhere.
    const auto slot = m_directory.find(from);
    if (!slot)
        return;
    std::visit([&](const auto &it) { handleMessage(*slot, it, now); }, message);
}

void EntryDecisions::handleMessage(ServerSlot /*from*/, const Welcome & /*message*/,
                                   Instant /*now*/)
{ }

void EntryDecisions::handleMessage(ServerSlot from, const Grant &message, Instant now)
{
    m_speeds.recordLoadReport(from, message.load, now);
    EntryRequest *request = m_requests.find(message.request);
    if (request != nullptr && request->state == RequestState::Dispatched
        && request->dispatchedTo.slot == from && request->grant == message.grant)
        return; // a duplicate of the accepted grant, which must not be declined
    EntryReservation reservation;
    const bool reserved = request != nullptr && request->state == RequestState::Waiting
            && takeReservation(*request, from, reservation);
    if (!reserved) {
        send(from, Decline {message.request, message.grant});
        return;
    }
    const RequestArrival &arrival = request->arrival;
    const Duration expected = message.expectedTotal > Duration::zero()
            ? message.expectedTotal
            : m_speeds.serviceTime(from, workSize(*request, reservation.cachedTokens), now);
    const bool inTime = now + expected + m_limits.answerMargin <= arrival.deadline;
    if (inTime && dispatchAllowed(*request, reservation)) {
        dispatch(*request, reservation, message, now);
        return;
    }
    send(from, Decline {message.request, message.grant});
    releaseProbe(reservation);
    request->avoided.push_back({from, true});
    request->deadlineMissPredicted = request->deadlineMissPredicted || !inTime;
    reserveOrRefuse(*request, now);
}

void EntryDecisions::handleMessage(ServerSlot from, const Reject &message, Instant now)
{
    m_speeds.recordLoadReport(from, message.load, now);
    EntryRequest *request = m_requests.find(message.request);
    EntryReservation reservation;
    if (request == nullptr || request->state != RequestState::Waiting
        || !takeReservation(*request, from, reservation))
        return;
    releaseProbe(reservation);
    request->avoided.push_back({from, !isTemporaryRejection(message.reason)});
    if (message.reason == RejectReason::DeadlineUnreachable)
        request->deadlineMissPredicted = true;
    reserveOrRefuse(*request, now);
}

void EntryDecisions::handleMessage(ServerSlot from, const ResponseHead &message, Instant /*now*/)
{
    EntryRequest *request = m_requests.find(message.request);
    if (request != nullptr && request->dispatchedTo.slot == from)
        request->answerStarted = true;
}

void EntryDecisions::handleMessage(ServerSlot from, const Chunk &message, Instant now)
{
    EntryRequest *request = m_requests.find(message.request);
    if (request == nullptr || request->dispatchedTo.slot != from)
        return;
    request->answerStarted = true;
    if (std::exchange(request->firstChunkSeen, true) || request->arrival.prefixHashes.empty())
        return;
    // The prompt is processed, so its prefixes are cached. Finished reports the cache use as well,
    // but a long answer may take another minute.
    const RequestArrival &arrival = request->arrival;
    m_prefixes.recordPromptProcessed(
            from, {arrival.prefixHashes, arrival.prefixTokensPerHash, arrival.promptTokens}, 0, 0,
            now);
}

void EntryDecisions::handleMessage(ServerSlot from, const Finished &message, Instant now)
{
    m_speeds.recordLoadReport(from, message.load, now);
    EntryRequest *request = m_requests.find(message.request);
    if (request != nullptr && request->state == RequestState::Dispatched
        && request->dispatchedTo.slot == from)
        finish(*request, message, now);
}

void EntryDecisions::handleMessage(ServerSlot from, const Failed &message, Instant now)
{
    m_speeds.recordLoadReport(from, message.load, now);
    EntryRequest *request = m_requests.find(message.request);
    if (request == nullptr || request->state != RequestState::Dispatched
        || request->dispatchedTo.slot != from)
        return;
    // notRun is ignored once a part of the answer has arrived: the request may have run.
    const bool notRun = message.notRun && !request->answerStarted;
    const EntryReservation reservation = request->dispatchedTo;
    if (!notRun || message.reason == FailReason::EngineUnreachable)
        reportOutcome(*request, true, {}, now);
    if (notRun)
        requeue(*request, now);
    else
        endUnknown(*request, RequestEvent::Failed,
                   message.reason == FailReason::StreamCut ? UnknownReason::StreamCut
                                                           : UnknownReason::EngineError,
                   now);
    if (isServerFault(message.reason))
        recordResult(from, {true, 0, 0, Duration::zero(), reservation.probe}, now);
    else
        releaseProbe(reservation);
}

void EntryDecisions::handleMessage(ServerSlot from, const Load &message, Instant now)
{
    m_speeds.recordLoadReport(from, message.load, now);
}

void EntryDecisions::handleMessage(ServerSlot from, const Leaving & /*message*/, Instant now)
{
    setBlock(from, ServerBlock::Leaving, true, now);
}

// --- requests ---

void EntryDecisions::submit(const RequestArrival &arrival, Instant now)
{
    if (m_requests.find(arrival.request) != nullptr)
        return; // a duplicate; each request ends only once
    if (m_shuttingDown) {
        endRequest(arrival.request, NotRun {NotRunReason::ShuttingDown, Duration::zero()});
        return;
    }
    if (m_requests.waitingCount() >= m_limits.waitingRequestLimit
        && m_requests.isFirstToShed(arrival)) {
        endRequest(arrival.request,
                   NotRun {NotRunReason::WaitingLimit, retryAfter(NotRunReason::WaitingLimit)});
        return;
    }
    EntryRequest &request = m_requests.insert(arrival);
    request.versionDraw = m_versionDraws.next(arrival.route);
    reserveOrRefuse(request, now);
    shedOverLimit();
}

void EntryDecisions::shedOverLimit()
{
    while (m_requests.waitingCount() > m_limits.waitingRequestLimit)
        refuse(*m_requests.find(*m_requests.firstToShed()), NotRunReason::WaitingLimit);
}

bool EntryDecisions::transition(EntryRequest &request, RequestEvent event)
{
    const auto next = m_lifecycle.next(request.state, event);
    if (!next)
        return false;
    m_requests.setState(request, *next);
    return true;
}

void EntryDecisions::dispatch(EntryRequest &request, const EntryReservation &reservation,
                              const Grant &grant, Instant now)
{
    if (!transition(request, RequestEvent::GrantAccepted)) {
        send(reservation.slot, Decline {grant.request, grant.grant});
        return;
    }
    request.dispatchedTo = reservation;
    request.grant = grant.grant;
    request.dispatchedAt = now;
    request.answerStarted = false;
    const RequestArrival &arrival = request.arrival;
    send(reservation.slot,
         Dispatch {arrival.request, grant.grant, {}, {}, {}, {}, arrival.deadline - now});
    withdrawAll(request);
    m_speeds.recordDispatch(reservation.slot, workSize(request, reservation.cachedTokens));
    if (request.reportedNotRunBy.empty())
        m_retryBudget.firstAttempt();
    m_requests.setTimer(request, arrival.deadline);
}

void EntryDecisions::refuse(EntryRequest &request, NotRunReason reason)
{
    if (!transition(request, RequestEvent::Refused))
        return;
    withdrawAll(request);
    endRequest(request.arrival.request, NotRun {reason, retryAfter(reason)});
}

void EntryDecisions::endRequest(RequestId id, Ending ending)
{
    m_requests.erase(id);
    m_actions.emplace_back(EndRequest {id, ending});
}

void EntryDecisions::finish(EntryRequest &request, const Finished &message, Instant now)
{
    if (!transition(request, RequestEvent::Finished))
        return;
    const RequestArrival &arrival = request.arrival;
    const EntryReservation reservation = request.dispatchedTo;
    const ServerSlot slot = reservation.slot;
    const Usage &usage = message.usage;
    reportOutcome(request, false, usage, now);
    m_speeds.recordUsage(slot, usage, now);
    if (!arrival.prefixHashes.empty())
        m_prefixes.recordPromptProcessed(
                slot, {arrival.prefixHashes, arrival.prefixTokensPerHash, usage.promptTokens},
                reservation.cachedTokens, usage.cachedTokens, now);
    const Duration total =
            usage.totalTime > Duration::zero() ? usage.totalTime : now - request.dispatchedAt;
    endRequest(arrival.request, Answered {usage});
    recordResult(slot,
                 {false, usage.promptTokens - std::min(usage.cachedTokens, usage.promptTokens),
                  usage.outputTokens, total, reservation.probe},
                 now);
}

void EntryDecisions::endUnknown(EntryRequest &request, RequestEvent event, UnknownReason reason,
                                Instant now)
{
    if (!transition(request, event))
        return;
    if (event == RequestEvent::SessionLost)
        reportOutcome(request, true, {}, now);
    endRequest(request.arrival.request, Unknown {reason});
}

// Cancels a dispatched request on its server and ends it as Unknown.
void EntryDecisions::cancel(EntryRequest &request, UnknownReason reason, Instant now)
{
    const EntryReservation reservation = request.dispatchedTo;
    send(reservation.slot, Cancel {request.arrival.request});
    reportOutcome(request, false, {}, now);
    endUnknown(request, RequestEvent::Cancelled, reason, now);
    // The server was predicted to finish in time, so a missed deadline counts as its failure. A
    // caller that disconnects does not.
    if (reason == UnknownReason::DeadlinePassed)
        recordResult(reservation.slot, {true, 0, 0, Duration::zero(), reservation.probe}, now);
    else
        releaseProbe(reservation);
}

// Returns a dispatched request to the waiting ones, after its agent reported it as not run.
void EntryDecisions::requeue(EntryRequest &request, Instant now)
{
    if (!transition(request, RequestEvent::NotRunReported))
        return;
    request.reportedNotRunBy.push_back(m_directory.at(request.dispatchedTo.slot).id);
    request.dispatchedTo = {};
    request.grant = {};
    if (!m_retryBudget.tryTakeRetry()) {
        refuse(request, NotRunReason::RetryBudget);
        return;
    }
    reserveOrRefuse(request, now);
    shedOverLimit();
}

void EntryDecisions::callerDisconnected(RequestId id, Instant now)
{
    EntryRequest *request = m_requests.find(id);
    if (request == nullptr)
        return;
    if (request->state == RequestState::Dispatched)
        cancel(*request, UnknownReason::CallerGone, now);
    else
        refuse(*request, NotRunReason::CallerGone);
}

void EntryDecisions::answerOverLimit(RequestId id, bool serverFault, Instant now)
{
    EntryRequest *request = m_requests.find(id);
    if (request == nullptr || request->state != RequestState::Dispatched)
        return;
    const EntryReservation reservation = request->dispatchedTo;
    send(reservation.slot, Cancel {id});
    reportOutcome(*request, serverFault, {}, now);
    endUnknown(*request, RequestEvent::Cancelled, UnknownReason::StreamCut, now);
    if (serverFault)
        recordResult(reservation.slot, {true, 0, 0, Duration::zero(), reservation.probe}, now);
    else
        releaseProbe(reservation);
}

void EntryDecisions::reportOutcome(const EntryRequest &request, bool failed, const Usage &usage,
                                   Instant now)
{
    const DirectoryEntry &server = m_directory.at(request.dispatchedTo.slot);
    const RequestArrival &arrival = request.arrival;
    m_actions.emplace_back(ReportOutcome {server.id, server.version, arrival.route,
                                          arrival.organisation, arrival.tier, failed,
                                          !failed && now <= arrival.deadline, usage});
}

// --- timers ---

void EntryDecisions::tick(Instant now)
{
    m_outliers.expire(now, m_probeReady);
    while (const auto id = m_requests.takeDue(now)) {
        EntryRequest &request = *m_requests.find(*id);
        if (request.state == RequestState::Dispatched)
            cancel(request, UnknownReason::DeadlinePassed, now);
        else if (now >= request.latestStart)
            refuse(request, NotRunReason::DeadlinePassed);
        else if (extraReservationDue(request, now) && now < request.retryAt)
            addExtraReservation(request, now);
        else
            startRetryRound(request, now);
    }
}

Instant EntryDecisions::nextWakeTime() const
{
    return std::min(m_requests.nextTimer(), m_outliers.nextExpiry());
}

// Makes the temporarily avoided servers eligible again, and adds the missing reservations.
void EntryDecisions::startRetryRound(EntryRequest &request, Instant now)
{
    std::erase_if(request.avoided, [](const AvoidedServer &it) { return !it.permanent; });
    request.retryAt = instantNever;
    reserveOrRefuse(request, now);
}

} // namespace cornelshed::detail
