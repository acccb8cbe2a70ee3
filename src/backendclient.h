// Asynchronous HTTP/1.1 client for one backend server, with a pool of keep-alive connections. All
// functions must be called on the single thread that runs the io_context.

#ifndef CORNELSHED_BACKENDCLIENT_H
#define CORNELSHED_BACKENDCLIENT_H

#include "connectionevidence.h"
#include "messages.h"
#include "types.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace boost::asio {
class io_context;
}

namespace cornelshed {

// The body of a request, which all attempts at it share.
class SharedBody
{
public:
    SharedBody() = default;
    SharedBody(std::string text) : m_text(std::make_shared<const std::string>(std::move(text))) { }
    SharedBody(const char *text) : SharedBody(std::string(text)) { }

    std::string_view text() const
    {
        return m_text ? std::string_view(*m_text) : std::string_view();
    }
    bool operator==(const SharedBody &other) const { return text() == other.text(); }

private:
    std::shared_ptr<const std::string> m_text; // null: empty
};

struct BackendRequest
{
    std::string method;
    std::string path;
    Headers headers;
    SharedBody body;
    Duration timeLimit {}; // for the whole exchange, including connecting
    // Header by which the server echoes the request's id. A response without this header and value
    // belongs to another request and is skipped. With an empty name every response is accepted.
    std::string echoHeaderName {};
    std::string echoHeaderValue {};
    // The server need not echo the id: the first response on a new connection is accepted in any
    // case, but without the echo the connection is not used again, since a copy of the response
    // could be taken for the next one. Until the server has echoed an id, every exchange gets a new
    // connection. On a used connection a response without an id makes the exchange fail, and later
    // ones of this kind get new connections.
    bool echoOptional = false;
    // Uses a connection of its own, on which no response to another request can arrive.
    bool ownConnection = false;
    // On the clock of timeSinceBoot(). The writing does not begin after this time, also if the host
    // was suspended while the connection was established, and what a failed exchange has not
    // delivered is discarded. 0: unlimited.
    Duration writeBefore {};

    bool operator==(const BackendRequest &) const = default;
};

struct BackendClientSettings
{
    Duration connectTimeout = std::chrono::seconds(5);
    // Maximum time that a connection stays idle in the pool; the server's Keep-Alive timeout
    // applies if it is shorter.
    Duration idleTimeout = std::chrono::seconds(10);
    // TCP_USER_TIMEOUT: closes a connection whose sent data stays unacknowledged this long. 0: the
    // system default.
    Duration tcpUserTimeout {};
    // Accepts a body that is delimited only by the close of the connection; see errorAtEnd().
    bool acceptsCloseDelimitedBody = false;
    // A response with a longer body is malformed.
    std::uint64_t bodyLimitBytes = std::uint64_t {256} << 20U;

    bool operator==(const BackendClientSettings &) const = default;
};

// Receives a response: head(), any number of body() calls, then finished(). failed() ends the
// sequence at any point. Exactly one of finished() and failed() is called.
class BackendResponseHandler
{
public:
    virtual ~BackendResponseHandler() = default;
    virtual void head(std::uint32_t status, Headers headers) = 0;
    virtual void body(std::string data) = 0;
    virtual void finished() = 0;
    virtual void failed(BackendError error) = 0;
};

// Handle of an exchange in progress.
class BackendExchange
{
public:
    virtual ~BackendExchange() = default;

    // Closes the connection; failed(Abandoned) follows unless the exchange has already ended.
    virtual void abandon() = 0;
};

// What a connection without a request shows of a server.
enum class PortState : std::uint8_t {
    Listening,
    Closed, // the host refuses connections: the server's process has ended or is ending
    Unknown // no answer in time, or another error
};

class BackendClient
{
public:
    // address: of IP version 4 or 6; anything else throws boost::system::system_error.
    BackendClient(boost::asio::io_context &context, const std::string &address, std::uint16_t port,
                  const BackendClientSettings &settings = {});
    ~BackendClient();
    BackendClient(const BackendClient &) = delete;
    BackendClient &operator=(const BackendClient &) = delete;

    std::shared_ptr<BackendExchange> start(BackendRequest request,
                                           std::shared_ptr<BackendResponseHandler> responseHandler);

    // Sends a control request on a connection of its own and ignores the body of the response. done
    // receives the status, or 0 if no complete response arrived.
    void post(const std::string &path, const std::string &json,
              std::function<void(std::uint32_t status)> done);
    void get(const std::string &path, std::function<void(std::uint32_t status)> done);

    // Connects, closes the connection and passes on what that showed.
    void checkPort(std::function<void(PortState state)> done);

private:
    void startControlRequest(BackendRequest request,
                             std::function<void(std::uint32_t status)> done);

    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_BACKENDCLIENT_H
