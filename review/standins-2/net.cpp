// Blocking sockets with time limits by poll().

#include "net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <thread>
#include <utility>

namespace review {

namespace {

sockaddr_in toSockaddr(const Address &address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

bool waitFor(int fd, std::int16_t events, int timeoutMs)
{
    pollfd entry {fd, events, 0};
    return ::poll(&entry, 1, timeoutMs) > 0;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

void parseHead(const std::string &head, Message &message)
{
    std::size_t at = head.find("\r\n");
    message.startLine = head.substr(0, at);
    while (at != std::string::npos && at + 2 < head.size()) {
        const std::size_t begin = at + 2;
        at = head.find("\r\n", begin);
        const std::string line = head.substr(begin, at - begin);
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        const std::size_t value = line.find_first_not_of(" \t", colon + 1);
        message.headers[lower(line.substr(0, colon))] =
                value == std::string::npos ? std::string() : line.substr(value);
    }
}

// Reads until the buffer has so many bytes.
bool fill(const Socket &socket, std::string &buffer, std::size_t bytes, Clock::time_point until)
{
    while (buffer.size() < bytes) {
        const auto left = std::chrono::duration_cast<Ms>(until - Clock::now()).count();
        if (left <= 0 || !socket.receive(buffer, static_cast<int>(left)))
            return false;
    }
    return true;
}

bool readChunks(const Socket &socket, std::string &buffer, std::string &body,
                Clock::time_point until)
{
    for (;;) {
        std::size_t lineEnd = buffer.find("\r\n");
        while (lineEnd == std::string::npos) {
            if (!fill(socket, buffer, buffer.size() + 1, until))
                return false;
            lineEnd = buffer.find("\r\n");
        }
        const std::size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
        if (!fill(socket, buffer, lineEnd + 2 + size + 2, until)) {
            body += buffer.substr(std::min(buffer.size(), lineEnd + 2));
            return false;
        }
        body += buffer.substr(lineEnd + 2, size);
        buffer.erase(0, lineEnd + 2 + size + 2);
        if (size == 0)
            return true;
    }
}

} // namespace

std::int64_t msSince(Clock::time_point start)
{
    return std::chrono::duration_cast<Ms>(Clock::now() - start).count();
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch())
            .count();
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(Ms(ms));
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    m_file << nowMs() << ' ' << text << '\n';
    m_file.flush();
}

Socket::Socket(Socket &&other) noexcept : m_fd(std::exchange(other.m_fd, -1)) { }

Socket &Socket::operator=(Socket &&other) noexcept
{
    if (this != &other) {
        close();
        m_fd = std::exchange(other.m_fd, -1);
    }
    return *this;
}

Socket Socket::connect(const Address &to, int timeoutMs)
{
    Socket result(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const sockaddr_in target = toSockaddr(to);
    const int connected =
            ::connect(result.fd(), reinterpret_cast<const sockaddr *>(&target), sizeof target);
    if (connected != 0 && errno != EINPROGRESS)
        return {};
    if (!waitFor(result.fd(), POLLOUT, timeoutMs))
        return {};
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(result.fd(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0)
        return {};
    const int on = 1;
    ::setsockopt(result.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return result;
}

bool Socket::send(const std::string &text) const
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t n = ::send(m_fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n > 0) {
            sent += static_cast<std::size_t>(n);
            continue;
        }
        if (n < 0 && errno == EAGAIN && waitFor(m_fd, POLLOUT, 5000))
            continue;
        return false;
    }
    return true;
}

bool Socket::receive(std::string &buffer, int timeoutMs) const
{
    if (!waitFor(m_fd, POLLIN, timeoutMs))
        return false;
    std::array<char, 65536> data {};
    const ssize_t n = ::recv(m_fd, data.data(), data.size(), MSG_DONTWAIT);
    if (n <= 0)
        return n < 0 && errno == EAGAIN;
    buffer.append(data.data(), static_cast<std::size_t>(n));
    return true;
}

void Socket::close()
{
    if (m_fd >= 0)
        ::close(std::exchange(m_fd, -1));
}

void Socket::reset()
{
    if (m_fd < 0)
        return;
    const linger now {1, 0};
    ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
}

int listenOn(const Address &address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in target = toSockaddr(address);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0
        || ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

std::uint16_t freePort(std::uint16_t from)
{
    for (std::uint16_t port = from; port < 60000; ++port) {
        const Address any {"0.0.0.0", port};
        const sockaddr_in target = toSockaddr(any);
        const int tcp = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        const auto *name = reinterpret_cast<const sockaddr *>(&target);
        const bool isFree =
                ::bind(tcp, name, sizeof target) == 0 && ::bind(udp, name, sizeof target) == 0;
        ::close(tcp);
        ::close(udp);
        if (isFree)
            return port;
    }
    return 0;
}

int Message::status() const
{
    return startLine.size() > 12 ? std::atoi(startLine.c_str() + 9) : 0;
}

std::string Message::header(const std::string &name) const
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

Message readMessage(const Socket &socket, std::string &buffer, int timeoutMs, bool isAnswer)
{
    const auto until = Clock::now() + Ms(timeoutMs);
    Message message;
    std::size_t headEnd = buffer.find("\r\n\r\n");
    while (headEnd == std::string::npos) {
        if (!fill(socket, buffer, buffer.size() + 1, until))
            return message;
        headEnd = buffer.find("\r\n\r\n");
    }
    parseHead(buffer.substr(0, headEnd), message);
    buffer.erase(0, headEnd + 4);
    if (lower(message.header("transfer-encoding")) == "chunked") {
        message.complete = readChunks(socket, buffer, message.body, until);
        return message;
    }
    const std::string length = message.header("content-length");
    if (length.empty() && isAnswer) {
        while (fill(socket, buffer, buffer.size() + 1, until)) { }
        message.body = std::exchange(buffer, {});
        return message;
    }
    const std::size_t bytes = std::strtoul(length.c_str(), nullptr, 10);
    message.complete = fill(socket, buffer, bytes, until);
    message.body = buffer.substr(0, bytes);
    buffer.erase(0, bytes);
    return message;
}

Message call(const Address &to, const std::string &request, int timeoutMs)
{
    const Socket socket = Socket::connect(to, 1000);
    std::string buffer;
    if (!socket.isOpen() || !socket.send(request))
        return {};
    return readMessage(socket, buffer, timeoutMs, true);
}

std::string toHex(std::uint64_t value)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    for (int shift = 60; shift >= 0; shift -= 4)
        text += digits[(value >> static_cast<unsigned>(shift)) & 0xfU];
    return text;
}

} // namespace review
