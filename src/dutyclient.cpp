// Sends calls on connections of their own and waits for the status.

#include "dutyclient.h"

#include <utility>

namespace cornelshed {

namespace {

// Holders change, and the platform counts by seconds of its own.
constexpr double usedRateShare = 0.8;
constexpr std::size_t callLimit = 4; // in progress
constexpr std::uint32_t okStatus = 200;
constexpr std::uint32_t okStatusEnd = 300;
constexpr std::uint32_t requestTimeoutStatus = 408;
constexpr std::uint32_t tooManyRequestsStatus = 429;
constexpr std::uint32_t serverErrorStatus = 500;

DutyCallOutcome outcomeOf(std::uint32_t status)
{
    if (status >= okStatus && status < okStatusEnd)
        return DutyCallOutcome::Accepted;
    if (status == requestTimeoutStatus || status == tooManyRequestsStatus
        || status >= serverErrorStatus)
        return DutyCallOutcome::NotTaken;
    return DutyCallOutcome::Refused;
}

// Passes on the outcome when the response is complete.
class StatusHandler final : public BackendResponseHandler
{
public:
    explicit StatusHandler(DutyClient::Ended ended) : m_ended(std::move(ended)) { }

    void head(std::uint32_t status, Headers /*headers*/) override { m_status = status; }
    void body(std::string /*data*/) override { }
    void finished() override { m_ended(outcomeOf(m_status), m_status); }
    void failed(BackendError error) override
    {
        m_ended(mayHaveBeenSent(error) ? DutyCallOutcome::Unanswered : DutyCallOutcome::NotTaken,
                0);
    }

private:
    DutyClient::Ended m_ended;
    std::uint32_t m_status = 0;
};

BackendClientSettings clientSettings(Duration callTimeout)
{
    BackendClientSettings settings;
    settings.connectTimeout = callTimeout / 2;
    // What the host still sends after the time-out could arrive after the end of the lease.
    settings.tcpUserTimeout = callTimeout;
    settings.bodyLimitBytes = std::uint64_t {64} << 10U;
    settings.acceptsCloseDelimitedBody = true;
    return settings;
}

} // namespace

DutyClient::DutyClient(boost::asio::io_context &context, const std::string &address,
                       std::uint16_t port, double callsPerSecond, Duration callTimeout,
                       Metrics &metrics)
    : m_metrics(metrics), m_callTimeout(callTimeout),
      m_interval(std::chrono::duration_cast<Duration>(
              std::chrono::duration<double>(1 / (callsPerSecond * usedRateShare)))),
      m_client(context, address, port, clientSettings(callTimeout))
{ }

bool DutyClient::isReady(Duration now) const
{
    return now >= m_nextAt && m_state->inProgress < callLimit;
}

void DutyClient::send(const EncodedDutyCall &call, const char *duty, Duration now, Ended ended)
{
    m_nextAt = now + m_interval;
    ++m_state->inProgress;
    BackendRequest request {call.method, call.path, call.headers, call.body, m_callTimeout};
    // Of a call on a connection that was lost meanwhile, nobody could tell whether it was taken.
    request.ownConnection = true;
    request.writeBefore = now + m_callTimeout;
    m_client.start(
            std::move(request),
            std::make_shared<StatusHandler>(
                    [state = m_state, &metrics = m_metrics, name = std::string(duty),
                     ended = std::move(ended)](DutyCallOutcome outcome, std::uint32_t status) {
                        --state->inProgress;
                        if (outcome == DutyCallOutcome::Unanswered)
                            state->unansweredAt = std::chrono::steady_clock::now();
                        metrics.counter("cornelshed_gateway_duty_calls_total{duty=\"" + name
                                                + "\",outcome=\"" + nameOf(outcome) + "\"}",
                                        "Calls to the platform of the duties")
                                .add();
                        ended(outcome, status);
                    }));
}

} // namespace cornelshed
