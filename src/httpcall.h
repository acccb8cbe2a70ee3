// Asynchronous HTTP/1.1 call over a new connection. Internal header: it includes Boost.Beast.

#ifndef CORNELSHED_HTTPCALL_H
#define CORNELSHED_HTTPCALL_H

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/verb.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace cornelshed::detail {

struct HttpRequest
{
    std::string address; // IP address
    std::uint16_t port = 0;
    boost::beast::http::verb method = boost::beast::http::verb::get;
    std::string target;
    std::string body;
    std::string contentType;
    std::chrono::microseconds timeout {};
    std::uint64_t responseLimitBytes = 0;
};

struct HttpResponse
{
    bool sent = false;   // part of the request may have reached the server
    unsigned status = 0; // 0: no response
    std::string body;
    std::string problem; // error message, set if status is 0
};

// Calls callback exactly once, on a thread that runs context.
void callHttp(boost::asio::io_context &context, HttpRequest request,
              std::function<void(HttpResponse)> callback);

} // namespace cornelshed::detail

#endif // CORNELSHED_HTTPCALL_H
