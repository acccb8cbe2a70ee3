// State machine of a caller's connection. Every handler runs on the socket's thread.

#include "callerconnection.h"

#include "eventlog.h"
#include "httpheaders.h"
#include "monotonicclock.h"
#include "requestvalidator.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/read.hpp>

#include <sys/socket.h>

#include <cerrno>
#include <cstdio>
#include <utility>

namespace cornelshed {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::chrono::milliseconds idleTimeLimit {60000};
// A caller that does not read its answer for this long is disconnected.
constexpr std::chrono::milliseconds answerTimeLimit {30000};
// Input that is still on its way must be read before closing; otherwise the reset that it provokes
// can destroy the answer before the caller reads it.
constexpr std::chrono::milliseconds lingerTimeLimit {1000};
constexpr std::size_t wholeAnswerLimitBytes = std::size_t {64} << 20U;
constexpr std::size_t streamBacklogLimitBytes = std::size_t {16} << 20U;

Headers copyHeaders(const http::fields &fields)
{
    Headers headers;
    for (const auto &it : fields)
        headers.emplace_back(std::string(it.name_string()), std::string(it.value()));
    return headers;
}

std::string formatRequestId(const std::string &callerId, RequestId request)
{
    std::array<char, 48> buf {};
    const int n = std::snprintf(buf.data(), buf.size(), "%016llx-%llu",
                                static_cast<unsigned long long>(request.entryIncarnation),
                                static_cast<unsigned long long>(request.sequence));
    const std::string own(buf.data(), static_cast<std::size_t>(n));
    return callerId.empty() ? own : callerId + '.' + own;
}

ErrorAnswer endingAnswer(const Ending &ending)
{
    if (const auto *notRun = std::get_if<NotRun>(&ending))
        return errorAnswer(*notRun);
    const auto *unknown = std::get_if<Unknown>(&ending);
    return errorAnswer(unknown == nullptr ? Unknown {UnknownReason::StreamCut} : *unknown);
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
    : m_socket(std::move(socket)), m_timer(m_socket.get_executor()), m_context(std::move(context)),
      m_writer(m_socket, *this)
{
    boost::system::error_code ec;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ec);
    ++m_context->connectionCount;
}

CallerConnection::~CallerConnection()
{
    --m_context->connectionCount;
}

template<typename Function> void CallerConnection::post(Function function)
{
    asio::post(m_socket.get_executor(),
               [self = shared_from_this(), function = std::move(function)]() mutable {
                   function(*self);
               });
}

// Runs the function at once if this is the socket's thread: waking another thread costs more than
// writing a chunk. Only for callers that hold no state which the function may reach.
template<typename Function> void CallerConnection::dispatch(Function function)
{
    asio::dispatch(m_socket.get_executor(),
                   [self = shared_from_this(), function = std::move(function)]() mutable {
                       function(*self);
                   });
}

void CallerConnection::start()
{
    post([](CallerConnection &self) { self.readNext(); });
}

void CallerConnection::refuse()
{
    post([](CallerConnection &self) {
        ++self.m_context->activeCount;
        self.answerError(notRunAnswer(429, "connection_limit", "too many connections", 1000));
    });
}

void CallerConnection::closeIfIdle()
{
    post([](CallerConnection &self) {
        if (self.m_phase == Phase::Idle && self.m_buffer.size() == 0)
            self.close();
    });
}

// --- receiving ---

void CallerConnection::readNext()
{
    m_phase = Phase::Idle;
    m_request = nullptr;
    m_submitted = false;
    m_hasHead = m_isStream = m_isTooLarge = false;
    m_headers.clear();
    m_body.clear();
    m_streamEnd.clear();
    m_parser.emplace();
    m_parser->header_limit(m_context->settings.headerLimitBytes);
    m_parser->body_limit(m_context->settings.bodyLimitBytes);
    if (m_buffer.size() > 0) {
        readHeader();
        return;
    }
    armTimer(idleTimeLimit);
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
    if (m_phase == Phase::Idle)
        readHeader();
    else if (m_phase == Phase::Running)
        checkCallerPresent();
}

// While a request runs, a caller that closes its connection shows as the end of input. Bytes
// instead mean that the caller sends its next request early; they stay where they are.
void CallerConnection::checkCallerPresent()
{
    char c = 0;
    const ssize_t n = ::recv(m_socket.native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0)
        return;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        waitReadable();
    else
        callerGone();
}

void CallerConnection::readHeader()
{
    m_phase = Phase::Receiving;
    ++m_context->activeCount;
    armTimer(std::chrono::milliseconds(m_context->settings.headerTimeoutMs));
    http::async_read_header(m_socket, m_buffer, *m_parser,
                            [self = shared_from_this()](auto ec, std::size_t) {
                                if (self->m_phase != Phase::Receiving)
                                    return;
                                if (ec)
                                    self->handleReadError(ec);
                                else
                                    self->readBody();
                            });
}

void CallerConnection::readBody()
{
    m_received = monotonicNow();
    const auto expect = m_parser->get().find(http::field::expect);
    if (expect != m_parser->get().end() && sameHeaderName(expect->value(), "100-continue"))
        m_writer.raw("HTTP/1.1 100 Continue\r\n\r\n");
    http::async_read(m_socket, m_buffer, *m_parser,
                     [self = shared_from_this()](auto ec, std::size_t) {
                         if (self->m_phase != Phase::Receiving)
                             return;
                         if (ec)
                             self->handleReadError(ec);
                         else
                             self->handleRequest();
                     });
}

void CallerConnection::handleReadError(const boost::system::error_code &ec)
{
    m_keepAlive = false;
    const bool isHttpError =
            ec.category() == http::make_error_code(http::error::bad_version).category();
    if (!isHttpError || ec == http::error::end_of_stream || ec == http::error::partial_message) {
        --m_context->activeCount;
        close();
    } else if (ec == http::error::header_limit) {
        answerError(errorAnswer(InputError {431, "header_too_large", "the header is too large"}));
    } else if (ec == http::error::body_limit) {
        answerError(errorAnswer(InputError {413, "body_too_large", "the body is too large"}));
    } else {
        answerError(errorAnswer(InputError {400, "malformed_request", ec.message()}));
    }
}

// --- running ---

void CallerConnection::handleRequest()
{
    m_timer.cancel();
    m_keepAlive = m_parser->keep_alive() && !m_context->shuttingDown;
    m_request = makeRequest();
    if (!m_request)
        return;
    m_phase = Phase::Running;
    waitReadable();
    if (m_request->claim) {
        claim();
        return;
    }
    m_submitted = true;
    m_context->dispatcher.submit(m_request);
}

// Returns null after a request that cannot run was answered.
std::shared_ptr<CallerRequest> CallerConnection::makeRequest()
{
    const auto configuration = m_context->configuration();
    if (!configuration) {
        answerError(notRunAnswer(503, "no_configuration", "no configuration is known yet", 1000));
        return nullptr;
    }
    auto &message = m_parser->get();
    const Headers headers = copyHeaders(message);
    const RawRequest raw {message.method_string(), message.target(), &headers, message.body()};
    Result<ValidRequest, InputError> checked = validateRequest(*configuration, raw, m_received);
    if (const auto *error = std::get_if<InputError>(&checked)) {
        m_context->metrics.invalid.add();
        answerError(errorAnswer(*error));
        return nullptr;
    }
    auto &valid = std::get<ValidRequest>(checked);
    auto request = std::make_shared<CallerRequest>();
    request->arrival = std::move(valid.arrival);
    request->arrival.request = m_context->nextRequestId();
    request->method = raw.method;
    request->path = raw.target;
    request->headers = std::move(valid.headers);
    request->headers.emplace_back("X-Request-Id",
                                  formatRequestId(valid.callerRequestId, request->arrival.request));
    if (valid.claimedKey) {
        request->claim = ClaimKey {request->arrival.organisation, *valid.claimedKey};
        request->bodyDigest = requestDigest(raw.method, raw.target, raw.body);
    }
    request->body = std::move(message.body());
    request->sink = shared_from_this();
    return request;
}

void CallerConnection::claim()
{
    const RequestId request = m_request->arrival.request;
    m_context->control.claim(*m_request->claim, request, m_request->bodyDigest,
                             [self = shared_from_this()](const ClaimResult &result) {
                                 self->post([result](CallerConnection &connection) {
                                     connection.handleClaim(result);
                                 });
                             });
}

void CallerConnection::handleClaim(const ClaimResult &result)
{
    if (result.verdict == ClaimVerdict::Claimed && !m_gone) {
        m_submitted = true;
        m_context->dispatcher.submit(m_request);
        return;
    }
    if (result.verdict == ClaimVerdict::Claimed)
        m_context->control.releaseClaim(*m_request->claim, m_request->arrival.request);
    switch (result.verdict) {
    case ClaimVerdict::Claimed:
    case ClaimVerdict::Unavailable:
        m_context->metrics.notRun.add();
        answerError(notRunAnswer(503, "claim_unavailable",
                                 "the call cannot be protected against running twice now", 1000));
        break;
    case ClaimVerdict::Finished:
        m_context->metrics.answered.add();
        answerWhole(result.answer.status, {{"Content-Type", result.answer.contentType}},
                    result.answer.body);
        break;
    case ClaimVerdict::Open:
        m_context->metrics.unknown.add();
        answerError(openClaimAnswer());
        break;
    case ClaimVerdict::BodyMismatch:
        m_context->metrics.invalid.add();
        answerError(errorAnswer(InputError {422, "idempotency_key_reused",
                                            "the key was used with another request"}));
        break;
    }
}

void CallerConnection::callerGone()
{
    if (std::exchange(m_gone, true))
        return;
    if (m_submitted)
        m_context->dispatcher.callerGone(m_request->arrival.request);
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
            self.handleHead(status, headers);
    });
}

