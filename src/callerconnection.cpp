// State machine of a caller's connection. All handlers run on the thread of the socket's executor.

#include "callerconnection.h"

#include "eventlog.h"
#include "httpheaders.h"
#include "monotonicclock.h"
#include "requestvalidator.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <utility>

namespace cornelshed {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds idleTimeout {60000};
// The time that the request of a provisional connection has to arrive.
constexpr std::chrono::milliseconds provisionalTime {20};
// A caller that has not read its response within this time is disconnected.
constexpr std::chrono::milliseconds answerWriteTimeout {30000};
// Time during which input is read and discarded before the socket is closed. Input that arrives at
// a closed socket causes a TCP reset, which can destroy the response before the caller reads it.
constexpr std::chrono::milliseconds lingerTimeout {1000};
// During the shutdown, a connection whose close no response has announced stays open for the next
// request for this long after it was opened, or after its last response: the caller may have sent
// that request already.
constexpr std::chrono::milliseconds unannouncedCloseDelay {500};
// Refused callers are told to return after 0.5 s to 3 s, so that they do not return together.
constexpr std::uint32_t minRetryAfterMs = 500;
constexpr std::uint32_t retryAfterSpreadMs = 2500;
// Read at a time, so that callers that send much do not keep others from their turn.
constexpr std::size_t readBytes = std::size_t {16} << 10U;
// A time limit that passes while received data is still unread is checked again after this time.
constexpr std::chrono::milliseconds unreadDataCheckInterval {20};
// The message to the agent is a copy of the body. The parser takes 64 to 80 bytes for a header.
constexpr RequestCosts requestCosts {96, 2};

std::string formatRequestId(const std::string &callerId, RequestId request)
{
    std::array<char, 48> buf {};
    const int n = std::snprintf(buf.data(), buf.size(), "%016llx-%llu",
                                static_cast<unsigned long long>(request.entryIncarnation),
                                static_cast<unsigned long long>(request.sequence));
    const std::string generatedId(buf.data(), static_cast<std::size_t>(n));
    return callerId.empty() ? generatedId : callerId + '.' + generatedId;
}

struct Input
{
    std::string_view bytes; // valid until the next call on this thread
    bool isClosed = false;
};

Input readInput(asio::ip::tcp::socket &socket)
{
    // Connections that wait for input need no buffer of their own.
    thread_local std::array<char, readBytes> buf;
    const ssize_t n = ::recv(socket.native_handle(), buf.data(), buf.size(), MSG_DONTWAIT);
    if (n > 0)
        return {{buf.data(), static_cast<std::size_t>(n)}, false};
    const bool isEmpty = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return {{}, !isEmpty};
}

ErrorResponse endingErrorResponse(const Ending &ending)
{
    if (const auto *notRun = std::get_if<NotRun>(&ending))
        return errorResponse(*notRun);
    const auto *unknown = std::get_if<Unknown>(&ending);
    return errorResponse(unknown == nullptr ? Unknown {UnknownReason::StreamCut} : *unknown);
}

} // namespace

CallerMetrics::CallerMetrics(Metrics &metrics)
    : answered(metrics.counter("cornelshed_entry_requests_total{outcome=\"answered\"}",
                               "Callers' requests by outcome.")),
      notRun(metrics.counter("cornelshed_entry_requests_total{outcome=\"not_run\"}", "")),
      unknown(metrics.counter("cornelshed_entry_requests_total{outcome=\"unknown\"}", "")),
      invalid(metrics.counter("cornelshed_entry_requests_total{outcome=\"invalid\"}", "")),
      chunks(metrics.counter("cornelshed_entry_stream_chunks_total",
                             "Parts of streams passed on to callers.")),
      answerTime(metrics.summary("cornelshed_entry_answer_seconds",
                                 "Request received to ending known."))
{ }

