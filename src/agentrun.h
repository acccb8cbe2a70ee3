// Executes one request on the backend server and translates the server's response into messages for
// the entry daemon and events for the scheduler.

#ifndef CORNELSHED_AGENTRUN_H
#define CORNELSHED_AGENTRUN_H

#include "agentscheduler.h"
#include "answerbudget.h"
#include "backendclient.h"
#include "eventstream.h"
#include "messages.h"

#include <memory>
#include <string>
#include <string_view>

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

    // Releases size bytes of share once the message is written.
    virtual void sendToEntry(SessionId session, const AgentMessage &message,
                             std::shared_ptr<AnswerShare> share, std::size_t size) = 0;

    // The rest of the response is not wanted: the connection to the server is to be closed. The end
    // of the run follows as usual, but not before this call returns.
    virtual void abandonResponse(RequestId request) = 0;
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
    AgentRun(SessionId session, const Dispatch &dispatch, AgentRunOwner &owner,
             const std::shared_ptr<AnswerBudget> &budget);

    // Identifies the request to the server; the value of its X-Request-Id header.
    const std::string &serverRequestId() const { return m_serverRequestId; }

    // Stops forwarding the response, of which only a short rest is still read. The end of the run
    // is reported as FailReason::Cancelled.
    void cancel() { m_cancelled = true; }

    void head(std::uint32_t status, Headers headers) override;
    void body(std::string data) override;
    void finished() override;
    void failed(BackendError error) override;

private:
    void forwardEvents(const std::string &data);
    void forwardBody(const std::string &data);
    void keepForUsage(const std::string &data);
    void discard(std::size_t bytes);
    void reportFirstToken();
    void sendChunks(std::string_view data);
    bool sendChunk(std::string_view data);
    bool holdPartialEvent();
    bool take(std::size_t bytes);
    void cut(std::string_view reason);
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
    bool m_isCut = false;             // exceeded a limit or is malformed; nothing more is forwarded
    std::size_t m_bodyBytes = 0;      // non-streaming only
    std::size_t m_discardedBytes = 0; // received, but not to be forwarded
    EventStreamParser m_eventParser;
    std::string m_responseBody; // non-streaming only, kept up to a limit to read its usage
    bool m_keepsBody = true;    // m_responseBody holds all of the body so far
    std::size_t m_answerLimitBytes;
    // Held for the chunks that are not written yet, and for m_eventParser.
    std::shared_ptr<AnswerShare> m_share;
    std::size_t m_partialEventBytes = 0; // of m_share, for m_eventParser
    AnswerShare m_bodyShare;             // held for m_responseBody
};

} // namespace cornelshed

#endif // CORNELSHED_AGENTRUN_H
