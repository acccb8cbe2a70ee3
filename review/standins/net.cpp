// Blocking TCP on loopback addresses and the messages of HTTP/1.1, for stand-ins and callers.

#include "net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <random>

namespace review {

namespace {

constexpr int backlog = 512;
constexpr std::size_t readChunkBytes = 65536;

sockaddr_in socketAddress(const std::string &address, std::uint16_t port)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

bool canBind(const std::string &address, std::uint16_t port, int type)
{
    const int descriptor = ::socket(AF_INET, type, 0);
    const sockaddr_in name = socketAddress(address, port);
    const bool free =
            ::bind(descriptor, reinterpret_cast<const sockaddr *>(&name), sizeof name) == 0;
    ::close(descriptor);
    return free;
}

bool readHeaders(Connection &connection, Headers &headers)
{
    while (const auto line = connection.readLine()) {
        if (line->empty())
            return true;
        const std::size_t colon = line->find(':');
        if (colon == std::string::npos)
            return false;
        const std::size_t value = line->find_first_not_of(' ', colon + 1);
        headers.emplace_back(line->substr(0, colon),
                             value == std::string::npos ? "" : line->substr(value));
    }
    return false;
}

void readChunks(Connection &connection, HttpAnswer &answer)
{
    while (const auto line = connection.readLine()) {
        const std::size_t size = std::strtoul(line->c_str(), nullptr, 16);
        const auto data = connection.readBytes(size);
        if (!data || !connection.readLine())
            return;
        answer.body += *data;
        answer.isComplete = size == 0;
        if (answer.isComplete)
            return;
    }
}

} // namespace

std::string headerValue(const Headers &headers, const std::string &name)
{
    for (const auto &[key, value] : headers) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0)
            return value;
    }
    return {};
}

void Connection::setReadLimit(std::chrono::milliseconds limit)
{
    timeval time {};
    time.tv_sec = limit.count() / 1000;
    time.tv_usec = (limit.count() % 1000) * 1000;
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
}

bool Connection::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t n =
                ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

bool Connection::fill()
{
    std::array<char, readChunkBytes> chunk; // NOLINT: filled by recv()
    const ssize_t n = ::recv(m_descriptor, chunk.data(), chunk.size(), 0);
    if (n <= 0)
        return false;
    m_buffer.append(chunk.data(), static_cast<std::size_t>(n));
    return true;
}

std::optional<std::string> Connection::readLine()
{
    for (;;) {
        const std::size_t end = m_buffer.find('\n');
        if (end != std::string::npos) {
            std::string line = m_buffer.substr(0, end);
            m_buffer.erase(0, end + 1);
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            return line;
        }
        if (!fill())
            return std::nullopt;
    }
}

std::optional<std::string> Connection::readBytes(std::size_t count)
{
    while (m_buffer.size() < count) {
        if (!fill())
            return std::nullopt;
    }
    std::string bytes = m_buffer.substr(0, count);
    m_buffer.erase(0, count);
    return bytes;
}

std::string Connection::unread()
{
    std::array<char, readChunkBytes> chunk; // NOLINT: filled by recv()
    const ssize_t n = ::recv(m_descriptor, chunk.data(), chunk.size(), MSG_PEEK | MSG_DONTWAIT);
    return n > 0 ? m_buffer + std::string(chunk.data(), static_cast<std::size_t>(n)) : m_buffer;
}

void Connection::shutDown()
{
    ::shutdown(m_descriptor, SHUT_RDWR);
}

void Connection::reset()
{
    const linger option {1, 0};
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    // Unlike shutdown(), this sends nothing in order: disconnecting resets the connection.
    sockaddr none {};
    none.sa_family = AF_UNSPEC;
    static_cast<void>(::connect(m_descriptor, &none, sizeof none));
}

void Connection::close()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
    m_descriptor = -1;
}

int connectTo(const std::string &address, std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in name = socketAddress(address, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&name), sizeof name) != 0) {
        ::close(descriptor);
        return -1;
    }
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return descriptor;
}

ListeningSocket::ListeningSocket(const std::string &address, std::uint16_t port)
    : m_descriptor(::socket(AF_INET, SOCK_STREAM, 0))
{
    const int on = 1;
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in name = socketAddress(address, port);
    auto *const generic = reinterpret_cast<sockaddr *>(&name);
    if (::bind(m_descriptor, generic, sizeof name) != 0 || ::listen(m_descriptor, backlog) != 0) {
        close();
        return;
    }
    socklen_t size = sizeof name;
    ::getsockname(m_descriptor, generic, &size);
    m_port = ntohs(name.sin_port);
}

int ListeningSocket::accept() const
{
    return ::accept(m_descriptor, nullptr, nullptr);
}

void ListeningSocket::close()
{
    if (m_descriptor < 0)
        return;
    ::shutdown(m_descriptor, SHUT_RDWR); // ends a blocked accept()
    ::close(m_descriptor);
    m_descriptor = -1;
}

std::uint16_t freePort(const std::vector<std::string> &addresses)
{
    std::mt19937 random(std::random_device {}());
    std::uniform_int_distribution<int> ports(20000, 30000); // below those of outgoing connections
    for (int i = 0; i < 1000; ++i) {
        const auto port = static_cast<std::uint16_t>(ports(random));
        const bool free = std::all_of(addresses.begin(), addresses.end(), [&](const auto &it) {
            return canBind(it, port, SOCK_STREAM) && canBind(it, port, SOCK_DGRAM);
        });
        if (free)
            return port;
    }
    return 0;
}

std::optional<HttpRequest> readRequest(Connection &connection)
{
    const auto line = connection.readLine();
    if (!line)
        return std::nullopt;
    HttpRequest request;
    const std::size_t first = line->find(' ');
    const std::size_t last = line->rfind(' ');
    if (first == std::string::npos || last == first)
        return std::nullopt;
    request.method = line->substr(0, first);
    request.target = line->substr(first + 1, last - first - 1);
    if (!readHeaders(connection, request.headers))
        return std::nullopt;
    const std::string length = headerValue(request.headers, "Content-Length");
    auto body = connection.readBytes(std::strtoul(length.c_str(), nullptr, 10));
    if (!body)
        return std::nullopt;
    request.body = std::move(*body);
    return request;
}

HttpAnswer readAnswer(Connection &connection, bool isToHead)
{
    HttpAnswer answer;
    do {
        const auto line = connection.readLine();
        if (!line || line->size() < 12)
            return {};
        answer.status = std::atoi(line->c_str() + 9);
        answer.headers.clear();
        if (!readHeaders(connection, answer.headers))
            return answer;
    } while (answer.status < 200);
    if (isToHead) {
        answer.isComplete = true;
        return answer;
    }
    if (headerValue(answer.headers, "Transfer-Encoding") == "chunked") {
        readChunks(connection, answer);
        return answer;
    }
    const std::string length = headerValue(answer.headers, "Content-Length");
    if (auto body = connection.readBytes(std::strtoul(length.c_str(), nullptr, 10))) {
        answer.body = std::move(*body);
        answer.isComplete = true;
    }
    return answer;
}

} // namespace review