CallerConnection::CallerConnection(asio::ip::tcp::socket socket,
                                   std::shared_ptr<CallerContext> context)
    : m_socket(std::move(socket)), m_timer(m_socket.get_executor()),
      m_callerContext(std::move(context)), m_reader(requestCosts), m_writer(m_socket, *this),
      m_share(m_callerContext->answerBudget)
{
    boost::system::error_code ec;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ec);
    ++m_callerContext->connectionCount;
}

CallerConnection::~CallerConnection()
{
    m_callerContext->memory.close(m_holder);
    if (m_isRefused)
        --m_callerContext->refusedCount;
    --m_callerContext->connectionCount;
}

template<typename Function> void CallerConnection::post(Function function)
{
    asio::post(m_socket.get_executor(),
               [self = shared_from_this(), function = std::move(function)]() mutable {
                   function(*self);
               });
}

// Runs the function immediately if called on the socket's thread, because waking another thread
// costs more than writing a chunk. Call this only from code that is not in the middle of using
// state that the function may access.
template<typename Function> void CallerConnection::dispatch(Function function)
{
    asio::dispatch(m_socket.get_executor(),
                   [self = shared_from_this(), function = std::move(function)]() mutable {
                       function(*self);
                   });
}

void CallerConnection::start()
{
    // At once, because further connections are accepted by the number of those that are counted.
    const CallerMemory::OpenedConnection opened = m_callerContext->memory.open(weak_from_this());
    m_holder = opened.holder;
    m_isProvisional = opened.isProvisional;
    post([](CallerConnection &self) {
        if (self.m_phase != Phase::Idle) // dropped meanwhile
            return;
        if (self.m_holder == 0)
            self.refuseConnection();
        else
            self.readNext();
    });
}

void CallerConnection::refuseConnection()
{
    if (!countRefused()) {
        close();
        return;
    }
    m_keepAlive = false;
    setActive(true);
    sendErrorResponse(notRunResponse(429, "connection_limit", "too many connections", 1000));
}

// Counts a connection that stays open for a short time although it is none of those that the limit
// permits. Returns false if there are too many of them.
bool CallerConnection::countRefused()
{
    return std::exchange(m_isRefused, true)
            || ++m_callerContext->refusedCount <= refusedConnectionCount;
}

// Other connections need the room of this one.
void CallerConnection::dropped()
{
    post([](CallerConnection &self) {
        if (self.m_phase == Phase::Receiving)
            self.refuseForRoom();
        else if (self.m_phase == Phase::Idle && self.peek() == SocketState::HasData)
            self.beginReceiving(); // which refuses the request
        else if (self.m_phase == Phase::Idle || self.m_phase == Phase::Lingering)
            self.close();
    });
}

void CallerConnection::closeIfIdle()
{
    // Counted at once, so that the daemon does not exit before it has looked for a request.
    ++m_callerContext->activeCount;
    post([](CallerConnection &self) {
        if (self.m_phase == Phase::Idle) {
            self.setActive(true);
            self.armTimer(std::max(Duration::zero(),
                                   self.m_waitingSince + unannouncedCloseDelay - monotonicNow()));
        }
        --self.m_callerContext->activeCount;
    });
}

// --- receiving ---

void CallerConnection::readNext()
{
    m_request = nullptr;
    m_submitted = false;
    m_hasResponseHead = m_isStream = m_isOverLimit = false;
    m_headers.clear();
    dropBody();
    m_reader.endRequest();
    if (!m_callerContext->memory.endRequest(m_holder)) {
        close();
        return;
    }
    if (m_reader.hasInput()) {
        beginReceiving();
        return;
    }
    waitForRequest();
}

void CallerConnection::waitForRequest()
{
    m_phase = Phase::Idle;
    const bool isShuttingDown = m_callerContext->shuttingDown;
    setActive(isShuttingDown);
    m_waitingSince = monotonicNow();
    armTimer(m_isProvisional          ? provisionalTime
                     : isShuttingDown ? unannouncedCloseDelay
                                      : idleTimeout);
    waitReadable();
}

