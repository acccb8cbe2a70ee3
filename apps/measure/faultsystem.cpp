// The real schedulers with a simulated unreliable network and unreliable engines.

#include "faultsystem.h"

#include "agentscheduler.h"
#include "enginemodel.h"
#include "entryscheduler.h"

#include <memory>
#include <optional>
#include <vector>

namespace cornelshed::measure {

namespace {

constexpr std::size_t entryCount = 2;
constexpr std::size_t agentCount = 3;
constexpr std::size_t requestCount = 30;
constexpr Duration scheduleLength = std::chrono::seconds(2); // requests and faults occur within it
constexpr Duration drainLength = std::chrono::seconds(8);    // longer than the longest deadline

std::vector<TierSettings> tiers()
{
    return {{"gold", 0, 0}, {"silver", 1, 0.05}, {"bronze", 2, 0.02}};
}

std::shared_ptr<const RoutingView> routingView()
{
    auto configuration = std::make_shared<Configuration>();
    configuration->tiers = tiers();
    PoolSettings pool;
    pool.name = "ledger";
    pool.models = {"reed"};
    configuration->pools = {pool};
    RouteSettings route;
    route.path = "/orders";
    route.pools = {"ledger"};
    route.idempotent = false;
    configuration->routes = {route};
    auto view = std::make_shared<RoutingView>();
    view->configuration = configuration;
    return view;
}

class FaultSystem
{
public:
    explicit FaultSystem(std::uint64_t seed);

    FaultCounts run();

private:
    // Forwards the events of one engine to the current incarnation of its agent.
    class EngineEventForwarder final : public EngineListener
    {
    public:
        EngineEventForwarder(FaultSystem &system, std::size_t agent)
            : m_system(system), m_agent(agent)
        { }

        void engineTokens(RequestId request, std::uint64_t count, bool first) override
        {
            m_system.engineTokens(m_agent, request, count, first);
        }
        void engineFinished(RequestId request, const Usage &usage) override
        {
            m_system.engineFinished(m_agent, request, usage);
        }
        void engineFailed(RequestId request, FailReason reason, std::uint64_t) override
        {
            m_system.engineFailed(m_agent, request, reason);
        }

    private:
        FaultSystem &m_system;
        std::size_t m_agent;
    };

    struct Agent
    {
        std::unique_ptr<AgentScheduler> scheduler;
        std::uint64_t incarnation = 0;
        bool alive = false;
    };

    // Session of each pair of agent and entry daemon; 0 while they are not connected.
    using Sessions = std::vector<SessionId>;

    struct TrackedRequest
    {
        EngineJob job;
        std::uint32_t engineStarts = 0; // times it was started on an engine
        std::uint32_t completed = 0;
        std::uint32_t endings = 0;
    };

    Instant now() const { return m_events.now(); }
    bool withProbability(double probability) { return m_random.unit() < probability; }
    Duration randomDelay();
    TrackedRequest &tracked(RequestId request) { return m_requests[request.sequence - 1]; }
    SessionId &session(std::size_t agent, std::size_t entry)
    {
        return m_sessions[agent * entryCount + entry];
    }

    void startAgent(std::size_t agent);
    void killAgent(std::size_t agent);
    void openSession(std::size_t agent, std::size_t entry);
    void loseSession(std::size_t agent, std::size_t entry);
    void submit(std::size_t index);
    void injectFault();
    void engineTokens(std::size_t agent, RequestId request, std::uint64_t count, bool first);
    void engineFinished(std::size_t agent, RequestId request, const Usage &usage);
    void engineFailed(std::size_t agent, RequestId request, FailReason reason);
    void performAgent(std::size_t agent, const AgentActions &actions);
    void performEntry(std::size_t entry, const EntryActions &actions);
    void start(std::size_t agent, RequestId request);
    void sendToEntry(std::size_t agent, SessionId session, const AgentMessage &message);
    void sendToAgent(std::size_t entry, const BackendServerId &server, const EntryMessage &message);
    template<typename Deliver> void transmit(Deliver deliver);
    void recordEndedRequest(const EndRequest &end);
    void runTimers();

