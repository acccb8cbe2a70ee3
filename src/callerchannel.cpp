// Reads, validates and answers the requests of one connection. The raw bytes of a header section
// are checked before parsing, because parsers accept line folding and bare line feeds that the next
// hop may interpret differently (request smuggling).

#include "callerchannel.h"

#include "eventlog.h"
#include "monotonicclock.h"
#include "unparsedlimit.h"

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

// For callers whose body finds no room: bodies of other requests are released as these end.
constexpr const char *bodyRetryAfterSeconds = "1";
constexpr std::size_t readChunkBytes = std::size_t {16} << 10U;
// After the last response, incoming data is read and discarded for this long. Closing a socket with
// unread data sends a reset, which may reach the caller before it has read the response.
constexpr std::chrono::milliseconds lingerTimeout {500};
// A connection that is to be closed although no response has announced it stays open for the next
// request for this long after it was opened, or after its last response: the caller may have sent
// that request already.
constexpr std::chrono::milliseconds unannouncedCloseDelay {500};
// A time limit that passes while received data is still unread is checked again after this time.
constexpr std::chrono::milliseconds unreadDataCheckInterval {20};
// The same while the last response is still being written.
constexpr std::chrono::milliseconds unwrittenDataCheckInterval {50};
// TCP_USER_TIMEOUT: a connection whose sent data stays unacknowledged this long is closed.
constexpr int callerUserTimeoutMs = 4000;
// While more response data than this is buffered for a caller that reads slowly, a further write
// closes the connection.
constexpr std::size_t pendingWriteLimitBytes = std::size_t {4} << 20U;
constexpr std::string_view headTerminator = "\r\n\r\n";

enum class HeadCheck { Incomplete, Valid, Malformed };

// Looks for the end of the header section. Folded lines, a carriage return or line feed on its own,
// and NUL bytes are malformed.
HeadCheck checkHead(std::string_view data)
{
    const std::size_t end = data.find(headTerminator);
    const std::string_view head = data.substr(0, end);
    for (std::size_t i = 0; i < head.size(); ++i) {
        const char c = head[i];
        const bool isCrlf = c == '\r' && i + 1 < head.size() && head[i + 1] == '\n';
        if (isCrlf) {
            if (i + 2 < head.size() && (head[i + 2] == ' ' || head[i + 2] == '\t'))
                return HeadCheck::Malformed;
            ++i;
            continue;
        }
        const bool isLastByte = i + 1 == head.size() && end == std::string_view::npos;
        if ((c == '\r' && !isLastByte) || c == '\n' || c == '\0')
            return HeadCheck::Malformed;
    }
    return end == std::string_view::npos ? HeadCheck::Incomplete : HeadCheck::Valid;
}

// Returns whether two HTTP implementations could disagree on where the body ends.
bool hasAmbiguousFraming(const http::request_header<> &head)
{
    const auto encodings = head.count(http::field::transfer_encoding);
    if (encodings == 0)
        return head.count(http::field::content_length) > 1;
    return encodings > 1 || head.count(http::field::content_length) > 0
            || !beast::iequals(head[http::field::transfer_encoding], "chunked");
}

// The head's framing is not ambiguous.
bool hasBody(const http::request_header<> &head)
{
    const auto length = head.find(http::field::content_length);
    return head.count(http::field::transfer_encoding) > 0
            || (length != head.end() && length->value() != "0");
}

struct HttpError
{
    std::uint32_t status;
    const char *reason;
};

std::optional<HttpError> findHeadError(const http::request_header<> &head)
{
    if (head.version() != 11)
        return HttpError {505, "only HTTP/1.1 is spoken here"};
    if (hasAmbiguousFraming(head))
        return HttpError {400, "the length of the body is ambiguous"};
    if (head.count(http::field::host) != 1)
        return HttpError {400, "one Host header is needed"};
    if (!head.target().starts_with('/'))
        return HttpError {400, "the target must be a path"};
    if (head.method() == http::verb::trace && hasBody(head))
        return HttpError {400, "a TRACE request has no body"}; // RFC 9110, section 9.3.8
    return std::nullopt;
}

