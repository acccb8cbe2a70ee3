// Accepts connections, checks that each session begins with Hello, and decodes messages.

#include "agentserver.h"

#include "eventlog.h"
#include "framedconnection.h"
#include "listener.h"
#include "wirecodec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cornelshed {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds helloTimeout {5};
// Hello holds little more than a name. A peer that has not sent it may be anyone.
constexpr std::size_t helloFrameLimitBytes = std::size_t {4} << 10U;

struct Session
{
    std::shared_ptr<FramedConnection> connection;
    std::shared_ptr<asio::steady_timer> helloTimer; // null once Hello was received
    std::string entry;                              // name of the entry daemon; empty before Hello
};

} // namespace

class AgentServer::Private : public std::enable_shared_from_this<Private>
{
public:
    Private(asio::io_context &context, const AgentServerLimits &limits,
            std::shared_ptr<AgentMemory> memory, AgentServerCallbacks callbacks)
        : m_context(context), m_limits(limits), m_memory(std::move(memory)),
          m_callbacks(std::move(callbacks)),
          m_listener(std::make_shared<detail::Listener>(std::vector {&context}))
    { }

    void accept(asio::ip::tcp::socket socket)
    {
        if (m_sessions.size() >= m_limits.sessionLimitCount) {
            m_memory->noteSessionRefused("session_limit_count");
            if (!closeUnusedSession())
                return;
        }
        const SessionId id = ++m_lastSession;
        FramedConnectionLimits limits;
        limits.frameLimitBytes = std::min(m_limits.frameLimitBytes, helloFrameLimitBytes);
        limits.writeQueueLimitBytes = m_limits.writeQueueLimitBytes;
        Session &session = m_sessions[id];
        m_withoutHello.insert(id);
        session.connection = std::make_shared<FramedConnection>(std::move(socket), limits);
        session.helloTimer = std::make_shared<asio::steady_timer>(m_context, helloTimeout);
        session.helloTimer->async_wait([connection = session.connection](auto ec) {
            if (!ec)
                connection->close("timed out waiting for Hello");
        });
        session.connection->start([self = shared_from_this(),
                                   id](std::string_view bytes) { return self->receive(id, bytes); },
                                  [self = shared_from_this(), id](const std::string &reason) {
                                      self->remove(id, reason);
                                  },
                                  makeFrameRoom(session.connection));
    }

    std::unique_ptr<FrameRoom> makeFrameRoom(const std::shared_ptr<FramedConnection> &connection)
    {
        return m_memory->makeFrameRoom([weak = std::weak_ptr(connection)] {
            if (const auto dropped = weak.lock())
                dropped->close("others need the room of its frame");
        });
    }

    // Closes the oldest session that has not sent Hello, or else the oldest one that has not sent
    // anything after it. An entry daemon that is closed here connects again. Returns false if all
    // sessions are in use.
    bool closeUnusedSession()
    {
        std::set<SessionId> &unused = m_withoutHello.empty() ? m_withoutMessage : m_withoutHello;
        if (unused.empty())
            return false;
        const SessionId id = *unused.begin();
        unused.erase(unused.begin());
        m_sessions.at(id).connection->close("session limit reached");
        return true;
    }

    bool receive(SessionId id, std::string_view bytes)
    {
        WireLimits limits;
        limits.frameLimitBytes = m_limits.frameLimitBytes;
        Result<EntryMessage, WireError> message = decodeEntryMessage(bytes, limits);
        if (const auto *error = std::get_if<WireError>(&message)) {
            EventLog("malformed_message", EventLevel::Warning)
                    .field("session", id)
                    .field("reason", error->message);
            return false;
        }
        return handleMessage(id, std::get<EntryMessage>(std::move(message)));
    }

    // Hello must be the first message of a session and must not be repeated.
    bool handleMessage(SessionId id, EntryMessage message)
    {
        Session &session = m_sessions.at(id);
        const auto *hello = std::get_if<Hello>(&message);
        const bool expectsHello = session.helloTimer != nullptr;
        if ((hello != nullptr) != expectsHello)
            return false;
        if (hello == nullptr) {
            m_withoutMessage.erase(id);
            m_callbacks.messageReceived(id, std::move(message));
            return true;
        }
        session.helloTimer->cancel();
        session.helloTimer = nullptr;
        session.entry = hello->entry;
        session.connection->setFrameLimit(m_limits.frameLimitBytes);
        m_withoutHello.erase(id);
        m_withoutMessage.insert(id);
        EventLog("session_opened").field("session", id).field("entry", hello->entry);
        m_callbacks.sessionOpened(id, *hello);
        return true;
    }

    void remove(SessionId id, const std::string &reason)
    {
        const auto it = m_sessions.find(id);
        const bool wasOpened = it->second.helloTimer == nullptr;
        if (!wasOpened)
            it->second.helloTimer->cancel();
        if (wasOpened)
            EventLog("session_closed")
                    .field("session", id)
                    .field("entry", it->second.entry)
                    .field("reason", reason);
        else // anyone may open a connection; a line for each could fill the log
            m_memory->noteSessionRefused("closed before Hello");
        m_withoutHello.erase(id);
        m_withoutMessage.erase(id);
        m_sessions.erase(it);
        if (wasOpened)
            m_callbacks.sessionClosed(id);
    }

    asio::io_context &m_context;
    AgentServerLimits m_limits;
    std::shared_ptr<AgentMemory> m_memory;
    AgentServerCallbacks m_callbacks;
    std::shared_ptr<detail::Listener> m_listener;
    std::unordered_map<SessionId, Session> m_sessions;
    std::set<SessionId> m_withoutHello;
    std::set<SessionId> m_withoutMessage; // after Hello
    SessionId m_lastSession = 0;
};

AgentServer::AgentServer(asio::io_context &context, const AgentServerLimits &limits,
                         std::shared_ptr<AgentMemory> memory, AgentServerCallbacks callbacks)
    : d(std::make_shared<Private>(context, limits, std::move(memory), std::move(callbacks)))
{ }

AgentServer::~AgentServer()
{
    d->m_listener->stop();
}

std::optional<std::string> AgentServer::listen(const std::string &address, std::uint16_t port)
{
    // Without it, the kernel lets the buffer of a session grow to several megabytes.
    d->m_listener->setBufferSizes(d->m_limits.receiveBufferBytes, 0);
    return d->m_listener->listen(address, port,
                                 [self = d](auto socket) { self->accept(std::move(socket)); });
}

std::uint16_t AgentServer::port() const
{
    return d->m_listener->port();
}

void AgentServer::send(SessionId session, const AgentMessage &message,
                       std::shared_ptr<AnswerShare> share, std::size_t size)
{
    const auto it = d->m_sessions.find(session);
    if (it != d->m_sessions.end())
        it->second.connection->send(encodeFrame(message), std::move(share), size);
    else if (share)
        share->release(size);
}

void AgentServer::sendToAll(const AgentMessage &message)
{
    const std::string frame = encodeFrame(message);
    for (const auto &[id, session] : d->m_sessions)
        session.connection->send(frame);
}

std::size_t AgentServer::sessionCount() const
{
    return d->m_sessions.size();
}

void AgentServer::stopAccepting()
{
    d->m_listener->stop();
}

void AgentServer::finishAll()
{
    for (const auto &[id, session] : d->m_sessions)
        session.connection->finish();
}

} // namespace cornelshed
