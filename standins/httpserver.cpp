// HTTP/1.1 server of the stand-ins, implemented with Boost.Beast and coroutines.

#include "httpserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cctype>
#include <iostream>
#include <utility>
#include <vector>

namespace cornelshed::standins {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

namespace {

constexpr std::uint64_t bodyLimitBytes = 64ULL << 20U;
// Echoed, so that callers can match responses to requests.
constexpr const char *requestIdHeader = "X-Request-Id";

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
    return text;
}

void parseQuery(const std::string &text, std::map<std::string, std::string> &query)
{
    std::size_t begin = 0;
    while (begin < text.size()) {
        const std::size_t end = std::min(text.find('&', begin), text.size());
        const std::string parameter = text.substr(begin, end - begin);
        const std::size_t equals = std::min(parameter.find('='), parameter.size());
        query[parameter.substr(0, equals)] =
                equals < parameter.size() ? parameter.substr(equals + 1) : "";
        begin = end + 1;
    }
}

HttpRequest toHttpRequest(http::request<http::string_body> &&message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    const std::string target(message.target());
    const std::size_t queryMark = std::min(target.find('?'), target.size());
    request.path = target.substr(0, queryMark);
    if (queryMark < target.size())
        parseQuery(target.substr(queryMark + 1), request.query);
    for (const auto &it : message)
        request.headers[lowerCase(std::string(it.name_string()))] = std::string(it.value());
    request.body = std::move(message.body());
    return request;
}

class ConnectionResponseWriter final : public HttpResponseWriter
{
public:
    ConnectionResponseWriter(Tcp::socket &socket, bool keepAlive, std::string requestId)
        : m_socket(socket), m_keepAlive(keepAlive), m_requestId(std::move(requestId))
    { }

    void addHeader(std::string name, std::string value) override
    {
        m_headers.emplace_back(std::move(name), std::move(value));
    }

    asio::awaitable<bool> send(unsigned status, std::string body) override
    {
        http::response<http::string_body> response;
        response.version(11);
        response.result(status);
        setHeaders(response, "application/json");
        response.body() = std::move(body);
        response.prepare_payload();
        boost::system::error_code ec;
        co_await http::async_write(m_socket, response,
                                   asio::redirect_error(asio::use_awaitable, ec));
        m_complete = !ec;
        co_return m_complete;
    }

    asio::awaitable<bool> beginStream() override
    {
        http::response<http::empty_body> response(http::status::ok, 11);
        setHeaders(response, "text/event-stream");
        response.chunked(true);
        http::response_serializer<http::empty_body> serializer(response);
        boost::system::error_code ec;
        co_await http::async_write_header(m_socket, serializer,
                                          asio::redirect_error(asio::use_awaitable, ec));
        co_return !ec;
    }

    asio::awaitable<bool> sendChunk(std::string data) override
    {
        boost::system::error_code ec;
        const auto buf = http::make_chunk(asio::const_buffer(data.data(), data.size()));
        co_await asio::async_write(m_socket, buf, asio::redirect_error(asio::use_awaitable, ec));
        co_return !ec;
    }

    asio::awaitable<bool> endStream() override
    {
        boost::system::error_code ec;
        const auto buf = http::make_chunk_last();
        co_await asio::async_write(m_socket, buf, asio::redirect_error(asio::use_awaitable, ec));
        m_complete = !ec;
        co_return m_complete;
    }

    void abort() override { m_complete = false; }

    [[nodiscard]] bool reusable() const { return m_complete && m_keepAlive; }

private:
    template<typename Response> void setHeaders(Response &response, const char *contentType)
    {
        response.set(http::field::content_type, contentType);
        response.keep_alive(m_keepAlive);
        if (!m_requestId.empty())
            response.set(requestIdHeader, m_requestId);
        for (const auto &[name, value] : m_headers)
            response.insert(name, value);
    }

    Tcp::socket &m_socket;
    bool m_keepAlive;
    std::vector<std::pair<std::string, std::string>> m_headers;
    std::string m_requestId; // of the request, echoed; empty: it has none
    bool m_complete = false; // the complete response was written
};

// Reads one request and handles it. Returns whether the connection can be used for another one.
asio::awaitable<bool> serveRequest(Tcp::socket &socket, beast::flat_buffer &buf,
                                   const HttpHandler &handler)
{
    http::request_parser<http::string_body> parser;
    parser.body_limit(bodyLimitBytes);
    boost::system::error_code ec;
    co_await http::async_read(socket, buf, parser, asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
        co_return false;
    ConnectionResponseWriter response(socket, parser.get().keep_alive(),
                                      std::string(parser.get()[requestIdHeader]));
    const HttpRequest request = toHttpRequest(parser.release());
    std::string errorMessage;
    try {
        co_await handler(request, response);
    } catch (const std::exception &error) {
        errorMessage = error.what();
    }
    if (!errorMessage.empty()) {
        std::clog << "event=call_failed path=" << request.path << " error=\"" << errorMessage
                  << "\"\n";
        co_await response.send(400, "{\"error\":\"malformed call\"}");
    }
    co_return response.reusable();
}

asio::awaitable<void> serveConnection(Tcp::socket socket, const HttpHandler &handler)
{
    beast::flat_buffer buf;
    boost::system::error_code ec;
    socket.set_option(Tcp::no_delay(true), ec);
    bool open = true;
    while (open)
        open = co_await serveRequest(socket, buf, handler);
    socket.shutdown(Tcp::socket::shutdown_both, ec);
}

asio::awaitable<void> acceptConnections(Tcp::acceptor acceptor, HttpHandler handler)
{
    for (;;) {
        boost::system::error_code ec;
        Tcp::socket socket =
                co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            continue;
        asio::co_spawn(acceptor.get_executor(), serveConnection(std::move(socket), handler),
                       asio::detached);
    }
}

} // namespace

std::string HttpRequest::header(const std::string &name) const
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

std::uint16_t serveHttp(asio::io_context &context, const std::string &address, std::uint16_t port,
                        HttpHandler handler)
{
    Tcp::acceptor acceptor(context, Tcp::endpoint(asio::ip::make_address(address), port));
    const std::uint16_t boundPort = acceptor.local_endpoint().port();
    asio::co_spawn(context, acceptConnections(std::move(acceptor), std::move(handler)),
                   asio::detached);
    return boundPort;
}

int runHttpProgram(asio::io_context &context, const std::string &address, std::uint16_t port,
                   HttpHandler handler)
{
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
    const std::uint16_t boundPort = serveHttp(context, address, port, std::move(handler));
    std::cout << "event=listening port=" << boundPort << std::endl;
    context.run();
    return 0;
}

} // namespace cornelshed::standins
