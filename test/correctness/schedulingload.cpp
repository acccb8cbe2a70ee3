// Guards against many gateways that start requests on a returned server at once, against requests
// and grants for a server that refuses connections, and against queues at servers that are longer
// than allowed. Each case is named after the load or failure that it covers.

#include "directscheduler.h"
#include "slotallocator.h"
#include "stabledigest.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>

using namespace cornelshed;
using namespace std::chrono_literals;

namespace {

const Instant start {1h};
constexpr std::uint32_t slotsPerServer = 7;

BackendRecord server(const std::string &id, std::uint32_t slots = slotsPerServer)
{
    BackendRecord record;
    record.id = id;
    record.service = "writer";
    record.address = "10.0.0.1";
    record.port = 80;
    record.availabilityZone = "a";
    record.version = "v1";
    record.slots = slots;
    return record;
}

DirectRequest request(std::uint64_t gateway, std::uint64_t sequence, Instant now,
                      Duration limit = 2s)
{
    DirectRequest made;
    made.id = {gateway, sequence};
    made.service = "writer";
    made.arrivedAt = now;
    made.waitUntil = now + limit;
    made.promptTokens = 1000;
    return made;
}

DirectSettings settingsOf(bool agents, double serverQueueShare = 0)
{
    DirectSettings settings {"a", 38000, 1.5, 5, agents};
    settings.serverQueueShare = serverQueueShare;
    return settings;
}

template<typename Action> std::vector<Action> actionsOf(DirectScheduler &scheduler, Instant now)
{
    std::vector<Action> found;
    for (const DirectAction &it : scheduler.advance(now)) {
        if (const auto *action = std::get_if<Action>(&it))
            found.push_back(*action);
    }
    return found;
}

using Records = std::vector<BackendRecord>;

void list(DirectScheduler &scheduler, const Records &records, Instant now)
{
    scheduler.setBackends(records, {{"writer", 0}}, now);
}

// A gateway with one request that waits for the agents of "a", which grant nothing.
struct WaitingGateway
{
    WaitingGateway()
    {
        list(scheduler, {server("a")}, start);
        scheduler.agentResponded("a", start);
        scheduler.add(request(1, 1, start));
        scheduler.advance(start);
        scheduler.slotRequestQueued({1, 1}, "a", 9, start + 1ms);
    }

    DirectScheduler scheduler {settingsOf(true)};
};

} // namespace

TEST_CASE("returned server: without an agent it gets its first request after 150 ms")
{
    WaitingGateway gateway;
    const Instant listedAt = start + 10ms;
    list(gateway.scheduler, {server("a"), server("b")}, listedAt);
    for (Duration age = 0ms; age < 150ms; age += 10ms) {
        CHECK(actionsOf<StartAction>(gateway.scheduler, listedAt + age).empty());
        CHECK(gateway.scheduler.countUnavailable(AvailabilityReason::AgentDecides, listedAt + age)
              == 2);
    }
    const auto starts = actionsOf<StartAction>(gateway.scheduler, listedAt + 150ms);
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].backend == "b");
}

TEST_CASE("returned server: it gets slot requests as soon as its agent answers")
{
    WaitingGateway gateway;
    const Instant listedAt = start + 10ms;
    list(gateway.scheduler, {server("a"), server("b")}, listedAt);
    gateway.scheduler.agentResponded("b", listedAt + 20ms);
    const auto slotRequests = actionsOf<RequestSlotAction>(gateway.scheduler, listedAt + 20ms);
    REQUIRE(slotRequests.size() == 1);
    CHECK(slotRequests[0].backend.id == "b");
    // From then on the agent decides, also after the time in which it had to answer.
    gateway.scheduler.slotRequestQueued({1, 1}, "b", 9, listedAt + 21ms);
    CHECK(actionsOf<StartAction>(gateway.scheduler, listedAt + 200ms).empty());
}

TEST_CASE("returned server: listed again, its time does not begin again with each record")
{
    WaitingGateway gateway;
    const Instant listedAt = start + 10ms;
    std::size_t starts = 0;
    for (Duration age = 0ms; age <= 150ms; age += 50ms) {
        list(gateway.scheduler, {server("a"), server("b")}, listedAt + age);
        starts += actionsOf<StartAction>(gateway.scheduler, listedAt + age).size();
    }
    CHECK(starts == 1);
}

