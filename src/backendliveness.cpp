// Decides when a backend server whose agent does not respond may be probed.

#include "backendliveness.h"

#include <algorithm>

namespace cornelshed {

namespace {

using namespace std::chrono_literals;

// An agent is present if it responded within this time; gateways poll it more often than that.
constexpr Duration agentPresenceTimeout = 10s;
// No slot is requested for this time from an agent that did not answer.
constexpr Duration agentBackoff = 1s;
// A backend server that did not respond gets no request for this time, or until its agent responds
// or one of its answers arrives.
constexpr Duration backendBackoff = 1500ms;

} // namespace

void BackendLiveness::agentResponded(Instant now)
{
    m_agentHeardAt = now;
    m_agentTimedOut = false;
    m_agentBackoffUntil = Instant::min();
    m_backoffUntil = Instant::min();
    m_respondsWithoutAgent = false;
}

void BackendLiveness::agentUnanswered(Instant now)
{
    // Slot requests are tried again after each backoff; another failure must not restart the delay.
    if (!m_agentTimedOut)
        m_probeDelayStart = now;
    m_agentTimedOut = true;
    m_agentBackoffUntil = now + agentBackoff;
}

bool BackendLiveness::hasAgent(Instant now) const
{
    return m_agentHeardAt && now - *m_agentHeardAt < agentPresenceTimeout
            && m_agentBackoffUntil <= now;
}

bool BackendLiveness::hadAgent() const
{
    return m_agentHeardAt.has_value();
}

bool BackendLiveness::isAgentLost(Instant now) const
{
    return hadAgent() && (m_agentTimedOut || now - *m_agentHeardAt >= agentPresenceTimeout);
}

void BackendLiveness::requestStarted()
{
    ++m_unansweredCount;
}

void BackendLiveness::requestNeverSent()
{
    --m_unansweredCount;
}

void BackendLiveness::responseReceived(Instant now)
{
    --m_unansweredCount;
    m_backoffUntil = Instant::min();
    m_respondsWithoutAgent = isAgentLost(now);
}

void BackendLiveness::requestUnanswered(bool timedOut, Instant now)
{
    --m_unansweredCount;
    // While the agent is lost, a caller that leaves must not cause the next probe at once.
    if (timedOut || isAgentLost(now))
        startBackoff(now);
}

void BackendLiveness::streamTimedOut(Instant now)
{
    startBackoff(now);
}

void BackendLiveness::startBackoff(Instant now)
{
    m_backoffUntil = now + backendBackoff;
    m_probeDelayStart = m_backoffUntil;
    m_respondsWithoutAgent = false;
}

void BackendLiveness::peerReported(ReportedLiveness report, Instant now)
{
    if (report == ReportedLiveness::None || !isAgentLost(now) || m_backoffUntil > now)
        return;
    if (report == ReportedLiveness::Responsive)
        m_respondsWithoutAgent = true;
    else if (!m_respondsWithoutAgent)
        m_probeDelayStart = std::max(m_probeDelayStart, now);
}

ReportedLiveness BackendLiveness::ownReport(Instant now) const
{
    const bool agentLost = isAgentLost(now);
    if (m_backoffUntil > now || (agentLost && !m_respondsWithoutAgent && m_unansweredCount > 0))
        return ReportedLiveness::Unresponsive;
    return agentLost && m_respondsWithoutAgent ? ReportedLiveness::Responsive
                                               : ReportedLiveness::None;
}

bool BackendLiveness::mayBeUnresponsive(Duration probeDelay, std::uint32_t unresponsiveReports,
                                        Instant now) const
{
    if (m_backoffUntil > now)
        return true;
    if (!isAgentLost(now))
        return false;
    if (m_unansweredCount > 0)
        return true;
    const Instant probeDelayStart =
            std::max(m_probeDelayStart,
                     m_agentTimedOut ? Instant::min() : *m_agentHeardAt + agentPresenceTimeout);
    return !m_respondsWithoutAgent
            && (unresponsiveReports > 0 || now < probeDelayStart + probeDelay);
}

} // namespace cornelshed
