// Guards against a configuration that no daemon applies, because its version was given out before
// the table returned from an older copy.

#include "configpropagation.h"

#include <doctest/doctest.h>

using namespace cornelshed;
using namespace std::chrono_literals;

TEST_CASE("a version that the table gives out again with another text is read")
{
    SeededRandom random(1);
    ConfigurationPropagation daemon(
            {}, random, [](const std::string &, const std::string &) { return true; }, Instant {});
    REQUIRE(daemon.headRowRead(5, "lost", Instant {1s}).size() == 1);
    REQUIRE_FALSE(daemon.textFetched(5, "lost", "lost text", Instant {1s}).empty());
    const auto actions = daemon.headRowRead(5, "written again", Instant {5s});
    REQUIRE(actions.size() == 1);
    CHECK(std::holds_alternative<FetchText>(actions.front()));
}