void CallerConnection::waitReadable()
{
    if (std::exchange(m_waitPending, true))
        return;
    m_socket.async_wait(asio::socket_base::wait_read, [self = shared_from_this()](auto ec) {
        self->m_waitPending = false;
        self->handleReadable(ec);
    });
}

void CallerConnection::handleReadable(const boost::system::error_code &ec)
{
    if (ec || !m_socket.is_open())
        return;
    switch (m_phase) {
    case Phase::Idle:
        beginReceiving();
        break;
    case Phase::Receiving:
        receive();
        break;
    case Phase::Running:
        checkCallerDisconnected();
        break;
    case Phase::Lingering:
        discardInput();
        break;
    case Phase::Answering:
    case Phase::Closed:
        break;
    }
}

CallerConnection::SocketState CallerConnection::peek()
{
    char c = 0;
    const ssize_t n = ::recv(m_socket.native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0)
        return SocketState::HasData;
    const bool isEmpty = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return isEmpty ? SocketState::Empty : SocketState::Closed;
}

// While a request runs, end of input means that the caller has closed its connection. Available
// bytes are a pipelined request; they are left in the socket.
void CallerConnection::checkCallerDisconnected()
{
    const SocketState state = peek();
    if (state == SocketState::Empty)
        waitReadable();
    else if (state == SocketState::Closed)
        callerDisconnected();
    else
        chargeUnreadInput();
}

// The kernel holds what follows the running request. If there is no room for it, the connection is
// closed: the request runs on, but its caller gets no answer.
void CallerConnection::chargeUnreadInput()
{
    m_heldBytes += m_callerContext->settings.receiveBufferBytes;
    if (!m_callerContext->memory.hold(m_holder, m_heldBytes))
        callerDisconnected();
}

void CallerConnection::beginReceiving()
{
    m_phase = Phase::Receiving;
    setActive(true);
    m_isOverdue = false;
    const EntrySettings &settings = m_callerContext->settings;
    m_receiveDeadline = monotonicNow()
            + (m_isProvisional ? provisionalTime
                               : std::chrono::milliseconds(settings.headerTimeoutMs));
    m_reader.begin({settings.headerLimitBytes, settings.bodyLimitBytes});
    if (!m_callerContext->memory.beginRequest(m_holder)) {
        refuseForRoom();
        return;
    }
    armReceiveTimer();
    if (m_reader.hasInput())
        parse({});
    else
        receive();
}

void CallerConnection::receive()
{
    const Input input = readInput(m_socket);
    if (input.isClosed)
        close();
    else if (input.bytes.empty())
        waitReadable();
    else
        parse(input.bytes);
}

void CallerConnection::parse(std::string_view bytes)
{
    RequestReader::Status status = m_reader.add(bytes);
    if (status == RequestReader::Status::Empty) {
        waitForRequest();
        return;
    }
    if (status == RequestReader::Status::HeadReceived) {
        if (!handleHead())
            return;
        status = m_reader.add({});
        if (status == RequestReader::Status::NeedsMore)
            armReceiveTimer();
    }
    if (status == RequestReader::Status::Failed) {
        m_keepAlive = false;
        sendErrorResponse(errorResponse(m_reader.fault()));
        return;
    }
    m_heldBytes = m_reader.heldBytes();
    if (!m_callerContext->memory.hold(m_holder, m_heldBytes))
        refuseForRoom();
    else if (status == RequestReader::Status::Complete)
        handleRequest();
    else
        waitReadable();
}

// Returns false if the request was refused. A caller that waits for 100 Continue gets it only if
// there is room for its body.
bool CallerConnection::handleHead()
{
    const EntrySettings &settings = m_callerContext->settings;
    m_receivedAt = monotonicNow();
    m_pace.begin(m_receivedAt, std::chrono::milliseconds(settings.bodyProgressIntervalMs),
                 settings.bodyProgressBytes);
    if (!m_callerContext->memory.expect(m_holder, m_reader.expectedBytes())) {
        refuseForRoom();
        return false;
    }
    if (m_reader.expectsContinue())
        m_writer.writeRaw("HTTP/1.1 100 Continue\r\n\r\n");
    return true;
}

