// Implements AgentScheduler on top of the reservation queue, the grant records and the tracking of
// running requests.

#include "agentscheduler.h"

#include "granttable.h"
#include "serverloadtracker.h"
#include "tierqueue.h"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>

namespace cornelshed {

namespace {

struct Session
{
    Instant lastLoadReportAt; // when a load report was last sent in this session
};

struct Reservation
{
    SessionId session = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
};

// Interval at which a server suspected of a stall is checked again while reservations are queued.
constexpr Duration stallPollInterval = std::chrono::milliseconds(20);

// Upper bounds for values in messages, so that sums and times cannot overflow.
constexpr std::uint64_t largestTokenCount = 1ULL << 32U;
constexpr Duration longestDeadline = std::chrono::hours(24);

} // namespace

class AgentScheduler::Private
{
public:
    Private(const AgentLimits &limits, const Welcome &identity,
            const std::vector<TierSettings> &tiers)
        : m_limits(limits), m_identity(identity), m_queue(limits.reservationLimit, tiers),
          m_grants(identity.backendServer.incarnation, limits.grantHoldTime), m_loadTracker(limits)
    {
        setTiers(tiers);
    }

    void setTiers(const std::vector<TierSettings> &tiers);
    void setConfiguration(const Configuration &configuration);
    void openSession(SessionId session);
    void closeSession(SessionId session);
    bool isOpen(SessionId session) const { return m_sessions.count(session) != 0; }

    void on(SessionId session, const Hello &) { }
    void on(SessionId session, const ConfigurationNotice &) { }
    void on(SessionId session, const Reserve &reserve);
    void on(SessionId session, const Withdraw &withdraw);
    void on(SessionId session, const Dispatch &dispatch);
    void on(SessionId session, const Decline &decline);
    void on(SessionId session, const Cancel &cancel);

    void finish(RequestId request, const Usage &usage);
    void fail(RequestId request, FailReason reason, bool notRun);
    void setReachable(bool reachable);
    void shutDown();

    void runTimers();
    void grantWhilePossible();
    Instant nextWakeTime() const;
    LoadReport load() const;
    bool idle() const { return m_grants.liveCount() == 0 && m_loadTracker.size() == 0; }

    ServerLoadTracker &loadTracker() { return m_loadTracker; }

    // Each event function of AgentScheduler calls begin() first and end() last.
    void begin(Instant now) { m_now = std::max(m_now, now); }
    AgentActions end();

private:
    bool servesModel(const std::string &model) const;
    std::optional<RejectReason> findRejectReason(const Reserve &reserve,
                                                 const Reservation &reservation) const;
    bool acceptsNewWork() const { return !m_shuttingDown && !m_zoneWithdrawn && m_reachable; }
    bool dequeue(SessionId session, RequestId request);
    void rejectQueued(RejectReason reason);
    void reject(SessionId session, RequestId request, RejectReason reason);
    void rejectEntries(const std::vector<QueueEntry> &entries, RejectReason reason);
    void refund(const GrantedSlot &slot) { m_queue.refund(slot.entry); }
    bool missesDeadline(const QueueEntry &entry) const;
    bool admits(const QueueEntry &entry) const { return admits(sizeOf(entry)); }
    bool admits(const RequestSize &size) const;
    bool isShort(const QueueEntry &entry) const { return m_loadTracker.isShort(sizeOf(entry)); }
    RequestSize sizeOf(const QueueEntry &entry) const;
    void grant(const QueueEntry &entry);
    void handleLate(SessionId session, const Dispatch &dispatch, const GrantedSlot &slot);
    void start(SessionId session, const Dispatch &dispatch, const GrantedSlot &slot);
    ServiceEstimate estimate(const Reservation &reservation) const;
    void send(SessionId session, AgentMessage message);
    void sendWithLoadReport(SessionId session, AgentMessage message);
    void sendDueLoadReports();

