// States of a request at the entry daemon, with the transitions taken from the request state chart
// (charts/request.toml). The chart is compiled into a table once, because every request makes
// several transitions.

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

// Names as written in the chart.
const char *requestStateName(RequestState state);
const char *requestEventName(RequestEvent event);

// The chart of charts/request.toml as a value, for embedding without files. A test compares both.
StateChart defaultRequestChart();

class RequestLifecycle
{
public:
    // States and events that the chart does not name have no transitions.
    explicit RequestLifecycle(const StateChart &chart);

    // The state after the event, or nothing if the chart does not allow the event in that state.
    std::optional<RequestState> next(RequestState state, RequestEvent event) const;

private:
    static constexpr std::size_t stateCount = 5;
    static constexpr std::size_t eventCount = 7;

    std::array<std::array<std::optional<RequestState>, eventCount>, stateCount> m_next;
};

} // namespace cornelshed

#endif // CORNELSHED_REQUESTLIFECYCLE_H
