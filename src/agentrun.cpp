// Forwards the response as it arrives. The end event of a stream is held back until the server's
// response is complete, so that no caller receives the end event of a stream that is cut
// afterwards.

#include "agentrun.h"

#include "httpheaders.h"
#include "monotonicclock.h"

#include <utility>

namespace cornelshed {

namespace {

// Completion responses, which carry the usage, are far smaller. No tokens are counted for larger
// responses.
constexpr std::size_t usageBufferLimitBytes = std::size_t {4} << 20U;
constexpr std::uint32_t firstServerErrorStatus = 500;

} // namespace

AgentRun::AgentRun(SessionId session, const Dispatch &dispatch, AgentRunOwner &owner)
    : m_session(session), m_request(dispatch.request), m_owner(owner), m_startedAt(monotonicNow())
{
    if (const std::string *id = findHeader(dispatch.headers, requestIdHeader))
        m_serverRequestId = *id;
}

void AgentRun::head(std::uint32_t status, Headers headers)
{
    m_status = status;
    m_isStream = status == 200 && declaresEventStream(headers);
    if (m_cancelled || status >= firstServerErrorStatus)
        return;
    m_owner.sendToEntry(m_session, ResponseHead {m_request, status, endToEndHeaders(headers)});
}

void AgentRun::body(std::string data)
{
    if (m_cancelled || m_status >= firstServerErrorStatus)
        return;
    if (m_isStream)
        forwardEvents(data);
    else
        forwardBody(std::move(data));
}

void AgentRun::forwardEvents(const std::string &data)
{
    std::string completeEvents = m_eventParser.append(data);
    if (completeEvents.empty())
        return;
    reportFirstToken();
    sendChunk(std::move(completeEvents));
    if (m_eventParser.newTokenCount() > 0)
        m_owner.runTokens(m_request, m_eventParser.newTokenCount());
}

void AgentRun::forwardBody(std::string data)
{
    if (m_responseBody.size() + data.size() <= usageBufferLimitBytes)
        m_responseBody += data;
    sendChunk(std::move(data));
}

void AgentRun::reportFirstToken()
{
    if (m_firstTokenAt != instantNever)
        return;
    m_firstTokenAt = monotonicNow();
    m_owner.runFirstToken(m_request);
}

void AgentRun::sendChunk(std::string data)
{
    m_owner.sendToEntry(m_session, Chunk {m_request, std::move(data)});
}

Usage AgentRun::usage() const
{
    Usage usage = m_eventParser.usage();
    if (!m_isStream)
        parseUsage(m_responseBody, usage);
    usage.totalTime = monotonicNow() - m_startedAt;
    if (m_firstTokenAt != instantNever)
        usage.firstTokenTime = m_firstTokenAt - m_startedAt;
    return usage;
}

void AgentRun::finished()
{
    if (m_cancelled) {
        m_owner.runFailed(m_request, FailReason::Cancelled, false);
    } else if (m_status >= firstServerErrorStatus) {
        m_owner.runFailed(m_request, FailReason::EngineError, false);
    } else if (m_isStream && (!m_eventParser.ended() || m_eventParser.malformed())) {
        m_owner.runFailed(m_request, FailReason::StreamCut, false);
    } else {
        if (m_isStream)
            sendChunk(m_eventParser.endEvent());
        m_owner.runFinished(m_request, usage());
    }
}

void AgentRun::failed(BackendError error)
{
    const bool notRun = !mayHaveBeenSent(error);
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
