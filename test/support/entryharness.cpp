// Schedules, agents and invariant checks for the entry scheduler.

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

// Few retries and waiting places, so that short schedules reach both limits.
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

void EntryHarness::violate(Violation kind, const std::string &what, RequestId request)
{
    m_violations[kind].push_back(what + ", request " + std::to_string(request.sequence));
}

// --- events ---

void EntryHarness::run(const std::vector<ScheduleStep> &steps)
{
    for (const ScheduleStep &it : steps)
        step(it);
    drain();
}

// Message deliveries and submissions are the most frequent.
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
        check(m_scheduler->callerGone({1, step.a % m_nextSequence}, m_now));
    else if (kind < 29)
        crash(step);
    else if (kind < 31)
        changeView(step);
    else if (m_servers[step.a % serverCount].connected && step.b % 4 == 0)
        answer(m_servers[step.a % serverCount].welcome.backendServer, Leaving {});
}

void EntryHarness::submit(const ScheduleStep &step)
{
    Tracked &request = m_requests[m_nextSequence];
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

void EntryHarness::deliver(std::size_t index, bool keep)
{
    if (m_pending.empty())
        return;
    const Pending pending = m_pending[index];
    if (!keep)
        m_pending.erase(m_pending.begin() + static_cast<std::ptrdiff_t>(index));
    trackNotRun(pending);
    if (std::holds_alternative<Leaving>(pending.message))
        for (Server &it : m_servers)
            if (it.connected && it.welcome.backendServer == pending.from)
                it.saidLeaving = true;
    check(m_scheduler->handle(pending.from, pending.message, m_now));
}

// A repeated report counts for the dispatch that it is about, not for a later one.
void EntryHarness::trackNotRun(const Pending &pending)
{
    const auto *failed = std::get_if<Failed>(&pending.message);
    if (failed == nullptr || !failed->notRun)
        return;
    Tracked &request = m_requests[failed->request.sequence];
    Attempt &attempt = request.attempts[pending.attempt];
    if (!attempt.notRunDelivered && request.state == "dispatched")
        move(request, "not_run_reported");
    attempt.notRunDelivered = true;
}

// The session is lost, or comes back with the same or another incarnation of the agent.
void EntryHarness::crash(const ScheduleStep &step)
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
    server.saidLeaving = false;
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
    m_view.leavingHosts.clear();
    if (step.b % 5 == 0)
        m_view.leavingHosts.push_back("s" + std::to_string(step.a % serverCount));
    m_view.versionShares[0].takenBack = step.b % 7 < 2;
    check(m_scheduler->setView(std::make_shared<RoutingView>(m_view), m_now));
}

void EntryHarness::advance(Duration by)
{
    m_now += by;
    check(m_scheduler->tick(m_now));
    if (m_scheduler->nextWake() <= m_now)
        violate(Violation::Timer, "due timer left after tick", {});
}

// Lets every deadline pass; nothing may be left.
void EntryHarness::drain()
{
    for (int i = 0; i < 40; ++i)
        advance(milliseconds(50));
    if (m_scheduler->waitingCount() + m_scheduler->dispatchedCount() > 0)
        violate(Violation::Endings, "requests left after all deadlines", {});
    for (const auto &[sequence, request] : m_requests)
        if (request.endings != 1)
            violate(Violation::Endings, std::to_string(request.endings) + " endings",
                    {1, sequence});
}

// --- agents ---

void EntryHarness::answer(const BackendServerId &server, AgentMessage message, std::size_t attempt)
{
    m_pending.push_back({server, std::move(message), attempt});
}

void EntryHarness::agentReceives(const BackendServerId &server, const EntryMessage &message)
{
    if (const auto *reserve = std::get_if<Reserve>(&message)) {
        if (m_random.below(5) == 0)
            answer(server,
                   Reject {reserve->request, static_cast<RejectReason>(m_random.below(6)), {}});
        else
            answer(server,
                   Grant {reserve->request, {server.incarnation, m_nextGrant++}, {}, {}, {}});
    }
    if (const auto *dispatch = std::get_if<Dispatch>(&message)) {
        const std::uint64_t n = m_random.below(10);
        const std::size_t attempt = m_requests[dispatch->request.sequence].attempts.size() - 1;
        Usage usage;
        usage.promptTokens = dispatch->request.sequence; // tells answers apart
        if (n < 4)
            answer(server, Finished {dispatch->request, usage, {}}, attempt);
        else if (n < 8)
            answer(server, Failed {dispatch->request, true, FailReason::GrantExpired, {}}, attempt);
        else if (n < 9)
            answer(server, Failed {dispatch->request, false, FailReason::EngineError, {}}, attempt);
    }
}

