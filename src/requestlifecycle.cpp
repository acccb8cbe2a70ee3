// Compiles the request state chart into a transition table.

#include "requestlifecycle.h"

#include <string_view>
#include <utility>

namespace cornelshed {

namespace {

// Indexed by RequestState and RequestEvent.
constexpr std::array stateNames {"waiting", "dispatched", "answered", "not_run", "unknown"};
constexpr std::array eventNames {"grant_accepted", "refused",   "not_run_reported", "finished",
                                 "failed",         "cancelled", "session_lost"};

std::optional<RequestState> stateByName(std::optional<std::string_view> name)
{
    for (std::size_t i = 0; name.has_value() && i < stateNames.size(); ++i)
        if (*name == stateNames[i])
            return static_cast<RequestState>(i);
    return std::nullopt;
}

} // namespace

const char *requestStateName(RequestState state)
{
    return stateNames[static_cast<std::size_t>(state)];
}

const char *requestEventName(RequestEvent event)
{
    return eventNames[static_cast<std::size_t>(event)];
}

StateChart defaultRequestChart()
{
    StateChartDefinition definition {"request",
                                     "waiting",
                                     {"waiting", "dispatched", "answered", "not_run", "unknown"},
                                     {"answered", "not_run", "unknown"},
                                     {{"waiting", "grant_accepted", "dispatched"},
                                      {"waiting", "refused", "not_run"},
                                      {"dispatched", "not_run_reported", "waiting"},
                                      {"dispatched", "finished", "answered"},
                                      {"dispatched", "failed", "unknown"},
                                      {"dispatched", "cancelled", "unknown"},
                                      {"dispatched", "session_lost", "unknown"}}};
    return std::get<StateChart>(StateChart::create(std::move(definition)));
}

RequestLifecycle::RequestLifecycle(const StateChart &chart)
{
    for (std::size_t state = 0; state < stateCount; ++state)
        for (std::size_t event = 0; event < eventCount; ++event)
            m_transitions[state][event] =
                    stateByName(chart.next(stateNames[state], eventNames[event]));
}

std::optional<RequestState> RequestLifecycle::next(RequestState state, RequestEvent event) const
{
    return m_transitions[static_cast<std::size_t>(state)][static_cast<std::size_t>(event)];
}

} // namespace cornelshed