TEST_CASE("servers of a service or a gateway without agents are used at once")
{
    DirectScheduler withoutAnswers(settingsOf(true));
    list(withoutAnswers, {server("a", 1)}, start);
    withoutAnswers.add(request(1, 1, start));
    CHECK(actionsOf<StartAction>(withoutAnswers, start).size() == 1);
    withoutAnswers.add(request(1, 2, start));
    CHECK(actionsOf<StartAction>(withoutAnswers, start).empty());
    list(withoutAnswers, {server("a", 1), server("b", 1)}, start + 10ms);
    CHECK(actionsOf<StartAction>(withoutAnswers, start + 10ms).size() == 1);
}

TEST_CASE("crashed server: after a refused connection it gets no slot request for 200 ms")
{
    DirectScheduler scheduler(settingsOf(true));
    list(scheduler, {server("a")}, start);
    scheduler.agentResponded("a", start);
    scheduler.add(request(1, 1, start));
    REQUIRE(actionsOf<RequestSlotAction>(scheduler, start).size() == 1);
    scheduler.slotGranted({1, 1}, "a", start + 1ms);
    REQUIRE(actionsOf<StartAction>(scheduler, start + 1ms).size() == 1);
    scheduler.add(request(1, 2, start + 1ms));
    REQUIRE(actionsOf<RequestSlotAction>(scheduler, start + 1ms).size() == 1);

    const Instant refusedAt = start + 2ms;
    AttemptReport refused {AttemptOutcome::Broken, 1ms, {}};
    refused.connectionRefused = true;
    scheduler.ended({1, 1}, refused, refusedAt);
    CHECK(actionsOf<ReleaseSlotAction>(scheduler, refusedAt)
          == std::vector<ReleaseSlotAction> {{{1, 1}, "a", true, true}});
    CHECK(scheduler.countUnavailable(AvailabilityReason::Down, refusedAt) == 1);

    // A grant that was on its way is given back; it says nothing about the server.
    scheduler.slotGranted({1, 2}, "a", refusedAt + 1ms);
    const auto actions = scheduler.advance(refusedAt + 1ms);
    CHECK(std::count(actions.begin(), actions.end(),
                     DirectAction(ReleaseSlotAction {{1, 2}, "a", true, false}))
          == 1);
    for (Duration age = 1ms; age < 200ms; age += 1ms) {
        scheduler.agentResponded("a", refusedAt + age);
        CHECK(actionsOf<RequestSlotAction>(scheduler, refusedAt + age).empty());
    }
    CHECK(actionsOf<RequestSlotAction>(scheduler, refusedAt + 200ms).size() == 1);
}

// Failure: a crashed server runs nothing, so it seemed the least loaded one; requests waited at its
// agent, which grants nothing.
TEST_CASE("crashed server: when its agent says so, all slot requests there go to others at once")
{
    DirectSettings settings = settingsOf(true);
    settings.initialSlotRequests = 1;
    DirectScheduler scheduler(settings);
    BackendRecord distant = server("b");
    distant.availabilityZone = "z";
    list(scheduler, {server("a"), distant}, start);
    scheduler.agentResponded("a", start);
    scheduler.agentResponded("b", start);
    for (std::uint64_t n = 1; n <= 3; ++n)
        scheduler.add(request(1, n, start));
    REQUIRE(actionsOf<RequestSlotAction>(scheduler, start).size() == 3);
    // An agent without the field says only that they are queued.
    CHECK_FALSE(scheduler.slotRequestQueued({1, 1}, "a", 1, start + 1ms));
    CHECK(scheduler.countUnavailable(AvailabilityReason::Down, start + 1ms) == 0);
    CHECK(actionsOf<ReleaseSlotAction>(scheduler, start + 1ms).empty());

    const Instant toldAt = start + 2ms;
    CHECK(scheduler.slotRequestQueued({1, 2}, "a", 2, toldAt, true));
    // The answers to the others change nothing more.
    CHECK_FALSE(scheduler.slotRequestQueued({1, 3}, "a", 3, toldAt, true));
    const auto actions = scheduler.advance(toldAt);
    REQUIRE(actions.size() == 6);
    for (std::uint64_t n = 1; n <= 3; ++n) {
        CHECK(actions[n - 1] == DirectAction(ReleaseSlotAction {{1, n}, "a", true, false}));
        CHECK(std::get<RequestSlotAction>(actions[n + 2]).backend.id == "b");
    }

    // A request that has left is released, too; the answer to it renews the backoff.
    scheduler.remove({1, 3});
    scheduler.advance(toldAt);
    for (std::uint64_t n = 1; n <= 2; ++n)
        scheduler.slotRequestQueued({1, n}, "b", 9, toldAt);
    scheduler.slotRequestQueued({1, 3}, "a", 3, toldAt + 1ms, true);
    CHECK(actionsOf<ReleaseSlotAction>(scheduler, toldAt + 1ms)
          == std::vector<ReleaseSlotAction> {{{1, 3}, "a", true, false}});
    for (Duration age = 2ms; age <= 200ms; age += 1ms) {
        scheduler.agentResponded("a", toldAt + age);
        CHECK(actionsOf<RequestSlotAction>(scheduler, toldAt + age).empty());
    }
    // Then the agent gets slot requests again, one of which may become its probe.
    const auto again = actionsOf<RequestSlotAction>(scheduler, toldAt + 201ms);
    REQUIRE(again.size() == 2);
    CHECK(again[0].backend.id == "a");
}

