// Guards against slots that are granted twice, stay with dead gateways, are granted out of order,
// or are lost permanently because a message was lost.

#include "slotallocator.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace cornelshed;
using namespace std::chrono_literals;

namespace {

const Instant start {1h};
const Instant ready = start + 300ms; // the restart recovery period has ended

SlotRequest slotRequest(std::uint64_t gateway, std::uint64_t sequence, std::uint64_t order = 0,
                        std::uint32_t reservedSlots = 0)
{
    return {{gateway, sequence}, order, reservedSlots, 2, 0, 5s};
}

} // namespace

TEST_CASE("requests of all gateways are granted in priority order")
{
    SlotAllocator allocator(start);
    for (std::uint64_t n = 1; n <= 4; ++n)
        allocator.requestSlot(slotRequest(n, n, 2), ready);
    allocator.requestSlot(slotRequest(5, 5, 0), ready);
    CHECK(allocator.advance(ready) == std::vector<SlotKey> {{5, 5}, {1, 1}});
    CHECK(allocator.ahead({3, 3}) == 1);
    allocator.release({5, 5});
    CHECK(allocator.advance(ready) == std::vector<SlotKey> {{2, 2}});
}

TEST_CASE("a request that must leave slots free does not block one that need not")
{
    SlotAllocator allocator(start);
    allocator.requestSlot(slotRequest(1, 1, 0, 1), ready);
    allocator.requestSlot(slotRequest(1, 2, 0, 1), ready);
    allocator.requestSlot(slotRequest(1, 3, 7, 0), ready);
    CHECK(allocator.advance(ready) == std::vector<SlotKey> {{1, 1}, {1, 3}});
}

TEST_CASE("slots of a dead gateway are free when its leases expire")
{
    SlotAllocator allocator(start);
    allocator.requestSlot(slotRequest(1, 1), ready);
    allocator.requestSlot(slotRequest(1, 2), ready);
    CHECK(allocator.advance(ready).size() == 2);
    allocator.renew(1, {1, 2}, ready + 100ms);
    allocator.requestSlot(slotRequest(2, 1), ready + 100ms);
    CHECK(allocator.advance(ready + 700ms).empty());
    CHECK(allocator.advance(ready + 900ms) == std::vector<SlotKey> {{2, 1}});
}

TEST_CASE("the next renewal frees a slot whose release message was lost")
{
    SlotAllocator allocator(start);
    allocator.requestSlot(slotRequest(1, 1), ready);
    CHECK(allocator.advance(ready).size() == 1);
    allocator.renew(1, {1}, ready + 200ms);
    allocator.renew(1, {}, ready + 400ms);
    CHECK(allocator.held() == 0);
}

TEST_CASE("a lost grant is resent when the request is repeated, and expires otherwise")
{
    SlotAllocator allocator(start);
    allocator.requestSlot(slotRequest(1, 1), ready);
    CHECK(allocator.advance(ready).size() == 1);
    allocator.requestSlot(slotRequest(1, 1), ready + 25ms);
    CHECK(allocator.advance(ready + 25ms) == std::vector<SlotKey> {{1, 1}});
    CHECK(allocator.held() == 1);
    allocator.advance(ready + 400ms);
    CHECK(allocator.held() == 0);
}

TEST_CASE("a restarted agent waits for reports of running requests before it grants")
{
    SlotAllocator allocator(start);
    allocator.requestSlot(slotRequest(1, 9), start);
    CHECK(allocator.advance(start + 10ms).empty());
    allocator.renew(2, {1, 2}, start + 100ms);
    CHECK(allocator.advance(ready).empty());
    CHECK(allocator.held() == 2);
}

TEST_CASE("a cold backend server is granted at most its rate in any second")
{
    SlotAllocator allocator(start - 10s);
    std::vector<Instant> grants;
    for (std::uint64_t n = 0; n < 200; ++n) {
        const Instant now = ready + n * 20ms;
        SlotRequest cold = slotRequest(1, n);
        cold.coldRate = 10;
        cold.slots = 1000;
        allocator.requestSlot(cold, now);
        for ([[maybe_unused]] const SlotKey &it : allocator.advance(now))
            grants.push_back(now);
    }
    for (const Instant from : grants) {
        const auto n = std::count_if(grants.begin(), grants.end(),
                                     [&](Instant at) { return at >= from && at < from + 1s; });
        CHECK(n <= 10);
    }
    CHECK(grants.size() >= 40);
}

