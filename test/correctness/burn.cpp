// Guards against counts that stay in a window for ever or leave it early, and against memory that
// grows with the number of organisations.

#include "burn.h"

#include <doctest/doctest.h>

using namespace cornelshed;

TEST_CASE("counts leave each window when it is over")
{
    BurnCounter counter;
    const Instant start {std::chrono::hours(100)};
    counter.record(0, "shop", false, start);
    counter.record(0, "shop", true, start);
    const auto at = [&](Duration age) { return counter.report(start + age).at(0).counts; };
    CHECK(at(std::chrono::minutes(4))[0] == BurnCount {2, 1});
    CHECK(at(std::chrono::minutes(6))[0] == BurnCount {0, 0});
    CHECK(at(std::chrono::minutes(50))[1] == BurnCount {2, 1});
    CHECK(at(std::chrono::hours(2))[1] == BurnCount {0, 0});
    CHECK(at(std::chrono::hours(71))[3] == BurnCount {2, 1});
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
