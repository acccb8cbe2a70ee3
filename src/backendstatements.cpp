// Decides which answers speak for the backend server that a request was sent to.

#include "backendstatements.h"

#include "eventlog.h"
#include "monotonicclock.h"

namespace cornelshed::detail {

using namespace std::chrono_literals;

BackendStatements::BackendStatements(DirectScheduler &scheduler, Metrics &metrics)
    : m_scheduler(scheduler),
      m_malformed(metrics.counter(
              "cornelshed_gateway_malformed_notices_total",
              "Answers whose word of leaving or of a pause has a value without a meaning"))
{
    const auto count = [&metrics, &scheduler](const char *name, const char *help,
                                              AvailabilityReason reason) {
        metrics.gauge(name, help, [&scheduler, reason] {
            return static_cast<double>(scheduler.countUnavailable(reason, monotonicNow()));
        });
    };
    count("cornelshed_gateway_backends_leaving", "Backend servers that said that they leave",
          AvailabilityReason::Leaving);
    count("cornelshed_gateway_backends_paused", "Backend servers that asked for a pause",
          AvailabilityReason::Paused);
}

void BackendStatements::replyReceived(const RequestId &id, const std::string &backend,
                                      const BackendReply &reply)
{
    // Another backend server, which now has the address, wrote this answer.
    if (reply.misdirected)
        return;
    const Instant now = monotonicNow();
    // Only the backend server itself can lift its limit, so that answer must be authentic. That it
    // leaves or wants a pause is believed of any: requests then go elsewhere for a while.
    if (reply.authenticated || reply.notRun)
        applyLimit(backend, reply, now);
    if (reply.leaving && m_scheduler.announcedLeaving(id, backend))
        EventLog("backend_leaving").field("backend", backend);
    if (reply.pause && m_scheduler.askedForPause(id, backend, *reply.pause, now))
        EventLog("backend_paused").field("backend", backend).field("pause_ms", *reply.pause / 1ms);
    if (!reply.noticeMalformed)
        return;
    m_malformed.add();
    if (!m_malformedLogged)
        EventLog("notice_malformed", EventLevel::Warning).field("backend", backend);
    m_malformedLogged = true;
}

void BackendStatements::applyLimit(const std::string &backend, const BackendReply &reply,
                                   Instant now)
{
    const auto before = m_scheduler.namedLimit(backend);
    m_scheduler.answered(backend, reply.requestsPerSecond, now);
    const auto after = m_scheduler.namedLimit(backend);
    if (before.has_value() != after.has_value())
        EventLog(after ? "backend_limit_named" : "backend_limit_lifted")
                .field("backend", backend)
                .field("requests_per_second", after.value_or(0));
}

} // namespace cornelshed::detail