    SeededRandom m_random;
    EventQueue m_events;
    std::vector<EngineEventForwarder> m_forwarders;
    std::vector<std::unique_ptr<EngineModel>> m_engines;
    std::vector<Agent> m_agents;
    std::vector<std::unique_ptr<EntryScheduler>> m_entries;
    Sessions m_sessions;
    SessionId m_lastSession = 0;
    std::vector<TrackedRequest> m_requests;
    FaultCounts m_counts;
};

EngineSettings engineSettings()
{
    EngineSettings settings;
    settings.maximumBatch = 8;
    settings.coldOverloadTime = std::chrono::milliseconds(300);
    return settings;
}

Welcome welcomeOf(std::size_t agent, std::uint64_t incarnation)
{
    Welcome welcome;
    welcome.backendServer = {"runner-" + std::to_string(agent), incarnation};
    welcome.pool = "ledger";
    welcome.availabilityZone = "a";
    welcome.version = "1";
    welcome.models = {"reed"};
    return welcome;
}

FaultSystem::FaultSystem(std::uint64_t seed)
    : m_random(seed), m_agents(agentCount), m_sessions(agentCount * entryCount),
      m_requests(requestCount)
{
    const auto view = routingView();
    for (std::size_t n = 0; n < entryCount; ++n)
        m_entries.push_back(std::make_unique<EntryScheduler>(EntryLimits {}, view, m_random));
    m_forwarders.reserve(agentCount);
    for (std::size_t n = 0; n < agentCount; ++n) {
        m_forwarders.emplace_back(*this, n);
        m_engines.push_back(
                std::make_unique<EngineModel>(engineSettings(), m_events, m_forwarders.back()));
        startAgent(n);
    }
}

FaultCounts FaultSystem::run()
{
    const auto scheduleMicroseconds = static_cast<std::uint64_t>(scheduleLength.count());
    for (std::size_t n = 0; n < requestCount; ++n)
        m_events.at(Instant(Duration(m_random.below(scheduleMicroseconds))),
                    [this, n] { submit(n); });
    const std::uint64_t faults = 1 + m_random.below(8);
    for (std::uint64_t n = 0; n < faults; ++n)
        m_events.at(Instant(Duration(m_random.below(scheduleMicroseconds))),
                    [this] { injectFault(); });
    m_events.after(Duration::zero(), [this] { runTimers(); });
    m_events.runUntil(Instant(scheduleLength + drainLength));
    m_counts.requests = requestCount;
    for (const TrackedRequest &it : m_requests) {
        m_counts.runTwice += it.engineStarts > 1 ? 1 : 0;
        m_counts.withoutEnding += it.endings == 0 ? 1 : 0;
        m_counts.severalEndings += it.endings > 1 ? 1 : 0;
    }
    return m_counts;
}

// 90% of the messages take 0.3 ms; the others take up to 100 ms, which can exceed the hold time of
// a grant (50 ms).
Duration FaultSystem::randomDelay()
{
    if (withProbability(0.1))
        return Duration(m_random.below(100000));
    return std::chrono::microseconds(300);
}

void FaultSystem::startAgent(std::size_t agent)
{
    Agent &it = m_agents[agent];
    ++it.incarnation;
    it.alive = true;
    it.scheduler = std::make_unique<AgentScheduler>(AgentLimits {},
                                                    welcomeOf(agent, it.incarnation), tiers());
    for (std::size_t entry = 0; entry < entryCount; ++entry)
        openSession(agent, entry);
}

// The engine's remaining requests are dropped before the agent's next incarnation grants any.
void FaultSystem::killAgent(std::size_t agent)
{
    Agent &it = m_agents[agent];
    if (!it.alive)
        return;
    it.alive = false;
    it.scheduler.reset();
    for (std::size_t entry = 0; entry < entryCount; ++entry)
        loseSession(agent, entry);
    m_events.after(std::chrono::milliseconds(200), [this, agent] {
        m_engines[agent]->crash();
        startAgent(agent);
    });
}

void FaultSystem::openSession(std::size_t agent, std::size_t entry)
{
    Agent &it = m_agents[agent];
    if (!it.alive || session(agent, entry) != 0)
        return;
    session(agent, entry) = ++m_lastSession;
    performAgent(agent, it.scheduler->sessionOpened(m_lastSession, {}, now()));
}

// The entry daemon notices the loss at once, the agent after a random delay.
void FaultSystem::loseSession(std::size_t agent, std::size_t entry)
{
    const SessionId lost = session(agent, entry);
    if (lost == 0)
        return;
    session(agent, entry) = 0;
    const std::uint64_t incarnation = m_agents[agent].incarnation;
    const BackendServerId id = welcomeOf(agent, incarnation).backendServer;
    performEntry(entry, m_entries[entry]->disconnected(id, now()));
    m_events.after(randomDelay(), [this, agent, lost, incarnation] {
        Agent &it = m_agents[agent];
        if (it.alive && it.incarnation == incarnation)
            performAgent(agent, it.scheduler->sessionClosed(lost, now()));
    });
    m_events.after(std::chrono::milliseconds(150),
                   [this, agent, entry] { openSession(agent, entry); });
}

void FaultSystem::submit(std::size_t index)
{
    const std::size_t entry = m_random.below(entryCount);
    TrackedRequest &it = m_requests[index];
    it.job.request = {entry + 1, index + 1};
    it.job.promptTokens = 20 + m_random.below(200);
    it.job.outputTokens = 2 + index; // unique, so that a mixed-up answer is detected
    RequestArrival arrival;
    arrival.request = it.job.request;
    arrival.organisation = "reeds";
    arrival.tier = static_cast<TierRank>(m_random.below(3));
    arrival.route = "/orders";
    arrival.model = "reed";
    arrival.promptTokens = it.job.promptTokens;
    arrival.outputTokens = it.job.outputTokens;
    arrival.deadline = now() + std::chrono::milliseconds(300 + m_random.below(4000));
    performEntry(entry, m_entries[entry]->submit(arrival, now()));
    if (withProbability(0.05)) {
        m_events.after(Duration(m_random.below(500000)), [this, entry, id = it.job.request] {
            performEntry(entry, m_entries[entry]->callerDisconnected(id, now()));
        });
    }
}

void FaultSystem::injectFault()
{
    const std::size_t agent = m_random.below(agentCount);
    switch (m_random.below(4)) {
    case 0:
        killAgent(agent);
        break;
    case 1:
        loseSession(agent, m_random.below(entryCount));
        break;
    case 2:
        m_engines[agent]->turnCold();
        break;
    default:
        m_engines[agent]->setSlowdown(withProbability(0.5) ? 10 : 1);
        break;
    }
}

void FaultSystem::engineTokens(std::size_t agent, RequestId request, std::uint64_t count,
                               bool first)
{
    Agent &it = m_agents[agent];
    if (!it.alive)
        return;
    if (first) {
        performAgent(agent, it.scheduler->firstToken(request, now()));
        return;
    }
    // The token stream from the engine breaks.
    if (withProbability(0.001)) {
        performAgent(agent,
                     it.scheduler->serverFailed(request, FailReason::StreamCut, false, now()));
        return;
    }
    performAgent(agent, it.scheduler->tokens(request, count, now()));
}

void FaultSystem::engineFinished(std::size_t agent, RequestId request, const Usage &usage)
{
    ++tracked(request).completed;
    Agent &it = m_agents[agent];
    if (it.alive)
        performAgent(agent, it.scheduler->serverFinished(request, usage, now()));
}

void FaultSystem::engineFailed(std::size_t agent, RequestId request, FailReason reason)
{
    Agent &it = m_agents[agent];
    if (it.alive)
        performAgent(agent, it.scheduler->serverFailed(request, reason, false, now()));
}

void FaultSystem::performAgent(std::size_t agent, const AgentActions &actions)
{
    for (const AgentAction &it : actions) {
        if (const auto *send = std::get_if<SendToEntry>(&it))
            sendToEntry(agent, send->session, send->message);
        else if (const auto *begin = std::get_if<StartOnServer>(&it))
            start(agent, begin->dispatch.request);
        else if (const auto *cancel = std::get_if<CancelOnServer>(&it))
            m_events.after(Duration::zero(), [this, agent, request = cancel->request] {
                m_engines[agent]->cancel(request);
            });
    }
}

void FaultSystem::performEntry(std::size_t entry, const EntryActions &actions)
{
    for (const EntryAction &it : actions) {
        if (const auto *send = std::get_if<SendToAgent>(&it))
            sendToAgent(entry, send->backendServer, send->message);
        else if (const auto *end = std::get_if<EndRequest>(&it))
            recordEndedRequest(*end);
    }
}

void FaultSystem::start(std::size_t agent, RequestId request)
{
    // The engine refuses the connection and never sees the request.
    if (withProbability(0.05)) {
        const std::uint64_t incarnation = m_agents[agent].incarnation;
        m_events.after(randomDelay(), [this, agent, request, incarnation] {
            Agent &it = m_agents[agent];
            if (it.alive && it.incarnation == incarnation)
                performAgent(agent,
                             it.scheduler->serverFailed(request, FailReason::EngineUnreachable,
                                                        true, now()));
        });
        return;
    }
    TrackedRequest &it = tracked(request);
    ++it.engineStarts;
    m_engines[agent]->start(it.job);
}

// Delivers after a random delay, sometimes twice.
template<typename Deliver> void FaultSystem::transmit(Deliver deliver)
{
    m_events.after(randomDelay(), deliver);
    if (withProbability(0.05))
        m_events.after(randomDelay(), deliver);
}

void FaultSystem::sendToEntry(std::size_t agent, SessionId sessionId, const AgentMessage &message)
{
    const BackendServerId id = welcomeOf(agent, m_agents[agent].incarnation).backendServer;
    std::optional<std::size_t> entry;
    for (std::size_t n = 0; n < entryCount; ++n) {
        if (session(agent, n) == sessionId)
            entry = n;
    }
    if (!entry)
        return;
    if (const auto *welcome = std::get_if<Welcome>(&message)) {
        performEntry(*entry, m_entries[*entry]->connected(*welcome, now()));
        return;
    }
    transmit([this, agent, to = *entry, sessionId, id, message] {
        if (session(agent, to) == sessionId)
            performEntry(to, m_entries[to]->handle(id, message, now()));
    });
}

void FaultSystem::sendToAgent(std::size_t entry, const BackendServerId &server,
                              const EntryMessage &message)
{
    const auto agent = static_cast<std::size_t>(server.name.back() - '0');
    const SessionId sessionId = session(agent, entry);
    if (sessionId == 0)
        return;
    transmit([this, agent, sessionId, incarnation = server.incarnation, message] {
        Agent &it = m_agents[agent];
        if (it.alive && it.incarnation == incarnation)
            performAgent(agent, it.scheduler->handle(sessionId, message, now()));
    });
}

void FaultSystem::recordEndedRequest(const EndRequest &end)
{
    TrackedRequest &it = tracked(end.request);
    ++it.endings;
    if (const auto *answered = std::get_if<Answered>(&end.ending)) {
        ++m_counts.answered;
        const bool whole = it.completed == 1 && answered->usage.outputTokens == it.job.outputTokens;
        m_counts.wrongAnswers += whole ? 0 : 1;
    } else if (std::holds_alternative<NotRun>(end.ending)) {
        ++m_counts.notRun;
        m_counts.falseNotRun += it.engineStarts > 0 ? 1 : 0;
    } else {
        ++m_counts.unknown;
    }
}

void FaultSystem::runTimers()
{
    for (std::size_t n = 0; n < entryCount; ++n) {
        if (m_entries[n]->nextWakeTime() <= now())
            performEntry(n, m_entries[n]->tick(now()));
    }
    for (std::size_t n = 0; n < agentCount; ++n) {
        if (m_agents[n].alive && m_agents[n].scheduler->nextWakeTime() <= now())
            performAgent(n, m_agents[n].scheduler->tick(now()));
    }
    if (now() < Instant(scheduleLength + drainLength))
        m_events.after(std::chrono::milliseconds(2), [this] { runTimers(); });
}

} // namespace

FaultCounts &FaultCounts::operator+=(const FaultCounts &other)
{
    requests += other.requests;
    answered += other.answered;
    notRun += other.notRun;
    unknown += other.unknown;
    runTwice += other.runTwice;
    falseNotRun += other.falseNotRun;
    wrongAnswers += other.wrongAnswers;
    withoutEnding += other.withoutEnding;
    severalEndings += other.severalEndings;
    return *this;
}

FaultCounts runFaultSchedule(std::uint64_t seed)
{
    return FaultSystem(seed).run();
}

} // namespace cornelshed::measure
