// Reads, validates and answers the requests of one connection, and counts what it holds toward the
// memory that all callers share.

#include "callerchannel.h"

#include "bodypace.h"
#include "eventlog.h"
#include "monotonicclock.h"
#include "requestreader.h"
#include "responsetext.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <string_view>
#include <utility>

namespace cornelshed::detail {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// For callers whose body finds no room: bodies of other requests are released as these end.
constexpr const char *bodyRetryAfterSeconds = "1";
// Bytes read at once, of a body and otherwise.
constexpr std::size_t bodyReadBytes = std::size_t {64} << 10U;
constexpr std::size_t readChunkBytes = std::size_t {16} << 10U;
// The next request of a caller is not handled while more response data than this is waiting for it
// to be read.
constexpr std::size_t unreadResponseBytes = std::size_t {64} << 10U;
// A response of which nothing is read for this long, and for the idle time, closes the connection.
constexpr std::chrono::seconds unreadResponseTimeout {10};
constexpr std::chrono::milliseconds unreadResponseCheckInterval {200};
// An idle connection gives back a receive buffer above this size.
constexpr std::size_t idleBufferBytes = std::size_t {4} << 10U;
// A body of which less arrives per second, over four fifths of the time limit for it, ends the
// request. Ordinary callers may pause as long as they may leave a connection idle, which is four
// fifths of that limit.
constexpr std::int64_t bodyFloorBytesPerSecond = 16;
// A header is in the parser, in the request and in its attempt.
constexpr RequestCosts requestCosts {256, 1};
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
// Waiting data is joined up to this size.
constexpr std::size_t joinedWriteBytes = std::size_t {16} << 10U;
// Where sockets are read to before the data is added to a connection's own buffer: thousands of
// idle connections need no room for data.
thread_local std::array<char, bodyReadBytes> receivedBytes;

class Channel final : public CallerChannel, public MemoryHolder
{
public:
    Channel(asio::ip::tcp::socket socket, Handler handler, LimitsProvider limits,
            std::shared_ptr<PendingWrites> pendingWrites,
            std::shared_ptr<RequestBodies> requestBodies, std::shared_ptr<CallerMemory> memory)
        : m_socket(std::move(socket)), m_timer(m_socket.get_executor()),
          m_handler(std::move(handler)), m_limits(std::move(limits)),
          m_allPendingWrites(std::move(pendingWrites)), m_requestBodies(std::move(requestBodies)),
          m_memory(std::move(memory)),
          m_share(std::shared_ptr<MemoryBudget>(m_memory, &m_memory->budget))
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
        m_share.open(self(), monotonicNow());
        startWait();
        readSome();
    }

    void setRequestId(std::string id) override { m_requestId = std::move(id); }

    void respond(std::uint32_t status, Headers headers, std::string body) override
    {
        if (m_closed)
            return;
        std::string text = formatHead(status, std::move(headers));
        if (mayHaveLength(status))
            appendContentLength(text, body.size());
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
        std::string text = formatHead(status, std::move(headers));
        if (mayHaveLength(status))
            appendHeader(text, "Transfer-Encoding", "chunked");
        write(text + "\r\n");
    }

    void writeStreamChunk(std::string data) override
    {
        if (m_closed || data.empty() || !m_streamHasBody)
            return;
        std::string text;
        appendChunk(text, data);
        write(std::move(text));
    }

    void endStream() override
    {
        if (m_closed)
            return;
        if (m_streamHasBody) {
            std::string text;
            appendLastChunk(text);
            write(std::move(text));
        }
        finishRequest();
    }

    void abort() override { closeNow("response_aborted"); }

    void closeForPendingWrites() override { disconnect("shared_write_limit"); }

    bool giveUpMemory() override
    {
        const auto keepAlive = self();
        if (m_closed) {
            closeSocket();
        } else if (m_lingering || (!m_requestInProgress && !m_receivedAt)) {
            if (!m_lingering && (!m_writes.empty() || peek() == SocketState::HasData))
                return false;
            closeNow("memory");
        } else if (m_requestInProgress) {
            disconnect("memory");
        } else {
            rejectRequest(408, "the request arrived too slowly while memory is short");
        }
        return true;
    }

