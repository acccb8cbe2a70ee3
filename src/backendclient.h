// HTTP/1.1 client of the backend server beside an agent, with a pool of keep-alive connections.
// Everything runs on the io_context's only thread.

#ifndef CORNELSHED_BACKENDCLIENT_H
#define CORNELSHED_BACKENDCLIENT_H

#include "messages.h"
#include "types.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace cornelshed {

struct BackendRequest
{
    std::string method;
    std::string path;
    Headers headers;
    std::string body;
    Duration timeLimit {}; // for the whole exchange
    // Answers that do not carry this header with this value belong to other requests and are
    // skipped. Empty name: every answer is taken.
    std::string echoName {};
    std::string echoValue {};

    bool operator==(const BackendRequest &) const = default;
};

struct BackendClientSettings
{
    Duration connectLimit = std::chrono::seconds(5);
    // Idle connections are used again for this time, or for what the server's Keep-Alive says.
    Duration idleLimit = std::chrono::seconds(10);
    // Sent bytes that stay unacknowledged for this time break the connection; 0: system default.
    Duration unacknowledgedLimit {};
    // Body without a length or chunks, which ends with the connection.
    bool acceptsUnframed = false;

    bool operator==(const BackendClientSettings &) const = default;
};

enum class BackendError {
    NotSent,   // no connection; no byte of the request was written
    Cut,       // the connection broke off; the request may have run
    Malformed, // the answer is not HTTP, or its end cannot be told from a cut connection
    TimedOut,  // the request may have run
    Abandoned  // by abandon()
};

// Receives an answer. After head() and any number of body() calls comes exactly one finished() or
// failed(), which may also come first.
class BackendAnswer
{
public:
    virtual ~BackendAnswer() = default;
    virtual void head(std::uint32_t status, Headers headers) = 0;
    virtual void body(std::string data) = 0;
    virtual void finished() = 0;
    virtual void failed(BackendError error) = 0;
};

// One exchange under way.
class BackendCall
{
public:
    virtual ~BackendCall() = default;

    // Closes the connection; the answer fails with Abandoned unless it has ended before.
    virtual void abandon() = 0;
};

class BackendClient
{
public:
    BackendClient(boost::asio::io_context &context, const std::string &address, std::uint16_t port,
                  const BackendClientSettings &settings = {});
    ~BackendClient();
    BackendClient(const BackendClient &) = delete;
    BackendClient &operator=(const BackendClient &) = delete;

    std::shared_ptr<BackendCall> start(BackendRequest request,
                                       std::shared_ptr<BackendAnswer> answer);

    // Sends a small request whose body does not matter; done receives the status, 0 if there was no
    // whole answer.
    void post(const std::string &path, const std::string &json,
              std::function<void(std::uint32_t status)> done);
    void get(const std::string &path, std::function<void(std::uint32_t status)> done);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_BACKENDCLIENT_H
