// Validates a state chart when it is created, so that look-ups need not handle malformed charts.

#include "statechart.h"

#include <algorithm>
#include <set>

namespace cornelshed {

namespace {

bool contains(const std::vector<std::string> &names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

std::set<std::string> reachableStates(const StateChartDefinition &definition)
{
    std::set<std::string> reached {definition.initial};
    bool changed = true;
    while (changed) {
        changed = false;
        for (const StateChartTransition &it : definition.transitions) {
            if (reached.count(it.from) != 0 && reached.insert(it.to).second)
                changed = true;
        }
    }
    return reached;
}

std::vector<std::string> transitionProblems(const StateChartDefinition &definition)
{
    std::vector<std::string> problems;
    std::set<std::pair<std::string, std::string>> seenTriggers;
    for (const StateChartTransition &it : definition.transitions) {
        const std::string description = "transition " + it.from + " --" + it.event + "--> " + it.to;
        if (!contains(definition.states, it.from))
            problems.push_back(description + ": unknown source state");
        if (!contains(definition.states, it.to))
            problems.push_back(description + ": unknown target state");
        if (contains(definition.finalStates, it.from))
            problems.push_back(description + ": a final state must not have outgoing transitions");
        if (!seenTriggers.insert({it.from, it.event}).second)
            problems.push_back(description
                               + ": the source state has another transition for this event");
    }
    return problems;
}

std::vector<std::string> stateProblems(const StateChartDefinition &definition)
{
    std::vector<std::string> problems;
    if (!contains(definition.states, definition.initial))
        problems.push_back("initial state " + definition.initial + " is not a known state");
    for (const std::string &it : definition.finalStates) {
        if (!contains(definition.states, it))
            problems.push_back("final state " + it + " is not a known state");
    }
    const std::set<std::string> reached = reachableStates(definition);
    for (const std::string &it : definition.states) {
        if (reached.count(it) == 0)
            problems.push_back("state " + it + " is not reachable from the initial state");
        const bool hasExit =
                std::any_of(definition.transitions.begin(), definition.transitions.end(),
                            [&](const StateChartTransition &t) { return t.from == it; });
        if (!hasExit && !contains(definition.finalStates, it))
            problems.push_back("state " + it + " has no outgoing transition and is not final");
    }
    return problems;
}

} // namespace

StateChart::StateChart(StateChartDefinition definition) : m_definition(std::move(definition)) { }

Result<StateChart, StateChartError> StateChart::create(StateChartDefinition definition)
{
    std::vector<std::string> problems = stateProblems(definition);
    for (std::string &it : transitionProblems(definition))
        problems.push_back(std::move(it));
    if (!problems.empty())
        return StateChartError {std::move(problems)};
    return StateChart(std::move(definition));
}

std::optional<std::string_view> StateChart::next(std::string_view state,
                                                 std::string_view event) const
{
    for (const StateChartTransition &it : m_definition.transitions) {
        if (it.from == state && it.event == event)
            return it.to;
    }
    return std::nullopt;
}

bool StateChart::isFinal(std::string_view state) const
{
    return contains(m_definition.finalStates, state);
}

} // namespace cornelshed
