// Blocking TCP on loopback addresses and the messages of HTTP/1.1, for stand-ins and callers.

#ifndef REVIEW_NET_H
#define REVIEW_NET_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;

// Value of the first header with this name, in any letter case; empty if there is none.
std::string headerValue(const Headers &headers, const std::string &name);

// A connected TCP socket. Reads and writes block for the time that was set at most.
class Connection
{
public:
    explicit Connection(int descriptor) : m_descriptor(descriptor) { }
    ~Connection() { close(); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool isOpen() const { return m_descriptor >= 0; }
    void setReadLimit(std::chrono::milliseconds limit);

    bool send(const std::string &bytes);
    std::optional<std::string> readLine(); // without the line break
    std::optional<std::string> readBytes(std::size_t count);

    // What has arrived and was not read. Does not wait.
    std::string unread();

    // Ends blocked reads and writes of other threads.
    void shutDown();
    // The same, and the peer gets a reset when the connection is closed.
    void reset();
    void close();

private:
    bool fill();

    int m_descriptor;
    std::string m_buffer;
};

// Returns -1 if nobody listens there.
int connectTo(const std::string &address, std::uint16_t port);

class ListeningSocket
{
public:
    // port: 0 for any free one.
    ListeningSocket(const std::string &address, std::uint16_t port);
    ~ListeningSocket() { close(); }
    ListeningSocket(const ListeningSocket &) = delete;
    ListeningSocket &operator=(const ListeningSocket &) = delete;

    bool isOpen() const { return m_descriptor >= 0; }
    std::uint16_t port() const { return m_port; }
    int accept() const; // -1 once the socket is closed
    void close();

private:
    int m_descriptor;
    std::uint16_t m_port = 0;
};

// A port that is free on all these addresses, for TCP and UDP; 0 if none was found.
std::uint16_t freePort(const std::vector<std::string> &addresses);

struct HttpRequest
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
};

// Reads a request whose body has a length; nothing if the connection ends.
std::optional<HttpRequest> readRequest(Connection &connection);

struct HttpAnswer
{
    int status = 0; // 0: the channel was closed before the head of an answer
    Headers headers;
    std::string body;
    bool isComplete = false;
};

// Reads an answer with a length or in chunks; one to a HEAD request has no body. A head of a 1xx
// status is skipped.
HttpAnswer readAnswer(Connection &connection, bool isToHead = false);

} // namespace review

#endif // REVIEW_NET_H
