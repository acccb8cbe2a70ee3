// The system under test: entry schedulers and agent schedulers of the decision library, connected
// by delayed messages, on the engines of the run.

#include "system.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>

namespace cornelshed::measure {

namespace {

constexpr Duration loadReportSampleInterval = std::chrono::milliseconds(200);

// Shortest delay of a scheduler timer.
constexpr Duration timerResolution = std::chrono::microseconds(100);

std::vector<TierSettings> tiers()
{
    return {{"gold", 0, 0}, {"silver", 1, 0.05}, {"bronze", 2, 0.02}};
}

// A configuration change reaches every process within this time.
constexpr Duration maximumConfigurationDelay = std::chrono::seconds(2);

// Requests may still start in a zone for this time after its withdrawal.
constexpr Duration withdrawalGracePeriod = std::chrono::seconds(3);

std::string zoneName(std::size_t zone)
{
    return "zone-" + std::to_string(zone);
}

std::shared_ptr<const RoutingView> routingView(const std::vector<bool> &withdrawn)
{
    auto configuration = std::make_shared<Configuration>();
    configuration->version = 1;
    configuration->tiers = tiers();
    for (std::size_t zone = 0; zone < withdrawn.size(); ++zone) {
        const auto state =
                withdrawn[zone] ? AvailabilityZoneState::Withdrawn : AvailabilityZoneState::Serving;
        configuration->availabilityZones.push_back({zoneName(zone), "region", state});
    }
    PoolSettings pool;
    pool.name = "writers";
    pool.models = {"reed"};
    configuration->pools = {pool};
    RouteSettings route;
    route.path = "/v1/completions";
    route.pools = {"writers"};
    configuration->routes = {route};
    auto view = std::make_shared<RoutingView>();
    view->configuration = configuration;
    return view;
}

Welcome welcomeOf(std::size_t agent, std::size_t zoneCount)
{
    Welcome welcome;
    welcome.backendServer = {"runner-" + std::to_string(agent), agent + 1};
    welcome.pool = "writers";
    welcome.availabilityZone = zoneName(agent % zoneCount);
    welcome.version = "1";
    welcome.models = {"reed"};
    return welcome;
}

// Pending wake-up of a scheduler. An earlier wake-up replaces it; a later one is scheduled when it
// has run.
struct Timer
{
    Instant at = instantNever;
};

using TierCounts = std::array<std::uint64_t, 3>;

bool lowerTierWaiting(const TierCounts &counts, TierRank tier)
{
    for (std::size_t n = tier + 1; n < counts.size(); ++n) {
        if (counts[n] > 0)
            return true;
    }
    return false;
}

class CornelshedSystem final : public System
{
public:
    explicit CornelshedSystem(Run &run);

    void submit(std::size_t index) override;
    void tokens(std::size_t agent, RequestId request, std::uint64_t count, bool first) override;
    void finished(std::size_t agent, RequestId request, const Usage &usage) override;
    void failed(std::size_t agent, RequestId request, FailReason reason) override;
    void addSystemCounts(Counts &counts) override;

private:
    struct Entry
    {
        std::unique_ptr<EntryScheduler> scheduler;
        Timer timer;
        TierCounts waiting {};
    };

    struct Agent
    {
        std::unique_ptr<AgentScheduler> scheduler;
        Timer timer;
        std::map<RequestId, TierRank> reserved; // reservations in this agent's queue
        TierCounts waiting {};
        std::deque<std::pair<Instant, LoadReport>> reports; // load report samples, oldest first
    };

    struct ShedRecord
    {
        Instant at;
        TierRank tier = 0;
    };

    Instant now() const { return m_run.events.now(); }
    TierRank tierOf(RequestId request) const { return m_run.workload[indexOf(request)].tier; }

    void connect();
    void changeZone(const ZoneChange &change);
    // Replaces the engine by a cold one; its agent finds it unreachable and then reachable.
    void restartEngine(std::size_t agent);
    // True if the agent's zone was withdrawn at least withdrawalGracePeriod ago.
    bool withdrawalInForce(std::size_t agent) const;
    void sampleLoadReports();
    void perform(std::size_t agent, const AgentActions &actions);
    void perform(std::size_t entry, const EntryActions &actions);
    void deliver(std::size_t agent, std::size_t entry, AgentMessage message);
    void deliver(std::size_t entry, const BackendServerId &server, const EntryMessage &message);
    void trackReservation(std::size_t agent, const AgentMessage &message);
    void trackReservation(std::size_t agent, const EntryMessage &message);
    void removeReservation(Agent &agent, RequestId request);
    void recordEndedRequest(std::size_t entry, const EndRequest &end);
    void delayLoadReport(Agent &agent, AgentMessage &message) const;
    void scheduleAgentTimer(std::size_t agent);
    void scheduleEntryTimer(std::size_t entry);