TEST_CASE("crashed server without an agent: it gets no request for 200 ms, others do")
{
    DirectScheduler scheduler(settingsOf(false));
    list(scheduler, {server("a")}, start);
    scheduler.add(request(1, 1, start));
    REQUIRE(actionsOf<StartAction>(scheduler, start).size() == 1);
    AttemptReport refused {AttemptOutcome::Broken, 1ms, {}};
    refused.connectionRefused = true;
    scheduler.ended({1, 1}, refused, start);
    scheduler.add(request(1, 2, start));
    CHECK(actionsOf<StartAction>(scheduler, start + 199ms).empty());
    list(scheduler, {server("a"), server("b")}, start + 199ms);
    const auto starts = actionsOf<StartAction>(scheduler, start + 199ms);
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].backend == "b");
    scheduler.add(request(1, 3, start + 199ms));
    scheduler.add(request(1, 4, start + 200ms));
    CHECK(actionsOf<StartAction>(scheduler, start + 200ms).size() == 2);
}

TEST_CASE("a connection that broke after it was made keeps nothing away and is no refusal")
{
    DirectScheduler scheduler(settingsOf(true));
    list(scheduler, {server("a")}, start);
    scheduler.agentResponded("a", start);
    scheduler.add(request(1, 1, start));
    REQUIRE(actionsOf<RequestSlotAction>(scheduler, start).size() == 1);
    scheduler.slotGranted({1, 1}, "a", start + 1ms);
    scheduler.advance(start + 1ms);
    scheduler.ended({1, 1}, {AttemptOutcome::Broken, 1ms, {}}, start + 2ms);
    CHECK(actionsOf<ReleaseSlotAction>(scheduler, start + 2ms)
          == std::vector<ReleaseSlotAction> {{{1, 1}, "a", false, false}});
    CHECK(scheduler.countUnavailable(AvailabilityReason::Down, start + 2ms) == 0);
}

namespace {

// The gateways of a deployment and the agents of its servers. Messages between them take 1 ms.
class GatewaysWithAgents
{
public:
    static constexpr std::uint32_t gatewayCount = 27;
    static constexpr Duration messageDelay = 1ms;

    explicit GatewaysWithAgents(Records listed) : m_records(std::move(listed))
    {
        for (std::uint32_t i = 0; i < gatewayCount; ++i) {
            m_gateways.push_back(std::make_unique<DirectScheduler>(settingsOf(true)));
            m_gateways.back()->setGateways(gatewayCount, i);
            list(*m_gateways.back(), m_records, start);
        }
        for (const BackendRecord &it : m_records)
            addAgent(it.id, start);
    }

    // The agent answers to each gateway after the delay.
    void addAgent(const std::string &id, Instant now, Duration delay = 0ms)
    {
        m_agents.try_emplace(id, start - 1s);
        for (std::uint32_t i = 0; i < gatewayCount; ++i)
            m_messages.emplace(now + delay, [this, i, id](Instant at) {
                m_gateways[i]->agentResponded(id, at);
            });
    }

