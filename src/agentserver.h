// Sessions of entry daemons at an agent. Everything runs on the io_context's only thread.

#ifndef CORNELSHED_AGENTSERVER_H
#define CORNELSHED_AGENTSERVER_H

#include "agentscheduler.h"
#include "messages.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace boost::asio {
class io_context;
}

namespace cornelshed {

struct AgentServerLimits
{
    std::size_t frameLimitBytes = 0;
    std::size_t sessionLimitCount = 0;

    bool operator==(const AgentServerLimits &) const = default;
};

struct AgentServerEvents
{
    std::function<void(SessionId, const Hello &)> opened; // precedes all messages of the session
    std::function<void(SessionId)> closed;                // only for sessions that were opened
    std::function<void(SessionId, EntryMessage)> message; // never a Hello
};

class AgentServer
{
public:
    AgentServer(boost::asio::io_context &context, const AgentServerLimits &limits,
                AgentServerEvents events);
    ~AgentServer();
    AgentServer(const AgentServer &) = delete;
    AgentServer &operator=(const AgentServer &) = delete;

    // Returns what went wrong, if anything. Port 0 takes any free port.
    std::optional<std::string> listen(const std::string &address, std::uint16_t port);
    std::uint16_t port() const;

    // Does nothing if the session is gone.
    void send(SessionId session, const AgentMessage &message);
    void sendToAll(const AgentMessage &message);

    std::size_t sessionCount() const;

    void stopAccepting();

    // Ends all sessions after what is queued for them was sent.
    void finishAll();

private:
    class Private;
    std::shared_ptr<Private> d; // shared with the handlers of the io_context
};

} // namespace cornelshed

#endif // CORNELSHED_AGENTSERVER_H
