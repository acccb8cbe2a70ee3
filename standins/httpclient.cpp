// HTTP/1.1 client implemented with Boost.Beast and coroutines.

#include "httpclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <limits>

namespace cornelshed::standins {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Clock = std::chrono::steady_clock;

namespace {

http::request<http::string_body> toRequest(HttpClientRequest call)
{
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(call.method);
    request.target(call.path);
    request.set(http::field::host, "localhost");
    request.set(http::field::connection, "close");
    for (const auto &[name, value] : call.headers)
        request.set(name, value);
    request.body() = std::move(call.body);
    request.prepare_payload();
    return request;
}

HttpTransportResult toTransport(const boost::system::error_code &ec)
{
    if (!ec)
        return HttpTransportResult::Complete;
    return ec == beast::error::timeout ? HttpTransportResult::TimedOut
                                       : HttpTransportResult::Broken;
}

asio::awaitable<void> exchange(beast::tcp_stream &stream, HttpClientRequest call,
                               HttpClientResponse &reply)
{
    boost::system::error_code ec;
    http::request<http::string_body> request = toRequest(std::move(call));
    // A write error is ignored: the server may have sent its response before it closed the
    // connection. Otherwise, reading the response fails too.
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, ec));
    beast::flat_buffer buf;
    http::response_parser<http::string_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    co_await http::async_read_header(stream, buf, parser,
                                     asio::redirect_error(asio::use_awaitable, ec));
    while (!ec && !parser.is_done() && parser.get().body().empty())
        co_await http::async_read_some(stream, buf, parser,
                                       asio::redirect_error(asio::use_awaitable, ec));
    reply.firstByteTime = Clock::now();
    if (!ec && !parser.is_done())
        co_await http::async_read(stream, buf, parser,
                                  asio::redirect_error(asio::use_awaitable, ec));
    reply.transport = toTransport(ec);
    if (parser.is_header_done()) {
        reply.status = parser.get().result_int();
        reply.outcome = std::string(parser.get()["Cornelshed-Outcome"]);
        reply.body = std::move(parser.get().body());
    }
}

} // namespace

asio::awaitable<HttpClientResponse> sendHttpRequest(HttpEndpoint endpoint, HttpClientRequest call,
                                                    std::chrono::milliseconds timeout)
{
    HttpClientResponse reply;
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    boost::system::error_code ec;
    const asio::ip::tcp::endpoint address(asio::ip::make_address(endpoint.address), endpoint.port);
    co_await stream.async_connect(address, asio::redirect_error(asio::use_awaitable, ec));
    if (!ec)
        co_await exchange(stream, std::move(call), reply);
    else
        reply.transport = HttpTransportResult::ConnectFailed;
    reply.endTime = Clock::now();
    stream.socket().close(ec);
    co_return reply;
}

HttpClientResponse sendHttpRequestBlocking(const HttpEndpoint &endpoint,
                                           const HttpClientRequest &call,
                                           std::chrono::milliseconds timeout)
{
    asio::io_context context(1);
    HttpClientResponse reply;
    asio::co_spawn(context, sendHttpRequest(endpoint, call, timeout),
                   [&](const std::exception_ptr &error, HttpClientResponse result) {
                       if (error)
                           std::rethrow_exception(error);
                       reply = std::move(result);
                   });
    context.run();
    return reply;
}

} // namespace cornelshed::standins
