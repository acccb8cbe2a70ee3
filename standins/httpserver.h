// HTTP/1.1 server shared by the stand-ins: one coroutine for each connection on a single-threaded
// io_context. Beast stays in the source file.

#ifndef CORNELSHED_STANDINS_HTTPSERVER_H
#define CORNELSHED_STANDINS_HTTPSERVER_H

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace cornelshed::standins {

struct HttpCall
{
    std::string method;
    std::string path;                           // without the query
    std::map<std::string, std::string> query;   // not percent-decoded
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;

    // Returns the header's value, or an empty string if it is absent.
    [[nodiscard]] std::string header(const std::string &name) const;
};

// Answer to one call: either whole(), or beginStream(), chunk() and endStream(), or drop(). The
// functions return false when the connection is broken.
class HttpAnswer
{
public:
    virtual ~HttpAnswer() = default;

    virtual boost::asio::awaitable<bool> whole(unsigned status, std::string body) = 0;
    virtual boost::asio::awaitable<bool> beginStream() = 0;
    virtual boost::asio::awaitable<bool> chunk(std::string data) = 0;
    virtual boost::asio::awaitable<bool> endStream() = 0;

    // Closes the connection without completing the answer.
    virtual void drop() = 0;
};

using HttpHandler =
        std::function<boost::asio::awaitable<void>(const HttpCall &call, HttpAnswer &answer)>;

// Starts listening and returns the bound port; port 0 selects a free one. Throws
// boost::system::system_error when the address cannot be bound.
std::uint16_t serveHttp(boost::asio::io_context &context, const std::string &address,
                        std::uint16_t port, HttpHandler handler);

// Listens, prints "event=listening port=N" and runs until SIGTERM or SIGINT. Returns the exit
// status of the process.
int runHttpProgram(boost::asio::io_context &context, const std::string &address, std::uint16_t port,
                   HttpHandler handler);

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_HTTPSERVER_H