    void listAlso(const std::string &id, Instant now)
    {
        m_records.push_back(server(id));
        for (const auto &it : m_gateways)
            list(*it, m_records, now);
    }

    // All servers leave the list; a moment later, another one is in it.
    void replaceAll(const std::string &id, Instant now)
    {
        m_records.clear();
        for (const auto &it : m_gateways)
            list(*it, m_records, now);
        run(now, now + 50ms);
        listAlso(id, now + 50ms);
    }

    void addRequests(std::size_t perGateway, Instant now)
    {
        for (std::uint32_t i = 0; i < gatewayCount; ++i) {
            for (std::size_t n = 0; n < perGateway; ++n)
                m_gateways[i]->add(request(i + 1, ++m_sequence, now, 10s));
        }
    }

    void run(Instant from, Instant end)
    {
        for (Instant now = from; now < end; now += 1ms) {
            while (!m_messages.empty() && m_messages.begin()->first <= now) {
                const auto deliver = m_messages.begin()->second;
                m_messages.erase(m_messages.begin());
                deliver(now);
            }
            for (std::uint32_t i = 0; i < gatewayCount; ++i) {
                for (const DirectAction &it : m_gateways[i]->advance(now))
                    perform(i, it, now);
            }
            for (auto &[id, allocator] : m_agents) {
                std::map<std::uint64_t, std::vector<std::uint64_t>> held;
                for (const RequestId &it : m_running[id])
                    held[it.entryIncarnation].push_back(it.sequence);
                for (const auto &[gateway, sequences] : held)
                    allocator.renew(gateway, sequences, now);
                sendGrants(id, allocator, now);
            }
        }
    }

    std::size_t peakOn(const std::string &id) const
    {
        const auto it = m_peaks.find(id);
        return it == m_peaks.end() ? 0 : it->second;
    }

private:
    void perform(std::uint32_t gateway, const DirectAction &action, Instant now)
    {
        if (const auto *started = std::get_if<StartAction>(&action)) {
            auto &running = m_running[started->backend];
            running.push_back(started->request);
            m_peaks[started->backend] = std::max(m_peaks[started->backend], running.size());
        } else if (const auto *asked = std::get_if<RequestSlotAction>(&action)) {
            requestSlot(gateway, *asked, now);
        } else if (const auto *released = std::get_if<ReleaseSlotAction>(&action)) {
            m_messages.emplace(now + messageDelay, [this, it = *released](Instant) {
                if (const auto agent = m_agents.find(it.backend); agent != m_agents.end())
                    agent->second.release({it.request.entryIncarnation, it.request.sequence},
                                          it.unused);
            });
        }
    }

    void requestSlot(std::uint32_t gateway, const RequestSlotAction &action, Instant now)
    {
        m_messages.emplace(now + messageDelay, [this, gateway, action](Instant at) {
            const auto agent = m_agents.find(action.backend.id);
            if (agent == m_agents.end())
                return;
            const RequestId id = action.request.id;
            const SlotKey key {id.entryIncarnation, id.sequence};
            agent->second.requestSlot({key, action.request.order, action.request.reservedSlots,
                                       action.backend.slots, 0, 10s},
                                      at);
            sendGrants(action.backend.id, agent->second, at);
            if (!agent->second.isQueued(key))
                return;
            const std::uint32_t ahead = agent->second.ahead(key);
            m_messages.emplace(at + messageDelay,
                               [this, gateway, id, backend = action.backend.id, ahead](Instant t) {
                                   m_gateways[gateway]->slotRequestQueued(id, backend, ahead, t);
                               });
        });
    }

    void sendGrants(const std::string &id, SlotAllocator &allocator, Instant now)
    {
        for (const SlotKey &key : allocator.advance(now)) {
            m_messages.emplace(now + messageDelay, [this, id, key](Instant at) {
                m_gateways[key.gateway - 1]->slotGranted({key.gateway, key.sequence}, id, at);
            });
        }
    }

    Records m_records;
    std::vector<std::unique_ptr<DirectScheduler>> m_gateways;
    std::map<std::string, SlotAllocator> m_agents;
    std::multimap<Instant, std::function<void(Instant)>> m_messages;
    std::map<std::string, std::vector<RequestId>> m_running; // none ends
    std::map<std::string, std::size_t> m_peaks;
    std::uint64_t m_sequence = 0;
};

} // namespace