    AgentLimits m_limits;
    Welcome m_identity;
    TierQueue m_queue;
    GrantTable m_grants;
    ServerLoadTracker m_loadTracker;
    std::map<SessionId, Session> m_sessions;
    std::unordered_map<RequestId, Reservation> m_reservations; // invariant: same keys as m_queue
    TierRank m_lowestTier = 0;
    bool m_zoneWithdrawn = false;
    bool m_reachable = true;
    bool m_shuttingDown = false;
    Instant m_now;
    AgentActions m_actions;
};

void AgentScheduler::Private::setTiers(const std::vector<TierSettings> &tiers)
{
    m_queue.setTiers(tiers);
    m_lowestTier = 0;
    for (const TierSettings &it : tiers)
        m_lowestTier = std::max(m_lowestTier, it.rank);
}

void AgentScheduler::Private::setConfiguration(const Configuration &configuration)
{
    setTiers(configuration.tiers);
    m_zoneWithdrawn = false;
    for (const AvailabilityZoneSettings &it : configuration.availabilityZones) {
        if (it.name == m_identity.availabilityZone)
            m_zoneWithdrawn = it.state == AvailabilityZoneState::Withdrawn;
    }
    for (const PoolSettings &it : configuration.pools) {
        if (it.name == m_identity.pool)
            m_loadTracker.setMaximumConcurrency(
                    std::min(it.maximumConcurrency, m_limits.maximumConcurrency));
    }
    if (m_zoneWithdrawn)
        rejectQueued(RejectReason::ZoneWithdrawn);
}

void AgentScheduler::Private::openSession(SessionId session)
{
    m_sessions[session] = {m_now};
    Welcome welcome = m_identity;
    welcome.load = load();
    send(session, welcome);
    if (m_shuttingDown)
        send(session, Leaving {});
}

void AgentScheduler::Private::closeSession(SessionId session)
{
    if (m_sessions.erase(session) == 0)
        return;
    std::vector<RequestId> queued;
    for (const auto &[request, it] : m_reservations) {
        if (it.session == session)
            queued.push_back(request);
    }
    for (const RequestId &it : queued)
        dequeue(session, it);
    for (const GrantedSlot &it : m_grants.dropSession(session))
        refund(it);
    std::vector<RequestId> running = m_loadTracker.requestsOfSession(session);
    std::sort(running.begin(), running.end());
    for (const RequestId &it : running) {
        m_loadTracker.find(it)->orphaned = true;
        m_actions.emplace_back(CancelOnServer {it});
    }
}

void AgentScheduler::Private::on(SessionId session, const Reserve &reserve)
{
    const RequestId request = reserve.request;
    const bool isKnown = m_reservations.count(request) != 0 || m_grants.hasLiveGrant(request)
            || m_grants.started(request) || m_loadTracker.find(request) != nullptr;
    if (isKnown)
        return; // the message is late or a duplicate
    const Reservation reservation {session, std::min(reserve.promptTokens, largestTokenCount),
                                   std::min(reserve.outputTokens, largestTokenCount)};
    if (const std::optional<RejectReason> reason = findRejectReason(reserve, reservation)) {
        reject(session, request, *reason);
        return;
    }
    QueueEntry entry;
    entry.request = request;
    entry.tier = std::min(reserve.tier, m_lowestTier);
    entry.organisation = reserve.organisation;
    entry.weight = reserve.organisationWeight;
    entry.tokens = reservation.promptTokens + reservation.outputTokens;
    entry.deadline = m_now + std::min(reserve.remaining, longestDeadline);
    m_reservations[request] = reservation;
    if (const std::optional<QueueEntry> shed = m_queue.push(entry))
        rejectEntries({*shed}, RejectReason::Shed);
}

std::optional<RejectReason>
AgentScheduler::Private::findRejectReason(const Reserve &reserve,
                                          const Reservation &reservation) const
{
    if (m_shuttingDown)
        return RejectReason::Draining;
    if (m_zoneWithdrawn)
        return RejectReason::ZoneWithdrawn;
    if (!m_reachable)
        return RejectReason::QueueFull; // the server has no capacity while it is unreachable
    if (!servesModel(reserve.model))
        return RejectReason::UnknownModel;
    if (reserve.remaining.count() <= 0 || estimate(reservation).total > reserve.remaining)
        return RejectReason::DeadlineUnreachable;
    return std::nullopt;
}

bool AgentScheduler::Private::servesModel(const std::string &model) const
{
    const std::vector<std::string> &models = m_identity.models;
    return model.empty() || std::find(models.begin(), models.end(), model) != models.end();
}

void AgentScheduler::Private::on(SessionId session, const Withdraw &withdraw)
{
    dequeue(session, withdraw.request);
}

void AgentScheduler::Private::on(SessionId session, const Dispatch &dispatch)
{
    GrantedSlot slot;
    switch (m_grants.dispatch(session, dispatch, slot)) {
    case DispatchDecision::Start:
        start(session, dispatch, slot);
        break;
    case DispatchDecision::Late:
        handleLate(session, dispatch, slot);
        break;
    case DispatchDecision::NotRun:
        sendWithLoadReport(session, Failed {dispatch.request, true, FailReason::GrantExpired, {}});
        break;
    case DispatchDecision::Unknown:
        sendWithLoadReport(session, Failed {dispatch.request, false, FailReason::GrantExpired, {}});
        break;
    case DispatchDecision::Ignore:
        break;
    }
}

// The slot was refunded when the hold time was over. If nobody has it, the request may still run.
void AgentScheduler::Private::handleLate(SessionId session, const Dispatch &dispatch,
                                         const GrantedSlot &slot)
{
    if (!acceptsNewWork() || !admits(RequestSize {slot.promptTokens, slot.outputTokens})) {
        m_grants.refuseLate(session, dispatch);
        sendWithLoadReport(session, Failed {dispatch.request, true, FailReason::GrantExpired, {}});
        return;
    }
    m_grants.startLate(session, dispatch);
    m_queue.charge(slot.entry);
    start(session, dispatch, slot);
}

void AgentScheduler::Private::start(SessionId session, const Dispatch &dispatch,
                                    const GrantedSlot &slot)
{
    RunningRequest running;
    running.session = session;
    running.promptTokens = slot.promptTokens;
    running.outputTokens = slot.outputTokens;
    running.grantedAt = slot.grantedAt;
    running.startedAt = m_now;
    m_loadTracker.start(dispatch.request, running);
    m_actions.emplace_back(StartOnServer {session, dispatch});
}

void AgentScheduler::Private::on(SessionId session, const Decline &decline)
{
    if (const auto slot = m_grants.decline(session, decline.request, decline.grant))
        refund(*slot);
}

void AgentScheduler::Private::on(SessionId session, const Cancel &cancel)
{
    if (const auto slot = m_grants.cancel(session, cancel.request))
        refund(*slot);
    dequeue(session, cancel.request);
    const RunningRequest *running = m_loadTracker.find(cancel.request);
    if (running != nullptr && running->session == session)
        m_actions.emplace_back(CancelOnServer {cancel.request});
}

void AgentScheduler::Private::finish(RequestId request, const Usage &usage)
{
    const RunningRequest *running = m_loadTracker.find(request);
    if (running == nullptr)
        return;
    const SessionId session = running->session;
    const bool orphaned = running->orphaned;
    const Usage finalUsage = m_loadTracker.finish(request, usage, m_now);
    if (!orphaned)
        sendWithLoadReport(session, Finished {request, finalUsage, {}});
}

void AgentScheduler::Private::fail(RequestId request, FailReason reason, bool notRun)
{
    const RunningRequest *running = m_loadTracker.find(request);
    if (running == nullptr)
        return;
    const SessionId session = running->session;
    const bool orphaned = running->orphaned;
    // A first token proves that the request reached the server, even if notRun is set.
    const bool neverReached = notRun && !running->firstTokenAt;
    const bool serverFault = reason == FailReason::EngineUnreachable
            || reason == FailReason::EngineError || reason == FailReason::StreamCut;
    m_loadTracker.fail(request, serverFault, m_now);
    if (neverReached)
        m_grants.revertStart(request);
    if (!orphaned)
        sendWithLoadReport(session, Failed {request, neverReached, reason, {}});
}

void AgentScheduler::Private::setReachable(bool reachable)
{
    if (reachable == m_reachable)
        return;
    m_reachable = reachable;
    m_loadTracker.resetToCold(m_now);
    if (!reachable)
        rejectQueued(RejectReason::QueueFull);
}

void AgentScheduler::Private::shutDown()
{
    if (m_shuttingDown)
        return;
    m_shuttingDown = true;
    for (const auto &[session, it] : m_sessions)
        send(session, Leaving {});
    rejectQueued(RejectReason::Draining);
}

void AgentScheduler::Private::runTimers()
{
    for (const GrantedSlot &it : m_grants.expire(m_now))
        refund(it);
    rejectEntries(m_queue.expire(m_now), RejectReason::DeadlineUnreachable);
    sendDueLoadReports();
}

void AgentScheduler::Private::grantWhilePossible()
{
    while (acceptsNewWork() && m_queue.size() > 0) {
        const QueueEntry *entry = m_queue.next();
        if (!missesDeadline(*entry) && !admits(*entry))
            entry = m_queue.findMatching([this](const QueueEntry &it) { return isShort(it); });
        if (entry == nullptr)
            return;
        if (missesDeadline(*entry)) {
            const QueueEntry lateEntry = *entry;
            m_queue.remove(lateEntry.request);
            rejectEntries({lateEntry}, RejectReason::DeadlineUnreachable);
            continue;
        }
        if (!admits(*entry))
            return;
        grant(m_queue.take(entry->request));
    }
}

bool AgentScheduler::Private::missesDeadline(const QueueEntry &entry) const
{
    return m_now + estimate(m_reservations.at(entry.request)).total > entry.deadline;
}

bool AgentScheduler::Private::admits(const RequestSize &size) const
{
    const GrantedLoad granted {{m_grants.liveCount(), m_grants.liveTokens()},
                               m_grants.livePromptTokens()};
    return m_loadTracker.admits(granted, size, m_now);
}

RequestSize AgentScheduler::Private::sizeOf(const QueueEntry &entry) const
{
    const Reservation &reservation = m_reservations.at(entry.request);
    return {reservation.promptTokens, reservation.outputTokens};
}

void AgentScheduler::Private::grant(const QueueEntry &entry)
{
    const auto it = m_reservations.find(entry.request);
    const Reservation reservation = it->second;
    m_reservations.erase(it);
    const ServiceEstimate expected = estimate(reservation);
    Grant grant;
    grant.request = entry.request;
    grant.grant = m_grants.issue({reservation.session, entry, reservation.promptTokens,
                                  reservation.outputTokens, m_now});
    grant.expectedFirstToken = expected.firstToken;
    grant.expectedTotal = expected.total;
    sendWithLoadReport(reservation.session, grant);
}

// Includes the prompts of granted requests, as they will be processed first.
ServiceEstimate AgentScheduler::Private::estimate(const Reservation &reservation) const
{
    return m_loadTracker.estimate(reservation.promptTokens + m_grants.livePromptTokens(),
                                  reservation.outputTokens);
}

bool AgentScheduler::Private::dequeue(SessionId session, RequestId request)
{
    const auto it = m_reservations.find(request);
    if (it == m_reservations.end() || it->second.session != session)
        return false;
    m_reservations.erase(it);
    return m_queue.remove(request);
}

void AgentScheduler::Private::rejectQueued(RejectReason reason)
{
    rejectEntries(m_queue.clear(), reason);
}

void AgentScheduler::Private::rejectEntries(const std::vector<QueueEntry> &entries,
                                            RejectReason reason)
{
    for (const QueueEntry &it : entries) {
        const auto reservation = m_reservations.find(it.request);
        const SessionId session = reservation->second.session;
        m_reservations.erase(reservation);
        reject(session, it.request, reason);
    }
}

void AgentScheduler::Private::reject(SessionId session, RequestId request, RejectReason reason)
{
    sendWithLoadReport(session, Reject {request, reason, {}});
}

void AgentScheduler::Private::send(SessionId session, AgentMessage message)
{
    m_actions.emplace_back(SendToEntry {session, std::move(message)});
}

void AgentScheduler::Private::sendWithLoadReport(SessionId session, AgentMessage message)
{
    const auto it = m_sessions.find(session);
    if (it == m_sessions.end())
        return;
    it->second.lastLoadReportAt = m_now;
    send(session, std::move(message));
}

void AgentScheduler::Private::sendDueLoadReports()
{
    for (auto &[session, it] : m_sessions) {
        if (it.lastLoadReportAt + m_limits.loadReportInterval <= m_now)
            sendWithLoadReport(session, Load {});
    }
}

Instant AgentScheduler::Private::nextWakeTime() const
{
    Instant wake = std::min(m_grants.nextExpiry(), m_queue.earliestDeadline());
    for (const auto &[session, it] : m_sessions)
        wake = std::min(wake, it.lastLoadReportAt + m_limits.loadReportInterval);
    if (m_queue.size() > 0 && m_loadTracker.stallSuspected(m_now))
        wake = std::min(wake, m_now + stallPollInterval);
    return wake;
}

LoadReport AgentScheduler::Private::load() const
{
    LoadReport report = m_loadTracker.load();
    report.waiting = static_cast<std::uint32_t>(m_queue.size());
    // The token limit, pending prompts or a suspected stall may block further grants before the
    // concurrency limit is reached. Entry daemons predict waiting times from the reported limit, so
    // while reservations wait, it is the concurrency that is actually in use.
    const std::uint32_t occupied = report.running + m_grants.liveCount();
    if (report.waiting > 0)
        report.concurrencyLimit = std::min(report.concurrencyLimit, std::max(occupied, 1U));
    return report;
}

// Fills in the load reports last, so that all messages of one call show the state after that call.
AgentActions AgentScheduler::Private::end()
{
    grantWhilePossible();
    if (m_actions.empty())
        return {};
    const LoadReport report = load();
    for (AgentAction &it : m_actions) {
        auto *sent = std::get_if<SendToEntry>(&it);
        if (sent == nullptr)
            continue;
        std::visit(
                [&](auto &message) {
                    if constexpr (requires { message.load; })
                        message.load = report;
                },
                sent->message);
    }
    return std::exchange(m_actions, {});
}

AgentScheduler::AgentScheduler(const AgentLimits &limits, const Welcome &identity,
                               const std::vector<TierSettings> &tiers)
    : d(std::make_unique<Private>(limits, identity, tiers))
{ }

AgentScheduler::~AgentScheduler() = default;
AgentScheduler::AgentScheduler(AgentScheduler &&) noexcept = default;
AgentScheduler &AgentScheduler::operator=(AgentScheduler &&) noexcept = default;

AgentActions AgentScheduler::setConfiguration(const Configuration &configuration, Instant now)
{
    d->begin(now);
    d->setConfiguration(configuration);
    return d->end();
}

AgentActions AgentScheduler::sessionOpened(SessionId session, const Hello &, Instant now)
{
    d->begin(now);
    d->openSession(session);
    return d->end();
}

AgentActions AgentScheduler::sessionClosed(SessionId session, Instant now)
{
    d->begin(now);
    d->closeSession(session);
    return d->end();
}

AgentActions AgentScheduler::handle(SessionId session, const EntryMessage &message, Instant now)
{
    d->begin(now);
    d->runTimers();
    if (d->isOpen(session))
        std::visit([&](const auto &it) { d->on(session, it); }, message);
    return d->end();
}

AgentActions AgentScheduler::firstToken(RequestId request, Instant now)
{
    d->begin(now);
    d->loadTracker().recordFirstToken(request, now);
    return d->end();
}

AgentActions AgentScheduler::tokens(RequestId request, std::uint64_t count, Instant now)
{
    d->begin(now);
    d->loadTracker().recordTokens(request, count, now);
    return d->end();
}

AgentActions AgentScheduler::serverFinished(RequestId request, const Usage &usage, Instant now)
{
    d->begin(now);
    d->finish(request, usage);
    return d->end();
}

AgentActions AgentScheduler::serverFailed(RequestId request, FailReason reason, bool notRun,
                                          Instant now)
{
    d->begin(now);
    d->fail(request, reason, notRun);
    return d->end();
}

AgentActions AgentScheduler::serverReachable(bool reachable, Instant now)
{
    d->begin(now);
    d->setReachable(reachable);
    return d->end();
}

AgentActions AgentScheduler::tick(Instant now)
{
    d->begin(now);
    d->runTimers();
    return d->end();
}

Instant AgentScheduler::nextWakeTime() const
{
    return d->nextWakeTime();
}

AgentActions AgentScheduler::beginShutdown(Instant now)
{
    d->begin(now);
    d->shutDown();
    return d->end();
}

bool AgentScheduler::idle() const
{
    return d->idle();
}

LoadReport AgentScheduler::load() const
{
    return d->load();
}

} // namespace cornelshed