void CallerConnection::chunk(RequestId request, std::string data)
{
    dispatch([request, data = std::move(data)](CallerConnection &self) mutable {
        if (self.isCurrent(request))
            self.handleChunk(std::move(data));
    });
}

void CallerConnection::ended(RequestId request, const Ending &ending)
{
    // Posted, because the connection may submit its next request, and the dispatcher is in the
    // midst of carrying out actions.
    post([request, ending](CallerConnection &self) {
        if (self.isCurrent(request))
            self.handleEnding(ending);
    });
}

void CallerConnection::handleHead(std::uint32_t status, const Headers &headers)
{
    if (std::exchange(m_hasHead, true) || m_gone)
        return;
    m_status = status;
    m_headers = endToEndHeaders(headers);
    const std::string *type = findHeader(m_headers, "Content-Type");
    m_isStream = status == 200 && type != nullptr && type->starts_with("text/event-stream");
    if (!m_isStream)
        return;
    Headers all = m_headers;
    all.emplace_back("X-Request-Id", m_request->headers.back().second);
    m_writer.beginStream({m_status, std::move(all), m_keepAlive});
}

void CallerConnection::handleChunk(std::string data)
{
    if (m_gone || !m_hasHead)
        return;
    if (!m_isStream) {
        m_isTooLarge = m_isTooLarge || m_body.size() + data.size() > wholeAnswerLimitBytes;
        if (!m_isTooLarge)
            m_body += data;
        return;
    }
    // Agents send the end event in a chunk of its own.
    if (data.starts_with("data: [DONE]")) {
        m_streamEnd = std::move(data);
        return;
    }
    m_context->metrics.chunks.add();
    m_writer.chunk(data);
    if (m_writer.queuedBytes() > streamBacklogLimitBytes)
        callerGone(); // it does not read fast enough
}

