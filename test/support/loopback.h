// Loopback peers for tests of the daemons: a scripted backend server, the entry daemon's side of a
// session with an agent, and a caller. Calls that wait have a time limit of 10 s, so that a test
// cannot hang.

#ifndef CORNELSHED_TEST_LOOPBACK_H
#define CORNELSHED_TEST_LOOPBACK_H

#include "messages.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelshed::testing {

// A request as the stub received it.
struct StubRequest
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
    std::size_t connection = 0; // number of connections accepted before this one
};

// The server's side of one request. Bytes are sent unchanged, so that a handler can also send
// malformed or incomplete responses.
class StubReply
{
public:
    virtual ~StubReply() = default;
    virtual void send(std::string_view bytes) = 0;
    virtual void close() = 0;

    // Closes the connection with a TCP reset.
    virtual void reset() = 0;

    // Sends the bytes again and again with this pause until the peer closes the connection, or for
    // 4 s at most. Returns whether the peer closed it.
    virtual bool sendUntilClosed(std::string_view bytes, std::chrono::microseconds pause) = 0;

    // Sends a complete JSON response with Content-Length.
    void sendResponse(int status, const std::string &body);

    // Send the header, one event and the last chunk of a chunked stream of server-sent events.
    void beginEventStream();
    void sendEvent(const std::string &data);
    void endEventStream();
};

// HTTP server with one thread for each connection. Answers /load and /control/... itself with
// status 200 and passes all other requests to the handler.
class BackendStub
{
public:
    using Handler = std::function<void(const StubRequest &, StubReply &)>;

    // port: to listen on; 0: any free one.
    explicit BackendStub(Handler handler, std::uint16_t port = 0);
    ~BackendStub();
    BackendStub(const BackendStub &) = delete;
    BackendStub &operator=(const BackendStub &) = delete;

    // Called when a request begins to arrive; nothing of it is read until this time has passed.
    void setReadPause(std::function<std::chrono::milliseconds()> pause);

    std::uint16_t port() const;
    std::vector<StubRequest> requests() const;

    // Waits until a request for the target has been received. Returns false after 10 s.
    bool waitForRequest(const std::string &target) const;

    // Refuses new connections, closes the open ones and joins all threads.
    void stop();

private:
    class Private;
    std::unique_ptr<Private> d;
};

// The entry daemon's side of one session with an agent.
class SessionPeer
{
public:
    explicit SessionPeer(std::uint16_t port);
    ~SessionPeer();

    void send(const EntryMessage &message);
    void sendRaw(std::string_view bytes);

    // Returns nothing if the session was closed, the message could not be decoded, or none came
    // within 10 s.
    std::optional<AgentMessage> receive();

    // Returns the next message of this type and discards the others.
    template<typename Message> std::optional<Message> receiveNext()
    {
        while (std::optional<AgentMessage> message = receive()) {
            if (const auto *found = std::get_if<Message>(&*message))
                return *found;
        }
        return std::nullopt;
    }

private:
    class Private;
    std::unique_ptr<Private> d;
};

struct CallerAnswer
{
    int status = 0;      // 0: no complete answer was received
    std::string outcome; // value of the Cornelshed-Outcome header
    std::string body;
    bool keepAlive = false;
    Headers headers {};

    // The error code of a JSON error body; empty if the body has none.
    std::string code() const;
};

// One HTTP connection of a caller to a daemon.
class Caller
{
public:
    explicit Caller(std::uint16_t port, const std::string &address = "127.0.0.1");
    ~Caller();

    void send(std::string_view bytes);
    CallerAnswer receive();

    // Returns all bytes that are received until the daemon closes the connection.
    std::string receiveUntilClosed();
    void close();

    // Whether the daemon has closed the connection, or sent something unasked.
    bool isClosed();

    // Sends a POST request and waits for the answer. Each header is a line "Name: value".
    CallerAnswer post(const std::string &target, const std::vector<std::string> &headers,
                      const std::string &body);
    void sendPost(const std::string &target, const std::vector<std::string> &headers,
                  const std::string &body);

    // Reads a stream up to its trailer by polling the socket every 5 ms. With a blocking read, the
    // daemon's thread would wake this one for each chunk, which would add to its measured processor
    // time. Returns false if the stream did not end within 10 s.
    bool pollStream();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed::testing

#endif // CORNELSHED_TEST_LOOPBACK_H