TEST_CASE("property: grants never exceed the slots when releases are lost")
{
    CHECK(rc::check([] {
        SlotAllocator allocator(start);
        Instant now = ready;
        std::map<std::uint64_t, std::set<std::uint64_t>> running; // as gateways know it
        std::uint64_t sequence = 0;
        const int steps = *rc::gen::inRange(1, 200);
        for (int i = 0; i < steps; ++i) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 60));
            const auto gateway = *rc::gen::inRange<std::uint64_t>(1, 4);
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                allocator.requestSlot(
                        slotRequest(gateway, ++sequence, *rc::gen::inRange<std::uint64_t>(0, 3)),
                        now);
                break;
            case 1:
                if (!running[gateway].empty()) {
                    const std::uint64_t endedSequence = *running[gateway].begin();
                    running[gateway].erase(endedSequence);
                    if (*rc::gen::arbitrary<bool>()) // otherwise the release message is lost
                        allocator.release({gateway, endedSequence});
                }
                break;
            default:
                break;
            }
            // Steps are shorter than a lease, so renewing in each step keeps all leases.
            for (const auto &[id, sequences] : running)
                allocator.renew(id, {sequences.begin(), sequences.end()}, now);
            for (const SlotKey &key : allocator.advance(now))
                running[key.gateway].insert(key.sequence);
            std::size_t total = 0;
            for (const auto &[id, sequences] : running)
                total += sequences.size();
            RC_ASSERT(total <= 2U);
        }
    }));
}

namespace {

// A server with two slots that refuses connections, and requests of many gateways that ask its
// allocator for slots. Load: 18 of 49 servers crashed; their agents went on granting, and about
// 1,300 requests in 5 s ended with a refused connection.
class RefusingServer
{
public:
    RefusingServer()
    {
        for (std::uint64_t n = 1; n <= 40; ++n)
            allocator.requestSlot({{n, n}, 0, 0, 2, 0, 60s}, now);
    }

    // Lets time pass in steps of 1 ms until slots are granted, at most this long.
    std::vector<SlotKey> grantsWithin(Duration length)
    {
        for (const Instant end = now + length; now < end; now += 1ms) {
            auto granted = allocator.advance(now);
            if (!granted.empty())
                return granted;
        }
        return {};
    }

    // As the agent does for a release that says that the address refused the connection.
    void refuse(const SlotKey &key)
    {
        allocator.release(key, true);
        allocator.serverRefused(key, now);
    }

    SlotAllocator allocator {start};
    Instant now = ready;
};

} // namespace

// Pattern: circuit breaker, whose half-open state lets one request pass, with exponential backoff.
TEST_CASE("a server that refuses connections: one grant at a time, after delays of 50 to 400 ms")
{
    RefusingServer server;
    auto granted = server.grantsWithin(1s);
    REQUIRE(granted.size() == 2);
    for (const SlotKey &it : granted)
        server.refuse(it);
    CHECK(server.allocator.isServerDown());
    for (const Duration delay : {50ms, 100ms, 200ms, 400ms, 400ms}) {
        const Instant refusedAt = server.now;
        granted = server.grantsWithin(2s);
        REQUIRE(granted.size() == 1);
        CHECK(server.now - refusedAt == delay);
        // No second one while the first is on its way.
        CHECK(server.allocator.advance(server.now + 1ms).empty());
        server.now += 2ms;
        server.refuse(granted[0]);
    }
}

TEST_CASE("a server that refuses connections: refusals of slots granted together count once")
{
    RefusingServer server;
    const auto granted = server.grantsWithin(1s);
    REQUIRE(granted.size() == 2);
    server.refuse(granted[0]);
    server.now += 10ms;
    server.refuse(granted[1]);
    const Instant lastRefusedAt = server.now;
    CHECK(server.grantsWithin(2s).size() == 1);
    CHECK(server.now - lastRefusedAt == 40ms);
}

TEST_CASE("a server that refuses connections: a late refusal of the first slots is no new one")
{
    RefusingServer server;
    const auto granted = server.grantsWithin(1s);
    REQUIRE(granted.size() == 2);
    server.refuse(granted[0]);
    const auto probe = server.grantsWithin(1s);
    REQUIRE(probe.size() == 1);
    server.refuse(granted[1]);
    CHECK(server.allocator.advance(server.now + 55ms).empty());
    // The probe goes on and shows that the server is back.
    CHECK(server.allocator.advance(server.now + 60ms).size() == 1);
    CHECK_FALSE(server.allocator.isServerDown());
}

TEST_CASE("a server that is back gets all its slots when a request has run")
{
    RefusingServer server;
    for (const SlotKey &it : server.grantsWithin(1s))
        server.refuse(it);
    const auto probe = server.grantsWithin(1s);
    REQUIRE(probe.size() == 1);
    server.now += 20ms;
    // As the agent does for a release of a request that was sent, without a refusal.
    server.allocator.release(probe[0]);
    server.allocator.serverResponded(probe[0]);
    CHECK_FALSE(server.allocator.isServerDown());
    CHECK(server.allocator.advance(server.now).size() == 2);
}

TEST_CASE("a server that is back gets all its slots when a probe has held one for 60 ms")
{
    RefusingServer server;
    for (const SlotKey &it : server.grantsWithin(1s))
        server.refuse(it);
    REQUIRE(server.grantsWithin(1s).size() == 1);
    const Instant grantedAt = server.now;
    CHECK(server.allocator.advance(grantedAt + 59ms).empty());
    CHECK(server.allocator.advance(grantedAt + 60ms).size() == 1);
    CHECK_FALSE(server.allocator.isServerDown());
    CHECK(server.allocator.held() == 2);
}

