// Tests the validation of state charts. A malformed chart could leave a request, a rollout or a
// lease in a state that it never leaves. The daemons validate the chart files when they start
// and do not start with a malformed one.

#include "statechart.h"
#include "statechartfile.h"

#include <doctest/doctest.h>

using namespace cornelshed;

namespace {

StateChartDefinition switchChart()
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

TEST_CASE("the shipped state charts are valid")
{
    for (const char *it : {"request", "backend_server", "rollout", "availability_zone", "lease"}) {
        const auto chart =
                readStateChart(std::string(CORNELSHED_SOURCE_DIR "/charts/") + it + ".toml");
        REQUIRE(std::holds_alternative<StateChart>(chart));
        CHECK(std::get<StateChart>(chart).name() == it);
    }
}

TEST_CASE("a state chart returns the next state and rejects unknown events")
{
    const auto chart = std::get<StateChart>(StateChart::create(switchChart()));
    CHECK(chart.next("off", "press") == "on");
    CHECK_FALSE(chart.next("off", "pull").has_value());
}

TEST_CASE("each kind of malformed chart is rejected")
{
    CHECK(problemCount(switchChart()) == 0);
    auto unreachable = switchChart();
    unreachable.states.emplace_back("lost");
    CHECK(problemCount(unreachable) == 2); // not reachable, and no outgoing transition
    auto ambiguous = switchChart();
    ambiguous.transitions.push_back({"off", "press", "off"});
    CHECK(problemCount(ambiguous) == 1);
    auto unknownTarget = switchChart();
    unknownTarget.transitions.push_back({"on", "pull", "nowhere"});
    CHECK(problemCount(unknownTarget) == 1);
    auto leavesFinal = switchChart();
    leavesFinal.finalStates.emplace_back("on");
    CHECK(problemCount(leavesFinal) == 1);
}
