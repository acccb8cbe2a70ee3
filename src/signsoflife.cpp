// When a backend server without its agent may be tried.

#include "signsoflife.h"

#include <algorithm>

namespace cornelshed {

namespace {

using namespace std::chrono_literals;

// An agent is there if it was heard within this time; it is asked for signs of life more often.
constexpr Duration agentTime = 10s;
// An agent that did not answer is left alone for this time.
constexpr Duration agentSilence = 1s;
// A backend server from which nothing was heard is left alone for this time, or until its agent or
// one of its answers is heard.
constexpr Duration silentPause = 1500ms;

} // namespace

void SignsOfLife::agentHeard(Instant now)
{
    m_agentHeardAt = now;
    m_agentSilent = false;
    m_agentSilentUntil = Instant::min();
    m_avoidUntil = Instant::min();
    m_answersAlone = false;
}

void SignsOfLife::agentUnanswered(Instant now)
{
    // It is asked again from time to time; that is no new silence.
    if (!m_agentSilent)
        m_lastSilence = now;
    m_agentSilent = true;
    m_agentSilentUntil = now + agentSilence;
}

bool SignsOfLife::hasAgent(Instant now) const
{
    return m_agentHeardAt && now - *m_agentHeardAt < agentTime && m_agentSilentUntil <= now;
}

bool SignsOfLife::hadAgent() const
{
    return m_agentHeardAt.has_value();
}

bool SignsOfLife::agentLost(Instant now) const
{
    return hadAgent() && (m_agentSilent || now - *m_agentHeardAt >= agentTime);
}

void SignsOfLife::requestStarted()
{
    ++m_unansweredCount;
}

void SignsOfLife::requestNeverSent()
{
    --m_unansweredCount;
}

void SignsOfLife::requestHeard(Instant now)
{
    --m_unansweredCount;
    m_avoidUntil = Instant::min();
    m_answersAlone = agentLost(now);
}

void SignsOfLife::requestUnheard(bool takenBack, Instant now)
{
    --m_unansweredCount;
    // Where the agent is lost, a caller that leaves is no reason to try the next request at once.
    if (takenBack || agentLost(now))
        pause(now);
}

void SignsOfLife::streamSilent(Instant now)
{
    pause(now);
}

void SignsOfLife::pause(Instant now)
{
    m_avoidUntil = now + silentPause;
    m_lastSilence = m_avoidUntil;
    m_answersAlone = false;
}

void SignsOfLife::peerReported(BackendSign sign, Instant now)
{
    if (sign == BackendSign::None || !agentLost(now) || m_avoidUntil > now)
        return;
    if (sign == BackendSign::Heard)
        m_answersAlone = true;
    else if (!m_answersAlone)
        m_lastSilence = std::max(m_lastSilence, now);
}

BackendSign SignsOfLife::ownSign(Instant now) const
{
    const bool lost = agentLost(now);
    if (m_avoidUntil > now || (lost && !m_answersAlone && m_unansweredCount > 0))
        return BackendSign::Silent;
    return lost && m_answersAlone ? BackendSign::Heard : BackendSign::None;
}

bool SignsOfLife::mayBeSilent(Duration turnDelay, std::uint32_t peersSilent, Instant now) const
{
    if (m_avoidUntil > now)
        return true;
    if (!agentLost(now))
        return false;
    if (m_unansweredCount > 0)
        return true;
    const Instant lastSilence =
            std::max(m_lastSilence, m_agentSilent ? Instant::min() : *m_agentHeardAt + agentTime);
    return !m_answersAlone && (peersSilent > 0 || now < lastSilence + turnDelay);
}

} // namespace cornelshed
