// Guards against requests of higher priority that wait behind lower ones, backend servers that get
// more requests than they can run or requests that they must not get, and requests that are lost
// between the queue and the admission agents. Each case is named after the load pattern it covers.

#include "directscheduler.h"
#include "slotallocator.h"
#include "stabledigest.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <memory>

using namespace cornelshed;
using namespace std::chrono_literals;

namespace {

const Instant start {1h};

BackendRecord server(const std::string &id, std::uint32_t slots = 6, const std::string &zone = "a")
{
    BackendRecord record;
    record.id = id;
    record.service = "writer";
    record.address = "10.0.0." + std::to_string(stableDigest(id) % 250);
    record.port = 80;
    record.availabilityZone = zone;
    record.version = "v1";
    record.slots = slots;
    return record;
}

DirectRequest request(std::uint64_t sequence, TierRank rank, Instant now,
                      std::uint32_t reservedSlots = 0)
{
    DirectRequest made;
    made.id = {1, sequence};
    made.service = "writer";
    made.order = rank;
    made.reservedSlots = reservedSlots;
    made.arrivedAt = now;
    made.waitUntil = now + 500ms;
    made.promptTokens = 1000;
    return made;
}

class Harness
{
public:
    explicit Harness(const std::vector<BackendRecord> &records) : scheduler({"a", 38000, 1.5, 5})
    {
        scheduler.setBackends(records, {{"writer", 0}}, start);
    }

    // Actions of one kind.
    template<typename Action> std::vector<Action> advance(Instant now)
    {
        std::vector<Action> found;
        for (const DirectAction &it : scheduler.advance(now)) {
            if (const auto *action = std::get_if<Action>(&it))
                found.push_back(*action);
        }
        return found;
    }

    std::vector<std::uint64_t> started(Instant now)
    {
        std::vector<std::uint64_t> sequences;
        for (const StartAction &it : advance<StartAction>(now))
            sequences.push_back(it.request.sequence);
        return sequences;
    }

    DirectScheduler scheduler;
};

using Sequences = std::vector<std::uint64_t>;

} // namespace

TEST_CASE("burst over all slots: the higher priority starts first, even if it arrived later")
{
    Harness harness({server("s", 1)});
    harness.scheduler.add(request(1, 2, start));
    harness.scheduler.add(request(2, 0, start));
    CHECK(harness.started(start) == Sequences {2});
    harness.scheduler.ended({1, 2}, {AttemptOutcome::Answered, 100ms, {}}, start + 100ms);
    CHECK(harness.started(start + 100ms) == Sequences {1});
}

TEST_CASE("requests that must leave a slot free do not block a request that may use it")
{
    Harness harness({server("s", 3)});
    for (std::uint64_t n = 1; n <= 3; ++n)
        harness.scheduler.add(request(n, 1, start, 1));
    CHECK(harness.started(start) == Sequences {1, 2});
    // It is ordered behind the waiting one, like a request of a less urgent organisation.
    harness.scheduler.add(request(4, 5, start + 1ms, 0));
    CHECK(harness.started(start + 1ms) == Sequences {4});
}

TEST_CASE("a request is refused on arrival if the queue is too long, else when its limit passes")
{
    Harness harness({server("s", 1)});
    harness.scheduler.add(request(0, 0, start));
    CHECK(harness.started(start) == Sequences {0});
    Sequences refusedAtOnce;
    for (std::uint64_t n = 1; n <= 10; ++n) {
        harness.scheduler.add(request(n, 0, start));
        for (const RefuseAction &it : harness.advance<RefuseAction>(start)) {
            CHECK(it.reason == RefusalReason::QueueTooLong);
            CHECK(it.retryAfter > 0ms);
            refusedAtOnce.push_back(it.request.sequence);
        }
    }
    CHECK(refusedAtOnce.size() >= 8);
    const auto late = harness.advance<RefuseAction>(start + 500ms);
    REQUIRE(late.size() + refusedAtOnce.size() == 10);
    for (const RefuseAction &it : late)
        CHECK(it.reason == RefusalReason::WaitedTooLong);
    CHECK(harness.scheduler.waiting() == 0);
}