// The request has not run and does not run.
void CallerConnection::refuseForRoom()
{
    m_keepAlive = false;
    m_callerContext->metrics.notRun.add();
    const auto spread = static_cast<std::uint32_t>(m_holder * 977 % retryAfterSpreadMs);
    sendErrorResponse(notRunResponse(503, "request_memory",
                                     "the requests in progress leave no room for this one",
                                     minRetryAfterMs + spread));
}

// --- running ---

void CallerConnection::handleRequest()
{
    m_timer.cancel();
    m_keepAlive = m_reader.isKeepAlive() && !m_isProvisional;
    m_request = makeRequest();
    if (!m_request)
        return;
    if (!m_callerContext->memory.completeRequest(m_holder)) {
        m_request = nullptr;
        refuseForRoom();
        return;
    }
    m_reader.endRequest();
    m_phase = Phase::Running;
    waitReadable();
    if (m_request->claim) {
        claim();
        return;
    }
    m_submitted = true;
    m_callerContext->dispatcher.submit(m_request);
}

// Returns null if the request cannot run; an error response has then been sent.
std::shared_ptr<CallerRequest> CallerConnection::makeRequest()
{
    const auto configuration = m_callerContext->configuration();
    if (!configuration) {
        sendErrorResponse(
                notRunResponse(503, "no_configuration", "no configuration is known yet", 1000));
        return nullptr;
    }
    const RequestReader::Message &message = m_reader.message();
    const Headers headers = m_reader.headers();
    const RawRequest raw {message.method_string(), message.target(), &headers, message.body()};
    Result<ValidRequest, InputError> checked = validateRequest(*configuration, raw, m_receivedAt);
    if (const auto *error = std::get_if<InputError>(&checked)) {
        m_callerContext->metrics.invalid.add();
        sendErrorResponse(errorResponse(*error));
        return nullptr;
    }
    auto &valid = std::get<ValidRequest>(checked);
    auto request = std::make_shared<CallerRequest>();
    request->arrival = std::move(valid.arrival);
    request->arrival.request = m_callerContext->nextRequestId();
    request->method = raw.method;
    request->path = raw.target;
    request->headers = std::move(valid.headers);
    request->headers.emplace_back("X-Request-Id",
                                  formatRequestId(valid.callerRequestId, request->arrival.request));
    if (valid.claimedKey) {
        request->claim = ClaimKey {request->arrival.organisation, *valid.claimedKey};
        request->bodyDigest = requestDigest(raw.method, raw.target, raw.body);
    }
    request->body = m_reader.takeBody();
    request->sink = shared_from_this();
    return request;
}

void CallerConnection::claim()
{
    const RequestId request = m_request->arrival.request;
    m_callerContext->control.claim(*m_request->claim, request, m_request->bodyDigest,
                                   [self = shared_from_this()](const ClaimResult &result) {
                                       self->post([result](CallerConnection &connection) {
                                           connection.handleClaim(result);
                                       });
                                   });
}

void CallerConnection::handleClaim(const ClaimResult &result)
{
    if (result.verdict == ClaimVerdict::Claimed && !m_callerGone) {
        m_submitted = true;
        m_callerContext->dispatcher.submit(m_request);
        return;
    }
    if (result.verdict == ClaimVerdict::Claimed)
        m_callerContext->control.releaseClaim(*m_request->claim, m_request->arrival.request);
    switch (result.verdict) {
    case ClaimVerdict::Claimed:
    case ClaimVerdict::Unavailable:
        m_callerContext->metrics.notRun.add();
        sendErrorResponse(notRunResponse(503, "claim_unavailable",
                                         "the call cannot be protected against running twice now",
                                         1000));
        break;
    case ClaimVerdict::Finished:
        m_callerContext->metrics.answered.add();
        sendResponse(result.answer.status, {{"Content-Type", result.answer.contentType}},
                     result.answer.body);
        break;
    case ClaimVerdict::Open:
        m_callerContext->metrics.unknown.add();
        sendErrorResponse(openClaimResponse());
        break;
    case ClaimVerdict::BodyMismatch:
        m_callerContext->metrics.invalid.add();
        sendErrorResponse(errorResponse(InputError {422, "idempotency_key_reused",
                                                    "the key was used with another request"}));
        break;
    }
}

