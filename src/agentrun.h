// One request that runs on the backend server: turns the server's answer into messages for the
// entry daemon and events for the scheduler.

#ifndef CORNELSHED_AGENTRUN_H
#define CORNELSHED_AGENTRUN_H

#include "agentscheduler.h"
#include "backendclient.h"
#include "eventstream.h"
#include "messages.h"

#include <memory>
#include <string>

namespace cornelshed {

// What a run tells the agent. Exactly one of runFinished and runFailed ends a run.
class AgentRunOwner
{
public:
    virtual ~AgentRunOwner() = default;
    virtual void sendToEntry(SessionId session, const AgentMessage &message) = 0;
    virtual void runFirstToken(RequestId request) = 0;
    virtual void runTokens(RequestId request, std::uint64_t count) = 0;
    virtual void runFinished(RequestId request, const Usage &usage) = 0;
    virtual void runFailed(RequestId request, FailReason reason, bool notRun) = 0;
};

class AgentRun final : public BackendAnswer
{
public:
    // owner must outlive the run.
    AgentRun(SessionId session, const Dispatch &dispatch, AgentRunOwner &owner);

    // Name of the request at the server, as given by its X-Request-Id.
    const std::string &serverRequestId() const { return m_serverRequestId; }

    // Nothing of the answer is passed on from now on; the end is reported as cancelled.
    void cancel() { m_cancelled = true; }

    void head(std::uint32_t status, Headers headers) override;
    void body(std::string data) override;
    void finished() override;
    void failed(BackendError error) override;

private:
    void passEvents(const std::string &data);
    void passWhole(std::string data);
    void firstToken();
    void sendChunk(std::string data);
    Usage usage() const;

    SessionId m_session;
    RequestId m_request;
    std::string m_serverRequestId;
    AgentRunOwner &m_owner;
    Instant m_started;
    Instant m_firstToken = instantNever;
    std::uint32_t m_status = 0;
    bool m_isStream = false;
    bool m_cancelled = false;
    EventStream m_events;
    std::string m_wholeAnswer; // kept for its usage, up to a limit
};

} // namespace cornelshed

#endif // CORNELSHED_AGENTRUN_H