void CallerConnection::handleEnding(const Ending &ending)
{
    m_context->metrics.answerTime.record(monotonicNow() - m_received);
    // An answer whose end event or head is missing is not whole, whatever the agent says.
    const bool isWhole = m_isStream ? !m_streamEnd.empty() : m_hasHead && !m_isTooLarge;
    const bool isAnswered = std::holds_alternative<Answered>(ending) && isWhole;
    const Ending actual = isAnswered || !std::holds_alternative<Answered>(ending)
            ? ending
            : Ending(Unknown {UnknownReason::StreamCut});
    if (std::holds_alternative<NotRun>(actual))
        m_context->metrics.notRun.add();
    else
        (isAnswered ? m_context->metrics.answered : m_context->metrics.unknown).add();
    settleClaim(actual);
    if (m_isStream)
        finishStream(actual);
    else if (isAnswered)
        answerWhole(m_status, m_headers, m_body);
    else
        answerError(endingAnswer(actual));
}

// The claim of a request that ended unknown stays open.
void CallerConnection::settleClaim(const Ending &ending)
{
    if (!m_request->claim)
        return;
    const RequestId request = m_request->arrival.request;
    if (std::holds_alternative<NotRun>(ending)) {
        m_context->control.releaseClaim(*m_request->claim, request);
    } else if (std::holds_alternative<Answered>(ending)) {
        const std::string *type = findHeader(m_headers, "Content-Type");
        m_context->control.finishClaim(*m_request->claim, request,
                                       {m_status, type == nullptr ? "" : *type, m_body});
    }
}

