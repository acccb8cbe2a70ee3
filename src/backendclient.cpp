// Exchanges with the backend server. A pooled connection is checked before its use, because a write
// to a connection that the server has closed meanwhile would leave the request's fate unknown.

#include "backendclient.h"

#include "monotonicclock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
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
// An idle connection is given up this long before the server may close it.
constexpr Duration keepAliveMargin = std::chrono::milliseconds(500);

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

// Time that the server keeps an idle connection, by its Keep-Alive header.
std::optional<Duration> keepAliveTime(const http::fields &fields)
{
    const auto value = fields["Keep-Alive"];
    const auto at = value.find("timeout=");
    if (at == boost::beast::string_view::npos)
        return std::nullopt;
    unsigned seconds = 0;
    const char *first = value.data() + at + 8;
    const auto [end, ec] = std::from_chars(first, value.data() + value.size(), seconds);
    if (ec != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

class ConnectionPool
{
public:
    ConnectionPool(asio::io_context &context, const std::string &address, std::uint16_t port,
                   const BackendClientSettings &settings)
        : m_context(context), m_endpoint(asio::ip::make_address(address), port),
          m_settings(settings)
    { }

    asio::io_context &context() { return m_context; }
    const asio::ip::tcp::endpoint &endpoint() const { return m_endpoint; }
    const BackendClientSettings &settings() const { return m_settings; }

    // The most recently used connection first, so that surplus ones go idle.
    std::optional<asio::ip::tcp::socket> takeIdle()
    {
        const Instant now = monotonicNow();
        while (!m_idle.empty()) {
            Idle idle = std::move(m_idle.back());
            m_idle.pop_back();
            if (idle.usableUntil > now && isUsable(idle.socket))
                return std::move(idle.socket);
        }
        return std::nullopt;
    }

    void keep(asio::ip::tcp::socket socket, std::optional<Duration> serverLimit)
    {
        const Instant now = monotonicNow();
        // The server's limit counts from when it sent the answer.
        const Duration limit = serverLimit
                ? std::min(*serverLimit - keepAliveMargin, m_settings.idleLimit)
                : m_settings.idleLimit;
        std::erase_if(m_idle, [&](const Idle &it) { return it.usableUntil <= now; });
        if (limit > Duration::zero() && m_idle.size() < idleConnectionLimit)
            m_idle.push_back({std::move(socket), now + limit});
    }

private:
    struct Idle
    {
        asio::ip::tcp::socket socket;
        Instant usableUntil;
    };

    asio::io_context &m_context;
    asio::ip::tcp::endpoint m_endpoint;
    BackendClientSettings m_settings;
    std::vector<Idle> m_idle;
};

class Exchange final : public BackendCall, public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(std::shared_ptr<ConnectionPool> pool, BackendRequest request,
             std::shared_ptr<BackendAnswer> answer)
        : m_pool(std::move(pool)), m_answer(std::move(answer)), m_socket(m_pool->context()),
          m_timer(m_pool->context()), m_connectTimer(m_pool->context())
    {
        fillRequest(std::move(request));
        newParser();
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
        connect();
    }

    void abandon() override { fail(BackendError::Abandoned); }

private:
    void connect()
    {
        m_connectTimer.expires_after(m_pool->settings().connectLimit);
        m_connectTimer.async_wait([self = shared_from_this()](auto ec) {
            if (!ec)
                self->fail(BackendError::NotSent);
        });
        m_socket.async_connect(m_pool->endpoint(), [self = shared_from_this()](auto ec) {
            self->m_connectTimer.cancel();
            if (self->m_ended)
                return;
            if (ec) {
                self->fail(BackendError::NotSent);
                return;
            }
            self->setSocketOptions();
            self->writeRequest();
        });
    }

    void setSocketOptions()
    {
        boost::system::error_code ignored;
        m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        const Duration limit = m_pool->settings().unacknowledgedLimit;
        if (limit <= Duration::zero())
            return;
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(limit).count();
        using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
        m_socket.set_option(UserTimeout(static_cast<int>(ms)), ignored);
    }

    void newParser()
    {
        m_parser.emplace();
        m_parser->eager(true);
        m_parser->body_limit(bodyLimitBytes);
        m_parser->skip(m_request.method() == http::verb::head);
        m_headReported = false;
        m_skipping = false;
    }

    void fillRequest(BackendRequest request)
    {
        m_echoName = std::move(request.echoName);
        m_echoValue = std::move(request.echoValue);
        m_timer.expires_after(request.timeLimit);
        m_request.method_string(request.method);
        m_request.target(request.path);
        m_request.version(11);
        for (const auto &[name, value] : request.headers)
            m_request.insert(name, value);
        if (m_request.find(http::field::host) == m_request.end())
            m_request.set(http::field::host, m_pool->endpoint().address().to_string());
        m_request.body() = std::move(request.body);
        m_request.prepare_payload();
    }

    void writeRequest()
    {
        m_sent = true;
        http::async_write(m_socket, m_request, [self = shared_from_this()](auto ec, std::size_t) {
            self->m_written = !ec;
            // A server may answer and close before it has read the whole request; the answer is
            // then still there to be read.
        });
        // The server may answer before it has read the whole request.
        readSome();
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
        while (m_buffer.size() > 0 && !m_parser->is_done() && !ec)
            m_buffer.consume(m_parser->put(m_buffer.data(), ec));
        return !ec || ec == http::error::need_more;
    }

    void handleRead(const boost::system::error_code &ec)
    {
        if (ec == asio::error::eof && m_headReported && m_parser->need_eof()) {
            finish();
            return;
        }
        if (ec) {
            fail(BackendError::Cut);
            return;
        }
        // Several answers may have arrived at once: those that are skipped, then the right one.
        for (;;) {
            if (!parse()) {
                fail(BackendError::Malformed);
                return;
            }
            if (m_parser->is_header_done() && !m_headReported && !reportHead())
                return;
            if (!m_parser->is_header_done() || !passBody())
                break;
        }
        if (!m_ended)
            readSome();
    }

    // Returns true if another answer has to be read from what is in the buffer.
    bool passBody()
    {
        std::string body = std::exchange(m_parser->get().body(), std::string());
        if (!m_skipping && !body.empty())
            m_answer->body(std::move(body));
        if (m_ended || !m_parser->is_done())
            return false;
        if (!m_skipping) {
            finish();
            return false;
        }
        newParser();
        return m_buffer.size() > 0;
    }

    bool reportHead()
    {
        m_headReported = true;
        const auto &head = m_parser->get();
        // 1xx announce a final answer on the same connection.
        m_skipping =
                head.result_int() < 200 || (!m_echoName.empty() && head[m_echoName] != m_echoValue);
        const bool unframed = m_parser->need_eof() && !m_parser->is_done();
        // Without a length or chunks, the end cannot be told from a connection that broke off,
        // unless the server closes in an orderly way.
        if (unframed && (m_skipping || !m_pool->settings().acceptsUnframed)) {
            fail(BackendError::Malformed);
            return false;
        }
        if (m_skipping) {
            m_keepAllowed = m_keepAllowed && head.result_int() < 200;
            return true;
        }
        m_answer->head(head.result_int(), copyHeaders(head));
        return !m_ended;
    }

    void finish()
    {
        m_ended = true;
        m_timer.cancel();
        const bool reusable =
                m_keepAllowed && m_written && m_parser->keep_alive() && m_buffer.size() == 0;
        if (reusable) {
            m_pool->keep(std::move(m_socket), keepAliveTime(m_parser->get()));
        } else {
            boost::system::error_code ec;
            m_socket.close(ec);
        }
        std::exchange(m_answer, nullptr)->finished();
    }

    void fail(BackendError error)
    {
        if (m_ended)
            return;
        m_ended = true;
        m_timer.cancel();
        m_connectTimer.cancel();
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
    asio::steady_timer m_connectTimer;
    http::request<http::string_body> m_request;
    std::string m_echoName;
    std::string m_echoValue;
    beast::flat_buffer m_buffer;
    std::optional<http::response_parser<http::string_body>> m_parser; // of the present answer
    bool m_sent = false;    // a byte of the request may have been written
    bool m_written = false; // all of it was
    bool m_headReported = false;
    bool m_skipping = false;   // the present answer belongs to another request
    bool m_keepAllowed = true; // false once an answer of another request was seen
    bool m_ended = false;
};

} // namespace

class BackendClient::Private
{
public:
    std::shared_ptr<ConnectionPool> pool; // shared with the exchanges under way
};

BackendClient::BackendClient(asio::io_context &context, const std::string &address,
                             std::uint16_t port, const BackendClientSettings &settings)
    : d(std::make_unique<Private>(
            Private {std::make_shared<ConnectionPool>(context, address, port, settings)}))
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