void CallerConnection::callerDisconnected()
{
    if (std::exchange(m_callerGone, true))
        return;
    if (m_submitted)
        m_callerContext->dispatcher.callerDisconnected(m_request->arrival.request);
    dropBody();
    boost::system::error_code ec;
    m_socket.close(ec);
}

bool CallerConnection::isCurrent(RequestId request) const
{
    return m_phase == Phase::Running && m_request->arrival.request == request;
}

void CallerConnection::responseHead(RequestId request, std::uint32_t status, Headers headers)
{
    dispatch([request, status, headers = std::move(headers)](CallerConnection &self) {
        if (self.isCurrent(request))
            self.handleResponseHead(status, headers);
    });
}

void CallerConnection::chunk(RequestId request, std::string data)
{
    const AnswerRoom room = m_share.tryTake(data.size());
    if (room != AnswerRoom::Taken) {
        dispatch([request, room](CallerConnection &self) {
            if (self.isCurrent(request))
                self.handleOverLimit(room);
        });
        return;
    }
    dispatch([request, data = std::move(data)](CallerConnection &self) {
        if (self.isCurrent(request))
            self.handleChunk(data);
        else
            self.m_share.release(data.size());
    });
}

void CallerConnection::ended(RequestId request, const Ending &ending)
{
    // Posted, because the handler may submit the connection's next request while the dispatcher is
    // still carrying out actions.
    post([request, ending](CallerConnection &self) {
        if (self.isCurrent(request))
            self.handleEnding(ending);
    });
}

void CallerConnection::handleResponseHead(std::uint32_t status, const Headers &headers)
{
    if (std::exchange(m_hasResponseHead, true) || m_callerGone)
        return;
    m_status = status;
    m_headers = endToEndHeaders(headers);
    m_isStream = status == 200 && declaresEventStream(m_headers);
    if (!m_isStream)
        return;
    Headers answerHeaders = m_headers;
    answerHeaders.emplace_back("X-Request-Id", m_request->headers.back().second);
    m_writer.beginStream(makeHead(m_status, std::move(answerHeaders)));
}

// The bytes of data are held in m_share.
void CallerConnection::handleChunk(const std::string &data)
{
    if (m_callerGone || !m_hasResponseHead || m_isOverLimit) {
        m_share.release(data.size());
        return;
    }
    if (!m_isStream) {
        m_body += data;
        return;
    }
    // Agents send the final event in a separate chunk.
    if (data.starts_with("data: [DONE]")) {
        m_share.release(m_streamEndEvent.size());
        m_streamEndEvent = data;
        return;
    }
    m_callerContext->metrics.chunks.add();
    m_writerBytes += data.size();
    m_writer.writeChunk(data);
}

// Ends the answer: the agent is told to cancel the run, and the caller gets an error response or,
// in a stream, an error event. A stream that the caller does not read fast enough is cut, because
// the event would follow everything that waits to be written.
void CallerConnection::handleOverLimit(AnswerRoom room)
{
    if (m_callerGone || std::exchange(m_isOverLimit, true))
        return;
    dropBody();
    EventLog("answer_over_limit", EventLevel::Warning)
            .field("request", m_request->headers.back().second)
            .field("limit",
                   room == AnswerRoom::AnswerTooLarge ? "answer_limit_bytes"
                                                      : "buffered_answers_limit_bytes");
    if (m_writer.queuedBytes() > AnswerBudget::shortAnswerBytes) {
        callerDisconnected();
        return;
    }
    m_callerContext->dispatcher.answerOverLimit(m_request->arrival.request,
                                                room == AnswerRoom::AnswerTooLarge);
}