// --- answering ---

void CallerConnection::answerError(const ErrorAnswer &answer)
{
    m_phase = Phase::Answering;
    Headers headers {{"Content-Type", "application/json"},
                     {"Cornelshed-Outcome", std::string(answer.outcome)}};
    if (answer.retryAfterMs > 0)
        headers.emplace_back("Retry-After", std::to_string((answer.retryAfterMs + 999) / 1000));
    if (m_request)
        headers.emplace_back("X-Request-Id", m_request->headers.back().second);
    armTimer(answerTimeLimit);
    m_writer.whole({answer.status, std::move(headers), m_keepAlive}, answer.body);
}

void CallerConnection::answerWhole(std::uint32_t status, const Headers &headers,
                                   const std::string &body)
{
    m_phase = Phase::Answering;
    Headers all = headers;
    all.emplace_back("Cornelshed-Outcome", outcomeAnswered);
    all.emplace_back("X-Request-Id", m_request->headers.back().second);
    armTimer(answerTimeLimit);
    m_writer.whole({status, std::move(all), m_keepAlive}, body);
}

void CallerConnection::finishStream(const Ending &ending)
{
    m_phase = Phase::Answering;
    armTimer(answerTimeLimit);
    if (std::holds_alternative<Answered>(ending)) {
        m_writer.chunk(m_streamEnd);
        m_writer.endStream(outcomeAnswered);
        return;
    }
    const ErrorAnswer answer = endingAnswer(ending);
    m_writer.chunk("event: error\ndata: " + answer.body + "\n\n");
    m_writer.endStream(answer.outcome);
}

void CallerConnection::answerSent()
{
    --m_context->activeCount;
    if (m_keepAlive && !m_context->shuttingDown)
        readNext();
    else
        linger();
}

void CallerConnection::writeFailed()
{
    if (m_phase == Phase::Running) {
        callerGone();
        return;
    }
    if (m_phase == Phase::Answering)
        --m_context->activeCount;
    close();
}

void CallerConnection::linger()
{
    m_phase = Phase::Lingering;
    boost::system::error_code ec;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    armTimer(lingerTimeLimit);
    m_buffer.clear();
    discardInput();
}

void CallerConnection::discardInput()
{
    constexpr std::size_t discardBytes = 4096;
    m_socket.async_read_some(m_buffer.prepare(discardBytes),
                             [self = shared_from_this()](auto ec, std::size_t) {
                                 if (self->m_phase != Phase::Lingering)
                                     return;
                                 if (ec)
                                     self->close();
                                 else
                                     self->discardInput();
                             });
}

void CallerConnection::close()
{
    m_phase = Phase::Closed;
    m_timer.cancel();
    m_request = nullptr;
    boost::system::error_code ec;
    m_socket.close(ec);
}

void CallerConnection::armTimer(std::chrono::milliseconds limit)
{
    m_timer.expires_after(limit);
    m_timer.async_wait([self = shared_from_this()](auto ec) {
        if (!ec)
            self->handleTimeout();
    });
}

void CallerConnection::handleTimeout()
{
    // The timer may have been set anew after this handler was queued.
    if (m_timer.expiry() > std::chrono::steady_clock::now())
        return;
    switch (m_phase) {
    case Phase::Receiving:
        m_keepAlive = false;
        answerError(errorAnswer(
                InputError {408, "request_timeout", "the request was not received in time"}));
        break;
    case Phase::Answering:
        --m_context->activeCount;
        close();
        break;
    case Phase::Idle:
    case Phase::Lingering:
        close();
        break;
    case Phase::Running:
    case Phase::Closed:
        break;
    }
}

} // namespace cornelshed