class Channel final : public CallerChannel
{
public:
    Channel(asio::ip::tcp::socket socket, Handler handler, LimitsProvider limits,
            std::shared_ptr<PendingWrites> pendingWrites,
            std::shared_ptr<RequestBodies> requestBodies)
        : m_socket(std::move(socket)), m_timer(m_socket.get_executor()),
          m_handler(std::move(handler)), m_limits(std::move(limits)),
          m_allPendingWrites(std::move(pendingWrites)), m_requestBodies(std::move(requestBodies))
    { }
    ~Channel() override
    {
        forgetWrites();
        forgetBody();
    }
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    void start() override
    {
        boost::system::error_code ignored;
        m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
        m_socket.set_option(UserTimeout(callerUserTimeoutMs), ignored);
        awaitRequest();
        readSome();
    }

    void setRequestId(std::string id) override { m_requestId = std::move(id); }

    void respond(std::uint32_t status, Headers headers, std::string body) override
    {
        if (m_closed)
            return;
        std::string text = formatHead(status, headers);
        if (mayHaveLength(status))
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        text += "\r\n";
        if (hasBody(status))
            text += body;
        write(std::move(text));
        finishRequest();
    }

    bool isClosedByCaller() override { return peek() == SocketState::Closed; }

    void beginStream(std::uint32_t status, Headers headers) override
    {
        if (m_closed)
            return;
        m_streaming = true;
        m_streamHasBody = hasBody(status);
        std::string text = formatHead(status, headers);
        if (mayHaveLength(status))
            text += "Transfer-Encoding: chunked\r\n";
        write(text + "\r\n");
    }

    void writeStreamChunk(std::string data) override
    {
        if (m_closed || data.empty() || !m_streamHasBody)
            return;
        std::array<char, 24> size {};
        const int n = std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
        write(std::string(size.data(), static_cast<std::size_t>(n)) + data + "\r\n");
    }

    void endStream() override
    {
        if (m_closed)
            return;
        if (m_streamHasBody)
            write("0\r\n\r\n");
        finishRequest();
    }

    void abort() override { closeNow("response_aborted"); }

    void closeForPendingWrites() override { disconnect("shared_write_limit"); }

    void announceClose() override { m_announceClose = true; }

