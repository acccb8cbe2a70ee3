// A single timeout covers connecting, writing and reading.

#include "httpcall.h"

#include "unparsedlimit.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <memory>
#include <utility>

namespace cornelshed::detail {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

class HttpCall : public std::enable_shared_from_this<HttpCall>
{
public:
    HttpCall(asio::io_context &context, HttpRequest request,
             std::function<void(HttpResponse)> callback)
        : m_stream(context), m_parameters(std::move(request)), m_callback(std::move(callback))
    { }

    void start(asio::io_context &context)
    {
        boost::system::error_code ec;
        const auto address = asio::ip::make_address(m_parameters.address, ec);
        if (ec) {
            asio::post(context, [self = shared_from_this()] {
                self->finish("not an IP address: " + self->m_parameters.address);
            });
            return;
        }
        prepareRequest();
        m_stream.expires_after(m_parameters.timeout);
        m_stream.async_connect(asio::ip::tcp::endpoint(address, m_parameters.port),
                               [self = shared_from_this()](auto ec) { self->onConnected(ec); });
    }

private:
    void prepareRequest()
    {
        m_request.version(11);
        m_request.method(m_parameters.method);
        m_request.target(m_parameters.target);
        m_request.set(http::field::host, m_parameters.address);
        m_request.keep_alive(false);
        if (!m_parameters.contentType.empty())
            m_request.set(http::field::content_type, m_parameters.contentType);
        m_request.body() = std::move(m_parameters.body);
        m_request.prepare_payload();
        m_parser.body_limit(m_parameters.responseLimitBytes);
    }

    void onConnected(boost::system::error_code ec)
    {
        if (ec)
            return finish(ec.message());
        m_answer.sent = true; // a failed write may still have delivered the whole request
        http::async_write(m_stream, m_request, [self = shared_from_this()](auto ec, std::size_t) {
            self->onWritten(ec);
        });
    }

    void onWritten(boost::system::error_code ec)
    {
        if (ec)
            return finish(ec.message());
        http::async_read(m_stream, m_buffer, m_parser,
                         [self = shared_from_this()](auto ec, std::size_t) { self->onRead(ec); });
    }

    void onRead(boost::system::error_code ec)
    {
        if (ec)
            return finish(ec.message());
        m_answer.status = m_parser.get().result_int();
        m_answer.body = std::move(m_parser.get().body());
        finish("");
    }

    void finish(std::string problem)
    {
        m_answer.problem = std::move(problem);
        m_stream.close();
        m_callback(std::move(m_answer));
    }

    beast::tcp_stream m_stream;
    HttpRequest m_parameters;
    std::function<void(HttpResponse)> m_callback;
    http::request<http::string_body> m_request;
    http::response_parser<http::string_body> m_parser;
    beast::flat_buffer m_buffer = makeLimitedBuffer();
    HttpResponse m_answer;
};

} // namespace

void callHttp(asio::io_context &context, HttpRequest request,
              std::function<void(HttpResponse)> callback)
{
    const auto call = std::make_shared<HttpCall>(context, std::move(request), std::move(callback));
    call->start(context);
}

} // namespace cornelshed::detail