TEST_CASE(
        "busiest seconds: a gateway that was held up starts no request after its caller's deadline")
{
    Harness harness({server("a", 1)});
    harness.scheduler.add(request(1, 0, start));
    CHECK(harness.started(start) == Sequences {1});
    DirectRequest waiting = request(2, 0, start);
    waiting.waitUntil = start + 100ms;
    waiting.deadline = start + 100ms;
    harness.scheduler.add(waiting);
    CHECK(harness.started(start + 1ms).empty());
    // Held up from here on: the end of the first request is noticed only after the deadline.
    harness.scheduler.ended({1, 1}, {AttemptOutcome::Answered, 200ms, {}}, start + 200ms);
    const auto actions = harness.scheduler.advance(start + 200ms);
    REQUIRE(actions.size() == 1);
    CHECK(std::holds_alternative<RefuseAction>(actions[0]));

    // The same for the grant of an agent.
    harness.scheduler.agentResponded("a", start + 200ms);
    DirectRequest asking = request(3, 0, start + 200ms);
    asking.deadline = asking.waitUntil = start + 300ms;
    harness.scheduler.add(asking);
    CHECK(harness.advance<RequestSlotAction>(start + 200ms).size() == 1);
    harness.scheduler.slotGranted({1, 3}, "a", start + 400ms);
    const auto afterGrant = harness.scheduler.advance(start + 400ms);
    CHECK(std::count(afterGrant.begin(), afterGrant.end(),
                     DirectAction(ReleaseSlotAction {{1, 3}, "a", true}))
          == 1);
    for (const DirectAction &it : afterGrant)
        CHECK_FALSE(std::holds_alternative<StartAction>(it));
}

TEST_CASE("slots that peers use are not assigned until the reports of the peers expire")
{
    Harness harness({server("s", 2)});
    harness.scheduler.peerReport(7, {{stableDigest("s"), 2, 0}}, start);
    harness.scheduler.add(request(1, 0, start));
    CHECK(harness.started(start).empty());
    auto later = request(2, 0, start + 3s);
    harness.scheduler.remove({1, 1});
    harness.scheduler.add(later);
    CHECK(harness.started(start + 3s) == Sequences {2});
}

TEST_CASE("draining, withdrawn, excluded and misdirected backend servers get no requests")
{
    auto draining = server("draining");
    draining.draining = true;
    Harness harness({draining, server("withdrawn", 6, "b"), server("excluded"), server("moved")});
    harness.scheduler.setWithdrawnZones({"b"});
    auto first = request(1, 0, start);
    first.excluded = {"excluded"};
    harness.scheduler.add(first);
    const auto starts = harness.advance<StartAction>(start);
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].backend == "moved");
    harness.scheduler.ended({1, 1}, {AttemptOutcome::Misdirected, 1ms, {}}, start + 1ms);
    auto second = request(2, 0, start + 1s);
    second.excluded = {"excluded"};
    harness.scheduler.add(second);
    CHECK(harness.advance<StartAction>(start + 1s).empty());
    // A record with a new start time under the same id is a new incarnation of the backend server.
    auto restarted = server("moved");
    restarted.startedAtMs = 5;
    harness.scheduler.setBackends({restarted}, {{"writer", 0}}, start + 1s);
    CHECK(harness.started(start + 1s) == Sequences {2});
}