    void announceClose() override { m_announceClose = true; }

    void closeWhenIdle() override
    {
        m_announceClose = true;
        m_closeAfterResponse = true;
        // A request that is being received is answered first. While lingering, the connection is
        // closed once the last response has been written.
        if (m_closed || m_requestInProgress || m_lingering || m_receivedAt || m_reader.hasInput())
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
        if (m_writes.empty())
            m_share.setPhase(ConnectionPhase::Idle, monotonicNow());
        startWait();
    }

    void startWait()
    {
        m_reader.endRequest();
        const CallerLimits limits = m_limits();
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
        if (!expired || m_closed || m_requestInProgress)
            return;
        if (!m_lingering)
            endWait();
        else if (isResponseUnread())
            disconnect("unread_response");
        else
            setTimer(unreadResponseCheckInterval);
    }

    // Ends the wait for a request, or for the rest of one, unless there is a reason to go on.
    void endWait()
    {
        if (isResponseUnread())
            disconnect("unread_response");
        else if (awaitsWrites())
            setTimer(unreadResponseCheckInterval);
        else if (peek() == SocketState::HasData)
            setTimer(unreadDataCheckInterval);
        else if (m_reader.isHeadReceived() && isBodyInTime())
            setTimer(m_bodyDeadline - monotonicNow());
        else if (m_receivedAt)
            rejectRequest(408, "the request did not arrive in time");
        else if (const Duration left = idleTimeLeft(); left > Duration::zero())
            setTimer(left);
        else if (!m_writes.empty()) // the last response is still being written
            setTimer(unwrittenDataCheckInterval);
        else
            closeIdle(m_closeAfterResponse ? "shutdown" : "idle");
    }

    // Whether the body has arrived fast enough so far and may still arrive.
    bool isBodyInTime()
    {
        const Instant now = monotonicNow();
        return now < m_bodyDeadline && m_pace.check(now, m_reader.bodyWireBytes());
    }