// Load: each request asks several agents and gives back all grants but the first.
TEST_CASE("a server that refused connections: a probe that is given back unused costs no delay")
{
    RefusingServer server;
    for (const SlotKey &it : server.grantsWithin(1s))
        server.refuse(it);
    const auto probe = server.grantsWithin(1s);
    REQUIRE(probe.size() == 1);
    server.now += 2ms;
    server.allocator.release(probe[0], true);
    CHECK(server.allocator.isServerDown());
    CHECK(server.allocator.advance(server.now).size() == 1);
}

TEST_CASE("a server that refused connections: a lost probe delays the next one by 400 ms at most")
{
    RefusingServer server;
    for (const SlotKey &it : server.grantsWithin(1s))
        server.refuse(it);
    REQUIRE(server.grantsWithin(1s).size() == 1);
    // The gateway died, so that its lease ends without a release and without a renewal.
    server.now += 59ms;
    const Instant lostAt = server.now;
    server.allocator.renew(1000, {}, server.now);
    CHECK(server.grantsWithin(1s).size() >= 1);
    CHECK(server.now - lostAt <= 400ms);
}

TEST_CASE("refusals at one server change nothing at another, and nothing changes without any")
{
    SlotAllocator down(start);
    SlotAllocator other(start);
    down.serverRefused({9, 9}, ready);
    for (std::uint64_t n = 1; n <= 4; ++n) {
        down.requestSlot(slotRequest(1, n), ready);
        other.requestSlot(slotRequest(1, n), ready);
    }
    CHECK(down.advance(ready).empty());
    CHECK(other.advance(ready) == std::vector<SlotKey> {{1, 1}, {1, 2}});
    other.release({1, 1}, true);
    CHECK(other.advance(ready + 1ms) == std::vector<SlotKey> {{1, 3}});
    CHECK_FALSE(other.isServerDown());
}

TEST_CASE("a server that refuses connections: a duplicated message of a refusal changes nothing")
{
    RefusingServer server;
    for (const SlotKey &it : server.grantsWithin(1s))
        server.refuse(it);
    const auto probe = server.grantsWithin(1s);
    REQUIRE(probe.size() == 1);
    server.refuse(probe[0]);
    const Instant refusedAt = server.now;
    server.now += 5ms;
    server.refuse(probe[0]);
    CHECK(server.grantsWithin(1s).size() == 1);
    CHECK(server.now - refusedAt == 100ms);
}

// Failure: streams break when their server crashes, and their releases arrive in any order with the
// refusals of requests that were sent after it. Each one ended the circuit breaker.
TEST_CASE("a server that refuses connections: streams that broke at the crash do not end that")
{
    SlotAllocator allocator(start);
    for (std::uint64_t n = 1; n <= 6; ++n)
        allocator.requestSlot({{n, n}, 0, 0, 3, 0, 60s}, ready);
    REQUIRE(allocator.advance(ready).size() == 3);
    allocator.renew(1, {1}, ready + 100ms);
    allocator.renew(2, {2}, ready + 100ms);
    // The third request is refused, then the releases of the two streams arrive.
    allocator.release({3, 3}, true);
    allocator.serverRefused({3, 3}, ready + 100ms);
    allocator.release({1, 1});
    allocator.serverResponded({1, 1});
    CHECK(allocator.isServerDown());
    CHECK(allocator.advance(ready + 101ms).empty());
    // The probe is on its way when the other one arrives.
    const auto probe = allocator.advance(ready + 150ms);
    REQUIRE(probe.size() == 1);
    allocator.release({2, 2});
    allocator.serverResponded({2, 2});
    CHECK(allocator.isServerDown());
    CHECK(allocator.advance(ready + 151ms).empty());
    // It is refused: the next delay is the second one, not the first.
    allocator.release(probe[0], true);
    allocator.serverRefused(probe[0], ready + 152ms);
    CHECK(allocator.advance(ready + 251ms).empty());
    CHECK(allocator.advance(ready + 252ms).size() == 1);
}

// Failure: a release is repeated by the network, after the server that was back has crashed again.
TEST_CASE("a server that refuses connections: an earlier probe's repeated release ends nothing")
{
    RefusingServer server;
    for (const SlotKey &it : server.grantsWithin(1s))
        server.refuse(it);
    const auto probe = server.grantsWithin(1s);
    REQUIRE(probe.size() == 1);
    server.allocator.release(probe[0]);
    server.allocator.serverResponded(probe[0]);
    REQUIRE_FALSE(server.allocator.isServerDown());
    const auto granted = server.grantsWithin(1s);
    REQUIRE(granted.size() == 2);
    server.refuse(granted[0]);
    server.allocator.release(probe[0]);
    server.allocator.serverResponded(probe[0]);
    // Nor does a message of a request that was never granted.
    server.allocator.serverResponded({});
    CHECK(server.allocator.isServerDown());
    CHECK(server.allocator.advance(server.now + 49ms).empty());
}
