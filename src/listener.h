// Accepts TCP connections. Not a public header: it is included by the servers' sources only.

#ifndef CORNELSHED_LISTENER_H
#define CORNELSHED_LISTENER_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cornelshed::detail {

class Listener : public std::enable_shared_from_this<Listener>
{
public:
    using Socket = boost::asio::ip::tcp::socket;
    using Accepted = std::function<void(Socket)>;

    // Accepts on the first context; accepted sockets are spread over all of them, in turn. Each
    // context must have one thread.
    explicit Listener(std::vector<boost::asio::io_context *> contexts);

    // Returns what went wrong, if anything. Port 0 takes any free port.
    std::optional<std::string> listen(const std::string &address, std::uint16_t port,
                                      Accepted accepted);
    std::uint16_t port() const;
    void stop(); // safe from any thread

private:
    void acceptNext();
    void handleAccept(const boost::system::error_code &ec, Socket socket);

    std::vector<boost::asio::io_context *> m_contexts;
    std::size_t m_next = 0;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_retry;
    Accepted m_accepted;
    std::uint16_t m_port = 0;
};

} // namespace cornelshed::detail

#endif // CORNELSHED_LISTENER_H
