// Guards against a backend server that gets more requests than the limit it names: because gateways
// take the whole limit each, an old statement replaces a newer one, a restarted agent begins anew,
// or a value is misread; and against a limit that nobody notices to be lifted.

#include "namedlimit.h"
#include "directscheduler.h"
#include "platformheaders.h"
#include "slotallocator.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>

using namespace cornelshed;
using namespace std::chrono_literals;

namespace {

const Instant start {1h};
constexpr Duration window = 4s;

// What the users allow a backend server to get in a window: half more than its limit, and five.
std::size_t allowedIn(double perSecond)
{
    return static_cast<std::size_t>(1.5 * perSecond * 4 + 5);
}

// The most times in any window.
std::size_t busiestWindow(const std::vector<Instant> &times)
{
    std::size_t most = 0;
    for (std::size_t first = 0, end = 0; first < times.size(); ++first) {
        while (end < times.size() && times[end] < times[first] + window)
            ++end;
        most = std::max(most, end - first);
    }
    return most;
}

std::optional<double> limitIn(const Headers &headers)
{
    return PlatformHeaders().decodeReply(200, headers).requestsPerSecond;
}

BackendRecord server(const std::string &id)
{
    BackendRecord record;
    record.id = id;
    record.service = "ledger";
    record.address = "10.0.0.1";
    record.port = 80;
    record.availabilityZone = "a";
    record.version = "v1";
    record.slots = 6;
    return record;
}

} // namespace

TEST_CASE("a limit in an answer is read as a decimal number, and anything else is not a limit")
{
    CHECK(limitIn({{"Server-Limit", "1.5"}}) == 1.5);
    CHECK(limitIn({{"server-limit", "0"}}) == 0.0);
    CHECK(limitIn({{"Server-Limit", "1e300"}}) == 1e300);
    CHECK(limitIn({{"Server-Limit", "4"}, {"Server-Limit", "2"}, {"Server-Limit", "x"}}) == 2.0);
    for (const char *text : {"", "-1", "nan", "inf", "1.5 ", "1,5", "three", "0x10", "1.5/s"})
        CHECK(limitIn({{"Server-Limit", text}}) == std::nullopt);
}

TEST_CASE("the newest statement holds, and answers that are under way do not lift a limit")
{
    NamedLimit limit;
    CHECK_FALSE(limit.perSecond());
    CHECK_FALSE(limit.ownReport(start));
    limit.recordAnswer(3.0, start);
    limit.recordAnswer(std::nullopt, start + 300ms);
    CHECK(limit.perSecond() == 3.0);
    // Older than the own answer.
    limit.merge({9.0, 2s}, start + 400ms);
    CHECK(limit.perSecond() == 3.0);
    limit.merge({2.0, 100ms}, start + 500ms);
    CHECK(limit.perSecond() == 2.0);
    limit.recordAnswer(std::nullopt, start + 3s);
    CHECK_FALSE(limit.perSecond());
    // Peers learn that it was lifted.
    REQUIRE(limit.ownReport(start + 3s));
    CHECK_FALSE(limit.ownReport(start + 3s)->perSecond);
    CHECK_FALSE(limit.ownReport(start + 20s));
}

TEST_CASE("a backend server that names 0 still gets a request now and then")
{
    NamedLimit limit;
    limit.recordAnswer(0.0, start);
    REQUIRE(limit.perSecond());
    CHECK(*limit.perSecond() > 0);
    CHECK(*limit.perSecond() * 4 <= 1);
}

TEST_CASE("a limit of an engine's earlier run does not stay with its agent")
{
    SlotAllocator agent(start);
    NamedLimit gateway;
    gateway.recordAnswer(0.5, start);
    std::uint64_t sequence = 0;
    // Requests that end at once, one each 10 ms.
    const auto grants = [&](Instant from, Duration length, bool limited) {
        std::size_t n = 0;
        for (Instant now = from; now < from + length; now += 10ms) {
            SlotRequest request {{1, ++sequence}, 0, 0, 6, 0, 50ms};
            request.namedLimit = gateway.newest(now);
            agent.requestSlot(request, now);
            for (const SlotKey &key : agent.advance(now)) {
                ++n;
                agent.release(key);
                gateway.recordAnswer(limited ? std::optional(0.5) : std::nullopt, now);
            }
        }
        return n;
    };
    CHECK(grants(start + 1s, 8s, true) <= 6);
    gateway = {}; // the engine has started again and names no limit
    grants(start + 9s, 4s, false);
    CHECK(grants(start + 13s, 1s, false) > 50);
}