// --- checks ---

void EntryHarness::check(const EntryActions &actions)
{
    for (const EntryAction &it : actions)
        std::visit([&](const auto &action) { check(action); }, it);
}

void EntryHarness::check(const SendToAgent &action)
{
    if (const auto *dispatch = std::get_if<Dispatch>(&action.message))
        checkDispatch(action, *dispatch);
    agentReceives(action.backendServer, action.message);
}

void EntryHarness::check(const ReportOutcome & /*action*/) { }

// The scheduler may make only transitions of the chart file.
void EntryHarness::move(Tracked &request, const std::string &event)
{
    const auto next = m_chart.next(request.state, event);
    if (next)
        request.state = *next;
    else
        violate(Violation::Endings, event + " in state " + request.state, request.arrival.request);
}

bool EntryHarness::forbidden(const BackendServerId &id) const
{
    const auto same = [&](const Server &it) {
        return it.connected && it.welcome.backendServer == id;
    };
    const auto it = std::find_if(m_servers.begin(), m_servers.end(), same);
    if (it == m_servers.end() || it->saidLeaving)
        return true;
    for (const std::string &host : m_view.leavingHosts)
        if (host == id.name)
            return true;
    for (const auto &zone : m_view.configuration->availabilityZones)
        if (zone.name == it->welcome.availabilityZone
            && zone.state == AvailabilityZoneState::Withdrawn)
            return true;
    return m_view.versionShares[0].takenBack && it->welcome.version == "v2";
}

void EntryHarness::checkDispatch(const SendToAgent &action, const Dispatch &dispatch)
{
    Tracked &request = m_requests[dispatch.request.sequence];
    const auto open = [](const Attempt &it) { return !it.notRunDelivered; };
    if (std::any_of(request.attempts.begin(), request.attempts.end(), open)
        || !m_usedGrants.insert(dispatch.grant).second)
        violate(Violation::DispatchedTwice, "dispatched again", dispatch.request);
    if (forbidden(action.backendServer))
        violate(Violation::ForbiddenServer, "dispatched to " + action.backendServer.name,
                dispatch.request);
    move(request, "grant_accepted");
    ++(request.attempts.empty() ? m_firstDispatches : m_repeatedDispatches);
    const double allowed = m_limits.retryBudgetBurst
            + m_limits.retryBudgetShare * static_cast<double>(m_firstDispatches);
    if (static_cast<double>(m_repeatedDispatches) > allowed)
        violate(Violation::RetryBudget, "too many second offers", dispatch.request);
    request.attempts.push_back({action.backendServer, false});
}

void EntryHarness::check(const EndRequest &action)
{
    Tracked &request = m_requests[action.request.sequence];
    ++request.endings;
    if (const auto *answered = std::get_if<Answered>(&action.ending)) {
        move(request, "finished");
        if (answered->usage.promptTokens != action.request.sequence)
            violate(Violation::MixedUp, "answer of another request", action.request);
    } else if (const auto *notRun = std::get_if<NotRun>(&action.ending)) {
        const auto open = [](const Attempt &it) { return !it.notRunDelivered; };
        if (std::any_of(request.attempts.begin(), request.attempts.end(), open))
            violate(Violation::FalseNotRun, "refused as not run after a dispatch", action.request);
        move(request, "refused");
        if (notRun->reason == NotRunReason::WaitingLimit)
            checkShedOrder(request);
    } else {
        move(request, "failed");
    }
}

void EntryHarness::checkShedOrder(const Tracked &shed)
{
    for (const auto &[sequence, other] : m_requests) {
        if (other.state != "waiting" || other.arrival.tier < shed.arrival.tier)
            continue;
        const bool lowerTier = other.arrival.tier > shed.arrival.tier;
        if (lowerTier || other.arrival.deadline > shed.arrival.deadline)
            violate(Violation::TierOrder, "shed before " + std::to_string(sequence),
                    shed.arrival.request);
    }
}

} // namespace cornelshed::testing