TEST_CASE("a request that requires or excludes a version uses no other and blocks no request")
{
    BackendRecord next = server("b", 1);
    next.version = "v2";
    Harness harness({server("a", 1), next});
    const auto add = [&](std::uint64_t sequence, const VersionConstraint &version) {
        DirectRequest added = request(sequence, 0, start);
        added.version = version;
        harness.scheduler.add(added);
    };
    add(1, {"v2", true});
    add(2, {"v2", true});
    add(3, {"v2", false});
    CHECK(harness.started(start) == Sequences {1, 3});
    CHECK_FALSE(harness.scheduler.otherVersionsIdle("writer", "v2"));
    harness.scheduler.ended({1, 1}, {AttemptOutcome::Answered, 10ms, {}}, start + 10ms);
    CHECK(harness.scheduler.otherVersionsIdle("writer", "v2"));
    harness.scheduler.peerReport(7, {{stableDigest("a"), 1, 0}}, start + 10ms);
    CHECK_FALSE(harness.scheduler.otherVersionsIdle("writer", "v2"));
}

TEST_CASE("zone returns cold: all gateways together stay within the limit of a cold backend server")
{
    CHECK(rc::check([] {
        const auto gateways = *rc::gen::inRange<std::uint32_t>(1, 60);
        const double rate = *rc::gen::inRange(4, 40);
        std::uint64_t total = 0;
        for (std::uint32_t index = 0; index < gateways; ++index) {
            DirectScheduler scheduler({"a", 38000, 1.5, 5});
            auto cold = server("s", 1000);
            cold.coldRemaining = 10s;
            scheduler.setBackends({cold}, {{"writer", rate}}, start);
            scheduler.setGateways(gateways, index);
            for (std::uint64_t n = 0; n < 100; ++n) {
                scheduler.add(request(n, 0, start));
                for (const DirectAction &it : scheduler.advance(start + n * 9ms))
                    total += std::holds_alternative<StartAction>(it) ? 1 : 0;
            }
        }
        RC_ASSERT(static_cast<double>(total) <= rate * 1.5 + 5);
        RC_ASSERT(total > 0U);
    }));
}

TEST_CASE("zone returns cold: a restarting agent and gateways that do not reach it share the limit")
{
    CHECK(rc::check([] {
        const auto gateways = *rc::gen::inRange<std::uint32_t>(1, 30);
        const double rate = *rc::gen::inRange(8, 40);
        const int restartAt = *rc::gen::inRange(0, 200);
        std::vector<std::unique_ptr<DirectScheduler>> direct;
        for (std::uint32_t index = 0; index < gateways; ++index) {
            direct.push_back(
                    std::make_unique<DirectScheduler>(DirectSettings {"a", 38000, 1.5, 5, true}));
            auto cold = server("s", 1000);
            cold.coldRemaining = 10s;
            direct.back()->setBackends({cold}, {{"writer", rate}}, start);
            direct.back()->setGateways(gateways, index);
        }
        const DirectSettings settings {"a", 38000, 1.5, 5, true};
        const ColdLimits limits = coldLimitsWithAgent(settings, rate);
        SlotAllocator allocator(start - 10s);
        std::deque<Instant> starts;
        std::uint64_t n = 0;
        for (int i = 0; i < 200; ++i) {
            const Instant now = start + i * 10ms;
            if (i == restartAt)
                allocator = SlotAllocator(now);
            allocator.requestSlot({{1, ++n}, 0, 0, 1000, rate, 5s, limits.agentRestart}, now);
            std::size_t started = allocator.advance(now).size();
            for (const auto &it : direct) {
                it->add(request(++n, 0, now));
                for (const DirectAction &action : it->advance(now))
                    started += std::holds_alternative<StartAction>(action) ? 1 : 0;
            }
            starts.insert(starts.end(), started, now);
            while (!starts.empty() && starts.front() + 1s <= now)
                starts.pop_front();
            RC_ASSERT(static_cast<double>(starts.size()) <= rate * 1.5 + 5);
        }
    }));
}

