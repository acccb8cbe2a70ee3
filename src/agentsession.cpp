// ResponseHead and Chunk messages of requests that this session did not dispatch, or that have
// ended, have no sink and are dropped.

#include "agentsession.h"

#include "daemonsignals.h"
#include "eventlog.h"
#include "framedconnection.h"
#include "wirecodec.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <unordered_map>
#include <utility>

namespace cornelshed {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds initialBackoff {50};
constexpr std::chrono::milliseconds maxBackoff {2000};
// Applies to connecting and then to waiting for Welcome: an agent that accepts the connection but
// does not answer Hello is treated as unreachable.
constexpr std::chrono::milliseconds connectTimeout {2000};

struct RunningRequest
{
    std::shared_ptr<ResponseSink> sink;
    bool hasFirstChunk = false;
};

} // namespace

class AgentSession::Private : public std::enable_shared_from_this<Private>
{
public:
    Private(asio::io_context &context, AgentAddress address, AgentSessionSettings settings,
            AgentSessionOwner &owner)
        : m_strand(asio::make_strand(context)), m_address(std::move(address)),
          m_settings(std::move(settings)), m_owner(owner), m_timer(m_strand),
          m_jitter(randomIncarnation())
    { }

    void connect()
    {
        if (m_stopped || m_retired || m_connectingSocket || m_connection)
            return;
        boost::system::error_code ec;
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(m_address.address, ec),
                                               m_address.port);
        if (ec) {
            EventLog("agent_address_invalid", EventLevel::Error)
                    .field("agent", m_address.name)
                    .field("address", m_address.address);
            return;
        }
        m_connectingSocket = std::make_shared<asio::ip::tcp::socket>(m_strand);
        armTimer(connectTimeout, [](Private &self) { self.onConnectTimeout(); });
        m_connectingSocket->async_connect(
                endpoint, [self = shared_from_this(), socket = m_connectingSocket](auto error) {
                    self->m_connectingSocket = nullptr;
                    if (error || self->m_stopped)
                        self->scheduleConnect();
                    else
                        self->open(std::move(*socket));
                });
    }

    void onConnectTimeout()
    {
        boost::system::error_code ec;
        if (m_connectingSocket)
            m_connectingSocket->close(ec);
        else if (m_connection && !m_welcome)
            m_connection->close("timed out waiting for Welcome");
    }

    // Half of the delay is random, so that the sessions of many daemons do not reconnect at the
    // same time.
    void scheduleConnect()
    {
        if (m_stopped || m_retired)
            return;
        const auto half = m_backoff / 2;
        const std::chrono::milliseconds extra(
                m_jitter.below(static_cast<std::uint64_t>(half.count()) + 1));
        armTimer(half + extra, [](Private &self) { self.connect(); });
        m_backoff = std::min(m_backoff * 2, maxBackoff);
    }

    template<typename Action> void armTimer(std::chrono::milliseconds delay, Action action)
    {
        m_timer.expires_after(delay);
        m_timer.async_wait([self = shared_from_this(), action](auto ec) {
            if (!ec)
                action(*self);
        });
    }

    void open(asio::ip::tcp::socket socket)
    {
        FramedConnectionLimits limits;
        limits.frameLimitBytes = m_settings.frameLimitBytes;
        m_connection = std::make_shared<FramedConnection>(std::move(socket), limits);
        m_connection->start(
                [self = shared_from_this()](std::string_view bytes) {
                    return self->receive(bytes);
                },
                [self = shared_from_this()](const std::string &reason) { self->onClosed(reason); });
        const Hello hello {m_settings.entryName, m_settings.entryIncarnation,
                           m_configurationVersion};
        m_connection->send(encodeFrame(EntryMessage(hello)));
        armTimer(connectTimeout, [](Private &self) { self.onConnectTimeout(); });
    }

    void onClosed(const std::string &reason)
    {
        const std::optional<BackendServerId> server =
                m_welcome ? std::optional(m_welcome->backendServer) : std::nullopt;
        EventLog("agent_session_closed").field("agent", m_address.name).field("reason", reason);
        m_connection = nullptr;
        m_welcome.reset();
        m_running.clear();
        m_timer.cancel();
        if (server)
            m_owner.sessionDisconnected(*server);
        scheduleConnect();
    }

    bool receive(std::string_view bytes)
    {
        WireLimits limits;
        limits.frameLimitBytes = m_settings.frameLimitBytes;
        Result<AgentMessage, WireError> decoded = decodeAgentMessage(bytes, limits);
        if (const auto *error = std::get_if<WireError>(&decoded)) {
            EventLog("malformed_message", EventLevel::Warning)
                    .field("agent", m_address.name)
                    .field("reason", error->message);
            return false;
        }
        auto &message = std::get<AgentMessage>(decoded);
        // Welcome must be the first message of a session and must not be repeated.
        if (std::holds_alternative<Welcome>(message) == m_welcome.has_value())
            return false;
        std::visit([this](auto &it) { handle(it); }, message);
        return true;
    }

    void handle(Welcome &message)
    {
        m_welcome = std::move(message);
        m_backoff = initialBackoff;
        m_timer.cancel();
        EventLog("agent_session_opened")
                .field("agent", m_welcome->backendServer.name)
                .field("incarnation", m_welcome->backendServer.incarnation);
        if (const auto session = m_session.lock())
            m_owner.sessionConnected(session, *m_welcome);
    }

    void handle(ResponseHead &message)
    {
        const auto it = m_running.find(message.request);
        if (it != m_running.end())
            it->second.sink->responseHead(message.request, message.status,
                                          std::move(message.headers));
    }

    void handle(Chunk &message)
    {
        const auto it = m_running.find(message.request);
        if (it == m_running.end())
            return;
        // sessionMessage() may dispatch another request synchronously, which invalidates the
        // iterator.
        const std::shared_ptr<ResponseSink> sink = it->second.sink;
        if (!std::exchange(it->second.hasFirstChunk, true))
            m_owner.sessionMessage(m_welcome->backendServer, Chunk {message.request, {}});
        sink->chunk(message.request, std::move(message.data));
    }

    void handle(Finished &message) { handleEnd(message); }
    void handle(Failed &message) { handleEnd(message); }

    // Messages arrive in order, so the sink has received the last chunk before the owner is told
    // that the request ended.
    template<typename Message> void handleEnd(Message &message)
    {
        m_running.erase(message.request);
        m_owner.sessionMessage(m_welcome->backendServer, std::move(message));
    }

    template<typename Message> void handle(Message &message)
    {
        m_owner.sessionMessage(m_welcome->backendServer, std::move(message));
    }

    void send(const EntryMessage &message)
    {
        if (const auto *notice = std::get_if<ConfigurationNotice>(&message))
            m_configurationVersion = std::max(m_configurationVersion, notice->version);
        // The rest of a cancelled response is dropped here, before it takes memory on the way to
        // the caller's connection.
        if (const auto *cancel = std::get_if<Cancel>(&message))
            m_running.erase(cancel->request);
        if (m_connection && m_welcome)
            m_connection->send(encodeFrame(message));
    }

    void dispatch(Dispatch message, const CallerRequest &request)
    {
        if (!m_connection || !m_welcome)
            return; // the owner ends the request on sessionDisconnected()
        m_running[message.request] = {request.sink};
        message.method = request.method;
        message.path = request.path;
        message.headers = request.headers;
        message.body = request.body;
        m_connection->send(encodeFrame(EntryMessage(std::move(message))));
    }

    void stop()
    {
        m_stopped = true;
        m_timer.cancel();
        boost::system::error_code ec;
        if (m_connectingSocket)
            m_connectingSocket->close(ec);
        if (m_connection)
            m_connection->finish();
    }

    asio::strand<asio::io_context::executor_type> m_strand;
    AgentAddress m_address;
    AgentSessionSettings m_settings;
    AgentSessionOwner &m_owner;
    asio::steady_timer m_timer;
    SeededRandom m_jitter;
    std::weak_ptr<AgentSession> m_session;
    std::shared_ptr<asio::ip::tcp::socket> m_connectingSocket;
    std::shared_ptr<FramedConnection> m_connection;
    std::optional<Welcome> m_welcome;                        // set while the session is established
    std::unordered_map<RequestId, RunningRequest> m_running; // dispatched here, not yet ended
    std::uint64_t m_configurationVersion = 0;
    std::chrono::milliseconds m_backoff = initialBackoff;
    bool m_retired = false;
    bool m_stopped = false;
};

