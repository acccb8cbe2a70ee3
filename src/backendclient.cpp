// Implements the exchanges with a backend server. A pooled connection is checked before reuse:
// after a write to a connection that the server has closed, it is unknown whether the request was
// run.

#include "backendclient.h"

#include "monotonicclock.h"
#include "unparsedlimit.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/http/span_body.hpp>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <optional>
#include <utility>
#include <vector>

namespace cornelshed {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::size_t maxIdleConnections = 128;
constexpr std::size_t readChunkBytes = std::size_t {16} << 10U;
// A connection on which this many informational responses, or responses to other requests, precede
// the awaited one is given up.
constexpr std::uint32_t maxSkippedResponses = 16;
// Bytes of skipped responses that are read and discarded for one request.
constexpr std::uint64_t skippedBytesLimit = std::uint64_t {8} << 20U;
constexpr Duration controlRequestTimeout = std::chrono::seconds(1);
// A pooled connection expires this long before the server's own timeout, so that a request does not
// race with the server's close.
constexpr Duration keepAliveMargin = std::chrono::milliseconds(500);
// Interval at which a connection is checked for a closed receive window while data is being sent.
constexpr Duration windowCheckInterval = std::chrono::milliseconds(200);
// A probe of the window may be on its way; more of them have not been answered.
constexpr std::uint32_t answeredProbes = 1;
// TCP_USER_TIMEOUT is longer by this factor while the window is closed. Not unlimited: a lost path
// is not noticed for that time where the kernel does not count unanswered probes.
constexpr int closedWindowFactor = 10;

// Returns whether an idle connection can be reused. Data to read means that the server has closed
// it or sent something unexpected.
bool isUsable(asio::ip::tcp::socket &socket)
{
    char c = 0;
    const ssize_t n = ::recv(socket.native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// Bytes that were written to the connection and that the peer's host has not acknowledged.
int unacknowledgedBytes(asio::ip::tcp::socket &socket)
{
    int bytes = 0;
    ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes);
    return bytes;
}

// What the kernel knows of the data that was sent on a connection.
struct SendState
{
    bool delivered = false; // all of it has been acknowledged
    // The server's process reads nothing for now, but its host acknowledges what arrives and
    // answers probes of the closed receive window.
    bool windowClosed = false;
};

SendState sendState(asio::ip::tcp::socket &socket)
{
    tcp_info info {};
    socklen_t size = sizeof info;
    if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return {};
    const int queuedBytes = unacknowledgedBytes(socket);
    const bool probesAnswered = info.tcpi_probes <= answeredProbes;
    // 0 also where the time is not known.
    const bool answersLast =
            info.tcpi_last_ack_recv > 0 && info.tcpi_last_ack_recv <= info.tcpi_last_data_sent;
    const bool hostAnswers = probesAnswered && (info.tcpi_unacked == 0 || answersLast);
    return {hostAnswers && queuedBytes == 0, hostAnswers && queuedBytes > 0};
}

Headers copyHeaders(const http::fields &fields)
{
    Headers headers;
    for (const auto &it : fields)
        headers.emplace_back(std::string(it.name_string()), std::string(it.value()));
    return headers;
}

class StatusResponseHandler final : public BackendResponseHandler
{
public:
    explicit StatusResponseHandler(std::function<void(std::uint32_t)> done)
        : m_done(std::move(done))
    { }

    void head(std::uint32_t status, Headers /*headers*/) override { m_status = status; }
    void body(std::string /*data*/) override { }
    void finished() override { m_done(m_status); }
    void failed(BackendError /*error*/) override { m_done(0); }

private:
    std::function<void(std::uint32_t)> m_done;
    std::uint32_t m_status = 0;
};

// Timeout of idle connections that the server announced in its Keep-Alive header.
std::optional<Duration> parseKeepAliveTimeout(const http::fields &fields)
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

// One connection without a request.
class PortCheck : public std::enable_shared_from_this<PortCheck>
{
public:
    PortCheck(asio::io_context &context, std::function<void(PortState)> done)
        : m_socket(context), m_timer(context), m_done(std::move(done))
    { }

    void start(const asio::ip::tcp::endpoint &endpoint, Duration limit)
    {
        m_timer.expires_after(limit);
        m_timer.async_wait([self = shared_from_this()](auto ec) {
            if (!ec)
                self->finish(PortState::Unknown);
        });
        m_socket.async_connect(endpoint, [self = shared_from_this()](auto ec) {
            self->finish(!ec                                             ? PortState::Listening
                                 : ec == asio::error::connection_refused ? PortState::Closed
                                                                         : PortState::Unknown);
        });
    }

private:
    void finish(PortState state)
    {
        if (!m_done)
            return;
        m_timer.cancel();
        boost::system::error_code ec;
        m_socket.close(ec);
        std::exchange(m_done, nullptr)(state);
    }

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::function<void(PortState)> m_done; // null once it was called
};

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

    // False once a response that had to name its request did not.
    bool serverEchoes() const { return m_serverEchoes; }
    void setServerDoesNotEcho() { m_serverEchoes = false; }

    bool echoSeen() const { return m_echoSeen; }
    void setEchoSeen() { m_echoSeen = true; }

    // Returns the most recently used connection, so that surplus ones reach their idle timeout.
    std::optional<asio::ip::tcp::socket> takeIdle()
    {
        const Instant now = monotonicNow();
        while (!m_idle.empty()) {
            IdleConnection idle = std::move(m_idle.back());
            m_idle.pop_back();
            if (idle.usableUntil > now && isUsable(idle.socket))
                return std::move(idle.socket);
        }
        return std::nullopt;
    }

    void putIdle(asio::ip::tcp::socket socket, std::optional<Duration> serverTimeout)
    {
        const Instant now = monotonicNow();
        // The server's timeout starts when it sends the response, so subtract a margin.
        const Duration limit = serverTimeout
                ? std::min(*serverTimeout - keepAliveMargin, m_settings.idleTimeout)
                : m_settings.idleTimeout;
        std::erase_if(m_idle, [&](const IdleConnection &it) { return it.usableUntil <= now; });
        if (limit > Duration::zero() && m_idle.size() < maxIdleConnections)
            m_idle.push_back({std::move(socket), now + limit});
    }

private:
    struct IdleConnection
    {
        asio::ip::tcp::socket socket;
        Instant usableUntil;
    };

    asio::io_context &m_context;
    asio::ip::tcp::endpoint m_endpoint;
    BackendClientSettings m_settings;
    std::vector<IdleConnection> m_idle;
    bool m_serverEchoes = true;
    bool m_echoSeen = false; // the server has echoed an id
};

class Exchange final : public BackendExchange, public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(std::shared_ptr<ConnectionPool> pool, BackendRequest request,
             std::shared_ptr<BackendResponseHandler> responseHandler)
        : m_pool(std::move(pool)), m_responseHandler(std::move(responseHandler)),
          m_socket(m_pool->context()), m_timer(m_pool->context()),
          m_connectTimer(m_pool->context()), m_windowTimer(m_pool->context())
    {
        buildRequest(std::move(request));
        resetParser();
    }

