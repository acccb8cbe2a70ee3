// State charts interpreted at run time. The charts of requests, backend servers, rollouts,
// availability zones and leases are defined in charts/*.toml; this module validates them and looks
// up transitions. It does no file access: the runtime parses the files into StateChartDefinition
// values (see statechartfile.h).

#ifndef CORNELSHED_STATECHART_H
#define CORNELSHED_STATECHART_H

#include "types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelshed {

struct StateChartTransition
{
    std::string from;
    std::string event;
    std::string to;

    bool operator==(const StateChartTransition &) const = default;
};

struct StateChartDefinition
{
    std::string name;
    std::string initial;
    std::vector<std::string> states;
    std::vector<std::string> finalStates; // have no outgoing transitions
    std::vector<StateChartTransition> transitions;

    bool operator==(const StateChartDefinition &) const = default;
};

struct StateChartError
{
    std::vector<std::string> problems; // every violation found; never empty

    bool operator==(const StateChartError &) const = default;
};

// A validated state chart: every state is reachable, transitions connect known states only, a state
// has at most one transition for an event, and exactly the final states have no outgoing
// transition.
class StateChart
{
public:
    static Result<StateChart, StateChartError> create(StateChartDefinition definition);

    const std::string &name() const { return m_definition.name; }
    const std::string &initial() const { return m_definition.initial; }

    // Returns the state after the event, or nullopt if the event is not allowed in that state.
    std::optional<std::string_view> next(std::string_view state, std::string_view event) const;

    bool isFinal(std::string_view state) const;

private:
    explicit StateChart(StateChartDefinition definition);

    StateChartDefinition m_definition; // invariant: has passed every check of create()
};

} // namespace cornelshed

#endif // CORNELSHED_STATECHART_H
