// Drives all connections from one thread with poll().

#include "hostilecrowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>
#include <thread>
#include <utility>

namespace cornelshed::testing {

namespace {

using Clock = std::chrono::steady_clock;

// The body timeouts of the daemons are longer, so that what they hold is seen at its most.
constexpr std::chrono::seconds pushTimeLimit {8};
constexpr int pollTimeoutMs = 20;
constexpr std::size_t sendBytes = std::size_t {64} << 10U;
// Small, so that the bytes are in the peer's memory and not in that of this host's sockets.
constexpr int sendBufferBytes = 64 << 10;
// Time for the peer to read what its host has acknowledged.
constexpr std::chrono::milliseconds readTime {500};

struct Connection
{
    int socket = -1; // -1: closed
    std::shared_ptr<const std::string> bytes;
    std::size_t sentBytes = 0;

    bool wantsToSend() const { return socket >= 0 && sentBytes < bytes->size(); }

    std::size_t unacknowledgedBytes() const
    {
        int count = 0;
        return socket >= 0 && ::ioctl(socket, SIOCOUTQ, &count) == 0
                ? static_cast<std::size_t>(count)
                : 0;
    }
};

void closeConnection(Connection &connection)
{
    if (connection.socket >= 0)
        ::close(std::exchange(connection.socket, -1));
}

// Returns whether a byte was sent.
bool sendSome(Connection &connection)
{
    const std::size_t size = std::min(sendBytes, connection.bytes->size() - connection.sentBytes);
    const ssize_t n = ::send(connection.socket, connection.bytes->data() + connection.sentBytes,
                             size, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0)
        connection.sentBytes += static_cast<std::size_t>(n);
    else if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
        closeConnection(connection);
    return n > 0;
}

} // namespace

class HostileCrowd::Private
{
public:
    std::vector<pollfd> sendingSockets() const
    {
        std::vector<pollfd> sockets;
        for (const Connection &it : m_connections)
            sockets.push_back({it.wantsToSend() ? it.socket : -1, POLLOUT, 0});
        return sockets;
    }

    std::size_t unacknowledgedBytes() const
    {
        std::size_t total = 0;
        for (const Connection &it : m_connections)
            total += it.unacknowledgedBytes();
        return total;
    }

    std::vector<Connection> m_connections;
};

HostileCrowd::HostileCrowd() : d(std::make_unique<Private>()) { }

HostileCrowd::~HostileCrowd()
{
    close();
}

void HostileCrowd::add(std::uint16_t port, std::shared_ptr<const std::string> bytes)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (socket < 0)
        throw std::runtime_error("no socket for a hostile caller");
    ::setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &sendBufferBytes, sizeof sendBufferBytes);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(socket);
        throw std::runtime_error("a hostile caller cannot connect");
    }
    d->m_connections.push_back({socket, std::move(bytes), 0});
}

void HostileCrowd::push(std::chrono::milliseconds quietTime)
{
    const Clock::time_point giveUpTime = Clock::now() + pushTimeLimit;
    Clock::time_point lastProgress = Clock::now();
    std::size_t unacknowledged = 0;
    while (Clock::now() < giveUpTime && Clock::now() < lastProgress + quietTime) {
        std::vector<pollfd> sockets = d->sendingSockets();
        const bool allSent = std::none_of(sockets.begin(), sockets.end(),
                                          [](const pollfd &it) { return it.fd >= 0; });
        if (allSent && d->unacknowledgedBytes() == 0)
            break;
        ::poll(sockets.data(), sockets.size(), pollTimeoutMs);
        for (std::size_t i = 0; i < sockets.size(); ++i) {
            if (sockets[i].fd >= 0 && sockets[i].revents != 0 && sendSome(d->m_connections[i]))
                lastProgress = Clock::now();
        }
        if (std::exchange(unacknowledged, d->unacknowledgedBytes()) != unacknowledged)
            lastProgress = Clock::now();
    }
    std::this_thread::sleep_for(readTime);
}

void HostileCrowd::close()
{
    for (Connection &it : d->m_connections)
        closeConnection(it);
}

std::size_t HostileCrowd::openCount() const
{
    return static_cast<std::size_t>(
            std::count_if(d->m_connections.begin(), d->m_connections.end(),
                          [](const Connection &it) { return it.socket >= 0; }));
}

} // namespace cornelshed::testing