void CallerConnection::dropBody()
{
    m_share.release(m_body.size() + m_streamEndEvent.size());
    // Frees the memory, which clear() would keep.
    m_body = std::string();
    m_streamEndEvent = std::string();
}

void CallerConnection::handleEnding(const Ending &ending)
{
    m_callerContext->metrics.answerTime.record(monotonicNow() - m_receivedAt);
    // A response without its head, or a stream without its final event, is incomplete even if the
    // agent reports success. So is one whose body was dropped when its caller left.
    const bool isComplete = !m_isOverLimit && !m_callerGone
            && (m_isStream ? !m_streamEndEvent.empty() : m_hasResponseHead);
    const bool isAnswered = std::holds_alternative<Answered>(ending) && isComplete;
    const Ending effectiveEnding = isAnswered || !std::holds_alternative<Answered>(ending)
            ? ending
            : Ending(Unknown {UnknownReason::StreamCut});
    if (std::holds_alternative<NotRun>(effectiveEnding))
        m_callerContext->metrics.notRun.add();
    else
        (isAnswered ? m_callerContext->metrics.answered : m_callerContext->metrics.unknown).add();
    finishOrReleaseClaim(effectiveEnding);
    if (m_isStream)
        finishStream(effectiveEnding);
    else if (isAnswered)
        sendBody();
    else
        sendErrorResponse(endingErrorResponse(effectiveEnding));
}

// The writer copies the body, which is then no longer needed here.
void CallerConnection::sendBody()
{
    m_writerBytes += m_body.size();
    sendResponse(m_status, m_headers, m_body);
    m_body = std::string();
}

// The claim stays open if the outcome is unknown, so that a retry cannot run the request again.
void CallerConnection::finishOrReleaseClaim(const Ending &ending)
{
    if (!m_request->claim)
        return;
    const RequestId request = m_request->arrival.request;
    if (std::holds_alternative<NotRun>(ending)) {
        m_callerContext->control.releaseClaim(*m_request->claim, request);
    } else if (std::holds_alternative<Answered>(ending)) {
        const std::string *type = findHeader(m_headers, "Content-Type");
        m_callerContext->control.finishClaim(*m_request->claim, request,
                                             {m_status, type == nullptr ? "" : *type, m_body});
    }
}

// --- answering ---

// Announces the close of the connection once the shutdown has begun.
ResponseHeader CallerConnection::makeHead(std::uint32_t status, Headers headers)
{
    m_keepAlive = m_keepAlive && !m_callerContext->shuttingDown;
    return {status, std::move(headers), m_keepAlive};
}

void CallerConnection::sendErrorResponse(const ErrorResponse &answer)
{
    m_phase = Phase::Answering;
    if (!m_request)
        m_reader.endRequest();
    Headers headers {{"Content-Type", "application/json"},
                     {"Cornelshed-Outcome", std::string(answer.outcome)}};
    if (answer.retryAfterMs > 0)
        headers.emplace_back("Retry-After", std::to_string((answer.retryAfterMs + 999) / 1000));
    if (m_request)
        headers.emplace_back("X-Request-Id", m_request->headers.back().second);
    armTimer(answerWriteTimeout);
    m_writer.writeResponse(makeHead(answer.status, std::move(headers)), answer.body);
}

void CallerConnection::sendResponse(std::uint32_t status, const Headers &headers,
                                    const std::string &body)
{
    m_phase = Phase::Answering;
    Headers answerHeaders = headers;
    answerHeaders.emplace_back("Cornelshed-Outcome", outcomeAnswered);
    answerHeaders.emplace_back("X-Request-Id", m_request->headers.back().second);
    armTimer(answerWriteTimeout);
    m_writer.writeResponse(makeHead(status, std::move(answerHeaders)), body);
}

void CallerConnection::finishStream(const Ending &ending)
{
    m_phase = Phase::Answering;
    armTimer(answerWriteTimeout);
    if (std::holds_alternative<Answered>(ending)) {
        m_writer.writeChunk(m_streamEndEvent);
        m_writer.endStream(outcomeAnswered);
        return;
    }
    const ErrorResponse answer = endingErrorResponse(ending);
    m_writer.writeChunk("event: error\ndata: " + answer.body + "\n\n");
    m_writer.endStream(answer.outcome);
}

