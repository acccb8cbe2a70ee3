// HTTP/1.1 server shared by the stand-ins. It runs one coroutine per connection on a
// single-threaded io_context. Only the source file includes Boost.Beast.

#ifndef CORNELSHED_STANDINS_HTTPSERVER_H
#define CORNELSHED_STANDINS_HTTPSERVER_H

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace cornelshed::standins {

struct HttpRequest
{
    std::string method;
    std::string path;                           // without the query
    std::map<std::string, std::string> query;   // not percent-decoded
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;

    // Returns the header's value, or an empty string if it is absent.
    [[nodiscard]] std::string header(const std::string &name) const;
};

// Sends the response to one request: either with send(), or with beginStream(), sendChunk() and
// endStream(). abort() may be called instead at any point. The other functions return false if the
// connection is broken.
class HttpResponseWriter
{
public:
    virtual ~HttpResponseWriter() = default;

    // Adds a header to the response, before send() or beginStream().
    virtual void addHeader(std::string name, std::string value) = 0;

    virtual boost::asio::awaitable<bool> send(unsigned status, std::string body) = 0;
    virtual boost::asio::awaitable<bool> beginStream() = 0;
    virtual boost::asio::awaitable<bool> sendChunk(std::string data) = 0;
    virtual boost::asio::awaitable<bool> endStream() = 0;

    // Closes the connection without completing the response, once the handler has returned.
    virtual void abort() = 0;
};

using HttpHandler = std::function<boost::asio::awaitable<void>(const HttpRequest &request,
                                                               HttpResponseWriter &response)>;

// Starts listening and returns the bound port; port 0 selects a free one. Throws
// boost::system::system_error when the address cannot be bound.
std::uint16_t serveHttp(boost::asio::io_context &context, const std::string &address,
                        std::uint16_t port, HttpHandler handler);

// Main function of the stand-in programs: listens, prints "event=listening port=N" to the standard
// output, and serves until SIGTERM or SIGINT. Returns the exit status of the process.
int runHttpProgram(boost::asio::io_context &context, const std::string &address, std::uint16_t port,
                   HttpHandler handler);

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_HTTPSERVER_H
