// Agent side of the sessions between entry daemons and an agent. Everything runs on the single
// thread of the io_context.

#ifndef CORNELSHED_AGENTSERVER_H
#define CORNELSHED_AGENTSERVER_H

#include "agentmemory.h"
#include "agentscheduler.h"
#include "answerbudget.h"
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
    // For the messages that wait to be written to one entry daemon. Must exceed the limit of all
    // answers: an answer that waits too long ends alone, and not with its session.
    std::size_t writeQueueLimitBytes = 0;
    std::size_t receiveBufferBytes = 0; // of each session, in the kernel

    bool operator==(const AgentServerLimits &) const = default;
};

struct AgentServerCallbacks
{
    // Called before any message of the session.
    std::function<void(SessionId, const Hello &)> sessionOpened;

    // Called only for sessions that were reported as opened.
    std::function<void(SessionId)> sessionClosed;

    // Called for every message except Hello.
    std::function<void(SessionId, EntryMessage)> messageReceived;
};

class AgentServer
{
public:
    AgentServer(boost::asio::io_context &context, const AgentServerLimits &limits,
                std::shared_ptr<AgentMemory> memory, AgentServerCallbacks callbacks);
    ~AgentServer();
    AgentServer(const AgentServer &) = delete;
    AgentServer &operator=(const AgentServer &) = delete;

    // Returns an error message on failure. With port 0, the system chooses a free port.
    std::optional<std::string> listen(const std::string &address, std::uint16_t port);
    std::uint16_t port() const;

    // Does nothing if the session has been closed.
    // share: as in FramedConnection::send().
    void send(SessionId session, const AgentMessage &message,
              std::shared_ptr<AnswerShare> share = nullptr, std::size_t size = 0);
    void sendToAll(const AgentMessage &message);

    std::size_t sessionCount() const;

    void stopAccepting();

    // Sends what is queued for each session, then shuts down its sending side.
    void finishAll();

private:
    class Private;
    std::shared_ptr<Private> d; // shared with the handlers of the io_context
};

} // namespace cornelshed

#endif // CORNELSHED_AGENTSERVER_H
