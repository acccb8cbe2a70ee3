// Entry daemon side of the session with one agent. Reconnects with backoff, and forwards response
// chunks directly to the callers' connections. Runs on its own strand; public member functions are
// thread-safe.

#ifndef CORNELSHED_AGENTSESSION_H
#define CORNELSHED_AGENTSESSION_H

#include "callerrequest.h"
#include "controlthread.h"
#include "messages.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace cornelshed {

class AgentSession;

// Receives the events of sessions. Called on the session's strand; implementations must pass the
// event on and return quickly.
class AgentSessionOwner
{
public:
    virtual ~AgentSessionOwner() = default;
    virtual void sessionConnected(const std::shared_ptr<AgentSession> &session,
                                  const Welcome &welcome) = 0;
    virtual void sessionDisconnected(const BackendServerId &backendServer) = 0;

    // Receives every message except Welcome, ResponseHead and Chunk; in addition, the first Chunk
    // of each request without its data.
    virtual void sessionMessage(const BackendServerId &from, AgentMessage message) = 0;
};

struct AgentSessionSettings
{
    std::string entryName;
    std::uint64_t entryIncarnation = 0;
    std::size_t frameLimitBytes = 0;

    bool operator==(const AgentSessionSettings &) const = default;
};

class AgentSession : public std::enable_shared_from_this<AgentSession>
{
public:
    // owner must outlive the io_context's threads.
    AgentSession(boost::asio::io_context &context, AgentAddress address,
                 AgentSessionSettings settings, AgentSessionOwner &owner);
    ~AgentSession();
    AgentSession(const AgentSession &) = delete;
    AgentSession &operator=(const AgentSession &) = delete;

    void start(std::uint64_t configurationVersion);
    void send(EntryMessage message);

    // Sends message with the method, path, headers and body of the request, and delivers the
    // response to the request's sink.
    void dispatch(Dispatch message, std::shared_ptr<const CallerRequest> request);

    // Retired: the host list no longer contains the agent. An open connection stays in use, but is
    // not re-established after it closes.
    void setRetired(bool retired);

    void stop();

private:
    class Private;
    std::shared_ptr<Private> d; // shared with the handlers of the io_context
};

} // namespace cornelshed

#endif // CORNELSHED_AGENTSESSION_H
