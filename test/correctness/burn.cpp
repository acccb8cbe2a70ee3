// Guards against counts that never expire or expire before the end of their window, and against
// memory use that grows with the number of organisations.

#include "burn.h"

#include <doctest/doctest.h>

using namespace cornelshed;

TEST_CASE("counts expire from each window after its length")
{
    BurnCounter counter;
    const Instant start {std::chrono::hours(100)};
    counter.record(0, "shop", false, start);
    counter.record(0, "shop", true, start);
    const auto countsAfter = [&](Duration age) { return counter.report(start + age).at(0).counts; };
    CHECK(countsAfter(std::chrono::minutes(4))[0] == BurnCount {2, 1});
    CHECK(countsAfter(std::chrono::minutes(6))[0] == BurnCount {0, 0});
    CHECK(countsAfter(std::chrono::minutes(50))[1] == BurnCount {2, 1});
    CHECK(countsAfter(std::chrono::hours(2))[1] == BurnCount {0, 0});
    CHECK(countsAfter(std::chrono::hours(71))[3] == BurnCount {2, 1});
}

TEST_CASE("organisations beyond the limit are counted together")
{
    BurnCounter counter(2);
    const Instant now {std::chrono::hours(1)};
    for (const char *it : {"a", "b", "c", "d"})
        counter.record(1, it, true, now);
    const auto rows = counter.report(now);
    REQUIRE(rows.size() == 3);
    CHECK(rows[0].key.organisation == "(other)");
    CHECK(rows[0].counts[0].total == 2);
}
