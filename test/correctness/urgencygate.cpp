// Guards against long streams of a lower rank that take the slots for which urgent requests wait,
// against requests that are held up by those of other organisations or for good, and against an
// expected wait that ignores what this gateway starts itself. Load: more requests than slots for
// some seconds, with long streams among the least urgent ones. Pattern: priority admission
// (DAGOR), where the less urgent work is turned away first, and as early as possible.

#include "urgencygate.h"
#include "directscheduler.h"
#include "recentrate.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <string>

using namespace cornelshed;
using namespace std::chrono_literals;

namespace {

const Instant start {1h};

// Order of a request by the rank of its organisation and its own.
std::uint64_t orderOf(std::uint64_t organisationRank, std::uint64_t rank)
{
    return (organisationRank << 32U) + rank;
}

DirectRequest request(std::uint64_t sequence, std::uint64_t order, Instant now,
                      Duration limit = 500ms)
{
    DirectRequest made;
    made.id = {1, sequence};
    made.service = "writer";
    made.order = order;
    made.arrivedAt = now;
    made.waitUntil = now + limit;
    made.promptTokens = 1000;
    return made;
}

// One gateway and six servers with agents, which answer each slot request but grant no slot by
// themselves.
class QueueingAgents
{
public:
    explicit QueueingAgents(Duration yieldAfter, std::size_t initialSlotRequests = 2)
        : scheduler(settingsWith(yieldAfter, initialSlotRequests))
    {
        std::vector<BackendRecord> records;
        for (const char *id : {"a", "b", "c", "d", "e", "f"}) {
            BackendRecord record;
            record.id = id;
            record.service = "writer";
            record.address = "10.0.0.1";
            record.port = 80;
            record.availabilityZone = "a";
            record.slots = 2;
            records.push_back(record);
        }
        scheduler.setBackends(records, {{"writer", 0}}, start);
        for (const BackendRecord &it : records)
            scheduler.agentResponded(it.id, start);
    }

    static DirectSettings settingsWith(Duration yieldAfter, std::size_t initialSlotRequests)
    {
        DirectSettings settings {"a", 38000, 1.5, 5, true};
        settings.yieldAfter = yieldAfter;
        settings.initialSlotRequests = initialSlotRequests;
        settings.slotRequestLimit = 6;
        return settings;
    }

    void advance(Instant now)
    {
        for (const DirectAction &it : scheduler.advance(now)) {
            if (const auto *asked = std::get_if<RequestSlotAction>(&it)) {
                slotRequests.emplace_back(asked->request.id.sequence, asked->backend.id);
                scheduler.slotRequestQueued(asked->request.id, asked->backend.id, 3, now);
            } else if (const auto *refused = std::get_if<RefuseAction>(&it)) {
                refusals.push_back(*refused);
            }
        }
    }

    void advanceThrough(Instant from, Instant end)
    {
        for (Instant now = from; now < end; now += 5ms)
            advance(now);
    }

    std::size_t slotRequestsOf(std::uint64_t sequence) const
    {
        return static_cast<std::size_t>(
                std::count_if(slotRequests.begin(), slotRequests.end(),
                              [&](const auto &it) { return it.first == sequence; }));
    }

    DirectScheduler scheduler;
    std::vector<std::pair<std::uint64_t, std::string>> slotRequests; // sequence, backend server
    std::vector<RefuseAction> refusals;
};

} // namespace

TEST_CASE("gate: only less urgent ones of the same organisation rank yield, after the time set")
{
    UrgencyGate gate(25ms);
    CHECK_FALSE(gate.mustYield(orderOf(0, 2)));
    gate.passWaiting(orderOf(0, 0), 24ms);
    CHECK_FALSE(gate.mustYield(orderOf(0, 2)));
    gate.passWaiting(orderOf(0, 1), 25ms);
    CHECK(gate.mustYield(orderOf(0, 2)));
    CHECK_FALSE(gate.mustYield(orderOf(0, 1))); // equals do not yield to each other
    // The first one that waits stays the one that is yielded to.
    gate.passWaiting(orderOf(0, 2), 100ms);
    CHECK(gate.mustYield(orderOf(0, 2)));
    CHECK_FALSE(gate.mustYield(orderOf(1, 2)));
    gate.passWaiting(orderOf(1, 0), 30ms);
    CHECK(gate.mustYield(orderOf(1, 1)));
}

TEST_CASE("gate: with a time of zero nothing ever yields")
{
    UrgencyGate gate(0ms);
    gate.passWaiting(orderOf(0, 0), 10s);
    CHECK_FALSE(gate.mustYield(orderOf(0, 2)));
}

TEST_CASE("recent rate: follows a steady rate, falls without events, never runs backwards")
{
    RecentRate rate;
    CHECK(rate.perSecond(start) == 0);
    Instant now = start;
    for (int i = 0; i < 500; ++i, now += 10ms)
        rate.record(now);
    CHECK(rate.perSecond(now) == doctest::Approx(100).epsilon(0.05));
    const double atEnd = rate.perSecond(now);
    CHECK(rate.perSecond(now + 1s) == doctest::Approx(atEnd * std::exp(-1)).epsilon(0.01));
    CHECK(rate.perSecond(now + 20s) < 0.001);
    // A thread may record an event with a time from before the last one.
    rate.record(now - 1s);
    CHECK(rate.perSecond(now) <= atEnd + 1);
    CHECK(rate.perSecond(now) >= atEnd);
}

