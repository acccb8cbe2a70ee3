// Life cycle of a request at the entry daemon, as defined by the request state chart
// (charts/request.toml). The chart is compiled into a transition table once, because every request
// makes several transitions.

#ifndef CORNELSHED_REQUESTLIFECYCLE_H
#define CORNELSHED_REQUESTLIFECYCLE_H

#include "statechart.h"

#include <array>
#include <cstdint>
#include <optional>

namespace cornelshed {

enum class RequestState : std::uint8_t { Waiting, Dispatched, Answered, NotRun, Unknown };

enum class RequestEvent : std::uint8_t {
    GrantAccepted,
    Refused,
    NotRunReported,
    Finished,
    Failed,
    Cancelled,
    SessionLost
};

// The names of states and events in the chart.
const char *requestStateName(RequestState state);
const char *requestEventName(RequestEvent event);

// The chart of charts/request.toml, for use without the file. A test checks that both are equal.
StateChart defaultRequestChart();

class RequestLifecycle
{
public:
    // States and events that are missing from the chart have no transitions.
    explicit RequestLifecycle(const StateChart &chart);

    // Returns the state after the event, or nullopt if the chart does not allow it in this state.
    std::optional<RequestState> next(RequestState state, RequestEvent event) const;

private:
    static constexpr std::size_t stateCount = 5;
    static constexpr std::size_t eventCount = 7;

    std::array<std::array<std::optional<RequestState>, eventCount>, stateCount> m_transitions;
};

} // namespace cornelshed

#endif // CORNELSHED_REQUESTLIFECYCLE_H
