// Reading, checking and answering on one connection. The head of a request is checked as bytes
// before it is parsed, because parsers tolerate line folding and bare line feeds that the next hop
// may read in another way.

#include "callerchannel.h"

#include "monotonicclock.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <string_view>
#include <utility>

namespace cornelshed::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::size_t readBytes = std::size_t {16} << 10U;
// A closed connection is read from for this time, so that unread bytes do not reset it before the
// caller has the answer.
constexpr std::chrono::milliseconds lingerTime {500};
// Unacknowledged bytes to a caller break the connection after this time.
constexpr int callerUserTimeoutMs = 4000;
// Answers wait in memory for a caller that does not read, up to this size.
constexpr std::size_t pendingWriteLimitBytes = std::size_t {4} << 20U;
constexpr std::string_view headEnd = "\r\n\r\n";

enum class HeadCheck { Incomplete, Proper, Improper };

// Finds the end of the head; improper if it has folded lines, bare line feeds, or control bytes.
HeadCheck checkHead(std::string_view data)
{
    const std::size_t end = data.find(headEnd);
    const std::string_view head = data.substr(0, end);
    for (std::size_t i = 0; i < head.size(); ++i) {
        const char c = head[i];
        const bool lineEnd = c == '\r' && i + 1 < head.size() && head[i + 1] == '\n';
        if (lineEnd) {
            if (i + 2 < head.size() && (head[i + 2] == ' ' || head[i + 2] == '\t'))
                return HeadCheck::Improper;
            ++i;
            continue;
        }
        const bool last = i + 1 == head.size() && end == std::string_view::npos;
        if ((c == '\r' && !last) || c == '\n' || c == '\0')
            return HeadCheck::Improper;
    }
    return end == std::string_view::npos ? HeadCheck::Incomplete : HeadCheck::Proper;
}

// Framing that two readers could understand in two ways.
bool ambiguousFraming(const http::request_header<> &head)
{
    const auto encodings = head.count(http::field::transfer_encoding);
    if (encodings == 0)
        return head.count(http::field::content_length) > 1;
    return encodings > 1 || head.count(http::field::content_length) > 0
            || !beast::iequals(head[http::field::transfer_encoding], "chunked");
}

struct Improper
{
    std::uint32_t status;
    const char *reason;
};

std::optional<Improper> improperHead(const http::request_header<> &head)
{
    if (head.version() != 11)
        return Improper {505, "only HTTP/1.1 is spoken here"};
    if (ambiguousFraming(head))
        return Improper {400, "the length of the body is ambiguous"};
    if (head.count(http::field::host) != 1)
        return Improper {400, "one Host header is needed"};
    if (!head.target().starts_with('/'))
        return Improper {400, "the target must be a path"};
    return std::nullopt;
}

class Channel final : public CallerChannel
{
public:
    Channel(asio::ip::tcp::socket socket, Handler handler, Limits limits)
        : m_socket(std::move(socket)), m_timer(m_socket.get_executor()),
          m_handler(std::move(handler)), m_limits(std::move(limits))
    { }

    void start() override
    {
        boost::system::error_code ignored;
        m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
        m_socket.set_option(UserTimeout(callerUserTimeoutMs), ignored);
        awaitRequest();
        readSome();
    }

    void respond(std::uint32_t status, Headers headers, std::string body) override
    {
        if (m_closed)
            return;
        std::string text = headText(status, headers);
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        if (!m_headRequest)
            text += body;
        write(std::move(text));
        requestDone();
    }

