// Applies the events of a schedule, simulates the agents and checks the scheduler's invariants.

#include "entryharness.h"

#include "statechartfile.h"

#include <algorithm>

namespace cornelshed::testing {

using std::chrono::milliseconds;

namespace {

std::shared_ptr<Configuration> makeConfiguration()
{
    auto configuration = std::make_shared<Configuration>();
    configuration->version = 1;
    configuration->availabilityZones = {{"z0", "r"}, {"z1", "r"}, {"z2", "r"}};
    configuration->pools = {{"p", PoolKind::Engine, "g", {"m"}}};
    configuration->routes = {{"/r", {"p"}}};
    return configuration;
}

// Low limits for retries and waiting requests, so that short schedules reach both.
EntryLimits makeLimits()
{
    EntryLimits limits;
    limits.waitingRequestLimit = 6;
    limits.retryBudgetBurst = 2;
    limits.retryBudgetShare = 0.2;
    return limits;
}

constexpr std::size_t serverCount = 6;

} // namespace

std::ostream &operator<<(std::ostream &out, const ScheduleStep &step)
{
    return out << "{" << int(step.kind) << ", " << step.a << ", " << step.b << "}";
}

EntryHarness::EntryHarness(std::uint64_t seed)
    : m_limits(makeLimits()), m_random(seed), m_schedulerRandom(seed + 1),
      m_chart(std::get<StateChart>(readStateChart(CORNELSHED_SOURCE_DIR "/charts/request.toml")))
{
    m_view.configuration = makeConfiguration();
    m_view.versionShares = {{"rollout", "p", "v1", "v2", {}, 0.5, false}};
    m_scheduler = std::make_unique<EntryScheduler>(m_limits, std::make_shared<RoutingView>(m_view),
                                                   m_schedulerRandom);
    for (std::size_t i = 0; i < serverCount; ++i) {
        Welcome welcome;
        welcome.backendServer = {"s" + std::to_string(i), 1};
        welcome.pool = "p";
        welcome.availabilityZone = "z" + std::to_string(i % 3);
        welcome.version = i % 2 == 0 ? "v1" : "v2";
        welcome.models = {"m"};
        m_servers.push_back({welcome, true, false});
        check(m_scheduler->connected(welcome, m_now));
    }
}

void EntryHarness::recordViolation(Violation kind, const std::string &what, RequestId request)
{
    m_violations[kind].push_back(what + ", request " + std::to_string(request.sequence));
}

// --- Events of a schedule ---

void EntryHarness::run(const std::vector<ScheduleStep> &steps)
{
    for (const ScheduleStep &it : steps)
        step(it);
    drain();
}

// Maps a step to an event. Of 32 kinds, 8 submit a request and 14 deliver a message (3 of them keep
// a copy, which may be delivered again), so that these are the most frequent events; the rest are
// lost messages, passing time, callers that leave, lost sessions, changes of the view and agents
// that announce their shutdown.
void EntryHarness::step(const ScheduleStep &step)
{
    const std::size_t index = m_pending.empty() ? 0 : step.a % m_pending.size();
    const unsigned kind = step.kind % 32U;
    if (kind < 8)
        submit(step);
    else if (kind < 19)
        deliver(index, false);
    else if (kind < 22)
        deliver(index, true);
    else if (kind < 23 && !m_pending.empty())
        m_pending.erase(m_pending.begin() + static_cast<std::ptrdiff_t>(index));
    else if (kind < 27)
        advance(milliseconds(step.b % 60));
    else if (kind < 28)
        check(m_scheduler->callerDisconnected({1, step.a % m_nextSequence}, m_now));
    else if (kind < 29)
        interruptSession(step);
    else if (kind < 31)
        changeView(step);
    else if (m_servers[step.a % serverCount].connected && step.b % 4 == 0)
        enqueueMessage(m_servers[step.a % serverCount].welcome.backendServer, Leaving {});
}

void EntryHarness::submit(const ScheduleStep &step)
{
    TrackedRequest &request = m_requests[m_nextSequence];
    request.arrival.request = {1, m_nextSequence++};
    request.arrival.tier = step.a % 3;
    request.arrival.route = "/r";
    request.arrival.model = "m";
    request.arrival.promptTokens = 1000;
    request.arrival.prefixTokensPerHash = 250;
    request.arrival.prefixHashes = {step.a % 5, step.a % 25, step.a % 125};
    request.arrival.outputTokens = 10;
    request.arrival.deadline = m_now + milliseconds(step.b % 900);
    request.state = m_chart.initial();
    check(m_scheduler->submit(request.arrival, m_now));
}

void EntryHarness::deliver(std::size_t index, bool keepCopy)
{
    if (m_pending.empty())
        return;
    const PendingMessage pending = m_pending[index];
    if (!keepCopy)
        m_pending.erase(m_pending.begin() + static_cast<std::ptrdiff_t>(index));
    recordNotRun(pending);
    if (std::holds_alternative<Leaving>(pending.message))
        for (Server &it : m_servers)
            if (it.connected && it.welcome.backendServer == pending.from)
                it.leavingDelivered = true;
    check(m_scheduler->handle(pending.from, pending.message, m_now));
}

// A duplicated report applies to the dispatch that it was sent for, not to a later one.
void EntryHarness::recordNotRun(const PendingMessage &pending)
{
    const auto *failed = std::get_if<Failed>(&pending.message);
    if (failed == nullptr || !failed->notRun)
        return;
    TrackedRequest &request = m_requests[failed->request.sequence];
    Attempt &attempt = request.attempts[pending.attempt];
    if (!attempt.notRunDelivered && request.state == "dispatched")
        applyChartEvent(request, "not_run_reported");
    attempt.notRunDelivered = true;
}

// Disconnects a connected agent, or connects it again, with the same or a new incarnation. Some
// steps do both.
void EntryHarness::interruptSession(const ScheduleStep &step)
{
    Server &server = m_servers[step.a % serverCount];
    if (server.connected) {
        server.connected = false;
        check(m_scheduler->disconnected(server.welcome.backendServer, m_now));
        if (step.b % 3 == 0)
            return;
    }
    server.welcome.backendServer.incarnation += step.b % 2;
    server.connected = true;
    server.leavingDelivered = false;
    check(m_scheduler->connected(server.welcome, m_now));
}

void EntryHarness::changeView(const ScheduleStep &step)
{
    auto configuration = std::make_shared<Configuration>(*m_view.configuration);
    auto &zone = configuration->availabilityZones[step.a % 3];
    if (step.b % 4 == 0)
        zone.state = AvailabilityZoneState::Withdrawn;
    else
        zone.state = AvailabilityZoneState::Serving;
    m_view.configuration = configuration;
    m_view.leavingServers.clear();
    if (step.b % 5 == 0)
        m_view.leavingServers.push_back("s" + std::to_string(step.a % serverCount));
    m_view.versionShares[0].rolledBack = step.b % 7 < 2;
    check(m_scheduler->setView(std::make_shared<RoutingView>(m_view), m_now));
}

void EntryHarness::advance(Duration by)
{
    m_now += by;
    check(m_scheduler->tick(m_now));
    if (m_scheduler->nextWakeTime() <= m_now)
        recordViolation(Violation::Timer, "a timer is still due after tick()", {});
}

// Lets every deadline pass (at most 900 ms, see submit()) and checks that all requests have ended.
void EntryHarness::drain()
{
    for (int i = 0; i < 40; ++i)
        advance(milliseconds(50));
    if (m_scheduler->waitingCount() + m_scheduler->dispatchedCount() > 0)
        recordViolation(Violation::Endings, "requests still open after all deadlines", {});
    for (const auto &[sequence, request] : m_requests)
        if (request.endingCount != 1)
            recordViolation(Violation::Endings,
                            std::to_string(request.endingCount) + " endings instead of exactly one",
                            {1, sequence});
}

// --- Simulated agents ---

void EntryHarness::enqueueMessage(const BackendServerId &server, AgentMessage message,
                                  std::size_t attempt)
{
    m_pending.push_back({server, std::move(message), attempt});
}

void EntryHarness::simulateAgent(const BackendServerId &server, const EntryMessage &message)
{
    if (const auto *reserve = std::get_if<Reserve>(&message)) {
        if (m_random.below(5) == 0)
            enqueueMessage(
                    server,
                    Reject {reserve->request, static_cast<RejectReason>(m_random.below(6)), {}});
        else
            enqueueMessage(
                    server,
                    Grant {reserve->request, {server.incarnation, m_nextGrant++}, {}, {}, {}});
    }
    if (const auto *dispatch = std::get_if<Dispatch>(&message)) {
        const std::uint64_t n = m_random.below(10);
        const std::size_t attempt = m_requests[dispatch->request.sequence].attempts.size() - 1;
        Usage usage;
        // Identifies the request that the answer belongs to.
        usage.promptTokens = dispatch->request.sequence;
        if (n < 4)
            enqueueMessage(server, Finished {dispatch->request, usage, {}}, attempt);
        else if (n < 8)
            enqueueMessage(server, Failed {dispatch->request, true, FailReason::GrantExpired, {}},
                           attempt);
        else if (n < 9)
            enqueueMessage(server, Failed {dispatch->request, false, FailReason::EngineError, {}},
                           attempt);
    }
}

// --- Invariant checks ---

void EntryHarness::check(const EntryActions &actions)
{
    for (const EntryAction &it : actions)
        std::visit([&](const auto &action) { check(action); }, it);
}

void EntryHarness::check(const SendToAgent &action)
{
    if (const auto *dispatch = std::get_if<Dispatch>(&action.message))
        checkDispatch(action, *dispatch);
    simulateAgent(action.backendServer, action.message);
}

void EntryHarness::check(const ReportOutcome & /*action*/) { }

// Records a violation if the request chart has no transition for the event in the request's state.
void EntryHarness::applyChartEvent(TrackedRequest &request, const std::string &event)
{
    const auto next = m_chart.next(request.state, event);
    if (next)
        request.state = *next;
    else
        recordViolation(Violation::Endings, event + " in state " + request.state,
                        request.arrival.request);
}

bool EntryHarness::mustNotReceiveWork(const BackendServerId &id) const
{
    const auto same = [&](const Server &it) {
        return it.connected && it.welcome.backendServer == id;
    };
    const auto it = std::find_if(m_servers.begin(), m_servers.end(), same);
    if (it == m_servers.end() || it->leavingDelivered)
        return true;
    for (const std::string &host : m_view.leavingServers)
        if (host == id.name)
            return true;
    for (const auto &zone : m_view.configuration->availabilityZones)
        if (zone.name == it->welcome.availabilityZone
            && zone.state == AvailabilityZoneState::Withdrawn)
            return true;
    return m_view.versionShares[0].rolledBack && it->welcome.version == "v2";
}

void EntryHarness::checkDispatch(const SendToAgent &action, const Dispatch &dispatch)
{
    TrackedRequest &request = m_requests[dispatch.request.sequence];
    const auto mayHaveRun = [](const Attempt &it) { return !it.notRunDelivered; };
    if (std::any_of(request.attempts.begin(), request.attempts.end(), mayHaveRun)
        || !m_usedGrants.insert(dispatch.grant).second)
        recordViolation(Violation::DispatchedTwice,
                        "dispatched while an earlier dispatch may have run, or with a used grant",
                        dispatch.request);
    if (mustNotReceiveWork(action.backendServer))
        recordViolation(Violation::ForbiddenServer,
                        "dispatched to excluded server " + action.backendServer.name,
                        dispatch.request);
    applyChartEvent(request, "grant_accepted");
    ++(request.attempts.empty() ? m_firstDispatches : m_repeatedDispatches);
    const double allowed = m_limits.retryBudgetBurst
            + m_limits.retryBudgetShare * static_cast<double>(m_firstDispatches);
    if (static_cast<double>(m_repeatedDispatches) > allowed)
        recordViolation(Violation::RetryBudget, "dispatched again beyond the retry budget",
                        dispatch.request);
    request.attempts.push_back({action.backendServer, false});
}

void EntryHarness::check(const EndRequest &action)
{
    TrackedRequest &request = m_requests[action.request.sequence];
    ++request.endingCount;
    if (const auto *answered = std::get_if<Answered>(&action.ending)) {
        applyChartEvent(request, "finished");
        if (answered->usage.promptTokens != action.request.sequence)
            recordViolation(Violation::MixedUp, "ended with the answer to another request",
                            action.request);
    } else if (const auto *notRun = std::get_if<NotRun>(&action.ending)) {
        const auto mayHaveRun = [](const Attempt &it) { return !it.notRunDelivered; };
        if (std::any_of(request.attempts.begin(), request.attempts.end(), mayHaveRun))
            recordViolation(Violation::FalseNotRun,
                            "reported as not run although a dispatch may have run", action.request);
        applyChartEvent(request, "refused");
        if (notRun->reason == NotRunReason::WaitingLimit)
            checkShedOrder(request);
    } else {
        applyChartEvent(request, "failed");
    }
}

// Of the waiting requests, only one of the lowest tier may be shed, and within the tier only one
// with the latest deadline.
void EntryHarness::checkShedOrder(const TrackedRequest &shed)
{
    for (const auto &[sequence, other] : m_requests) {
        if (other.state != "waiting" || other.arrival.tier < shed.arrival.tier)
            continue;
        const bool lowerTier = other.arrival.tier > shed.arrival.tier;
        if (lowerTier || other.arrival.deadline > shed.arrival.deadline)
            recordViolation(Violation::TierOrder,
                            "shed before lower-priority request " + std::to_string(sequence),
                            shed.arrival.request);
    }
}

} // namespace cornelshed::testing