    Run &m_run;
    std::vector<Entry> m_entries;
    std::vector<Agent> m_agents;
    std::vector<Instant> m_dispatchedAt; // by index in the workload; instantNever: not dispatched
    std::vector<ShedRecord> m_sheds;
    std::uint64_t m_localShedInversions = 0;
    std::vector<bool> m_withdrawn;         // by zone
    std::vector<Instant> m_withdrawnSince; // by zone; valid only while withdrawn
    std::uint64_t m_withdrawnStarts = 0;
};

CornelshedSystem::CornelshedSystem(Run &run)
    : m_run(run), m_entries(run.scenario.entryDaemonCount), m_agents(run.fleet.size()),
      m_dispatchedAt(run.workload.size(), instantNever), m_withdrawn(run.scenario.zoneCount),
      m_withdrawnSince(run.scenario.zoneCount)
{
    const auto view = routingView(m_withdrawn);
    for (Entry &it : m_entries)
        it.scheduler = std::make_unique<EntryScheduler>(run.scenario.entryLimits, view, run.random);
    for (std::size_t n = 0; n < m_agents.size(); ++n)
        m_agents[n].scheduler = std::make_unique<AgentScheduler>(
                run.scenario.agentLimits, welcomeOf(n, run.scenario.zoneCount), tiers());
    connect();
    if (run.scenario.loadReportAge > Duration::zero())
        sampleLoadReports();
    for (const ZoneChange &it : run.scenario.zoneChanges)
        run.events.at(Instant(it.at), [this, it] { changeZone(it); });
}

// Each process receives the change after its own random delay.
void CornelshedSystem::changeZone(const ZoneChange &change)
{
    m_withdrawn[change.zone] = change.withdrawn;
    m_withdrawnSince[change.zone] = now();
    const auto view = routingView(m_withdrawn);
    const auto randomDelay = [this] {
        return Duration(m_run.random.below(maximumConfigurationDelay.count()));
    };
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        m_run.events.after(randomDelay(), [this, entry, view] {
            perform(entry, m_entries[entry].scheduler->setView(view, now()));
        });
    }
    for (std::size_t agent = 0; agent < m_agents.size(); ++agent) {
        m_run.events.after(randomDelay(), [this, agent, view] {
            perform(agent,
                    m_agents[agent].scheduler->setConfiguration(*view->configuration, now()));
        });
        if (!change.withdrawn && agent % m_withdrawn.size() == change.zone)
            restartEngine(agent);
    }
}

void CornelshedSystem::restartEngine(std::size_t agent)
{
    m_run.fleet.turnCold(agent);
    perform(agent, m_agents[agent].scheduler->serverReachable(false, now()));
    perform(agent, m_agents[agent].scheduler->serverReachable(true, now()));
}

bool CornelshedSystem::withdrawalInForce(std::size_t agent) const
{
    const std::size_t zone = agent % m_withdrawn.size();
    return m_withdrawn[zone] && now() >= m_withdrawnSince[zone] + withdrawalGracePeriod;
}

void CornelshedSystem::connect()
{
    for (std::size_t agent = 0; agent < m_agents.size(); ++agent) {
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
            Hello hello;
            hello.entry = "entry-" + std::to_string(entry);
            perform(agent, m_agents[agent].scheduler->sessionOpened(entry + 1, hello, now()));
        }
    }
}

void CornelshedSystem::sampleLoadReports()
{
    for (Agent &it : m_agents) {
        it.reports.emplace_back(now(), it.scheduler->load());
        while (it.reports.size() > 1 && it.reports[1].first + m_run.scenario.loadReportAge <= now())
            it.reports.pop_front();
    }
    if (now() < Instant(m_run.scenario.workload.length))
        m_run.events.after(loadReportSampleInterval, [this] { sampleLoadReports(); });
}

