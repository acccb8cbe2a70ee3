// Tests AdaptiveLimit: cold start, growth, shrinking, and the slots reserved for short requests.

#include "adaptivelimit.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cornelshed;

namespace {

constexpr AdaptiveLimitSettings settings {1, 64, 8000, 400000};

Occupancy fullOf(const AdaptiveLimit &limit)
{
    return {limit.concurrency(), limit.tokens()};
}

AdaptiveLimit warmLimit()
{
    AdaptiveLimit limit(settings);
    while (limit.cold())
        limit.recordSuccess(fullOf(limit), LatencyClass::WithinTarget);
    return limit;
}

} // namespace

TEST_CASE("a cold limit doubles only on success at full occupancy")
{
    AdaptiveLimit limit(settings);
    CHECK(limit.concurrency() == 1);
    limit.recordSuccess(fullOf(limit), LatencyClass::WithinTarget);
    CHECK(limit.concurrency() == 2);
    limit.recordSuccess({1, 100}, LatencyClass::WithinTarget);
    CHECK(limit.concurrency() == 2);
    limit.recordSuccess(fullOf(limit), LatencyClass::Slow);
    CHECK(limit.concurrency() == 2);
}

TEST_CASE("three slow observations in a row or two failures turn a warm limit cold")
{
    AdaptiveLimit slow = warmLimit();
    for (int n = 0; n < 3; ++n) {
        CHECK_FALSE(slow.cold());
        slow.recordLatency(LatencyClass::Slow, fullOf(slow), Instant());
    }
    CHECK(slow.concurrency() == 1);
    AdaptiveLimit failing = warmLimit();
    failing.recordFailure(Instant());
    CHECK_FALSE(failing.cold());
    failing.recordFailure(Instant());
    CHECK(failing.concurrency() == 1);
}

TEST_CASE("a request that had to wait on the server lowers the limit to the occupancy before it")
{
    AdaptiveLimit limit = warmLimit();
    limit.recordServerQueueing({12, 150000});
    CHECK(limit.tokens() == 150000);
    CHECK(limit.concurrency() == 64); // tokens were the bottleneck
    limit.recordServerQueueing({60, 100000});
    CHECK(limit.concurrency() == 60);
}

TEST_CASE("a fifth of the slots is reserved for short requests")
{
    const AdaptiveLimit limit = warmLimit();
    CHECK(limit.admits({51, 1000}, 100, false));
    CHECK_FALSE(limit.admits({52, 1000}, 100, false));
    CHECK(limit.admits({52, 1000}, 100, true));
    CHECK_FALSE(limit.admits({64, 1000}, 100, true));
}

TEST_CASE("under random events the limit stays within its bounds and is not exceeded")
{
    CHECK(rc::check([] {
        AdaptiveLimit limit(settings);
        const int steps = *rc::gen::inRange(1, 300);
        for (int n = 0; n < steps; ++n) {
            const Occupancy occupancy {*rc::gen::inRange<std::uint32_t>(0, 80),
                                       *rc::gen::inRange<std::uint64_t>(0, 500000)};
            const LatencyClass latencyClass =
                    *rc::gen::element(LatencyClass::WithinTarget, LatencyClass::WithinTarget,
                                      LatencyClass::AboveTarget, LatencyClass::Slow);
            const int event = *rc::gen::inRange(0, 6);
            if (event == 0)
                limit.recordFailure(Instant());
            else if (event == 1)
                limit.recordServerQueueing(occupancy);
            else if (event == 2)
                limit.recordLatency(latencyClass, occupancy, Instant());
            else
                limit.recordSuccess(event == 3 ? occupancy : fullOf(limit), latencyClass);
            RC_ASSERT(limit.concurrency() >= 1U && limit.concurrency() <= 64U);
            RC_ASSERT(limit.tokens() >= 8000U && limit.tokens() <= 400000U);
            if (occupancy.requests > 0 && occupancy.requests >= limit.concurrency())
                RC_ASSERT(!limit.admits(occupancy, 1, true));
        }
    }));
}
