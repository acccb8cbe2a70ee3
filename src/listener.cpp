// Accept loop shared by the servers.

#include "listener.h"

#include "eventlog.h"

#include <boost/asio/post.hpp>

#include <chrono>
#include <utility>

namespace cornelshed::detail {

namespace asio = boost::asio;

namespace {

// Accepting fails without end while the process is out of file descriptors; the pause keeps the
// loop from using a whole core meanwhile.
constexpr std::chrono::milliseconds retryDelay {50};

} // namespace

Listener::Listener(std::vector<asio::io_context *> contexts)
    : m_contexts(std::move(contexts)), m_acceptor(*m_contexts.front()),
      m_retry(m_acceptor.get_executor())
{ }

std::optional<std::string> Listener::listen(const std::string &address, std::uint16_t port,
                                            Accepted accepted)
{
    m_accepted = std::move(accepted);
    boost::system::error_code ec;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address, ec), port);
    if (!ec)
        m_acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    if (!ec)
        m_acceptor.bind(endpoint, ec);
    if (!ec)
        m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        return "cannot listen on " + address + ":" + std::to_string(port) + ": " + ec.message();
    m_port = m_acceptor.local_endpoint().port();
    acceptNext();
    return std::nullopt;
}

std::uint16_t Listener::port() const
{
    return m_port;
}

void Listener::stop()
{
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
        boost::system::error_code ec;
        self->m_acceptor.close(ec);
        self->m_retry.cancel();
    });
}

void Listener::acceptNext()
{
    if (!m_acceptor.is_open())
        return;
    auto handler = [self = shared_from_this()](auto ec, Socket socket) {
        self->handleAccept(ec, std::move(socket));
    };
    asio::io_context &context = *m_contexts[m_next++ % m_contexts.size()];
    m_acceptor.async_accept(asio::any_io_executor(context.get_executor()), std::move(handler));
}

void Listener::handleAccept(const boost::system::error_code &ec, Socket socket)
{
    if (!m_acceptor.is_open())
        return;
    if (!ec) {
        m_accepted(std::move(socket));
        acceptNext();
        return;
    }
    EventLog("accept_failed", EventLevel::Warning).field("reason", ec.message());
    m_retry.expires_after(retryDelay);
    m_retry.async_wait([self = shared_from_this()](auto) { self->acceptNext(); });
}

} // namespace cornelshed::detail
