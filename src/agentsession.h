// Session of an entry daemon to one agent. It reconnects with backoff, and passes chunks of answers
// straight to the callers' connections. It runs on a strand of its own; public members are safe
// from any thread.

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

// Called on the session's strand; must hand over quickly.
class AgentSessionOwner
{
public:
    virtual ~AgentSessionOwner() = default;
    virtual void sessionConnected(const std::shared_ptr<AgentSession> &session,
                                  const Welcome &welcome) = 0;
    virtual void sessionDisconnected(const BackendServerId &backendServer) = 0;

    // Every message but Welcome, ResponseHead and Chunk; of a request's chunks, the first is
    // reported without its data.
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

    // Fills in the request's method, path, headers and body, and gives its answer to its sink.
    void dispatch(Dispatch message, std::shared_ptr<const CallerRequest> request);

    // The host list no longer names the agent: an open connection is used on, but not replaced.
    void setRetired(bool retired);

    void stop();

private:
    class Private;
    std::shared_ptr<Private> d; // shared with the handlers of the io_context
};

} // namespace cornelshed

#endif // CORNELSHED_AGENTSESSION_H
