// HTTP/1.1 client of the load tool, the demonstration and the tests. Each call uses its own
// connection, so that a broken connection affects a single call.

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

struct HttpClientRequest
{
    std::string method = "GET";
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

// How a call ended on the level of the connection, independent of the HTTP status code.
enum class HttpTransportResult {
    Complete,
    ConnectFailed, // no connection, so nothing was sent
    Broken,        // the connection ended before the complete response was received
    TimedOut
};

struct HttpClientResponse
{
    HttpTransportResult transport = HttpTransportResult::ConnectFailed;
    unsigned status = 0;
    std::string outcome; // value of the Cornelshed-Outcome header
    std::string body;    // the part received, if the response is incomplete
    std::chrono::steady_clock::time_point firstByteTime; // arrival of the first byte of the body
    std::chrono::steady_clock::time_point endTime;
};

// Sends a request and reads the response. The timeout covers the whole call, connecting included.
boost::asio::awaitable<HttpClientResponse>
sendHttpRequest(HttpEndpoint endpoint, HttpClientRequest call, std::chrono::milliseconds timeout);

// Same as sendHttpRequest(), but blocks the calling thread until the call has ended.
HttpClientResponse sendHttpRequestBlocking(const HttpEndpoint &endpoint,
                                           const HttpClientRequest &call,
                                           std::chrono::milliseconds timeout);

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_HTTPCLIENT_H
