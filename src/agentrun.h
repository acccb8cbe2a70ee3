// Executes one request on the backend server and translates the server's response into messages for
// the entry daemon and events for the scheduler.

#ifndef CORNELSHED_AGENTRUN_H
#define CORNELSHED_AGENTRUN_H

#include "agentscheduler.h"
#include "backendclient.h"
#include "eventstream.h"
#include "messages.h"

#include <memory>
#include <string>

namespace cornelshed {

// Names a request to the backend server, which may echo it in its response.
constexpr const char *requestIdHeader = "X-Request-Id";

// Receives the progress of a run. Each run ends with exactly one call of runFinished() or
// runFailed().
class AgentRunOwner
{
public:
    virtual ~AgentRunOwner() = default;
    virtual void sendToEntry(SessionId session, const AgentMessage &message) = 0;
    virtual void runFirstToken(RequestId request) = 0;
    virtual void runTokens(RequestId request, std::uint64_t count) = 0;
    virtual void runFinished(RequestId request, const Usage &usage) = 0;

    // notRun: no byte of the request was sent to the server.
    virtual void runFailed(RequestId request, FailReason reason, bool notRun) = 0;
};

class AgentRun final : public BackendResponseHandler
{
public:
    // owner must outlive the run.
    AgentRun(SessionId session, const Dispatch &dispatch, AgentRunOwner &owner);

    // Identifies the request to the server; the value of its X-Request-Id header.
    const std::string &serverRequestId() const { return m_serverRequestId; }

    // Stops forwarding the response. The end of the run is reported as FailReason::Cancelled.
    void cancel() { m_cancelled = true; }

    void head(std::uint32_t status, Headers headers) override;
    void body(std::string data) override;
    void finished() override;
    void failed(BackendError error) override;

private:
    void forwardEvents(const std::string &data);
    void forwardBody(std::string data);
    void reportFirstToken();
    void sendChunk(std::string data);
    Usage usage() const;

    SessionId m_session;
    RequestId m_request;
    std::string m_serverRequestId;
    AgentRunOwner &m_owner;
    Instant m_startedAt;
    Instant m_firstTokenAt = instantNever;
    std::uint32_t m_status = 0;
    bool m_isStream = false;
    bool m_cancelled = false;
    EventStreamParser m_eventParser;
    std::string m_responseBody; // non-streaming only, kept up to a limit to read its usage
};

} // namespace cornelshed

#endif // CORNELSHED_AGENTRUN_H