TEST_CASE("fleet restarts while its servers are cold: agents grant from their first second on")
{
    // Bounds of two deployments: without the spare part of the bound, each agent would grant two.
    const DirectSettings settings {"a", 38000, 1.5, 5, true};
    for (const double rate : {7.0, 11.0}) {
        SlotAllocator allocator(start);
        std::size_t granted = 0;
        const std::uint32_t restartLimit = coldLimitsWithAgent(settings, rate).agentRestart;
        for (std::uint64_t i = 0; i < 100; ++i) {
            const Instant now = start + 10ms * i;
            allocator.requestSlot({{1, i}, 0, 0, 1000, rate, 5s, restartLimit}, now);
            granted += allocator.advance(now).size();
        }
        CHECK(granted >= rate / 2);
        CHECK(granted <= rate);
    }
}

TEST_CASE("agents: several get a slot request, the first grant is used, the others are released")
{
    Harness harness({server("a"), server("b"), server("c"), server("d"), server("e")});
    for (const char *it : {"a", "b", "c", "d", "e"})
        harness.scheduler.agentResponded(it, start);
    harness.scheduler.add(request(1, 0, start));
    const auto slotRequests = harness.advance<RequestSlotAction>(start);
    REQUIRE(slotRequests.size() == 3);
    harness.scheduler.slotRequestQueued({1, 1}, slotRequests[0].backend.id, 4, start + 1ms);
    harness.scheduler.slotGranted({1, 1}, slotRequests[1].backend.id, start + 2ms);
    std::vector<std::string> released;
    Sequences starts;
    for (const DirectAction &it : harness.scheduler.advance(start + 2ms)) {
        if (const auto *action = std::get_if<StartAction>(&it)) {
            starts.push_back(action->request.sequence);
            CHECK(action->backend == slotRequests[1].backend.id);
        } else if (const auto *release = std::get_if<ReleaseSlotAction>(&it)) {
            released.push_back(release->backend);
        }
    }
    CHECK(starts == Sequences {1});
    CHECK(released.size() == 2);
    // A second grant by another agent is released; a repeated one by the same agent is not.
    harness.scheduler.slotGranted({1, 1}, slotRequests[2].backend.id, start + 3ms);
    harness.scheduler.slotGranted({1, 1}, slotRequests[1].backend.id, start + 3ms);
    const auto late = harness.advance<ReleaseSlotAction>(start + 3ms);
    REQUIRE(late.size() == 1);
    CHECK(late[0].backend == slotRequests[2].backend.id);
    harness.scheduler.ended({1, 1}, {AttemptOutcome::Answered, 50ms, {}}, start + 50ms);
    CHECK(harness.advance<ReleaseSlotAction>(start + 50ms).size() == 1);
}

TEST_CASE("agents that do not answer delay a request by less than 100 ms and do not lose it")
{
    Harness harness({server("a"), server("b")});
    for (const char *it : {"a", "b"})
        harness.scheduler.agentResponded(it, start);
    harness.scheduler.add(request(1, 0, start));
    CHECK(harness.advance<RequestSlotAction>(start).size() == 2);
    CHECK(harness.started(start + 10ms).empty());
    for (Duration at = 20ms; at <= 80ms; at += 10ms) {
        if (harness.started(start + at) == Sequences {1})
            return;
    }
    FAIL("request not started within 80 ms although no agent answered");
}

TEST_CASE("a host that freezes with its agent is probed with one request at a time")
{
    Harness harness({server("a")});
    harness.scheduler.agentResponded("a", start);
    harness.scheduler.add(request(1, 0, start));
    harness.scheduler.add(request(2, 0, start));
    Sequences started;
    for (Duration at = 0ms; at <= 200ms; at += 10ms) {
        for (const std::uint64_t it : harness.started(start + at))
            started.push_back(it);
    }
    CHECK(started == Sequences {1});
    // The request gets no response either: the backend server gets no request during the backoff.
    harness.scheduler.ended({1, 1}, {AttemptOutcome::TimedOut, 200ms, {}}, start + 200ms);
    CHECK(harness.started(start + 300ms).empty());
    CHECK(harness.started(start + 450ms).empty());
    // Its agent responds again and gets a slot request.
    harness.scheduler.agentResponded("a", start + 460ms);
    CHECK(harness.advance<RequestSlotAction>(start + 460ms).size() == 1);
}

