// HTTP server of the admin port. Requests are small and rare. A connection is closed when an
// exchange takes too long, so that idle or abandoned connections do not accumulate.

#include "adminserver.h"

#include "listener.h"
#include "unparsedlimit.h"

#include <boost/asio/dispatch.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <deque>
#include <utility>
#include <vector>

namespace cornelshed {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

// Time for waiting for a request, reading it and writing the response.
constexpr std::chrono::seconds exchangeTimeout {10};

constexpr std::uint32_t headerLimitBytes = 8192;

// Beyond this many connections, the oldest one is closed: those who hold connections open must not
// keep the platform's checks out.
constexpr std::size_t sessionLimit = 24;
constexpr std::size_t receiveBufferBytes = std::size_t {16} << 10U;
constexpr std::size_t sendBufferBytes = std::size_t {64} << 10U;

http::response<http::string_body> makeResponse(const AdminHandlers &handlers,
                                               const http::request<http::empty_body> &request)
{
    http::response<http::string_body> response(http::status::ok, request.version());
    response.set(http::field::content_type, "text/plain; version=0.0.4; charset=utf-8");
    response.keep_alive(request.keep_alive());
    if (request.target() == "/metrics") {
        response.body() = handlers.metrics();
    } else if (request.target() == "/health") {
        response.body() = "healthy\n";
    } else if (request.target() == handlers.readyPath) {
        const bool ready = handlers.ready();
        response.result(ready ? http::status::ok : http::status::service_unavailable);
        response.body() = ready ? "ready\n" : "not ready\n";
    } else {
        response.result(http::status::not_found);
        response.body() = "not found\n";
    }
    response.prepare_payload();
    return response;
}

// One connection; each pending asynchronous operation keeps the session alive.
class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(boost::asio::ip::tcp::socket socket, std::shared_ptr<const AdminHandlers> handlers)
        : m_stream(std::move(socket)), m_handlers(std::move(handlers))
    { }

    void readRequest()
    {
        m_parser.emplace();
        m_parser->header_limit(headerLimitBytes);
        m_stream.expires_after(exchangeTimeout);
        http::async_read(m_stream, m_buffer, *m_parser,
                         [self = shared_from_this()](auto ec, std::size_t) {
                             if (!ec)
                                 self->writeResponse();
                         });
    }

    void close() { m_stream.close(); }

private:
    void writeResponse()
    {
        m_response = makeResponse(*m_handlers, m_parser->get());
        http::async_write(m_stream, m_response, [self = shared_from_this()](auto ec, std::size_t) {
            if (!ec && self->m_response.keep_alive())
                self->readRequest();
        });
    }

    beast::tcp_stream m_stream;
    std::shared_ptr<const AdminHandlers> m_handlers;
    beast::flat_buffer m_buffer = detail::makeLimitedBuffer();
    std::optional<http::request_parser<http::empty_body>> m_parser;
    http::response<http::string_body> m_response;
};

// The open connections, in the order in which they were opened.
class Sessions
{
public:
    void add(const std::shared_ptr<Session> &session)
    {
        std::erase_if(m_sessions, [](const auto &it) { return it.expired(); });
        if (m_sessions.size() >= sessionLimit) {
            if (const auto oldest = m_sessions.front().lock())
                oldest->close();
            m_sessions.pop_front();
        }
        m_sessions.push_back(session);
    }

private:
    std::deque<std::weak_ptr<Session>> m_sessions;
};

} // namespace

class AdminServer::Private
{
public:
    Private(boost::asio::io_context &context, AdminHandlers handlers)
        : m_listener(std::make_shared<detail::Listener>(std::vector {&context})),
          m_handlers(std::make_shared<const AdminHandlers>(std::move(handlers)))
    { }

    std::shared_ptr<detail::Listener> m_listener;    // shared with the pending accept
    std::shared_ptr<const AdminHandlers> m_handlers; // shared with the sessions
    std::shared_ptr<Sessions> m_sessions = std::make_shared<Sessions>();
};

AdminServer::AdminServer(boost::asio::io_context &context, AdminHandlers handlers)
    : d(std::make_shared<Private>(context, std::move(handlers)))
{ }

AdminServer::~AdminServer()
{
    d->m_listener->stop();
}

std::optional<std::string> AdminServer::listen(const std::string &address, std::uint16_t port)
{
    d->m_listener->setBufferSizes(receiveBufferBytes, sendBufferBytes);
    return d->m_listener->listen(
            address, port, [handlers = d->m_handlers, sessions = d->m_sessions](auto socket) {
                auto session = std::make_shared<Session>(std::move(socket), handlers);
                sessions->add(session);
                session->readRequest();
            });
}

std::uint16_t AdminServer::port() const
{
    return d->m_listener->port();
}

} // namespace cornelshed