void CallerConnection::bytesWritten()
{
    const std::size_t remaining = std::min(m_writerBytes, m_writer.queuedBytes());
    m_share.release(std::exchange(m_writerBytes, remaining) - remaining);
}

void CallerConnection::responseSent()
{
    // If the head did not announce the close, the caller may send its next request here.
    if (m_keepAlive)
        readNext();
    else
        linger();
}

void CallerConnection::writeFailed()
{
    if (m_phase == Phase::Running) {
        callerDisconnected();
        return;
    }
    close();
}

void CallerConnection::linger()
{
    m_phase = Phase::Lingering;
    setActive(false);
    m_request = nullptr;
    m_reader.clear();
    if (m_isProvisional)
        m_callerContext->memory.close(std::exchange(m_holder, 0));
    const bool isCounted = m_holder != 0 && m_callerContext->memory.endRequest(m_holder);
    if (!isCounted && !countRefused()) {
        close();
        return;
    }
    boost::system::error_code ec;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    armTimer(lingerTimeout);
    discardInput();
}

void CallerConnection::discardInput()
{
    if (readInput(m_socket).isClosed)
        close();
    else
        waitReadable();
}

// Sets whether the connection counts towards activeCount.
void CallerConnection::setActive(bool active)
{
    if (std::exchange(m_isActive, active) == active)
        return;
    if (active)
        ++m_callerContext->activeCount;
    else
        --m_callerContext->activeCount;
}

void CallerConnection::close()
{
    m_phase = Phase::Closed;
    setActive(false);
    m_timer.cancel();
    m_request = nullptr;
    m_reader.clear();
    dropBody();
    boost::system::error_code ec;
    m_socket.close(ec);
    m_callerContext->memory.close(std::exchange(m_holder, 0));
}

void CallerConnection::armTimer(Duration limit)
{
    m_timer.expires_after(limit);
    m_timer.async_wait([self = shared_from_this()](auto ec) {
        if (!ec)
            self->handleTimeout();
    });
}

void CallerConnection::armReceiveTimer()
{
    const Instant next = m_reader.isHeadReceived() ? std::min(m_receiveDeadline, m_pace.checkTime())
                                                   : m_receiveDeadline;
    armTimer(std::max(Duration::zero(), next - monotonicNow()));
}

void CallerConnection::handleReceiveTimeout()
{
    const Instant now = monotonicNow();
    const bool isInTime = now < m_receiveDeadline
            && (!m_reader.isHeadReceived() || m_pace.check(now, m_reader.bodyWireBytes()));
    if (isInTime) {
        m_isOverdue = false;
        armReceiveTimer();
        return;
    }
    // The rest of the request may be in the socket, or in handlers queued behind this one.
    if (!std::exchange(m_isOverdue, true) || peek() == SocketState::HasData) {
        armTimer(unreadDataCheckInterval);
        return;
    }
    m_keepAlive = false;
    if (m_isProvisional)
        refuseConnection();
    else
        sendErrorResponse(errorResponse(
                InputError {408, "request_timeout", "the request was not received in time"}));
}

void CallerConnection::handleTimeout()
{
    // The timer may have been set again after this handler was queued.
    if (m_timer.expiry() > std::chrono::steady_clock::now())
        return;
    switch (m_phase) {
    case Phase::Idle:
        // The request is read by the pending wait for input.
        if (peek() == SocketState::HasData)
            armTimer(unreadDataCheckInterval);
        else if (m_isProvisional)
            refuseConnection();
        else
            close();
        break;
    case Phase::Receiving:
        handleReceiveTimeout();
        break;
    case Phase::Answering:
    case Phase::Lingering:
        close();
        break;
    case Phase::Running:
    case Phase::Closed:
        break;
    }
}

} // namespace cornelshed
