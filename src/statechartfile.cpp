// Converts the TOML form of a state chart into a definition. The set of states is derived from the
// transitions, so that a file need not list the states a second time.

#include "statechartfile.h"

#include <toml++/toml.h>

#include <algorithm>
#include <utility>

namespace cornelshed {

namespace {

void addState(std::vector<std::string> &states, const std::string &state)
{
    if (std::find(states.begin(), states.end(), state) == states.end())
        states.push_back(state);
}

// Adds the transitions and their states to the definition; returns a problem for each malformed
// transition.
std::vector<std::string> readTransitions(const toml::table &table, StateChartDefinition &definition)
{
    std::vector<std::string> problems;
    const toml::array *transitions = table["transitions"].as_array();
    if (transitions == nullptr)
        return {"transitions: expected an array of tables"};
    for (const toml::node &it : *transitions) {
        const toml::table *row = it.as_table();
        const auto text = [&](const char *key) {
            return row == nullptr ? std::string() : (*row)[key].value_or(std::string());
        };
        StateChartTransition transition {text("from"), text("event"), text("to")};
        if (transition.from.empty() || transition.event.empty() || transition.to.empty()) {
            problems.push_back("line " + std::to_string(it.source().begin.line)
                               + ": a transition needs from, event and to");
            continue;
        }
        addState(definition.states, transition.from);
        addState(definition.states, transition.to);
        definition.transitions.push_back(std::move(transition));
    }
    return problems;
}

StateChartError prefixedWithPath(const std::string &path, std::vector<std::string> problems)
{
    for (std::string &it : problems)
        it.insert(0, path + ": ");
    return StateChartError {std::move(problems)};
}

} // namespace

Result<StateChart, StateChartError> readStateChart(const std::string &path)
{
    toml::table table;
    try {
        table = toml::parse_file(path);
    } catch (const toml::parse_error &error) {
        return prefixedWithPath(path, {std::string(error.description())});
    }
    StateChartDefinition definition;
    definition.name = table["name"].value_or(std::string());
    definition.initial = table["initial"].value_or(std::string());
    if (const toml::array *finals = table["final"].as_array()) {
        for (const toml::node &it : *finals)
            definition.finalStates.push_back(it.value_or(std::string()));
    }
    const std::vector<std::string> problems = readTransitions(table, definition);
    if (!problems.empty())
        return prefixedWithPath(path, problems);
    Result<StateChart, StateChartError> chart = StateChart::create(std::move(definition));
    if (const auto *error = std::get_if<StateChartError>(&chart))
        return prefixedWithPath(path, error->problems);
    return chart;
}

} // namespace cornelshed
