// A run passes the answer on as it arrives. The end of a stream is kept back until the server's
// answer is complete, so that no caller sees the end of a stream that is cut afterwards.

#include "agentrun.h"

#include "httpheaders.h"
#include "monotonicclock.h"

#include <utility>

namespace cornelshed {

namespace {

// Usage stands in answers of completions, which are far smaller; larger answers count no tokens.
constexpr std::size_t usageSearchLimitBytes = std::size_t {4} << 20U;
constexpr std::uint32_t firstServerErrorStatus = 500;

} // namespace

AgentRun::AgentRun(SessionId session, const Dispatch &dispatch, AgentRunOwner &owner)
    : m_session(session), m_request(dispatch.request), m_owner(owner), m_started(monotonicNow())
{
    if (const std::string *id = findHeader(dispatch.headers, "X-Request-Id"))
        m_serverRequestId = *id;
}

void AgentRun::head(std::uint32_t status, Headers headers)
{
    m_status = status;
    const std::string *type = findHeader(headers, "Content-Type");
    m_isStream = status == 200 && type != nullptr && type->starts_with("text/event-stream");
    if (m_cancelled || status >= firstServerErrorStatus)
        return;
    m_owner.sendToEntry(m_session, ResponseHead {m_request, status, endToEndHeaders(headers)});
}

void AgentRun::body(std::string data)
{
    if (m_cancelled || m_status >= firstServerErrorStatus)
        return;
    if (m_isStream)
        passEvents(data);
    else
        passWhole(std::move(data));
}

void AgentRun::passEvents(const std::string &data)
{
    std::string whole = m_events.append(data);
    if (whole.empty())
        return;
    firstToken();
    sendChunk(std::move(whole));
    if (m_events.newTokens() > 0)
        m_owner.runTokens(m_request, m_events.newTokens());
}

void AgentRun::passWhole(std::string data)
{
    if (m_wholeAnswer.size() + data.size() <= usageSearchLimitBytes)
        m_wholeAnswer += data;
    sendChunk(std::move(data));
}

void AgentRun::firstToken()
{
    if (m_firstToken != instantNever)
        return;
    m_firstToken = monotonicNow();
    m_owner.runFirstToken(m_request);
}

void AgentRun::sendChunk(std::string data)
{
    m_owner.sendToEntry(m_session, Chunk {m_request, std::move(data)});
}

Usage AgentRun::usage() const
{
    Usage usage = m_events.usage();
    if (!m_isStream)
        readUsage(m_wholeAnswer, usage);
    usage.totalTime = monotonicNow() - m_started;
    if (m_firstToken != instantNever)
        usage.firstTokenTime = m_firstToken - m_started;
    return usage;
}

void AgentRun::finished()
{
    if (m_cancelled) {
        m_owner.runFailed(m_request, FailReason::Cancelled, false);
    } else if (m_status >= firstServerErrorStatus) {
        m_owner.runFailed(m_request, FailReason::EngineError, false);
    } else if (m_isStream && (!m_events.ended() || m_events.malformed())) {
        m_owner.runFailed(m_request, FailReason::StreamCut, false);
    } else {
        if (m_isStream)
            sendChunk(m_events.endEvent());
        m_owner.runFinished(m_request, usage());
    }
}

void AgentRun::failed(BackendError error)
{
    const bool notRun = error == BackendError::NotSent;
    if (m_cancelled)
        m_owner.runFailed(m_request, FailReason::Cancelled, notRun);
    else if (notRun)
        m_owner.runFailed(m_request, FailReason::EngineUnreachable, true);
    else if (error == BackendError::Cut)
        m_owner.runFailed(m_request, FailReason::StreamCut, false);
    else
        m_owner.runFailed(m_request, FailReason::EngineError, false);
}

} // namespace cornelshed
