// One HTTP/1.1 call over a connection of its own. Internal to the runtime; includes Beast.

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
    std::uint64_t answerLimitBytes = 0;
};

struct HttpAnswer
{
    bool sent = false;   // a part of the request may have reached the server
    unsigned status = 0; // 0: no answer
    std::string body;
    std::string problem; // set if status is 0
};

// The callback runs exactly once, in context.
void callHttp(boost::asio::io_context &context, HttpRequest request,
              std::function<void(HttpAnswer)> callback);

} // namespace cornelshed::detail

#endif // CORNELSHED_HTTPCALL_H
