// Accept loop that the servers share.

#include "listener.h"

#include "eventlog.h"
#include "monotonicclock.h"

#include <boost/asio/post.hpp>

#include <chrono>
#include <utility>

namespace cornelshed::detail {

namespace asio = boost::asio;

namespace {

// accept() fails repeatedly while the process is out of file descriptors. The delay keeps the
// accept loop from using a whole core during that time.
constexpr std::chrono::milliseconds retryDelay {50};
// Connections that are not accepted yet may have unread data as well, which counts toward the
// memory. A gateway that stalls for a second gets some tens of new connections meanwhile.
constexpr int boundedBacklog = 512;

} // namespace

Listener::Listener(std::vector<asio::io_context *> contexts)
    : m_contexts(std::move(contexts)), m_acceptor(*m_contexts.front()),
      m_retryTimer(m_acceptor.get_executor())
{ }

std::optional<std::string> Listener::listen(const std::string &address, std::uint16_t port,
                                            AcceptHandler acceptHandler)
{
    m_acceptHandler = std::move(acceptHandler);
    boost::system::error_code ec;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address, ec), port);
    if (!ec)
        m_acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    if (!ec && m_receiveBytes > 0)
        m_acceptor.set_option(
                asio::socket_base::receive_buffer_size(static_cast<int>(m_receiveBytes)), ec);
    if (!ec && m_sendBytes > 0)
        m_acceptor.set_option(asio::socket_base::send_buffer_size(static_cast<int>(m_sendBytes)),
                              ec);
    if (!ec)
        m_acceptor.bind(endpoint, ec);
    if (!ec)
        m_acceptor.listen(m_receiveBytes > 0 ? boundedBacklog
                                             : asio::socket_base::max_listen_connections,
                          ec);
    if (ec)
        return "cannot listen on " + address + ":" + std::to_string(port) + ": " + ec.message();
    m_port = m_acceptor.local_endpoint().port();
    acceptNext();
    return std::nullopt;
}

void Listener::setBufferSizes(std::size_t receiveBytes, std::size_t sendBytes)
{
    m_receiveBytes = receiveBytes;
    m_sendBytes = sendBytes;
}

std::uint16_t Listener::port() const
{
    return m_port;
}

void Listener::stop()
{
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
        self->acceptWaiting();
        boost::system::error_code ec;
        self->m_acceptor.close(ec);
        self->m_retryTimer.cancel();
    });
}

// Accepts the connections that the kernel has established: closing the acceptor would reset them.
void Listener::acceptWaiting()
{
    boost::system::error_code ec;
    if (m_acceptor.is_open())
        m_acceptor.non_blocking(true, ec);
    while (m_acceptor.is_open() && !ec) {
        asio::io_context &context = *m_contexts[m_nextContext++ % m_contexts.size()];
        Socket socket = m_acceptor.accept(asio::any_io_executor(context.get_executor()), ec);
        if (!ec)
            m_acceptHandler(std::move(socket));
    }
}

void Listener::acceptNext()
{
    if (!m_acceptor.is_open())
        return;
    auto handler = [self = shared_from_this()](auto ec, Socket socket) {
        self->handleAccept(ec, std::move(socket));
    };
    asio::io_context &context = *m_contexts[m_nextContext++ % m_contexts.size()];
    m_acceptor.async_accept(asio::any_io_executor(context.get_executor()), std::move(handler));
}

void Listener::handleAccept(const boost::system::error_code &ec, Socket socket)
{
    if (!ec) {
        m_acceptHandler(std::move(socket));
        acceptNext();
        return;
    }
    if (!m_acceptor.is_open())
        return;
    if (const auto more = m_failureLog.admit(monotonicNow()))
        EventLog("accept_failed", EventLevel::Warning)
                .field("reason", ec.message())
                .field("more", *more);
    m_retryTimer.expires_after(retryDelay);
    m_retryTimer.async_wait([self = shared_from_this()](auto) { self->acceptNext(); });
}

} // namespace cornelshed::detail