    bool callerClosed() override
    {
        char next = 0;
        const auto n = ::recv(m_socket.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    void beginStream(std::uint32_t status, Headers headers) override
    {
        if (m_closed)
            return;
        m_streaming = true;
        write(headText(status, headers) + "Transfer-Encoding: chunked\r\n\r\n");
    }

    void streamPart(std::string data) override
    {
        if (m_closed || data.empty())
            return;
        std::array<char, 24> size {};
        const int n = std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
        write(std::string(size.data(), static_cast<std::size_t>(n)) + data + "\r\n");
    }

    void endStream() override
    {
        if (m_closed)
            return;
        write("0\r\n\r\n");
        requestDone();
    }

    void abort() override { closeNow(); }

    void announceClose() override { m_announceClose = true; }

    void closeWhenIdle() override
    {
        m_announceClose = true;
        m_closeAfterAnswer = true;
        // An answer whose bytes are still being written closes the connection by itself.
        if (!m_busy && !m_lingering && m_buffer.size() == 0)
            closeNow();
    }

private:
    std::shared_ptr<Channel> self()
    {
        return std::static_pointer_cast<Channel>(shared_from_this());
    }

    // --- reading ---

    void awaitRequest()
    {
        m_parser.emplace();
        m_parser->eager(true);
        const CallerLimits limits = m_limits();
        m_parser->header_limit(limits.headerBytes);
        m_parser->body_limit(limits.bodyBytes);
        m_headDone = false;
        m_receivedAt.reset();
        setTimer(limits.idleTimeout);
    }

    void setTimer(Duration limit)
    {
        m_timer.expires_after(limit);
        m_timer.async_wait([self = self()](auto ec) {
            if (!ec)
                self->timedOut();
        });
    }

    void timedOut()
    {
        if (m_closed || m_busy)
            return;
        if (m_receivedAt)
            refuse(408, "the request did not arrive in time");
        else
            closeNow();
    }

    void readSome()
    {
        if (m_reading || m_closed)
            return;
        // A caller that sends on while its request runs is not read without bound.
        if (m_busy && m_buffer.size() >= readBytes)
            return;
        m_reading = true;
        m_socket.async_read_some(m_buffer.prepare(readBytes),
                                 [self = self()](auto ec, std::size_t n) {
                                     self->m_reading = false;
                                     self->handleRead(ec, n);
                                 });
    }

    void handleRead(const boost::system::error_code &ec, std::size_t n)
    {
        if (m_closed)
            return;
        if (ec) {
            callerGone();
            return;
        }
        m_buffer.commit(n);
        if (m_lingering) {
            m_buffer.consume(m_buffer.size());
            readSome();
            return;
        }
        if (!m_busy)
            parse();
        readSome();
    }

    std::string_view received() const
    {
        const auto data = m_buffer.data();
        return {static_cast<const char *>(data.data()), data.size()};
    }

    void parse()
    {
        if (!m_headDone && !parseHead())
            return;
        boost::system::error_code ec;
        while (m_buffer.size() > 0 && !m_parser->is_done() && !ec)
            m_buffer.consume(m_parser->put(m_buffer.data(), ec));
        if (ec == http::error::body_limit)
            refuse(413, "the body is too large");
        else if (ec && ec != http::error::need_more)
            refuse(400, "the body is not proper HTTP");
        else if (m_parser->is_done())
            handOver();
    }

    // Returns true once the head is parsed.
    bool parseHead()
    {
        // Empty lines before a request are allowed.
        while (received().starts_with("\r\n"))
            m_buffer.consume(2);
        if (m_buffer.size() == 0)
            return false;
        const CallerLimits limits = m_limits();
        if (!m_receivedAt) {
            m_receivedAt = monotonicNow();
            setTimer(limits.headerTimeout);
        }
        const HeadCheck check = checkHead(received());
        if (check == HeadCheck::Improper) {
            refuse(400, "the head is not proper HTTP");
            return false;
        }
        const std::size_t end = received().find(headEnd);
        if (std::min(end, m_buffer.size()) > limits.headerBytes) {
            refuse(431, "the head is too large");
            return false;
        }
        if (check == HeadCheck::Incomplete)
            return false;
        boost::system::error_code ec;
        const asio::const_buffer head(m_buffer.data().data(), end + headEnd.size());
        m_buffer.consume(m_parser->put(head, ec));
        return acceptHead(ec, limits);
    }

    bool acceptHead(const boost::system::error_code &ec, const CallerLimits &limits)
    {
        if (ec == http::error::body_limit) {
            refuse(413, "the body is too large");
            return false;
        }
        if ((ec && ec != http::error::need_more) || !m_parser->is_header_done()) {
            refuse(400, "the head is not proper HTTP");
            return false;
        }
        if (const auto improper = improperHead(m_parser->get())) {
            refuse(improper->status, improper->reason);
            return false;
        }
        m_headDone = true;
        setTimer(limits.idleTimeout);
        if (beast::iequals(m_parser->get()[http::field::expect], "100-continue"))
            write("HTTP/1.1 100 Continue\r\n\r\n");
        return true;
    }

    void handOver()
    {
        auto &message = m_parser->get();
        IngressRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto &it : message)
            request.headers.emplace_back(std::string(it.name_string()), std::string(it.value()));
        request.body = std::move(message.body());
        request.receivedAt = *m_receivedAt;
        m_headRequest = message.method() == http::verb::head;
        m_closeAfterAnswer = m_closeAfterAnswer || !m_parser->keep_alive();
        m_busy = true;
        m_timer.cancel();
        auto exchange = m_handler(std::move(request), shared_from_this());
        if (m_busy && !m_closed)
            m_exchange = std::move(exchange);
    }

    void callerGone()
    {
        const auto exchange = std::exchange(m_exchange, nullptr);
        closeNow();
        if (exchange)
            exchange->callerLeft();
    }

    // --- writing ---

    std::string headText(std::uint32_t status, const Headers &headers) const
    {
        std::string text = "HTTP/1.1 " + std::to_string(status) + ' '
                + std::string(http::obsolete_reason(http::int_to_status(status))) + "\r\n";
        for (const auto &[name, value] : headers)
            text.append(name).append(": ").append(value).append("\r\n");
        if (m_announceClose || m_closeAfterAnswer)
            text += "Connection: close\r\n";
        return text;
    }

    // Answers a request that is not handed over, and closes.
    void refuse(std::uint32_t status, const char *reason)
    {
        m_busy = true;
        m_closeAfterAnswer = true;
        respond(status, {{"Content-Type", "text/plain"}}, std::string(reason) + "\n");
    }

    void write(std::string text)
    {
        m_pendingBytes += text.size();
        if (m_pendingBytes > pendingWriteLimitBytes) {
            callerGone();
            return;
        }
        m_writes.push_back(std::move(text));
        if (m_writes.size() == 1)
            writeNext();
    }

    void writeNext()
    {
        asio::async_write(m_socket, asio::buffer(m_writes.front()),
                          [self = self()](auto ec, std::size_t) {
                              if (self->m_closed)
                                  return;
                              if (ec) {
                                  self->callerGone();
                                  return;
                              }
                              self->m_pendingBytes -= self->m_writes.front().size();
                              self->m_writes.pop_front();
                              if (!self->m_writes.empty())
                                  self->writeNext();
                              else if (self->m_lingering)
                                  self->linger();
                          });
    }

    void requestDone()
    {
        m_exchange = nullptr;
        m_busy = false;
        m_streaming = false;
        if (m_closeAfterAnswer || m_announceClose) {
            m_lingering = true;
            if (m_writes.empty())
                linger();
            return;
        }
        awaitRequest();
        // Bytes that came with the request may hold the next one. Posted, because the answer may
        // have been given during the handler's call.
        asio::post(m_socket.get_executor(), [self = self()] {
            if (self->m_closed || self->m_busy)
                return;
            if (self->m_buffer.size() > 0)
                self->parse();
            self->readSome();
        });
    }

    void linger()
    {
        boost::system::error_code ignored;
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        m_timer.expires_after(lingerTime);
        m_timer.async_wait([self = self()](auto ec) {
            if (!ec)
                self->closeNow();
        });
    }

    void closeNow()
    {
        if (m_closed)
            return;
        m_closed = true;
        m_exchange = nullptr;
        m_timer.cancel();
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    Handler m_handler;
    Limits m_limits;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser; // of the next request
    std::optional<Instant> m_receivedAt; // of the next request's first byte
    std::shared_ptr<IngressExchange> m_exchange;
    std::deque<std::string> m_writes; // the first is being written
    std::size_t m_pendingBytes = 0;
    bool m_headDone = false;
    bool m_reading = false;
    bool m_busy = false; // a request was handed over and is not answered
    bool m_streaming = false;
    bool m_headRequest = false;
    bool m_announceClose = false;
    bool m_closeAfterAnswer = false;
    bool m_lingering = false; // the last answer is given; what still arrives is dropped
    bool m_closed = false;
};

} // namespace

std::shared_ptr<CallerChannel> CallerChannel::create(asio::ip::tcp::socket socket, Handler handler,
                                                     Limits limits)
{
    return std::make_shared<Channel>(std::move(socket), std::move(handler), std::move(limits));
}

} // namespace cornelshed::detail
