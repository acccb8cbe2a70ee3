// Guards against charts that would strand a request, rollout or lease in a state, and against a
// chart file that no longer passes the check every daemon does at start.

#include "statechart.h"
#include "statechartfile.h"

#include <doctest/doctest.h>

using namespace cornelshed;

namespace {

StateChartDefinition twoStates()
{
    return {"switch", "off", {"off", "on"}, {}, {{"off", "press", "on"}, {"on", "press", "off"}}};
}

std::size_t problemCount(StateChartDefinition definition)
{
    const auto chart = StateChart::create(std::move(definition));
    const auto *error = std::get_if<StateChartError>(&chart);
    return error == nullptr ? 0 : error->problems.size();
}

} // namespace

TEST_CASE("the charts that ship pass the check")
{
    for (const char *it : {"request", "backend_server", "rollout", "availability_zone", "lease"}) {
        const auto chart =
                readStateChart(std::string(CORNELSHED_SOURCE_DIR "/charts/") + it + ".toml");
        REQUIRE(std::holds_alternative<StateChart>(chart));
        CHECK(std::get<StateChart>(chart).name() == it);
    }
}

TEST_CASE("a chart tells the next state and refuses unknown events")
{
    const auto chart = std::get<StateChart>(StateChart::create(twoStates()));
    CHECK(chart.next("off", "press") == "on");
    CHECK_FALSE(chart.next("off", "pull").has_value());
}

TEST_CASE("each kind of malformed chart is refused")
{
    CHECK(problemCount(twoStates()) == 0);
    auto unreachable = twoStates();
    unreachable.states.emplace_back("lost");
    CHECK(problemCount(unreachable) == 2); // unreachable, and no way out
    auto ambiguous = twoStates();
    ambiguous.transitions.push_back({"off", "press", "off"});
    CHECK(problemCount(ambiguous) == 1);
    auto unknownTarget = twoStates();
    unknownTarget.transitions.push_back({"on", "pull", "nowhere"});
    CHECK(problemCount(unknownTarget) == 1);
    auto leavesFinal = twoStates();
    leavesFinal.finalStates.emplace_back("on");
    CHECK(problemCount(leavesFinal) == 1);
}