void CornelshedSystem::submit(std::size_t index)
{
    const SimulatedRequest &request = m_run.workload[index];
    const std::size_t entry = m_run.random.below(m_entries.size());
    RequestArrival arrival;
    arrival.request = {entry + 1, index + 1};
    arrival.organisation = request.organisation;
    arrival.tier = request.tier;
    arrival.route = "/v1/completions";
    arrival.model = "reed";
    arrival.promptTokens = request.job.promptTokens;
    arrival.outputTokens = request.expectedOutputTokens;
    arrival.deadline = request.arrival + request.deadline;
    arrival.prefixHashes = request.job.prefixHashes;
    arrival.prefixTokensPerHash = request.job.prefixTokensPerHash;
    ++m_entries[entry].waiting[request.tier];
    perform(entry, m_entries[entry].scheduler->submit(arrival, now()));
}

void CornelshedSystem::tokens(std::size_t agent, RequestId request, std::uint64_t count, bool first)
{
    if (first) {
        deliver(agent, request.entryIncarnation - 1, Chunk {request, {}});
        m_run.recorder.recordFirstToken(indexOf(request), now() + m_run.scenario.messageDelay);
    }
    AgentScheduler &scheduler = *m_agents[agent].scheduler;
    perform(agent,
            first ? scheduler.firstToken(request, now()) : scheduler.tokens(request, count, now()));
}

void CornelshedSystem::finished(std::size_t agent, RequestId request, const Usage &usage)
{
    perform(agent, m_agents[agent].scheduler->serverFinished(request, usage, now()));
}

void CornelshedSystem::failed(std::size_t agent, RequestId request, FailReason reason)
{
    perform(agent, m_agents[agent].scheduler->serverFailed(request, reason, false, now()));
}

void CornelshedSystem::perform(std::size_t agent, const AgentActions &actions)
{
    for (const AgentAction &it : actions) {
        if (const auto *send = std::get_if<SendToEntry>(&it)) {
            trackReservation(agent, send->message);
            deliver(agent, send->session - 1, send->message);
        } else if (const auto *start = std::get_if<StartOnServer>(&it)) {
            m_withdrawnStarts += withdrawalInForce(agent) ? 1 : 0;
            m_run.fleet.start(agent, start->dispatch.request);
        } else if (const auto *cancel = std::get_if<CancelOnServer>(&it)) {
            const RequestId request = cancel->request;
            m_run.events.after(Duration::zero(),
                               [this, agent, request] { m_run.fleet.cancel(agent, request); });
        }
    }
    scheduleAgentTimer(agent);
}

void CornelshedSystem::perform(std::size_t entry, const EntryActions &actions)
{
    for (const EntryAction &it : actions) {
        if (const auto *send = std::get_if<SendToAgent>(&it))
            deliver(entry, send->backendServer, send->message);
        else if (const auto *end = std::get_if<EndRequest>(&it))
            recordEndedRequest(entry, *end);
    }
    scheduleEntryTimer(entry);
}

void CornelshedSystem::deliver(std::size_t agent, std::size_t entry, AgentMessage message)
{
    delayLoadReport(m_agents[agent], message);
    const BackendServerId id = welcomeOf(agent, m_withdrawn.size()).backendServer;
    m_run.events.after(m_run.scenario.messageDelay, [this, entry, id, message] {
        EntryScheduler &scheduler = *m_entries[entry].scheduler;
        if (const auto *welcome = std::get_if<Welcome>(&message))
            perform(entry, scheduler.connected(*welcome, now()));
        else
            perform(entry, scheduler.handle(id, message, now()));
    });
}

void CornelshedSystem::deliver(std::size_t entry, const BackendServerId &server,
                               const EntryMessage &message)
{
    const std::size_t agent = server.incarnation - 1;
    if (const auto *dispatch = std::get_if<Dispatch>(&message)) {
        m_dispatchedAt[indexOf(dispatch->request)] = now();
        --m_entries[entry].waiting[tierOf(dispatch->request)];
    }
    m_run.events.after(m_run.scenario.messageDelay, [this, entry, agent, message] {
        trackReservation(agent, message);
        perform(agent, m_agents[agent].scheduler->handle(entry + 1, message, now()));
    });
}

// Keeps a copy of the agent's reservation queue from the messages that it receives and sends. A
// grant, a rejection or a withdrawal ends a reservation.
void CornelshedSystem::trackReservation(std::size_t agent, const AgentMessage &message)
{
    Agent &it = m_agents[agent];
    if (const auto *grant = std::get_if<Grant>(&message))
        removeReservation(it, grant->request);
    const auto *reject = std::get_if<Reject>(&message);
    if (reject == nullptr)
        return;
    removeReservation(it, reject->request);
    if (reject->reason == RejectReason::Shed
        && lowerTierWaiting(it.waiting, tierOf(reject->request)))
        ++m_localShedInversions;
}