// Pattern: late binding (Sparrow): a request is bound to the server that has a slot for it, and not
// by what a gateway supposes of it. Load: 640 requests ran on returned servers for 345.
TEST_CASE("many gateways: a returned server gets as many requests as it has slots")
{
    GatewaysWithAgents fleet({server("a"), server("b"), server("c")});
    fleet.run(start, start + 20ms);
    fleet.addRequests(5, start + 20ms);
    fleet.run(start + 20ms, start + 200ms);
    for (const char *id : {"a", "b", "c"})
        CHECK(fleet.peakOn(id) == slotsPerServer);
    fleet.listAlso("returned", start + 200ms);
    fleet.addAgent("returned", start + 200ms, 20ms);
    fleet.run(start + 200ms, start + 700ms);
    CHECK(fleet.peakOn("returned") == slotsPerServer);
}

TEST_CASE("many gateways: the only servers of a service come back, each with its agent")
{
    GatewaysWithAgents fleet({server("a")});
    fleet.run(start, start + 20ms);
    fleet.addRequests(5, start + 20ms);
    fleet.run(start + 20ms, start + 100ms);
    fleet.replaceAll("returned", start + 100ms);
    fleet.addAgent("returned", start + 150ms, 20ms);
    fleet.run(start + 150ms, start + 700ms);
    CHECK(fleet.peakOn("returned") == slotsPerServer);
}

namespace {

// Starts on a plain server with six slots, of requests that may wait for this time.
std::size_t startsOnPlainServer(double share, Duration limit, std::size_t peerRunning = 0)
{
    DirectScheduler scheduler(settingsOf(true, share));
    list(scheduler, {server("s", 6)}, start);
    if (peerRunning > 0)
        scheduler.peerReport(7, {{stableDigest("s"), static_cast<std::uint32_t>(peerRunning), 0}},
                             start);
    std::size_t starts = 0;
    for (std::uint64_t n = 1; n <= 40; ++n) {
        scheduler.add(request(1, n, start, limit));
        starts += actionsOf<StartAction>(scheduler, start).size();
    }
    return starts;
}

} // namespace

// Load: requests of a plain service were refused beside free slots, as they run for less time than
// a report of the peers takes.
TEST_CASE("plain server: requests queue there for a part of the time that they may wait")
{
    // A request runs for 0.3 s, as long as none has ended. A third of the limit is 0.15 s: half a
    // batch.
    CHECK(startsOnPlainServer(1.0 / 3, 450ms) == 9);
    CHECK(startsOnPlainServer(1.0 / 3, 100ms) == 6);
    CHECK(startsOnPlainServer(1.0 / 3, 450ms, 4) == 5); // what the peers run counts
}

TEST_CASE("plain server: never more than twice its slots, however long a request may wait")
{
    for (const double share : {0.1, 0.33, 1.0}) {
        for (const Duration limit : {1s, 10s, 1000s}) {
            CAPTURE(share);
            CHECK(startsOnPlainServer(share, limit) <= 12);
        }
    }
    CHECK(startsOnPlainServer(1, 1000s) == 12);
}

TEST_CASE("plain server: with a share of zero never more than its slots")
{
    CHECK(startsOnPlainServer(0, 450ms) == 6);
    CHECK(startsOnPlainServer(0, 1000s) == 6);
    CHECK(startsOnPlainServer(0, 1000s, 4) == 2);
}

TEST_CASE("a service whose agents were ever heard gets no queue at its servers")
{
    DirectScheduler scheduler(settingsOf(true, 1));
    list(scheduler, {server("a", 6)}, start);
    scheduler.agentResponded("a", start);
    // The agent is gone, and the server that replaces it has none.
    list(scheduler, {}, start + 20s);
    list(scheduler, {server("b", 6)}, start + 20s);
    const Instant now = start + 21s;
    std::size_t starts = 0;
    for (std::uint64_t n = 1; n <= 40; ++n) {
        scheduler.add(request(1, n, now, 1000s));
        starts += actionsOf<StartAction>(scheduler, now).size();
    }
    CHECK(starts == 6);
}
