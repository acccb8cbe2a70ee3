// Exchanges with the backend server. A pooled connection is checked before its use, because a write
// to a connection that the server has closed meanwhile would leave the request's fate unknown.

#include "backendclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace cornelshed {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::size_t idleConnectionLimit = 128;
constexpr std::size_t readBytes = std::size_t {16} << 10U;
constexpr std::uint64_t bodyLimitBytes = std::uint64_t {256} << 20U;
constexpr Duration controlTimeLimit = std::chrono::seconds(1);

// Open and without unread bytes; an idle connection has nothing to read unless it was closed.
bool isUsable(asio::ip::tcp::socket &socket)
{
    char c = 0;
    const ssize_t n = ::recv(socket.native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

Headers copyHeaders(const http::fields &fields)
{
    Headers headers;
    for (const auto &it : fields)
        headers.emplace_back(std::string(it.name_string()), std::string(it.value()));
    return headers;
}

class StatusAnswer final : public BackendAnswer
{
public:
    explicit StatusAnswer(std::function<void(std::uint32_t)> done) : m_done(std::move(done)) { }

    void head(std::uint32_t status, Headers /*headers*/) override { m_status = status; }
    void body(std::string /*data*/) override { }
    void finished() override { m_done(m_status); }
    void failed(BackendError /*error*/) override { m_done(0); }

private:
    std::function<void(std::uint32_t)> m_done;
    std::uint32_t m_status = 0;
};

class ConnectionPool
{
public:
    ConnectionPool(asio::io_context &context, const std::string &address, std::uint16_t port)
        : m_context(context), m_endpoint(asio::ip::make_address(address), port)
    { }

    asio::io_context &context() { return m_context; }
    const asio::ip::tcp::endpoint &endpoint() const { return m_endpoint; }

    // The most recently used connection first, so that surplus ones go idle.
    std::optional<asio::ip::tcp::socket> takeIdle()
    {
        while (!m_idle.empty()) {
            asio::ip::tcp::socket socket = std::move(m_idle.back());
            m_idle.pop_back();
            if (isUsable(socket))
                return socket;
        }
        return std::nullopt;
    }

    void keep(asio::ip::tcp::socket socket)
    {
        if (m_idle.size() < idleConnectionLimit)
            m_idle.push_back(std::move(socket));
    }

private:
    asio::io_context &m_context;
    asio::ip::tcp::endpoint m_endpoint;
    std::vector<asio::ip::tcp::socket> m_idle;
};

class Exchange final : public BackendCall, public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(std::shared_ptr<ConnectionPool> pool, BackendRequest request,
             std::shared_ptr<BackendAnswer> answer)
        : m_pool(std::move(pool)), m_answer(std::move(answer)), m_socket(m_pool->context()),
          m_timer(m_pool->context())
    {
        fillRequest(std::move(request));
        m_parser.eager(true);
        m_parser.body_limit(bodyLimitBytes);
    }

    void start()
    {
        m_timer.async_wait([self = shared_from_this()](auto ec) {
            if (!ec)
                self->fail(self->m_sent ? BackendError::TimedOut : BackendError::NotSent);
        });
        if (auto idle = m_pool->takeIdle()) {
            m_socket = std::move(*idle);
            writeRequest();
            return;
        }
        m_socket.async_connect(m_pool->endpoint(), [self = shared_from_this()](auto ec) {
            if (self->m_ended)
                return;
            if (ec) {
                self->fail(BackendError::NotSent);
                return;
            }
            boost::system::error_code ignored;
            self->m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->writeRequest();
        });
    }

    void abandon() override { fail(BackendError::Abandoned); }

private:
    void fillRequest(BackendRequest request)
    {
        m_timer.expires_after(request.timeLimit);
        m_request.method_string(request.method);
        m_request.target(request.path);
        m_request.version(11);
        for (const auto &[name, value] : request.headers)
            m_request.set(name, value);
        m_request.set(http::field::host, m_pool->endpoint().address().to_string());
        m_request.body() = std::move(request.body);
        m_request.prepare_payload();
    }

    void writeRequest()
    {
        m_sent = true;
        http::async_write(m_socket, m_request, [self = shared_from_this()](auto ec, std::size_t) {
            if (self->m_ended)
                return;
            if (ec)
                self->fail(BackendError::Cut);
            else
                self->readSome();
        });
    }

    void readSome()
    {
        m_socket.async_read_some(m_buffer.prepare(readBytes),
                                 [self = shared_from_this()](auto ec, std::size_t n) {
                                     if (self->m_ended)
                                         return;
                                     self->m_buffer.commit(n);
                                     self->handleRead(ec);
                                 });
    }

    // The parser is fed directly: Beast's own read operation goes on reading while it needs more
    // for the next chunk's header, and would keep back the chunk that it has.
    bool parse()
    {
        boost::system::error_code ec;
        while (m_buffer.size() > 0 && !m_parser.is_done() && !ec)
            m_buffer.consume(m_parser.put(m_buffer.data(), ec));
        return !ec || ec == http::error::need_more;
    }

    void handleRead(const boost::system::error_code &ec)
    {
        if (ec || !parse()) {
            fail(ec ? BackendError::Cut : BackendError::Malformed);
            return;
        }
        if (!m_parser.is_header_done()) {
            readSome();
            return;
        }
        if (!m_headReported && !reportHead())
            return;
        if (!m_parser.get().body().empty())
            m_answer->body(std::exchange(m_parser.get().body(), std::string()));
        if (m_ended)
            return;
        if (m_parser.is_done())
            finish();
        else
            readSome();
    }

    bool reportHead()
    {
        m_headReported = true;
        // Without a length or chunks, the end cannot be told from a connection that broke off.
        if (m_parser.need_eof()) {
            fail(BackendError::Malformed);
            return false;
        }
        m_answer->head(m_parser.get().result_int(), copyHeaders(m_parser.get()));
        return !m_ended;
    }

    void finish()
    {
        m_ended = true;
        m_timer.cancel();
        if (m_parser.keep_alive() && m_buffer.size() == 0)
            m_pool->keep(std::move(m_socket));
        std::exchange(m_answer, nullptr)->finished();
    }

    void fail(BackendError error)
    {
        if (m_ended)
            return;
        m_ended = true;
        m_timer.cancel();
        boost::system::error_code ec;
        m_socket.close(ec);
        // Posted, because abandon() may be called from within the answer's owner.
        asio::post(m_pool->context(), [self = shared_from_this(), error] {
            std::exchange(self->m_answer, nullptr)->failed(error);
        });
    }

    std::shared_ptr<ConnectionPool> m_pool;
    std::shared_ptr<BackendAnswer> m_answer; // null once its end was reported
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    http::request<http::string_body> m_request;
    beast::flat_buffer m_buffer;
    http::response_parser<http::string_body> m_parser;
    bool m_sent = false; // a byte of the request may have been written
    bool m_headReported = false;
    bool m_ended = false;
};

} // namespace

class BackendClient::Private
{
public:
    std::shared_ptr<ConnectionPool> pool; // shared with the exchanges under way
};

BackendClient::BackendClient(asio::io_context &context, const std::string &address,
                             std::uint16_t port)
    : d(std::make_unique<Private>(
            Private {std::make_shared<ConnectionPool>(context, address, port)}))
{ }

BackendClient::~BackendClient() = default;

std::shared_ptr<BackendCall> BackendClient::start(BackendRequest request,
                                                  std::shared_ptr<BackendAnswer> answer)
{
    auto exchange = std::make_shared<Exchange>(d->pool, std::move(request), std::move(answer));
    exchange->start();
    return exchange;
}

void BackendClient::post(const std::string &path, const std::string &json,
                         std::function<void(std::uint32_t)> done)
{
    const Headers headers {{"Content-Type", "application/json"}};
    start({"POST", path, headers, json, controlTimeLimit},
          std::make_shared<StatusAnswer>(std::move(done)));
}

void BackendClient::get(const std::string &path, std::function<void(std::uint32_t)> done)
{
    start({"GET", path, {}, {}, controlTimeLimit}, std::make_shared<StatusAnswer>(std::move(done)));
}

} // namespace cornelshed