TEST_CASE("long streams ask for no slots while an urgent request of the same rank has waited")
{
    QueueingAgents agents(25ms);
    agents.scheduler.add(request(1, orderOf(0, 0), start));
    agents.advanceThrough(start, start + 25ms);
    // Arrived before the urgent request has waited so long: it may ask.
    agents.scheduler.add(request(2, orderOf(0, 2), start + 10ms, 5s));
    agents.advance(start + 20ms);
    CHECK(agents.slotRequestsOf(2) == 2);
    agents.scheduler.add(request(3, orderOf(0, 2), start + 25ms, 5s));
    agents.advanceThrough(start + 25ms, start + 100ms);
    CHECK(agents.slotRequestsOf(3) == 0);
    CHECK(agents.slotRequestsOf(2) == 2); // and asks no more agents either
    CHECK(agents.slotRequestsOf(1) >= 4); // while the urgent one does
    CHECK(agents.refusals.empty());
}

TEST_CASE("requests of organisations of another rank are not held up by an urgent one")
{
    QueueingAgents agents(25ms);
    agents.scheduler.add(request(1, orderOf(0, 0), start));
    agents.advanceThrough(start, start + 30ms);
    agents.scheduler.add(request(2, orderOf(1, 2), start + 30ms, 5s));
    agents.advanceThrough(start + 30ms, start + 60ms);
    CHECK(agents.slotRequestsOf(2) >= 2);
}

TEST_CASE("an urgent retry that may not use all servers holds nobody up")
{
    QueueingAgents agents(25ms);
    DirectRequest retry = request(1, orderOf(0, 0), start);
    retry.excluded = {"a"};
    agents.scheduler.add(retry);
    agents.advanceThrough(start, start + 30ms);
    agents.scheduler.add(request(2, orderOf(0, 2), start + 30ms, 5s));
    agents.advanceThrough(start + 30ms, start + 60ms);
    CHECK(agents.slotRequestsOf(2) >= 2);
}

TEST_CASE("long streams are refused on arrival if they would wait behind urgent ones too long")
{
    for (const Duration yieldAfter : {25ms, 0ms}) {
        CAPTURE(yieldAfter.count());
        QueueingAgents agents(yieldAfter);
        // This gateway starts about 40 requests per second at most, so that 60 take 1.5 s.
        for (std::uint64_t n = 1; n <= 60; ++n)
            agents.scheduler.add(request(n, orderOf(0, 0), start, 5s));
        agents.advanceThrough(start, start + 30ms);
        agents.scheduler.add(request(100, orderOf(0, 2), start + 30ms, 400ms));
        agents.scheduler.add(request(101, orderOf(0, 2), start + 30ms, 15s));
        agents.advance(start + 30ms);
        if (yieldAfter == Duration::zero()) {
            CHECK(agents.refusals.empty()); // as it was: the agents know their queues better
            continue;
        }
        REQUIRE(agents.refusals.size() == 1);
        CHECK(agents.refusals[0].request.sequence == 100);
        CHECK(agents.refusals[0].reason == RefusalReason::QueueTooLong);
        CHECK(agents.refusals[0].retryAfter > 0ms);
        CHECK(agents.refusals[0].waitingAhead == 60);
    }
}

TEST_CASE("with yielding off, less urgent requests ask as many agents as before")
{
    QueueingAgents agents(0ms, 3);
    agents.scheduler.add(request(1, orderOf(0, 0), start));
    agents.advanceThrough(start, start + 100ms);
    agents.scheduler.add(request(2, orderOf(0, 2), start + 100ms, 5s));
    agents.advance(start + 100ms);
    CHECK(agents.slotRequestsOf(2) == 3);
    agents.advanceThrough(start + 105ms, start + 200ms);
    CHECK(agents.slotRequestsOf(2) == 6);
}

TEST_CASE("long streams ask again as soon as the urgent ones are served: no starvation")
{
    QueueingAgents agents(25ms);
    agents.scheduler.add(request(1, orderOf(0, 0), start));
    agents.advanceThrough(start, start + 30ms);
    agents.scheduler.add(request(2, orderOf(0, 2), start + 30ms, 5s));
    agents.advanceThrough(start + 30ms, start + 60ms);
    REQUIRE(agents.slotRequestsOf(2) == 0);
    REQUIRE_FALSE(agents.slotRequests.empty());
    agents.scheduler.slotGranted({1, 1}, agents.slotRequests[0].second, start + 60ms);
    agents.advance(start + 60ms);
    CHECK(agents.scheduler.running() == 1);
    CHECK(agents.slotRequestsOf(2) == 2);
    // The same if the urgent one leaves or is refused.
    agents.scheduler.add(request(3, orderOf(0, 0), start + 70ms, 100ms));
    agents.advanceThrough(start + 70ms, start + 100ms);
    agents.scheduler.add(request(4, orderOf(0, 2), start + 100ms, 5s));
    agents.advanceThrough(start + 100ms, start + 165ms);
    CHECK(agents.slotRequestsOf(4) == 0);
    agents.advance(start + 170ms);
    agents.advance(start + 175ms);
    CHECK(agents.slotRequestsOf(4) == 2);
}
