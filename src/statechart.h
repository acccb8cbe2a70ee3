// Interpreted state charts. The charts of requests, backend servers, rollouts, availability zones
// and leases are files (charts/*.toml); this part checks them and tells the next state. It reads no
// file: the runtime parses the file into a StateChartDefinition (see statechartfile.h).

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
    std::vector<std::string> problems; // all that were found, never empty

    bool operator==(const StateChartError &) const = default;
};

// A checked chart: every state is reachable, every target is known, each event leads from a state
// to one state only, final states have no way out and all others have one.
class StateChart
{
public:
    static Result<StateChart, StateChartError> create(StateChartDefinition definition);

    const std::string &name() const { return m_definition.name; }
    const std::string &initial() const { return m_definition.initial; }

    // The state after the event, or nothing if the event is not allowed in that state.
    std::optional<std::string_view> next(std::string_view state, std::string_view event) const;

    bool isFinal(std::string_view state) const;

private:
    explicit StateChart(StateChartDefinition definition);

    StateChartDefinition m_definition; // invariant: passed every check of create()
};

} // namespace cornelshed

#endif // CORNELSHED_STATECHART_H
