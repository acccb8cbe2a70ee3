// Loopback peers for tests of the daemons: a scripted backend server, an entry daemon's end of a
// session, and a caller. All of them block and have time limits, so that a test cannot hang.

#ifndef CORNELSHED_TEST_LOOPBACK_H
#define CORNELSHED_TEST_LOOPBACK_H

#include "messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelshed::testing {

struct StubRequest
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
};

// The server's side of one request; bytes are sent as they are.
class StubReply
{
public:
    virtual ~StubReply() = default;
    virtual void send(std::string_view bytes) = 0;
    virtual void close() = 0;

    // A whole answer with its length.
    void whole(int status, const std::string &body);

    // The parts of a chunked stream of events.
    void beginEvents();
    void event(const std::string &data);
    void endChunks();
};

// Answers /load and /control/... by itself, and calls the handler for everything else, on a thread
// for each connection.
class BackendStub
{
public:
    using Handler = std::function<void(const StubRequest &, StubReply &)>;

    explicit BackendStub(Handler handler);
    ~BackendStub();
    BackendStub(const BackendStub &) = delete;
    BackendStub &operator=(const BackendStub &) = delete;

    std::uint16_t port() const;
    std::vector<StubRequest> requests() const;

    // Waits until a request for the target was received; false after the time limit.
    bool waitForRequest(const std::string &target) const;

    // Refuses new connections and closes those that are open.
    void stop();

private:
    class Private;
    std::unique_ptr<Private> d;
};

// One session to an agent.
class SessionPeer
{
public:
    explicit SessionPeer(std::uint16_t port);
    ~SessionPeer();

    void send(const EntryMessage &message);
    void sendRaw(std::string_view bytes);

    // Nothing if the session was closed or the time limit passed.
    std::optional<AgentMessage> receive();

    // Skips other messages.
    template<typename Message> std::optional<Message> receiveOnly()
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
    int status = 0; // 0: no answer
    std::string outcome;
    std::string body;
    bool keepAlive = false;
    Headers headers {};

    // The code in a typed error body; empty if there is none.
    std::string code() const;
};

// One connection of a caller.
class Caller
{
public:
    explicit Caller(std::uint16_t port, const std::string &address = "127.0.0.1");
    ~Caller();

    void send(std::string_view bytes);
    CallerAnswer receive();
    void close();

    // POST with the headers given as lines "Name: value".
    CallerAnswer post(const std::string &target, const std::vector<std::string> &headers,
                      const std::string &body);
    void sendPost(const std::string &target, const std::vector<std::string> &headers,
                  const std::string &body);

    // Reads a stream every few milliseconds up to its trailer, and so does not have the daemon's
    // thread wake this one for each part. False if it did not end within the time limit.
    bool pollStream();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed::testing

#endif // CORNELSHED_TEST_LOOPBACK_H