TEST_CASE("property: the gateways' shares add up to the whole")
{
    CHECK(rc::check([] {
        const auto requests = *rc::gen::inRange<std::uint32_t>(0, 1000);
        const auto count = *rc::gen::inRange<std::uint32_t>(1, 400);
        const auto turn = *rc::gen::arbitrary<std::uint32_t>();
        std::uint32_t sum = 0;
        for (std::uint32_t n = 0; n < count; ++n)
            sum += shareOf(requests, count, n, turn);
        RC_ASSERT(sum == requests);
    }));
}

TEST_CASE("property: an agent keeps a limit in each window, over restarts and unused grants")
{
    CHECK(rc::check([] {
        const double perSecond = *rc::gen::inRange(1, 80) / 10.0;
        const auto unusedPercent = *rc::gen::inRange(0, 90);
        const auto restarts = *rc::gen::arbitrary<bool>();
        SeededRandom random(*rc::gen::inRange<std::uint64_t>(0, 1000000));
        auto allocator = std::make_unique<SlotAllocator>(start);
        std::vector<Instant> used;
        std::uint64_t sequence = 0;
        for (Instant now = start; now < start + 20s; now += 5ms) {
            SlotRequest request {{1, ++sequence}, 0, 0, 6, 0, 300ms};
            request.namedLimit = {perSecond, 10ms};
            allocator->requestSlot(request, now);
            for (const SlotKey &key : allocator->advance(now)) {
                const bool unused = random.below(100) < static_cast<std::uint64_t>(unusedPercent);
                if (!unused)
                    used.push_back(now);
                allocator->release(key, unused);
            }
            if (restarts && random.below(600) == 0)
                allocator = std::make_unique<SlotAllocator>(now);
        }
        RC_ASSERT(busiestWindow(used) <= allowedIn(perSecond));
        // And it is used, apart from the time after a restart.
        if (!restarts)
            RC_ASSERT(static_cast<double>(used.size()) >= 20 * perSecond * 0.8 - 3);
    }));
}

TEST_CASE("property: gateways without agents keep a limit in sum, and learn that it was lifted")
{
    CHECK(rc::check([] {
        const double perSecond = *rc::gen::inRange(0, 100) / 10.0;
        const auto count = *rc::gen::inRange<std::uint32_t>(1, 40);
        const Duration reportInterval = *rc::gen::inRange(30, 1000) * 1ms;
        SeededRandom random(*rc::gen::inRange<std::uint64_t>(0, 1000000));
        std::vector<std::unique_ptr<DirectScheduler>> gateways;
        for (std::uint32_t n = 0; n < count; ++n) {
            gateways.push_back(std::make_unique<DirectScheduler>(DirectSettings {"a"}));
            gateways.back()->setBackends({server("limited"), server("other")}, {{"ledger", 0}},
                                         start);
            gateways.back()->setGateways(count, n);
        }
        const Instant lifted = start + 20s;
        std::vector<Instant> limitedStarts;
        std::uint64_t sequence = 0;
        Instant reportAt = start;
        for (Instant now = start; now < start + 60s; now += 10ms) {
            for (int i = 0; i < 3; ++i) {
                auto &gateway = *gateways[random.below(count)];
                DirectRequest request;
                request.id = {1, ++sequence};
                request.service = "ledger";
                request.arrivedAt = now;
                request.waitUntil = request.deadline = now + 300ms;
                gateway.add(request);
                for (const DirectAction &it : gateway.advance(now)) {
                    const auto *action = std::get_if<StartAction>(&it);
                    if (action == nullptr)
                        continue;
                    const bool limited = action->backend == "limited";
                    if (limited)
                        limitedStarts.push_back(now);
                    gateway.answered(
                            action->backend,
                            limited && now < lifted ? std::optional(perSecond) : std::nullopt, now);
                    gateway.ended(action->request, {AttemptOutcome::Answered, 1ms, {}}, now);
                }
            }
            if (now < reportAt)
                continue;
            reportAt = now + reportInterval;
            for (std::uint32_t from = 0; from < count; ++from) {
                const auto loads = gateways[from]->ownLoads(now);
                for (std::uint32_t to = 0; to < count; ++to) {
                    if (to != from)
                        gateways[to]->peerReport(from, loads, now);
                }
            }
        }
        // All have heard of the limit three seconds after it was first named.
        std::vector<Instant> settled;
        std::copy_if(limitedStarts.begin(), limitedStarts.end(), std::back_inserter(settled),
                     [&](Instant it) { return it >= start + 3s && it < lifted; });
        RC_ASSERT(busiestWindow(settled) <= allowedIn(perSecond));
        const auto late = std::count_if(limitedStarts.begin(), limitedStarts.end(),
                                        [&](Instant it) { return it >= start + 50s; });
        RC_ASSERT(late > 100);
    }));
}