AgentSession::AgentSession(asio::io_context &context, AgentAddress address,
                           AgentSessionSettings settings, AgentSessionOwner &owner)
    : d(std::make_shared<Private>(context, std::move(address), std::move(settings), owner))
{ }

AgentSession::~AgentSession() = default;

void AgentSession::start(std::uint64_t configurationVersion)
{
    d->m_session = weak_from_this();
    d->m_configurationVersion = configurationVersion;
    asio::post(d->m_strand, [self = d] { self->connect(); });
}

void AgentSession::send(EntryMessage message)
{
    asio::dispatch(d->m_strand, [self = d, message = std::move(message)] { self->send(message); });
}

void AgentSession::dispatch(Dispatch message, std::shared_ptr<const CallerRequest> request)
{
    asio::dispatch(
            d->m_strand,
            [self = d, message = std::move(message), request = std::move(request)]() mutable {
                self->dispatch(std::move(message), *request);
            });
}

void AgentSession::setRetired(bool retired)
{
    asio::post(d->m_strand, [self = d, retired] {
        const bool wasRetired = std::exchange(self->m_retired, retired);
        if (wasRetired && !retired)
            self->connect();
    });
}

void AgentSession::stop()
{
    asio::post(d->m_strand, [self = d] { self->stop(); });
}

} // namespace cornelshed