void CornelshedSystem::trackReservation(std::size_t agent, const EntryMessage &message)
{
    Agent &it = m_agents[agent];
    if (const auto *reserve = std::get_if<Reserve>(&message)) {
        if (it.reserved.emplace(reserve->request, reserve->tier).second)
            ++it.waiting[reserve->tier];
    }
    if (const auto *withdraw = std::get_if<Withdraw>(&message))
        removeReservation(it, withdraw->request);
}

void CornelshedSystem::removeReservation(Agent &agent, RequestId request)
{
    const auto it = agent.reserved.find(request);
    if (it == agent.reserved.end())
        return;
    --agent.waiting[it->second];
    agent.reserved.erase(it);
}

void CornelshedSystem::recordEndedRequest(std::size_t entry, const EndRequest &end)
{
    const std::size_t index = indexOf(end.request);
    const TierRank tier = tierOf(end.request);
    if (m_dispatchedAt[index] == instantNever)
        --m_entries[entry].waiting[tier];
    if (std::holds_alternative<Answered>(end.ending))
        m_run.recorder.recordOutcome(index, RequestOutcome::Answered, now());
    else if (std::holds_alternative<Unknown>(end.ending))
        m_run.recorder.recordOutcome(index, RequestOutcome::Unknown, now());
    const auto *notRun = std::get_if<NotRun>(&end.ending);
    if (notRun == nullptr)
        return;
    m_run.recorder.recordOutcome(index, RequestOutcome::NotRun, now());
    if (notRun->reason != NotRunReason::WaitingLimit)
        return;
    m_sheds.push_back({now(), tier});
    if (lowerTierWaiting(m_entries[entry].waiting, tier))
        ++m_localShedInversions;
}

// Replaces the load report in the message by an older one.
void CornelshedSystem::delayLoadReport(Agent &agent, AgentMessage &message) const
{
    if (agent.reports.empty())
        return;
    std::visit(
            [&](auto &it) {
                if constexpr (requires { it.load; })
                    it.load = agent.reports.front().second;
            },
            message);
}

void CornelshedSystem::scheduleAgentTimer(std::size_t agent)
{
    Agent &it = m_agents[agent];
    const Instant wake = it.scheduler->nextWakeTime();
    if (wake >= it.timer.at || wake == instantNever)
        return;
    const Instant at = std::max(wake, now() + timerResolution);
    it.timer.at = at;
    m_run.events.at(at, [this, agent, at] {
        if (m_agents[agent].timer.at != at)
            return;
        m_agents[agent].timer.at = instantNever;
        perform(agent, m_agents[agent].scheduler->tick(now()));
    });
}

void CornelshedSystem::scheduleEntryTimer(std::size_t entry)
{
    Entry &it = m_entries[entry];
    const Instant wake = it.scheduler->nextWakeTime();
    if (wake >= it.timer.at || wake == instantNever)
        return;
    const Instant at = std::max(wake, now() + timerResolution);
    it.timer.at = at;
    m_run.events.at(at, [this, entry, at] {
        if (m_entries[entry].timer.at != at)
            return;
        m_entries[entry].timer.at = instantNever;
        perform(entry, m_entries[entry].scheduler->tick(now()));
    });
}

void CornelshedSystem::addSystemCounts(Counts &counts)
{
    counts.sheds = m_sheds.size();
    counts.withdrawnStarts = m_withdrawnStarts;
    counts.localShedInversions = m_localShedInversions;
    for (const ShedRecord &shed : m_sheds) {
        bool inverted = false;
        for (std::size_t n = 0; n < m_run.workload.size() && !inverted; ++n) {
            const SimulatedRequest &it = m_run.workload[n];
            if (it.arrival > shed.at)
                break;
            inverted = it.tier > shed.tier && m_dispatchedAt[n] != instantNever
                    && m_dispatchedAt[n] > shed.at;
        }
        counts.globalShedInversions += inverted ? 1 : 0;
    }
}

} // namespace

std::unique_ptr<System> makeCornelshed(Run &run)
{
    return std::make_unique<CornelshedSystem>(run);
}

} // namespace cornelshed::measure