    void start()
    {
        m_timer.async_wait([self = shared_from_this()](auto ec) {
            if (!ec)
                self->end(ConnectionEnd::TimedOut);
        });
        const bool mayReuse = m_reuseAllowed
                && (!m_echoOptional || (m_pool->echoSeen() && m_pool->serverEchoes()));
        if (auto idle = mayReuse ? m_pool->takeIdle() : std::nullopt) {
            m_socket = std::move(*idle);
            m_isNewConnection = false;
            writeRequest();
            return;
        }
        connect();
    }

    void abandon() override { end(ConnectionEnd::Abandoned); }

private:
    void connect()
    {
        m_connectTimer.expires_after(m_pool->settings().connectTimeout);
        m_connectTimer.async_wait([self = shared_from_this()](auto ec) {
            // It may have expired before it was cancelled.
            if (!ec && !self->m_writeStarted)
                self->end(ConnectionEnd::NotConnected);
        });
        m_socket.async_connect(m_pool->endpoint(), [self = shared_from_this()](auto ec) {
            self->m_connectTimer.cancel();
            if (self->m_ended)
                return;
            if (ec) {
                self->end(ec == asio::error::connection_refused ? ConnectionEnd::Refused
                                                                : ConnectionEnd::NotConnected);
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
        if (m_pool->settings().tcpUserTimeout > Duration::zero())
            setUserTimeout(m_pool->settings().tcpUserTimeout);
    }

    void setUserTimeout(Duration limit)
    {
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(limit).count();
        using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
        boost::system::error_code ignored;
        m_socket.set_option(UserTimeout(static_cast<int>(ms)), ignored);
    }

    // TCP_USER_TIMEOUT also ends connections whose receive window stays closed, although the
    // server's host answers the probes of it, so it is longer for that time.
    void watchWindow()
    {
        const Duration limit = m_pool->settings().tcpUserTimeout;
        if (limit <= Duration::zero())
            return;
        m_windowTimer.expires_after(windowCheckInterval);
        m_windowTimer.async_wait([self = shared_from_this(), limit](auto ec) {
            if (ec || self->m_ended)
                return;
            const SendState state = sendState(self->m_socket);
            if (state.windowClosed != self->m_windowClosed)
                self->setUserTimeout(state.windowClosed ? limit * closedWindowFactor : limit);
            self->m_windowClosed = state.windowClosed;
            if (!self->m_writeCompleted || !state.delivered)
                self->watchWindow();
        });
    }

    void resetParser()
    {
        m_parser.emplace();
        m_parser->eager(true);
        m_parser->body_limit(m_pool->settings().bodyLimitBytes);
        m_parser->skip(m_request.method() == http::verb::head);
        m_headReported = false;
        m_skippingResponse = false;
        m_statusLineSeen = false;
    }

    void buildRequest(BackendRequest request)
    {
        m_echoHeaderName = std::move(request.echoHeaderName);
        m_echoHeaderValue = std::move(request.echoHeaderValue);
        m_echoOptional = request.echoOptional;
        m_reuseAllowed = !request.ownConnection;
        m_writeBefore = request.writeBefore;
        m_timer.expires_after(request.timeLimit);
        m_request.method_string(request.method);
        m_request.target(request.path);
        m_request.version(11);
        for (const auto &[name, value] : request.headers)
            m_request.insert(name, value);
        if (m_request.find(http::field::host) == m_request.end())
            m_request.set(http::field::host, m_pool->endpoint().address().to_string());
        m_body = std::move(request.body);
        m_request.body() = {m_body.text().data(), m_body.text().size()};
        setLength();
    }

    // Unlike prepare_payload(), this does not throw if the method has no use for a body.
    void setLength()
    {
        const std::size_t n = m_request.body().size();
        const http::verb method = m_request.method();
        const bool mayHaveBody = method == http::verb::put || method == http::verb::post
                || method == http::verb::options;
        if (n > 0 || mayHaveBody)
            m_request.content_length(n);
        else
            m_request.content_length(boost::none);
    }

    void writeRequest()
    {
        // The timers stop while the host is suspended.
        if (m_writeBefore > Duration::zero() && timeSinceBoot() > m_writeBefore) {
            end(ConnectionEnd::TimedOut);
            return;
        }
        m_writeStarted = true;
        watchWindow();
        http::async_write(m_socket, m_request, [self = shared_from_this()](auto ec, std::size_t) {
            self->m_writeCompleted = !ec;
            // Errors are left to the read: a server may respond and close before it has read the
            // whole request, and that response can still be read.
        });
        // Read at once, since the response may arrive before the request is completely written.
        readSome();
    }

    void readSome()
    {
        m_socket.async_read_some(m_buffer.prepare(readChunkBytes),
                                 [self = shared_from_this()](auto ec, std::size_t n) {
                                     if (self->m_ended)
                                         return;
                                     self->m_buffer.commit(n);
                                     self->handleRead(ec);
                                 });
    }

    // Feeds the parser directly: Beast's read operation continues until the next chunk header is
    // complete and would delay the chunk that has already arrived.
    bool parse() { return !completeStatusLine() || !detail::parseBuffered(m_buffer, *m_parser); }

    // The parser takes a status line without the space before the reason phrase for invalid, so it
    // is added. Returns false if the next byte decides whether it is missing.
    bool completeStatusLine()
    {
        if (m_statusLineSeen)
            return true;
        const auto received = m_buffer.data();
        const StatusLineEnd lineEnd =
                statusLineEnd({static_cast<const char *>(received.data()), received.size()});
        m_statusLineSeen =
                received.size() > statusLineSpaceAt && lineEnd != StatusLineEnd::Undecided;
        if (lineEnd == StatusLineEnd::LacksSpace) {
            m_buffer.prepare(1);
            m_buffer.commit(1);
            char *space = static_cast<char *>(m_buffer.data().data()) + statusLineSpaceAt;
            std::memmove(space + 1, space, m_buffer.size() - statusLineSpaceAt - 1);
            *space = ' ';
        }
        return lineEnd != StatusLineEnd::Undecided;
    }

    UploadState uploadState()
    {
        if (!m_writeStarted)
            return UploadState::NotBegun;
        // A server that has read the whole request has also acknowledged it, with its FIN at the
        // latest.
        return m_writeCompleted && unacknowledgedBytes(m_socket) == 0 ? UploadState::Complete
                                                                      : UploadState::Incomplete;
    }

    AnswerFraming framing() const
    {
        if (!m_headReported || m_skippingResponse)
            return AnswerFraming::Unknown;
        return m_parser->need_eof() ? AnswerFraming::Close : AnswerFraming::Explicit;
    }

    // The exchange ends, and the answer has not reached an end of its own.
    void end(ConnectionEnd how)
    {
        if (m_ended)
            return;
        if (const auto error = errorAtEnd({uploadState(), framing()}, how))
            fail(*error);
        else
            finish();
    }

    void handleRead(const boost::system::error_code &ec)
    {
        if (ec) {
            end(ec == asio::error::eof ? ConnectionEnd::Fin : ConnectionEnd::Lost);
            return;
        }
        // The buffer may hold several responses: skipped ones and then the one for this request.
        for (;;) {
            if (!parse()) {
                end(ConnectionEnd::Invalid);
                return;
            }
            if (m_parser->is_header_done() && !m_headReported && !reportHead())
                return;
            if (!m_parser->is_header_done() || !forwardBody())
                break;
        }
        if (!m_ended)
            readSome();
    }

    // Passes on received body data. Returns true after a skipped response if the buffer holds data
    // of the next one.
    bool forwardBody()
    {
        std::string body = std::exchange(m_parser->get().body(), std::string());
        if (m_skippingResponse) {
            m_skippedBytes += body.size();
            if (m_skippedBytes > skippedBytesLimit)
                end(ConnectionEnd::Invalid);
        } else if (!body.empty()) {
            m_responseHandler->body(std::move(body));
        }
        if (m_ended || !m_parser->is_done())
            return false;
        if (!m_skippingResponse) {
            finish();
            return false;
        }
        resetParser();
        return m_buffer.size() > 0;
    }

    enum class Attribution { ThisRequest, OtherRequest, Unknown };

    // A response that names several ids cannot be attributed to any of them.
    bool echoesRequest(const http::fields &head) const
    {
        const auto [first, last] = head.equal_range(m_echoHeaderName);
        return first != last && std::all_of(first, last, [this](const auto &it) {
                   return it.value() == m_echoHeaderValue;
               });
    }

    Attribution attribute(const http::fields &head) const
    {
        if (m_echoHeaderName.empty() || echoesRequest(head))
            return Attribution::ThisRequest;
        if (!m_echoOptional)
            return Attribution::OtherRequest;
        if (m_isNewConnection)
            return Attribution::ThisRequest;
        return head.count(m_echoHeaderName) == 0 ? Attribution::Unknown : Attribution::OtherRequest;
    }

    // Returns false if the exchange has ended.
    bool reportHead()
    {
        m_headReported = true;
        const auto &head = m_parser->get();
        const StatusKind kind = kindOf(head.result_int());
        if (kind == StatusKind::Invalid) {
            end(ConnectionEnd::Invalid);
            return false;
        }
        const bool isInformational = kind == StatusKind::Interim;
        const Attribution attribution = attribute(head);
        if (!isInformational && attribution == Attribution::Unknown) {
            m_pool->setServerDoesNotEcho();
            end(ConnectionEnd::Invalid);
            return false;
        }
        m_skippingResponse = isInformational || attribution == Attribution::OtherRequest;
        const bool isCloseDelimited = m_parser->need_eof() && !m_parser->is_done();
        // The end of a close-delimited body is indistinguishable from a lost connection, unless the
        // server is known to close in an orderly way.
        if (isCloseDelimited
            && (m_skippingResponse || !m_pool->settings().acceptsCloseDelimitedBody)) {
            end(ConnectionEnd::Invalid);
            return false;
        }
        if (m_skippingResponse) {
            m_otherResponseSeen = m_otherResponseSeen || !isInformational;
            if (++m_skippedResponses <= maxSkippedResponses)
                return true;
            end(ConnectionEnd::Invalid);
            return false;
        }
        if (m_echoOptional && echoesRequest(head))
            m_pool->setEchoSeen();
        else if (m_echoOptional)
            m_endsWithReset = true;
        m_responseHandler->head(head.result_int(), copyHeaders(head));
        return !m_ended;
    }

    void finish()
    {
        m_ended = true;
        m_timer.cancel();
        m_windowTimer.cancel();
        const bool reusable = m_reuseAllowed && !m_endsWithReset && !m_otherResponseSeen
                && allowsReuse({uploadState(), framing()}) && m_parser->keep_alive()
                && m_buffer.size() == 0;
        if (reusable) {
            if (std::exchange(m_windowClosed, false))
                setUserTimeout(m_pool->settings().tcpUserTimeout);
            m_pool->putIdle(std::move(m_socket), parseKeepAliveTimeout(m_parser->get()));
        } else {
            boost::system::error_code ec;
            // With an orderly close of a connection for each request, sockets in TIME_WAIT would
            // use up the ports: at 2,000 requests/s, 28,000 ports last for 14 s.
            if (m_endsWithReset)
                m_socket.set_option(asio::socket_base::linger(true, 0), ec);
            m_socket.close(ec);
        }
        std::exchange(m_responseHandler, nullptr)->finished();
    }

    void fail(BackendError error)
    {
        m_ended = true;
        m_timer.cancel();
        m_windowTimer.cancel();
        m_connectTimer.cancel();
        boost::system::error_code ec;
        // After an orderly close, the host would go on to send what it has buffered.
        if (m_writeBefore > Duration::zero())
            m_socket.set_option(asio::socket_base::linger(true, 0), ec);
        m_socket.close(ec);
        // Posted, because abandon() may be called by the owner of the BackendResponseHandler.
        asio::post(m_pool->context(), [self = shared_from_this(), error] {
            std::exchange(self->m_responseHandler, nullptr)->failed(error);
        });
    }

    std::shared_ptr<ConnectionPool> m_pool;
    // Null once finished() or failed() is called.
    std::shared_ptr<BackendResponseHandler> m_responseHandler;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    asio::steady_timer m_connectTimer;
    asio::steady_timer m_windowTimer;
    bool m_windowClosed = false; // see watchWindow()
    SharedBody m_body;
    http::request<http::span_body<const char>> m_request; // its body is that of m_body
    std::string m_echoHeaderName;
    std::string m_echoHeaderValue;
    bool m_echoOptional = false;
    beast::flat_buffer m_buffer;
    std::optional<http::response_parser<http::string_body>> m_parser; // of the current response
    bool m_writeStarted = false;   // some of the request may have been written
    bool m_writeCompleted = false; // all of the request was written
    bool m_statusLineSeen = false; // that of the current response needs no further check
    bool m_headReported = false;
    bool m_skippingResponse = false; // the current response is informational or for another request
    std::uint32_t m_skippedResponses = 0;
    std::uint64_t m_skippedBytes = 0;
    bool m_otherResponseSeen = false; // a response to another request was received
    bool m_isNewConnection = true;    // no earlier request was sent on it
    bool m_reuseAllowed = true;       // the connection may be one from the pool and return to it
    Duration m_writeBefore {};        // 0: unlimited
    bool m_endsWithReset = false;     // the server did not echo the id, which is optional
    bool m_ended = false;
};

} // namespace

class BackendClient::Private
{
public:
    std::shared_ptr<ConnectionPool> pool; // shared with the exchanges in progress
};

BackendClient::BackendClient(asio::io_context &context, const std::string &address,
                             std::uint16_t port, const BackendClientSettings &settings)
    : d(std::make_unique<Private>(
            Private {std::make_shared<ConnectionPool>(context, address, port, settings)}))
{ }

BackendClient::~BackendClient() = default;

std::shared_ptr<BackendExchange>
BackendClient::start(BackendRequest request,
                     std::shared_ptr<BackendResponseHandler> responseHandler)
{
    auto exchange =
            std::make_shared<Exchange>(d->pool, std::move(request), std::move(responseHandler));
    exchange->start();
    return exchange;
}

void BackendClient::post(const std::string &path, const std::string &json,
                         std::function<void(std::uint32_t)> done)
{
    startControlRequest({"POST", path, {{"Content-Type", "application/json"}}, json},
                        std::move(done));
}

void BackendClient::get(const std::string &path, std::function<void(std::uint32_t)> done)
{
    startControlRequest({"GET", path, {}, {}}, std::move(done));
}

void BackendClient::checkPort(std::function<void(PortState)> done)
{
    std::make_shared<PortCheck>(d->pool->context(), std::move(done))
            ->start(d->pool->endpoint(), d->pool->settings().connectTimeout);
}

void BackendClient::startControlRequest(BackendRequest request,
                                        std::function<void(std::uint32_t)> done)
{
    request.timeLimit = controlRequestTimeout;
    request.ownConnection = true;
    start(std::move(request), std::make_shared<StatusResponseHandler>(std::move(done)));
}

} // namespace cornelshed
