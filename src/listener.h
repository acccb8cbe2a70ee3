// Accepts TCP connections. Internal header: included only by the sources of the servers.

#ifndef CORNELSHED_LISTENER_H
#define CORNELSHED_LISTENER_H

#include "logthrottle.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cornelshed::detail {

class Listener : public std::enable_shared_from_this<Listener>
{
public:
    using Socket = boost::asio::ip::tcp::socket;
    using AcceptHandler = std::function<void(Socket)>;

    // Accepts connections on the first context and distributes the sockets over all contexts
    // round-robin. Each context must be run by exactly one thread.
    explicit Listener(std::vector<boost::asio::io_context *> contexts);

    // Sizes of the kernel's buffers of each connection; 0: its default. To be called before
    // listen(), as the receive buffer bounds the window that is agreed on with the peer.
    void setBufferSizes(std::size_t receiveBytes, std::size_t sendBytes);

    // While the function returns false, connections wait in the kernel's queue, until stop(). It is
    // called on the thread of the first context. To be called before listen().
    void setRoomCheck(std::function<bool()> hasRoom) { m_hasRoom = std::move(hasRoom); }

    // Port 0 selects any free port. Returns the error message on failure.
    std::optional<std::string> listen(const std::string &address, std::uint16_t port,
                                      AcceptHandler acceptHandler);
    std::uint16_t port() const;

    // Passes on the connections that are established already, then accepts no more. Thread-safe.
    void stop();

    // The same, but also passes on those that are being established. onStopped is called after that
    // on the thread of the first context. Thread-safe.
    void stopAfterHandshakes(std::function<void()> onStopped = nullptr);

    // The time that these have.
    static constexpr std::chrono::milliseconds handshakeTime {10};

private:
    void refuseConnections();
    void close();
    void acceptWaiting();
    void acceptNext();
    void handleAccept(const boost::system::error_code &ec, Socket socket);
    void passOn(Socket socket);
    void passOnWaiting();

    std::vector<boost::asio::io_context *> m_contexts;
    std::size_t m_nextContext = 0;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_retryTimer;
    boost::asio::steady_timer m_stopTimer;
    AcceptHandler m_acceptHandler;
    std::function<bool()> m_hasRoom;
    std::optional<Socket> m_waitingSocket; // accepted while there was no room
    std::uint16_t m_port = 0;
    std::size_t m_receiveBytes = 0;
    std::size_t m_sendBytes = 0;
    LogThrottle m_failureLog {0.2, 2};
};

} // namespace cornelshed::detail

#endif // CORNELSHED_LISTENER_H
