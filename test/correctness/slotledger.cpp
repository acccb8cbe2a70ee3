// Guards against slots that are granted twice, kept by gateways that are gone, granted out of
// order, or lost for good when messages are lost.

#include "slotledger.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace cornelshed;
using namespace std::chrono_literals;

namespace {

const Instant start {1h};
const Instant ready = start + 300ms; // gateways have told what they run

SlotAsk ask(std::uint64_t gateway, std::uint64_t sequence, std::uint64_t order = 0,
            std::uint32_t leaveFree = 0)
{
    return {{gateway, sequence}, order, leaveFree, 2, 0, 5s};
}

} // namespace

TEST_CASE("ranks of all gateways are served in order")
{
    SlotLedger ledger(start);
    for (std::uint64_t n = 1; n <= 4; ++n)
        ledger.ask(ask(n, n, 2), ready);
    ledger.ask(ask(5, 5, 0), ready);
    CHECK(ledger.advance(ready) == std::vector<SlotKey> {{5, 5}, {1, 1}});
    CHECK(ledger.ahead({3, 3}) == 1);
    ledger.release({5, 5});
    CHECK(ledger.advance(ready) == std::vector<SlotKey> {{2, 2}});
}

TEST_CASE("an ask that leaves slots free does not hold up one that needs none")
{
    SlotLedger ledger(start);
    ledger.ask(ask(1, 1, 0, 1), ready);
    ledger.ask(ask(1, 2, 0, 1), ready);
    ledger.ask(ask(1, 3, 7, 0), ready);
    CHECK(ledger.advance(ready) == std::vector<SlotKey> {{1, 1}, {1, 3}});
}

TEST_CASE("slots of a gateway that dies are free after its leases")
{
    SlotLedger ledger(start);
    ledger.ask(ask(1, 1), ready);
    ledger.ask(ask(1, 2), ready);
    CHECK(ledger.advance(ready).size() == 2);
    ledger.renew(1, {1, 2}, ready + 100ms);
    ledger.ask(ask(2, 1), ready + 100ms);
    CHECK(ledger.advance(ready + 700ms).empty());
    CHECK(ledger.advance(ready + 900ms) == std::vector<SlotKey> {{2, 1}});
}

TEST_CASE("a lost release is made good by the next renewal")
{
    SlotLedger ledger(start);
    ledger.ask(ask(1, 1), ready);
    CHECK(ledger.advance(ready).size() == 1);
    ledger.renew(1, {1}, ready + 200ms);
    ledger.renew(1, {}, ready + 400ms);
    CHECK(ledger.held() == 0);
}

TEST_CASE("a grant that was lost is repeated to the same ask, and expires otherwise")
{
    SlotLedger ledger(start);
    ledger.ask(ask(1, 1), ready);
    CHECK(ledger.advance(ready).size() == 1);
    ledger.ask(ask(1, 1), ready + 25ms);
    CHECK(ledger.advance(ready + 25ms) == std::vector<SlotKey> {{1, 1}});
    CHECK(ledger.held() == 1);
    ledger.advance(ready + 400ms);
    CHECK(ledger.held() == 0);
}

TEST_CASE("after its restart an agent learns what runs before it grants")
{
    SlotLedger ledger(start);
    ledger.ask(ask(1, 9), start);
    CHECK(ledger.advance(start + 10ms).empty());
    ledger.renew(2, {1, 2}, start + 100ms);
    CHECK(ledger.advance(ready).empty());
    CHECK(ledger.held() == 2);
}

TEST_CASE("a cold server gets no more than its rate in any second")
{
    SlotLedger ledger(start - 10s);
    std::vector<Instant> grants;
    for (std::uint64_t n = 0; n < 200; ++n) {
        const Instant now = ready + n * 20ms;
        SlotAsk cold = ask(1, n);
        cold.coldRate = 10;
        cold.slots = 1000;
        ledger.ask(cold, now);
        for ([[maybe_unused]] const SlotKey &it : ledger.advance(now))
            grants.push_back(now);
    }
    for (const Instant from : grants) {
        const auto n = std::count_if(grants.begin(), grants.end(),
                                     [&](Instant at) { return at >= from && at < from + 1s; });
        CHECK(n <= 10);
    }
    CHECK(grants.size() >= 40);
}

TEST_CASE("property: never more grants out than slots, whatever is lost or repeated")
{
    CHECK(rc::check([] {
        SlotLedger ledger(start);
        Instant now = ready;
        std::map<std::uint64_t, std::set<std::uint64_t>> running; // as gateways know it
        std::uint64_t sequence = 0;
        const int steps = *rc::gen::inRange(1, 200);
        for (int i = 0; i < steps; ++i) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 60));
            const auto gateway = *rc::gen::inRange<std::uint64_t>(1, 4);
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                ledger.ask(ask(gateway, ++sequence, *rc::gen::inRange<std::uint64_t>(0, 3)), now);
                break;
            case 1:
                if (!running[gateway].empty()) {
                    const std::uint64_t ended = *running[gateway].begin();
                    running[gateway].erase(ended);
                    if (*rc::gen::arbitrary<bool>()) // otherwise the message is lost
                        ledger.release({gateway, ended});
                }
                break;
            default:
                break;
            }
            // Renewals come often enough.
            for (const auto &[id, sequences] : running)
                ledger.renew(id, {sequences.begin(), sequences.end()}, now);
            for (const SlotKey &key : ledger.advance(now))
                running[key.gateway].insert(key.sequence);
            std::size_t total = 0;
            for (const auto &[id, sequences] : running)
                total += sequences.size();
            RC_ASSERT(total <= 2U);
        }
    }));
}
