// Sockets, HTTP/1.1 messages and a thread-safe record, for the stand-ins of the review's scripts.
// Everything is on loopback addresses.

#ifndef CORNELSHED_REVIEW_NET_H
#define CORNELSHED_REVIEW_NET_H

#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

std::int64_t msSince(Clock::time_point start);
std::int64_t unixMs();
void sleepMs(std::int64_t ms);

// Writes record.txt. Each line begins with the milliseconds since the start of the case.
class Record
{
public:
    explicit Record(const std::string &path) : m_file(path), m_start(Clock::now()) { }

    void line(const std::string &text);
    std::int64_t nowMs() const { return msSince(m_start); }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start;
};

struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
};

// A connected TCP socket, or none. Closes it at its end.
class Socket
{
public:
    Socket() = default;
    explicit Socket(int fd) : m_fd(fd) { }
    ~Socket() { close(); }
    Socket(Socket &&other) noexcept;
    Socket &operator=(Socket &&other) noexcept;
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    static Socket connect(const Address &to, int timeoutMs);

    bool isOpen() const { return m_fd >= 0; }
    int fd() const { return m_fd; }
    bool send(const std::string &text) const;
    // Appends what arrives within the time. Returns false at the end of the connection, and at the
    // end of the time.
    bool receive(std::string &buffer, int timeoutMs) const;
    void close();
    void reset(); // closes with a TCP reset

private:
    int m_fd = -1;
};

// Listens on the address; returns -1 if that fails.
int listenOn(const Address &address);

// Returns a port that is free on all given addresses, for TCP and UDP.
std::uint16_t freePort(std::uint16_t from);

struct Message
{
    std::string startLine;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    bool complete = false;

    int status() const;
    std::string header(const std::string &name) const;
};

// Reads one message, with a length, in chunks or (answers only) until the connection ends. What
// follows it stays in the buffer.
Message readMessage(const Socket &socket, std::string &buffer, int timeoutMs, bool isAnswer);

// Sends a request on a connection of its own and reads the answer.
Message call(const Address &to, const std::string &request, int timeoutMs);

std::string toHex(std::uint64_t value);

} // namespace review

#endif // CORNELSHED_REVIEW_NET_H