namespace {

// Gateways that share a few backend servers, whose agents stop responding at the start, and send
// each other reports. Each gateway gets a new request every 20 ms.
class GatewaysWithoutAgents
{
public:
    static constexpr std::uint32_t gatewayCount = 24;
    static constexpr Duration reportInterval = 240ms;

    GatewaysWithoutAgents()
    {
        for (std::uint32_t i = 0; i < gatewayCount; ++i) {
            m_gateways.push_back(std::make_unique<Harness>(records()));
            m_gateways.back()->scheduler.setGateways(gatewayCount, i);
            for (const BackendRecord &it : records())
                m_gateways.back()->scheduler.agentResponded(it.id, start);
        }
    }

    static std::vector<BackendRecord> records() { return {server("a"), server("b"), server("c")}; }

    // Simulates the given time and returns the number of started requests. firstEventAfter: time
    // from the start of a request to its first event; nullopt if the hosts do not respond.
    std::size_t simulate(Duration length, std::optional<Duration> firstEventAfter)
    {
        std::size_t started = 0;
        std::uint64_t sequence = 0;
        for (Duration at = 0ms; at < length; at += 10ms) {
            const Instant now = start + at;
            for (std::uint32_t i = 0; i < gatewayCount; ++i) {
                DirectScheduler &scheduler = m_gateways[i]->scheduler;
                if (at % 20ms == Duration::zero())
                    scheduler.add(request(++sequence, 0, now));
                for (const StartAction &it : m_gateways[i]->advance<StartAction>(now)) {
                    m_running.push_back({i, it.request, now, false});
                    ++started;
                }
                const Duration phase = reportInterval * i / gatewayCount / 10ms * 10ms;
                if (at % reportInterval == phase)
                    report(i, now);
            }
            finish(now, firstEventAfter);
        }
        return started;
    }

private:
    struct Running
    {
        std::uint32_t gateway = 0;
        RequestId id;
        Instant startedAt {};
        bool firstEventSeen = false;
    };

    void report(std::uint32_t sender, Instant now)
    {
        const auto loads = m_gateways[sender]->scheduler.ownLoads(now);
        for (std::uint32_t i = 0; i < gatewayCount; ++i) {
            if (i != sender)
                m_gateways[i]->scheduler.peerReport(sender, loads, now);
        }
    }

    void finish(Instant now, std::optional<Duration> firstEventAfter)
    {
        std::erase_if(m_running, [&](Running &it) {
            DirectScheduler &scheduler = m_gateways[it.gateway]->scheduler;
            const Duration age = now - it.startedAt;
            if (firstEventAfter && !it.firstEventSeen && age >= *firstEventAfter) {
                scheduler.firstEvent(it.id, now);
                it.firstEventSeen = true;
            }
            const bool answered = it.firstEventSeen && age >= *firstEventAfter + 150ms;
            const bool timedOut = !it.firstEventSeen && age >= 750ms;
            if (answered)
                scheduler.ended(it.id, {AttemptOutcome::Answered, age, {}}, now);
            else if (timedOut)
                scheduler.ended(it.id, {AttemptOutcome::TimedOut, age, {}}, now);
            return answered || timedOut;
        });
    }

    std::vector<std::unique_ptr<Harness>> m_gateways;
    std::vector<Running> m_running;
};

} // namespace

