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
