// Sends the calls of the duties to the platform, within the rate that it takes, and classifies the
// answers. Runs on the control thread.

#ifndef CORNELSHED_DUTYCLIENT_H
#define CORNELSHED_DUTYCLIENT_H

#include "backendclient.h"
#include "dutycalls.h"
#include "metrics.h"
#include "types.h"
#include "usageduty.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cornelshed {

class DutyClient
{
public:
    // callTimeout: after this time, the call neither goes on nor arrives later.
    DutyClient(boost::asio::io_context &context, const std::string &address, std::uint16_t port,
               double callsPerSecond, Duration callTimeout, Metrics &metrics);

    // Whether a call may be sent now.
    bool isReady(Duration now) const;
    bool isIdle() const { return m_state->inProgress == 0; }

    // now: on the clock of timeSinceBoot(). ended is called once, unless this object is destroyed
    // before. duty: for the metrics.
    using Ended = std::function<void(DutyCallOutcome outcome, std::uint32_t status)>;
    void send(const EncodedDutyCall &call, const char *duty, Duration now, Ended ended);

    // When the last call ended that may have been taken without an answer.
    std::optional<std::chrono::steady_clock::time_point> unansweredAt() const
    {
        return m_state->unansweredAt;
    }

private:
    struct State
    {
        std::size_t inProgress = 0;
        std::optional<std::chrono::steady_clock::time_point> unansweredAt;
    };

    Metrics &m_metrics;
    Duration m_callTimeout;
    Duration m_interval;
    Duration m_nextAt {};
    std::shared_ptr<State> m_state = std::make_shared<State>(); // shared with calls in progress
    BackendClient m_client;
};

} // namespace cornelshed

#endif // CORNELSHED_DUTYCLIENT_H
