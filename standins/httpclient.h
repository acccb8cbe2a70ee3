// HTTP/1.1 client of the load tool, the demonstration and the tests. Each call has a connection of
// its own, so that a broken connection concerns one call only.

#ifndef CORNELSHED_STANDINS_HTTPCLIENT_H
#define CORNELSHED_STANDINS_HTTPCLIENT_H

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace cornelshed::standins {

struct HttpEndpoint
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
};

struct HttpClientCall
{
    std::string method = "GET";
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

enum class HttpTransport {
    Complete,
    ConnectFailed, // nothing was sent
    Broken,        // the connection ended before the whole answer was received
    TimedOut
};

struct HttpClientReply
{
    HttpTransport transport = HttpTransport::ConnectFailed;
    unsigned status = 0;
    std::string outcome;                                 // header Cornelshed-Outcome
    std::string body;                                    // as far as received
    std::chrono::steady_clock::time_point firstByteTime; // of the body
    std::chrono::steady_clock::time_point endTime;
};

boost::asio::awaitable<HttpClientReply> callHttp(HttpEndpoint endpoint, HttpClientCall call,
                                                 std::chrono::milliseconds timeout);

// Blocks the calling thread until the call has ended.
HttpClientReply callHttpBlocking(const HttpEndpoint &endpoint, const HttpClientCall &call,
                                 std::chrono::milliseconds timeout);

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_HTTPCLIENT_H
