// Accepts connections, checks that each session begins with Hello, and decodes messages.

#include "agentserver.h"

#include "eventlog.h"
#include "framedconnection.h"
#include "listener.h"
#include "wirecodec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cornelshed {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds helloTimeout {5};

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
            AgentServerCallbacks callbacks)
        : m_context(context), m_limits(limits), m_callbacks(std::move(callbacks)),
          m_listener(std::make_shared<detail::Listener>(std::vector {&context}))
    { }

    void accept(asio::ip::tcp::socket socket)
    {
        if (m_sessions.size() >= m_limits.sessionLimitCount) {
            EventLog("session_refused", EventLevel::Warning)
                    .field("reason", "session limit reached");
            return;
        }
        const SessionId id = ++m_lastSession;
        FramedConnectionLimits limits;
        limits.frameLimitBytes = m_limits.frameLimitBytes;
        limits.writeQueueLimitBytes = m_limits.writeQueueLimitBytes;
        Session &session = m_sessions[id];
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
                                  });
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
            m_callbacks.messageReceived(id, std::move(message));
            return true;
        }
        session.helloTimer->cancel();
        session.helloTimer = nullptr;
        session.entry = hello->entry;
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
        EventLog("session_closed")
                .field("session", id)
                .field("entry", it->second.entry)
                .field("reason", reason);
        m_sessions.erase(it);
        if (wasOpened)
            m_callbacks.sessionClosed(id);
    }

    asio::io_context &m_context;
    AgentServerLimits m_limits;
    AgentServerCallbacks m_callbacks;
    std::shared_ptr<detail::Listener> m_listener;
    std::unordered_map<SessionId, Session> m_sessions;
    SessionId m_lastSession = 0;
};

AgentServer::AgentServer(asio::io_context &context, const AgentServerLimits &limits,
                         AgentServerCallbacks callbacks)
    : d(std::make_shared<Private>(context, limits, std::move(callbacks)))
{ }

AgentServer::~AgentServer()
{
    d->m_listener->stop();
}

std::optional<std::string> AgentServer::listen(const std::string &address, std::uint16_t port)
{
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