    // Whether the caller has read nothing of its response for too long.
    bool isResponseUnread() const
    {
        return !m_writes.empty()
                && m_writeProgressAt + unreadResponseTimeout + m_limits().idleTimeout
                <= monotonicNow();
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
        m_share.close();
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

    // Whether the next request waits until the caller has read responses.
    bool awaitsWrites() const { return m_pendingBytes > unreadResponseBytes; }

    void readSome()
    {
        if (m_reading || m_closed)
            return;
        // Bounds the data buffered from a caller that sends more while its request is in progress.
        if (isHandlingPaused() && !m_lingering && m_reader.inputBytes() >= readChunkBytes)
            return;
        m_reading = true;
        m_socket.async_wait(asio::ip::tcp::socket::wait_read, [self = self()](auto ec) {
            self->m_reading = false;
            self->handleReadable(ec);
        });
    }

    bool isHandlingPaused() const { return m_requestInProgress || awaitsWrites(); }

    void handleReadable(const boost::system::error_code &ec)
    {
        if (m_closed)
            return;
        if (m_idleCloseReason != nullptr && ec == asio::error::operation_aborted) {
            finishIdleClose();
            return;
        }
        if (isHandlingPaused() && !m_lingering && m_reader.inputBytes() >= readChunkBytes)
            return; // read after the response
        const std::size_t room = isHandlingPaused() ? readChunkBytes - m_reader.inputBytes()
                : m_reader.isHeadReceived()         ? bodyReadBytes
                                                    : readChunkBytes;
        const auto n = ec
                ? -1
                : ::recv(m_socket.native_handle(), receivedBytes.data(), room, MSG_DONTWAIT);
        const bool isEmpty =
                !ec && n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
        if (n > 0 && !m_lingering)
            handleRead(static_cast<std::size_t>(n));
        else if (n <= 0 && !isEmpty)
            handleDisconnect();
        else if (m_idleCloseReason != nullptr)
            finishIdleClose();
        readSome();
    }

    // receivedBytes has so many bytes for this connection.
    void handleRead(std::size_t n)
    {
        const std::string_view received(receivedBytes.data(), n);
        if (isHandlingPaused())
            m_reader.keep(received);
        else
            parse(received);
        if (m_receivedAt && !m_requestInProgress && !m_closed)
            m_share.recordProgress(n, monotonicNow());
        else if (isHandlingPaused())
            m_share.setHasUnreadRequests(m_reader.inputBytes() >= idleBufferBytes);
        if (!m_closed && !m_lingering)
            holdMemory();
        const bool wasIdle = std::exchange(m_idleCloseReason, nullptr) != nullptr;
        if (wasIdle && !m_requestInProgress && !m_receivedAt && !m_lingering && !m_closed)
            setTimer(unreadDataCheckInterval);
    }

    // --- memory ---

    // Counts what the current request holds. Called after each change of it.
    void holdMemory()
    {
        m_share.hold(m_reader.inputCapacity() + m_headBytes
                     + std::max(m_promisedBytes, m_bodyBytes));
        if (m_memory->budget.isExceeded())
            m_share.makeRoom(0, MemoryUse::Response, monotonicNow());
    }

    // Holds memory for a body of this size in all. Returns false if there is none.
    bool promiseBody(std::size_t bytes)
    {
        if (bytes <= m_promisedBytes)
            return true;
        if (!m_share.makeRoom(bytes - m_promisedBytes, requestUse(bytes), monotonicNow()))
            return false;
        m_promisedBytes = bytes;
        holdMemory();
        return true;
    }

    // Parses what was kept, then these bytes.
    void parse(std::string_view bytes)
    {
        if (!m_receivedAt) {
            // The limits may have changed while the connection was idle.
            const CallerLimits limits = m_limits();
            m_reader.begin({limits.headerBytes, limits.bodyBytes});
        }
        RequestReader::Status status = m_reader.add(bytes);
        if (status == RequestReader::Status::Empty)
            return;
        if (!m_receivedAt)
            noteRequestBegun();
        if (status == RequestReader::Status::HeadReceived) {
            if (!acceptHead())
                return;
            status = m_reader.add({});
        }
        if (status == RequestReader::Status::Failed) {
            rejectFault(m_reader.fault());
            return;
        }
        const bool hasRoom = takeBody(m_reader.bodyBytes());
        if (m_closed) // to make room
            return;
        if (!hasRoom)
            rejectBody();
        else if (status == RequestReader::Status::Complete)
            dispatchRequest();
    }

    void noteRequestBegun()
    {
        m_receivedAt = monotonicNow();
        m_share.setPhase(ConnectionPhase::Receiving, *m_receivedAt);
        setTimer(m_limits().headerTimeout);
    }

    // Returns whether the request may go on. Rejects it otherwise.
    bool acceptHead()
    {
        m_isHeadRequest = m_reader.message().method() == http::verb::head;
        if (const auto error = findHeadError(m_reader.message())) {
            rejectRequest(error->status, error->reason);
            return false;
        }
        m_headBytes = m_reader.headCost();
        // Refused before it is sent, if its length is known.
        const auto length = static_cast<std::size_t>(m_reader.contentLength().value_or(0));
        if ((m_requestBodies && !m_requestBodies->hasRoom(length)) || !takeHead(length)) {
            rejectBody();
            return false;
        }
        if (m_closed) // to make room
            return false;
        const Duration limit = m_limits().idleTimeout;
        const Duration interval = limit * 4 / 5;
        const Instant now = monotonicNow();
        m_bodyDeadline = now + limit;
        m_pace.begin(now, interval,
                     bodyFloorBytesPerSecond * (interval / std::chrono::milliseconds(1)) / 1000);
        setTimer(interval);
        if (m_reader.expectsContinue())
            write("HTTP/1.1 100 Continue\r\n\r\n");
        return !m_closed && !m_lingering; // writing may have ended it to make room
    }

    void dispatchRequest()
    {
        IngressRequest request;
        request.method = std::string(m_reader.message().method_string());
        request.target = std::string(m_reader.message().target());
        request.headers = m_reader.headers();
        request.body = m_reader.takeBody();
        request.receivedAt = *m_receivedAt;
        m_closeAfterResponse = m_closeAfterResponse || !m_reader.isKeepAlive();
        m_reader.endRequest(); // frees the headers, which the request has copies of
        holdMemory();
        if (m_closed) // to make room
            return;
        m_requestInProgress = true;
        m_share.setPhase(ConnectionPhase::Waiting, monotonicNow());
        m_share.setHasUnreadRequests(m_reader.inputBytes() >= idleBufferBytes);
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

    bool hasBody(std::uint32_t status) const { return !m_isHeadRequest && mayHaveBody(status); }

    // A response to HEAD may tell the length that the one to GET would have.
    static bool mayHaveLength(std::uint32_t status) { return status != 204; }

    std::string formatHead(std::uint32_t status, Headers headers)
    {
        m_closeAnnounced = m_announceClose || m_closeAfterResponse;
        std::string text;
        appendHead(text, {status, std::move(headers), !m_closeAnnounced});
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

    void rejectFault(RequestFault fault)
    {
        switch (fault) {
        case RequestFault::HeadTooLarge:
            rejectRequest(431, "the head is too large");
            break;
        case RequestFault::MalformedHead:
            rejectRequest(400, "the head is not proper HTTP");
            break;
        case RequestFault::BodyTooLarge:
            rejectRequest(413, "the body is too large");
            break;
        case RequestFault::TooMuchFraming:
            rejectRequest(413, "the chunks of the body have too many bytes besides their data");
            break;
        case RequestFault::MalformedBody:
        case RequestFault::LongChunkHeader:
            rejectRequest(400, "the body is not proper HTTP");
            break;
        }
    }

    void rejectBody()
    {
        if (const auto more = m_memory->refusalLog.admit(monotonicNow()))
            EventLog("request_body_refused", EventLevel::Warning)
                    .field("bytes", m_reader.contentLength().value_or(0))
                    .field("received", m_bodyBytes)
                    .field("all_bodies", m_requestBodies ? m_requestBodies->heldBytes() : 0)
                    .field("memory_used", m_memory->budget.usedBytes())
                    .field("more", *more);
        rejectRequest(503, "no memory is free for the body",
                      {{"Retry-After", bodyRetryAfterSeconds}});
    }

    // Holds memory for the head and for a body whose length is known.
    bool takeHead(std::size_t bodyBytes)
    {
        const std::size_t total = m_headBytes + bodyBytes;
        if (!m_share.makeRoom(total, requestUse(bodyBytes), monotonicNow()))
            return false;
        m_promisedBytes = bodyBytes;
        holdMemory();
        return true;
    }

    // Counts this much of the current request's body toward the limits for all.
    bool takeBody(std::size_t bytes)
    {
        if (bytes <= m_bodyBytes)
            return true;
        if (!promiseBody(bytes)
            || (m_requestBodies && !m_requestBodies->tryTake(bytes - m_bodyBytes)))
            return false;
        m_bodyBytes = bytes;
        return true;
    }

    void forgetBody()
    {
        if (m_requestBodies)
            m_requestBodies->release(m_bodyBytes);
        m_bodyBytes = 0;
        m_promisedBytes = 0;
        m_headBytes = 0;
        m_share.hold(m_reader.inputCapacity());
    }

    void write(std::string text)
    {
        if (m_pendingBytes > pendingWriteLimitBytes) {
            disconnect("write_limit");
            return;
        }
        const std::size_t n = text.size();
        m_pendingBytes += n;
        // Short responses that wait are joined: each on its own takes twice its size.
        const bool joins = m_writes.size() > 1 && m_writes.back().size() + n <= joinedWriteBytes;
        if (joins)
            m_writes.back() += text;
        else
            m_writes.push_back(std::move(text));
        if (m_writes.size() == 1)
            writeNext();
        m_allPendingWrites->add(n);
    }

    void writeNext()
    {
        m_currentWrite = m_allPendingWrites->begin(*this);
        m_writeProgressAt = monotonicNow();
        m_writtenBytes = 0;
        writeRest();
    }

    void writeRest()
    {
        m_socket.async_write_some(asio::buffer(m_writes.front()) + m_writtenBytes,
                                  [self = self()](auto ec, std::size_t n) {
                                      if (!self->m_closed)
                                          self->handleWritten(ec, n);
                                  });
    }

    void handleWritten(const boost::system::error_code &ec, std::size_t n)
    {
        if (ec) {
            handleDisconnect();
            return;
        }
        m_writtenBytes += n;
        if (m_writtenBytes < m_writes.front().size()) {
            m_writeProgressAt = monotonicNow();
            writeRest();
            return;
        }
        m_pendingBytes -= m_writtenBytes;
        m_allPendingWrites->remove(m_writtenBytes);
        m_allPendingWrites->end(m_currentWrite);
        m_writes.pop_front();
        if (!m_writes.empty()) {
            writeNext();
            return;
        }
        m_waitingSince = monotonicNow();
        if (m_lingering) {
            linger();
        } else if (!m_requestInProgress && !m_receivedAt) {
            m_share.setPhase(ConnectionPhase::Idle, m_waitingSince);
            handleBuffered(); // may have waited for the caller to read
        }
    }

    // Goes on with data that arrived earlier.
    void handleBuffered()
    {
        if (m_closed || isHandlingPaused() || m_lingering)
            return;
        if (m_reader.hasInput())
            parse({});
        readSome();
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
            m_reader.clear(); // frees a body that was refused
            m_share.hold(m_reader.inputCapacity());
            if (m_writes.empty())
                linger();
            else
                setTimer(unreadResponseCheckInterval);
            return;
        }
        awaitRequest();
        // The buffer may already hold the next request. Posted, because this function may run
        // inside the handler's call.
        asio::post(m_socket.get_executor(), [self = self()] { self->handleBuffered(); });
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
        m_share.setPhase(ConnectionPhase::Closing, monotonicNow());
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
        const bool isRoutine = !m_requestInProgress && !m_receivedAt && m_writes.empty();
        const auto more = isRoutine ? std::nullopt : m_memory->closeLog.admit(monotonicNow());
        if (more) {
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
                                   : 0)
                    .field("more", *more);
        }
        m_exchange = nullptr;
        forgetWrites();
        m_timer.cancel();
        forgetBody();
        if (closesSocket)
            closeSocket();
        else
            m_share.setPhase(ConnectionPhase::Closing, monotonicNow());
    }

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    Handler m_handler;
    LimitsProvider m_limits;
    std::shared_ptr<PendingWrites> m_allPendingWrites; // shared by all channels
    std::shared_ptr<RequestBodies> m_requestBodies;    // null: no limit
    std::shared_ptr<CallerMemory> m_memory;
    ConnectionShare m_share;
    std::size_t m_bodyBytes = 0;     // taken from m_requestBodies
    std::size_t m_promisedBytes = 0; // of the body: its length if that is known
    std::size_t m_headBytes = 0;     // memory of the parsed head
    Instant m_bodyDeadline {};
    BodyPace m_pace;
    RequestReader m_reader {requestCosts};
    std::optional<Instant> m_receivedAt; // when the current request began to arrive
    Instant m_waitingSince {}; // start of the wait for that byte, or end of the last write after it
    std::shared_ptr<IngressExchange> m_exchange;
    std::string m_requestId;          // of the last request that was handled
    std::deque<std::string> m_writes; // front: being written
    std::size_t m_pendingBytes = 0;
    std::size_t m_writtenBytes = 0; // of the one that is being written
    Instant m_writeProgressAt {};
    std::uint64_t m_currentWrite = 0; // its number in m_allPendingWrites
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
    if (m_budget) {
        m_budget->take(bytes);
        if (m_budget->isExceeded())
            m_budget->makeRoom(0, MemoryUse::Response, nullptr, monotonicNow());
    }
    // A single answer above the limit is written.
    while ((m_bytes > m_limitBytes || (m_budget && m_budget->isExceeded())) && m_writing.size() > 1)
        m_writing.begin()->second->closeForPendingWrites(); // ends the write
}

void PendingWrites::remove(std::size_t bytes)
{
    m_bytes -= bytes;
    if (m_budget)
        m_budget->release(bytes);
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
                                                     std::shared_ptr<RequestBodies> requestBodies,
                                                     std::shared_ptr<CallerMemory> memory)
{
    if (!memory)
        memory = std::make_shared<CallerMemory>(MemoryLimits {});
    return std::make_shared<Channel>(std::move(socket), std::move(handler), std::move(limits),
                                     std::move(pendingWrites), std::move(requestBodies),
                                     std::move(memory));
}

} // namespace cornelshed::detail