    void closeWhenIdle() override
    {
        m_announceClose = true;
        m_closeAfterResponse = true;
        // A request that is being received is answered first. While lingering, the connection is
        // closed once the last response has been written.
        if (m_closed || m_requestInProgress || m_lingering || m_receivedAt || m_buffer.size() > 0)
            return;
        setTimer(m_waitingSince + unannouncedCloseDelay - monotonicNow());
    }

private:
    enum class SocketState { Empty, HasData, Closed };

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
        m_headParsed = false;
        m_receivedAt.reset();
        m_closeAnnounced = false;
        m_isHeadRequest = false;
        m_waitingSince = monotonicNow();
        setTimer(m_closeAfterResponse ? unannouncedCloseDelay : limits.idleTimeout);
    }

    void setTimer(Duration limit)
    {
        m_timer.expires_after(limit);
        m_timer.async_wait([self = self()](auto ec) {
            if (!ec)
                self->handleTimeout();
        });
    }

    void handleTimeout()
    {
        // The handler of an earlier limit may have been queued when the timer was set again.
        const bool expired = m_timer.expiry() <= asio::steady_timer::clock_type::now();
        if (expired && !m_closed && !m_requestInProgress && !m_lingering)
            endWait();
    }

    // Ends the wait for a request, or for the rest of one, unless there is a reason to go on.
    void endWait()
    {
        if (peek() == SocketState::HasData)
            setTimer(unreadDataCheckInterval);
        else if (m_receivedAt)
            rejectRequest(408, "the request did not arrive in time");
        else if (const Duration left = idleTimeLeft(); left > Duration::zero())
            setTimer(left);
        else if (!m_writes.empty()) // the last response is still being written
            setTimer(unwrittenDataCheckInterval);
        else
            closeIdle(m_closeAfterResponse ? "shutdown" : "idle");
    }

    // Closes the connection while no request is in progress.
    void closeIdle(const char *reason)
    {
        m_idleCloseReason = reason;
        boost::system::error_code ignored;
        if (m_reading)
            m_socket.cancel(ignored); // the end of the read tells whether a request has arrived
        else
            finishIdleClose();
    }

    // A request that is on its way is not read, so that it is certain not to run, but it is logged.
    void finishIdleClose()
    {
        const char *reason = std::exchange(m_idleCloseReason, nullptr);
        closeNow(reason, false);
        boost::system::error_code ignored;
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        m_timer.expires_after(lingerTimeout);
        m_timer.async_wait([self = self()](auto ec) {
            if (!ec)
                self->closeSocket();
        });
        m_socket.async_wait(asio::ip::tcp::socket::wait_read, [self = self(), reason](auto ec) {
            if (!ec)
                self->logUnreadRequest(reason);
            self->m_timer.cancel();
            self->closeSocket();
        });
    }

    void logUnreadRequest(const char *reason)
    {
        boost::system::error_code ec;
        const std::size_t n = m_socket.available(ec);
        if (ec || n == 0) // the caller has closed the connection
            return;
        const auto caller = m_socket.remote_endpoint(ec);
        EventLog("request_crossed_close", EventLevel::Warning)
                .field("reason", reason)
                .field("caller",
                       ec ? std::string("unknown")
                          : caller.address().to_string() + ":" + std::to_string(caller.port()))
                .field("idle_ms", (monotonicNow() - m_waitingSince) / std::chrono::milliseconds(1))
                .field("unread_bytes", n);
    }

    void closeSocket()
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }

    // The limit may have been raised while the connection was idle.
    Duration idleTimeLeft() const
    {
        if (m_closeAfterResponse)
            return Duration::zero();
        return m_waitingSince + m_limits().idleTimeout - monotonicNow();
    }

    // The state of the socket, which the read loop may not have processed yet.
    SocketState peek()
    {
        char next = 0;
        const auto n = ::recv(m_socket.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
        if (n > 0)
            return SocketState::HasData;
        const bool isEmpty = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        return isEmpty ? SocketState::Empty : SocketState::Closed;
    }

    void readSome()
    {
        if (m_reading || m_closed)
            return;
        // Bounds the data buffered from a caller that sends more while its request is in progress.
        if (m_requestInProgress && m_buffer.size() >= readChunkBytes)
            return;
        m_reading = true;
        m_socket.async_read_some(asio::buffer(m_received), [self = self()](auto ec, std::size_t n) {
            self->m_reading = false;
            self->handleRead(ec, n);
        });
    }

    void handleRead(const boost::system::error_code &ec, std::size_t n)
    {
        if (m_closed)
            return;
        if (m_idleCloseReason != nullptr && ec == asio::error::operation_aborted) {
            finishIdleClose();
            return;
        }
        if (ec) {
            handleDisconnect();
            return;
        }
        if (m_lingering) {
            m_buffer.consume(m_buffer.size());
            readSome();
            return;
        }
        m_buffer.commit(asio::buffer_copy(m_buffer.prepare(n), asio::buffer(m_received, n)));
        if (!m_requestInProgress)
            parse();
        const bool wasIdle = std::exchange(m_idleCloseReason, nullptr) != nullptr;
        if (wasIdle && !m_requestInProgress && !m_receivedAt && !m_lingering && !m_closed)
            setTimer(unreadDataCheckInterval);
        readSome();
    }

    std::string_view bufferedData() const
    {
        const auto data = m_buffer.data();
        return {static_cast<const char *>(data.data()), data.size()};
    }

    void parse()
    {
        if (!m_headParsed && !parseHead())
            return;
        const auto ec = parseBuffered(m_buffer, *m_parser);
        if (ec == http::error::body_limit)
            rejectRequest(413, "the body is too large");
        else if (ec)
            rejectRequest(400, "the body is not proper HTTP");
        else if (!takeBody(m_parser->get().body().size()))
            rejectBody();
        else if (m_parser->is_done())
            dispatchRequest();
    }

    // Returns true once the header section is complete and valid. Rejects an invalid one.
    bool parseHead()
    {
        // Empty lines before the request line are ignored (RFC 9112, section 2.2).
        while (bufferedData().starts_with("\r\n"))
            m_buffer.consume(2);
        if (m_buffer.size() == 0)
            return false;
        const CallerLimits limits = m_limits();
        if (!m_receivedAt) {
            m_receivedAt = monotonicNow();
            // The limits may have changed while the connection was idle.
            m_parser->header_limit(limits.headerBytes);
            m_parser->body_limit(limits.bodyBytes);
            setTimer(limits.headerTimeout);
        }
        const HeadCheck check = checkHead(bufferedData());
        if (check == HeadCheck::Malformed) {
            rejectRequest(400, "the head is not proper HTTP");
            return false;
        }
        const std::size_t end = bufferedData().find(headTerminator);
        if (std::min(end, m_buffer.size()) > limits.headerBytes) {
            rejectRequest(431, "the head is too large");
            return false;
        }
        if (check == HeadCheck::Incomplete)
            return false;
        boost::system::error_code ec;
        const asio::const_buffer head(m_buffer.data().data(), end + headTerminator.size());
        m_buffer.consume(m_parser->put(head, ec));
        return validateHead(ec, limits);
    }

    bool validateHead(const boost::system::error_code &ec, const CallerLimits &limits)
    {
        if (ec == http::error::body_limit) {
            rejectRequest(413, "the body is too large");
            return false;
        }
        if ((ec && ec != http::error::need_more) || !m_parser->is_header_done()) {
            rejectRequest(400, "the head is not proper HTTP");
            return false;
        }
        m_isHeadRequest = m_parser->get().method() == http::verb::head;
        if (const auto error = findHeadError(m_parser->get())) {
            rejectRequest(error->status, error->reason);
            return false;
        }
        // Refused before it is sent, if its length is known.
        if (m_requestBodies && !m_requestBodies->hasRoom(m_parser->content_length().value_or(0))) {
            rejectBody();
            return false;
        }
        m_headParsed = true;
        setTimer(limits.idleTimeout);
        if (beast::iequals(m_parser->get()[http::field::expect], "100-continue"))
            write("HTTP/1.1 100 Continue\r\n\r\n");
        return true;
    }

    void dispatchRequest()
    {
        auto &message = m_parser->get();
        IngressRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto &it : message)
            request.headers.emplace_back(std::string(it.name_string()), std::string(it.value()));
        request.body = std::move(message.body());
        request.receivedAt = *m_receivedAt;
        m_closeAfterResponse = m_closeAfterResponse || !m_parser->keep_alive();
        m_requestInProgress = true;
        m_requestId.clear();
        m_timer.cancel();
        auto exchange = m_handler(std::move(request), shared_from_this());
        if (m_requestInProgress && !m_closed)
            m_exchange = std::move(exchange);
    }

    void handleDisconnect() { disconnect("caller_left"); }

    void disconnect(const char *reason)
    {
        const auto exchange = std::exchange(m_exchange, nullptr);
        closeNow(reason);
        // Posted, because the exchange may be writing.
        if (exchange)
            asio::post(m_socket.get_executor(), [exchange] { exchange->callerDisconnected(); });
    }

    // --- writing ---

    // Whether a body may follow the head of a response (RFC 9110, section 6.4.1).
    bool hasBody(std::uint32_t status) const
    {
        return !m_isHeadRequest && status != 204 && status != 304;
    }

    // A response to HEAD may tell the length that the one to GET would have.
    static bool mayHaveLength(std::uint32_t status) { return status != 204; }

    std::string formatHead(std::uint32_t status, const Headers &headers)
    {
        std::string text = "HTTP/1.1 " + std::to_string(status) + ' '
                + std::string(http::obsolete_reason(http::int_to_status(status))) + "\r\n";
        for (const auto &[name, value] : headers)
            text.append(name).append(": ").append(value).append("\r\n");
        m_closeAnnounced = m_announceClose || m_closeAfterResponse;
        if (m_closeAnnounced)
            text += "Connection: close\r\n";
        return text;
    }

    // Sends an error response without calling the handler, then closes the connection.
    void rejectRequest(std::uint32_t status, const char *reason, Headers headers = {})
    {
        m_requestInProgress = true;
        m_closeAfterResponse = true;
        headers.emplace_back("Content-Type", "text/plain");
        respond(status, std::move(headers), std::string(reason) + "\n");
    }

    void rejectBody()
    {
        EventLog("request_body_refused", EventLevel::Warning)
                .field("bytes", m_parser->content_length().value_or(0))
                .field("received", m_bodyBytes)
                .field("all_bodies", m_requestBodies->heldBytes());
        rejectRequest(503, "no memory is free for the body",
                      {{"Retry-After", bodyRetryAfterSeconds}});
    }

    // Counts this much of the current request's body toward the limit for all.
    bool takeBody(std::size_t bytes)
    {
        if (!m_requestBodies || bytes <= m_bodyBytes)
            return true;
        if (!m_requestBodies->tryTake(bytes - m_bodyBytes))
            return false;
        m_bodyBytes = bytes;
        return true;
    }

    void forgetBody()
    {
        if (m_requestBodies)
            m_requestBodies->release(std::exchange(m_bodyBytes, 0));
    }

    void write(std::string text)
    {
        if (m_pendingBytes > pendingWriteLimitBytes) {
            disconnect("write_limit");
            return;
        }
        const std::size_t n = text.size();
        m_pendingBytes += n;
        m_writes.push_back(std::move(text));
        if (m_writes.size() == 1)
            writeNext();
        m_allPendingWrites->add(n);
    }

    void writeNext()
    {
        m_currentWrite = m_allPendingWrites->begin(*this);
        asio::async_write(m_socket, asio::buffer(m_writes.front()),
                          [self = self()](auto ec, std::size_t) {
                              if (self->m_closed)
                                  return;
                              if (ec) {
                                  self->handleDisconnect();
                                  return;
                              }
                              const std::size_t n = self->m_writes.front().size();
                              self->m_pendingBytes -= n;
                              self->m_allPendingWrites->remove(n);
                              self->m_allPendingWrites->end(self->m_currentWrite);
                              self->m_writes.pop_front();
                              if (!self->m_writes.empty()) {
                                  self->writeNext();
                                  return;
                              }
                              self->m_waitingSince = monotonicNow();
                              if (self->m_lingering)
                                  self->linger();
                          });
    }

    void finishRequest()
    {
        if (m_closed) // by the write limit
            return;
        m_exchange = nullptr;
        m_requestInProgress = false;
        m_streaming = false;
        m_receivedAt.reset();
        forgetBody();
        if (m_closeAnnounced) {
            m_lingering = true;
            m_parser.emplace(); // frees a body that was refused
            if (m_writes.empty())
                linger();
            return;
        }
        awaitRequest();
        // The buffer may already hold the next request. Posted, because this function may run
        // inside the handler's call.
        asio::post(m_socket.get_executor(), [self = self()] {
            if (self->m_closed || self->m_requestInProgress)
                return;
            if (self->m_buffer.size() > 0)
                self->parse();
            self->readSome();
        });
    }

    void forgetWrites()
    {
        m_allPendingWrites->remove(std::exchange(m_pendingBytes, 0));
        m_allPendingWrites->end(m_currentWrite);
    }

    void linger()
    {
        boost::system::error_code ignored;
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        m_timer.expires_after(lingerTimeout);
        m_timer.async_wait([self = self()](auto ec) {
            if (!ec)
                self->closeNow("answered");
        });
    }

    void closeNow(const char *reason, bool closesSocket = true)
    {
        if (m_closed)
            return;
        m_closed = true;
        // Closing between requests is routine.
        if (m_requestInProgress || m_receivedAt || !m_writes.empty()) {
            EventLog("caller_connection_closed", EventLevel::Warning)
                    .field("reason", reason)
                    .field("request",
                           m_requestInProgress        ? "unanswered"
                                   : m_writes.empty() ? "incomplete"
                                                      : "answered")
                    .field("id", m_requestId)
                    .field("unwritten_bytes", m_pendingBytes)
                    .field("response_begun", m_streaming ? "yes" : "no")
                    .field("age_ms",
                           m_receivedAt
                                   ? (monotonicNow() - *m_receivedAt) / std::chrono::milliseconds(1)
                                   : 0);
        }
        m_exchange = nullptr;
        forgetWrites();
        m_timer.cancel();
        if (closesSocket)
            closeSocket();
    }

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    Handler m_handler;
    LimitsProvider m_limits;
    std::shared_ptr<PendingWrites> m_allPendingWrites; // shared by all channels
    std::shared_ptr<RequestBodies> m_requestBodies;    // null: no limit
    std::size_t m_bodyBytes = 0;                       // taken from m_requestBodies
    // Where the socket is read to. Not m_buffer: a request that waited there is parsed while a read
    // is in progress, which moves the place at which the buffer adds data.
    std::array<char, readChunkBytes> m_received;
    beast::flat_buffer m_buffer; // received and not parsed yet
    // Parser of the current or next request, and the time when its first byte was read.
    std::optional<http::request_parser<http::string_body>> m_parser;
    std::optional<Instant> m_receivedAt;
    Instant m_waitingSince {}; // start of the wait for that byte, or end of the last write after it
    std::shared_ptr<IngressExchange> m_exchange;
    std::string m_requestId;          // of the last request that was handled
    std::deque<std::string> m_writes; // front: being written
    std::size_t m_pendingBytes = 0;
    std::uint64_t m_currentWrite = 0; // its number in m_allPendingWrites
    bool m_headParsed = false;
    bool m_reading = false;
    bool m_requestInProgress = false; // a request awaits the end of its response
    bool m_streaming = false;
    bool m_streamHasBody = true; // the response that is streamed
    bool m_isHeadRequest = false;
    bool m_announceClose = false;
    bool m_closeAfterResponse = false;
    bool m_closeAnnounced = false; // by the head of the current response
    bool m_lingering = false;      // last response queued; incoming data is discarded
    bool m_closed = false;
    // Why the idle connection is being closed: its read has been cancelled, but not ended yet.
    const char *m_idleCloseReason = nullptr;
};

} // namespace

std::uint64_t PendingWrites::begin(CallerChannel &channel)
{
    m_writing.emplace(++m_lastWrite, &channel);
    return m_lastWrite;
}

void PendingWrites::add(std::size_t bytes)
{
    m_bytes += bytes;
    // A single answer above the limit is written.
    while (m_bytes > m_limitBytes && m_writing.size() > 1)
        m_writing.begin()->second->closeForPendingWrites(); // ends the write
}

bool RequestBodies::tryTake(std::size_t bytes)
{
    if (!hasRoom(bytes))
        return false;
    m_bytes += bytes;
    return true;
}

std::shared_ptr<CallerChannel> CallerChannel::create(asio::ip::tcp::socket socket, Handler handler,
                                                     LimitsProvider limits,
                                                     std::shared_ptr<PendingWrites> pendingWrites,
                                                     std::shared_ptr<RequestBodies> requestBodies)
{
    return std::make_shared<Channel>(std::move(socket), std::move(handler), std::move(limits),
                                     std::move(pendingWrites), std::move(requestBodies));
}

} // namespace cornelshed::detail
