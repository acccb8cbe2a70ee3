// Accept loop that the servers share.

#include "listener.h"

#include "eventlog.h"
#include "monotonicclock.h"

#include <boost/asio/post.hpp>

#include <linux/filter.h>
#include <sys/socket.h>

#include <array>
#include <chrono>
#include <utility>

namespace cornelshed::detail {

namespace asio = boost::asio;

namespace {

// accept() fails repeatedly while the process is out of file descriptors. The delay keeps the
// accept loop from using a whole core during that time.
constexpr std::chrono::milliseconds retryDelay {50};
constexpr std::chrono::milliseconds roomCheckInterval {2};
// Connections that are not accepted yet may have unread data as well, which counts toward the
// memory. A gateway that stalls for a second gets some tens of new connections meanwhile.
constexpr int boundedBacklog = 512;

// Lets the kernel drop requests for new connections: those that it would still establish while the
// acceptor is closed would be reset. Their callers repeat the request and find a closed port. The
// program sees the TCP header of each segment that arrives at the listening socket.
void dropConnectionRequests(int socket)
{
    constexpr unsigned flagsOffset = 13;
    constexpr unsigned synFlag = 0x02;
    constexpr unsigned ackFlag = 0x10;
    constexpr unsigned wholeSegment = 0xffffffff;
    std::array<sock_filter, 5> code {{BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flagsOffset),
                                      BPF_STMT(BPF_ALU | BPF_AND | BPF_K, synFlag | ackFlag),
                                      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, synFlag, 0, 1),
                                      BPF_STMT(BPF_RET | BPF_K, 0),
                                      BPF_STMT(BPF_RET | BPF_K, wholeSegment)}};
    const sock_fprog program {static_cast<unsigned short>(code.size()), code.data()};
    ::setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

} // namespace

Listener::Listener(std::vector<asio::io_context *> contexts)
    : m_contexts(std::move(contexts)), m_acceptor(*m_contexts.front()),
      m_retryTimer(m_acceptor.get_executor()), m_stopTimer(m_acceptor.get_executor())
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
        self->refuseConnections();
        self->close();
    });
}

void Listener::stopAfterHandshakes(std::function<void()> onStopped)
{
    asio::post(m_acceptor.get_executor(),
               [self = shared_from_this(), onStopped = std::move(onStopped)]() mutable {
                   self->refuseConnections();
                   self->m_stopTimer.expires_after(handshakeTime);
                   self->m_stopTimer.async_wait([self, onStopped = std::move(onStopped)](auto) {
                       self->close();
                       if (onStopped)
                           onStopped();
                   });
               });
}

void Listener::refuseConnections()
{
    if (m_acceptor.is_open())
        dropConnectionRequests(m_acceptor.native_handle());
}

void Listener::close()
{
    if (m_waitingSocket)
        m_acceptHandler(*std::exchange(m_waitingSocket, std::nullopt));
    acceptWaiting();
    boost::system::error_code ec;
    m_acceptor.close(ec);
    m_retryTimer.cancel();
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
        passOn(std::move(socket));
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

void Listener::passOn(Socket socket)
{
    if (m_hasRoom && m_acceptor.is_open() && !m_hasRoom()) {
        m_waitingSocket = std::move(socket);
        m_retryTimer.expires_after(roomCheckInterval);
        m_retryTimer.async_wait([self = shared_from_this()](auto) { self->passOnWaiting(); });
        return;
    }
    m_acceptHandler(std::move(socket));
    acceptNext();
}

void Listener::passOnWaiting()
{
    if (m_waitingSocket)
        passOn(*std::exchange(m_waitingSocket, std::nullopt));
}

} // namespace cornelshed::detail