TEST_CASE("many gateways: a host that freezes with its agent gets few requests from all of them")
{
    GatewaysWithoutAgents simulation;
    // In 4 s, each of the 3 hosts is probed at most twice, because a probe and the backoff after it
    // take 750 ms + 1.5 s. Each time, up to two gateways probe it, because their turns may fall
    // within one report interval.
    CHECK(simulation.simulate(4s, std::nullopt) <= 3 * 2 * 2);
}

TEST_CASE("many gateways: hosts that respond without their agents are used by all of them")
{
    GatewaysWithoutAgents simulation;
    // 18 slots with requests of 250 ms run 72 requests per second. Half of that is required in the
    // first 4 s, because the gateways first have to learn from reports that the hosts respond.
    CHECK(simulation.simulate(4s, 100ms) >= 4 * 36);
}

TEST_CASE("a caller that leaves does not cause an unresponsive host to be probed again at once")
{
    Harness harness({server("a")});
    harness.scheduler.agentResponded("a", start);
    std::size_t started = 0;
    for (Duration at = 0ms; at < 1s; at += 10ms) {
        const Instant now = start + at;
        if (at % 100ms == Duration::zero())
            harness.scheduler.add(request(1 + at / 100ms, 0, now));
        for (const std::uint64_t it : harness.started(now)) {
            ++started;
            harness.scheduler.ended({1, it}, {AttemptOutcome::Abandoned, 0ms, {}}, now);
        }
    }
    CHECK(started == 1);
}

TEST_CASE("a backend server that responds stays in use when only its agent is lost")
{
    Harness harness({server("a")});
    harness.scheduler.agentResponded("a", start);
    std::size_t started = 0;
    for (std::uint64_t n = 1; n <= 20; ++n) {
        const Instant now = start + n * 50ms;
        harness.scheduler.add(request(n, 0, now));
        for (const std::uint64_t it : harness.started(now)) {
            ++started;
            harness.scheduler.firstEvent({1, it}, now);
        }
        if (n >= 4)
            harness.scheduler.ended({1, n - 3}, {AttemptOutcome::Answered, 150ms, {}}, now);
    }
    CHECK(started >= 15);
}

TEST_CASE("all slot requests are released when the caller leaves before a grant")
{
    Harness harness({server("a"), server("b")});
    for (const char *it : {"a", "b"})
        harness.scheduler.agentResponded(it, start);
    harness.scheduler.add(request(1, 0, start));
    REQUIRE(harness.advance<RequestSlotAction>(start).size() == 2);
    harness.scheduler.remove({1, 1});
    CHECK(harness.advance<ReleaseSlotAction>(start + 1ms).size() == 2);
}

TEST_CASE("a slot request to the agent of a cold backend server carries its cold rate")
{
    Harness harness({});
    auto cold = server("a");
    cold.coldRemaining = 2s;
    harness.scheduler.setBackends({cold}, {{"writer", 11}}, start);
    harness.scheduler.agentResponded("a", start);
    harness.scheduler.add(request(1, 0, start));
    const auto slotRequests = harness.advance<RequestSlotAction>(start);
    REQUIRE(slotRequests.size() == 1);
    CHECK(slotRequests[0].coldRate == 11);
}

TEST_CASE("a backend server that fails repeatedly is ejected while others are available")
{
    Harness harness({server("a"), server("b"), server("c"), server("d")});
    std::uint64_t n = 0;
    const auto outcome = [](const std::string &id) {
        return id == "a" ? AttemptOutcome::Broken : AttemptOutcome::Answered;
    };
    Instant now = start;
    std::uint64_t startsOnBroken = 0;
    for (int round = 0; round < 100; ++round) {
        now += 5ms;
        harness.scheduler.add(request(++n, 0, now));
        for (const StartAction &it : harness.advance<StartAction>(now)) {
            startsOnBroken += it.backend == "a" ? 1 : 0;
            harness.scheduler.ended(it.request, {outcome(it.backend), 1ms, {}}, now);
        }
    }
    CHECK(startsOnBroken >= 1);
    CHECK(startsOnBroken <= 5);
}
