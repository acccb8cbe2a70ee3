// Runs the attempts of one request and forwards the response to the caller.

#include "gatewayexchange.h"

#include "eventlog.h"
#include "httpheaders.h"
#include "monotonicclock.h"
#include "retryaftertime.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace cornelshed::detail {

namespace {

using namespace std::chrono_literals;

// A request with less time left is not retried, as no response could arrive in time.
constexpr Duration minTimeForRetry = 20ms;
// A place at another backend server is looked for once the current one has sent nothing of a
// repeatable request for this multiple of the route's objective, but not before minSilence.
constexpr double silenceObjectiveFactor = 1.25;
constexpr Duration minSilence = 400ms;
// Once a stream has begun, that happens after this multiple of the objective for the gap between
// events; callers give up at eight times that objective.
constexpr double silenceGapFactor = 4;
// Time from a search without result to the next one.
constexpr Duration searchPause = 100ms;
// The same after backend servers have refused the request more than refusedAttemptLimit times.
constexpr Duration refusedSearchPause = 400ms;
// A body that is not a stream makes progress with each of this many bytes.
constexpr std::size_t progressBytes = 1024;
// A stream with this many complete events has gone on beyond its beginning.
constexpr std::uint64_t continuedEvents = 2;
// Sent while this gateway shuts down; callers can switch to another gateway at once.
constexpr Duration shutdownRetryAfter = 50ms;

std::string secondsText(Duration duration)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.3f",
                  std::chrono::duration<double>(duration).count());
    return text.data();
}

bool isCloseDelimited(const Headers &headers)
{
    return findHeader(headers, "Content-Length") == nullptr
            && findHeader(headers, "Transfer-Encoding") == nullptr;
}

std::string joinedParts(const std::vector<std::string> &parts)
{
    std::string joined;
    for (const std::string &it : parts)
        joined += (joined.empty() ? "" : ",") + it;
    return joined;
}

const char *nameOf(BackendError error)
{
    switch (error) {
    case BackendError::NotSent:
        return "no_connection";
    case BackendError::Refused:
        return "connection_refused";
    case BackendError::Cut:
        return "connection_cut";
    case BackendError::Malformed:
        return "malformed_answer";
    case BackendError::TimedOut:
        return "timed_out";
    case BackendError::Abandoned:
        return "abandoned";
    }
    return "unknown";
}

// The names under which refusals are logged; see descriptionOfProblem().
const char *nameOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::QueueTooLong:
        return "queue_too_long";
    case RefusalReason::WaitedTooLong:
        return "waited_too_long";
    case RefusalReason::NoBackend:
        return "no_backend";
    case RefusalReason::Paused:
        return "backends_paused";
    }
    return "unknown";
}

} // namespace

// Forwards the response of an attempt to the exchange while that attempt is the current one.
class GatewayExchange::ResponseHandler final : public BackendResponseHandler
{
public:
    explicit ResponseHandler(std::shared_ptr<GatewayExchange> exchange)
        : m_exchange(std::move(exchange))
    { }

    void detach() { m_exchange = nullptr; }

    void head(std::uint32_t status, Headers headers) override
    {
        if (const auto exchange = m_exchange)
            exchange->handleHead(status, std::move(headers));
    }
    void body(std::string data) override
    {
        const auto exchange = m_exchange;
        if (!exchange)
            return;
        if (exchange->isSilentAttempt(*this))
            exchange->handleSilentBody(data);
        else
            exchange->handleBody(data);
    }
    void finished() override
    {
        const auto exchange = m_exchange;
        if (!exchange)
            return;
        if (exchange->isSilentAttempt(*this))
            exchange->returnToSilentAttempt();
        exchange->handleFinished();
    }
    void failed(BackendError error) override
    {
        const auto exchange = m_exchange;
        if (!exchange)
            return;
        if (exchange->isSilentAttempt(*this))
            exchange->handleSilentFailed(error);
        else
            exchange->handleFailed(error);
    }

private:
    std::shared_ptr<GatewayExchange> m_exchange; // null once the attempt has ended
};

GatewayExchange::GatewayExchange(ExchangeServices &services, AdmittedRequest admitted,
                                 std::shared_ptr<CallerChannel> channel)
    : m_services(services), m_admitted(std::move(admitted)), m_channel(std::move(channel)),
      m_body(std::move(m_admitted.request.body)), m_deadlineTimer(services.context()),
      m_searchTimer(services.context()), m_lastEventId(m_admitted.metadata.resumeAfter)
{
    m_history.retryable = m_admitted.route.retryable();
    m_history.attemptLimit = m_admitted.route.attemptLimit;
}

GatewayExchange::~GatewayExchange() = default;

void GatewayExchange::start()
{
    const Instant now = monotonicNow();
    m_deadlineTimer.expires_at(toSteadyTime(m_admitted.deadline, now));
    m_deadlineTimer.async_wait([self = shared_from_this()](auto ec) {
        if (!ec)
            self->deadlineExpired();
    });
}

void GatewayExchange::deadlineExpired()
{
    if (m_finished)
        return;
    m_problem = "deadline";
    if (m_attempt.running) {
        ++m_history.ran;
        abandonAttempt();
    }
    if (m_history.answerStarted)
        abortResponse();
    else if (m_hasErrorAnswer)
        deliver();
    else if (m_history.ran > 0)
        fail(504, "no answer within the time limit", std::nullopt);
    else
        fail(503, "not run within the time limit", retryAfterDelay(Duration::zero()));
}

bool GatewayExchange::takeRetry()
{
    const bool isFirst = m_triedBackends.empty();
    if (isFirst || m_retryTaken || m_services.tryTakeRetry(m_admitted.service))
        return true;
    armSearchTimer(monotonicNow() + searchPause);
    return false;
}

void GatewayExchange::startAttempt(const RequestId &id, const BackendRecord &backend,
                                   BackendClient &client)
{
    const Instant now = monotonicNow();
    if (m_attempt.running) {
        if (mayBeAtEnd() && !m_silentAttempt)
            setAsideSilentAttempt();
        else
            cancelSilentAttempt();
    }
    if (m_triedBackends.empty())
        m_timeInQueue = now - m_admitted.request.receivedAt;
    m_retryTaken = false;
    m_hasErrorAnswer = false;
    m_excludedBackends.insert(backend.id);
    const bool isTriedBackend = !m_triedBackends.insert(backend.id).second;
    takeBody();
    m_attempt = {};
    m_attempt.running = true;
    m_attempt.id = id;
    m_attempt.backendId = backend.id;
    m_attempt.start = now;
    m_attempt.lastProgressAt = now;

    const Duration remaining = std::max<Duration>(m_admitted.deadline - now, 1ms);
    ForwardMetadata metadata {remaining, m_admitted.organisation, backend.id, m_lastEventId};
    const IngressRequest &request = m_admitted.request;
    BackendRequest forwarded {request.method,
                              request.target,
                              m_services.protocol().forwardHeaders(request.headers, metadata),
                              m_body,
                              remaining + 1s,
                              m_services.protocol().echoHeader(),
                              m_admitted.metadata.requestId};
    // On a connection of an earlier attempt, a copy of the answer to that one would bear the id of
    // this one.
    forwarded.ownConnection = isTriedBackend;
    m_attempt.handler = std::make_shared<ResponseHandler>(shared_from_this());
    m_attempt.call = client.start(std::move(forwarded), m_attempt.handler);
    if (m_history.retryable)
        armSearchTimer(m_attempt.lastProgressAt + silenceLimit());
}

// --- unresponsive backend servers ---

Duration GatewayExchange::silenceLimit() const
{
    const DirectRoute &route = m_admitted.route;
    const bool begun = m_attempt.firstEventAt != Instant {};
    const double factor = begun ? silenceGapFactor : silenceObjectiveFactor;
    const Duration base =
            begun && route.gapObjective > Duration::zero() ? route.gapObjective : route.objective;
    const auto limit = std::chrono::duration_cast<Duration>(base * factor);
    return std::max<Duration>(limit, minSilence);
}

void GatewayExchange::armSearchTimer(Instant at)
{
    m_searchTimerSet = true;
    m_searchTimer.expires_at(toSteadyTime(at, monotonicNow()));
    m_searchTimer.async_wait([self = shared_from_this()](auto ec) {
        if (!ec)
            self->searchTimerExpired();
    });
}

void GatewayExchange::cancelSearchTimer()
{
    m_searchTimerSet = false;
    m_searchTimer.cancel();
}

void GatewayExchange::searchTimerExpired()
{
    m_searchTimerSet = false;
    if (m_finished || m_queuedId)
        return;
    const Instant now = monotonicNow();
    if (m_attempt.running && now < m_attempt.lastProgressAt + silenceLimit()) {
        armSearchTimer(m_attempt.lastProgressAt + silenceLimit());
        return;
    }
    // Without a further attempt the current one continues, as it may still respond. Without any,
    // the request waits for its deadline.
    if (!mayRunAgain() || !hasTimeForRetry()) {
        if (!m_attempt.running)
            armSearchTimer(m_admitted.deadline);
        return;
    }
    if (!m_retryTaken && !m_services.hasRetry(m_admitted.service)) {
        armSearchTimer(now + searchPause);
        return;
    }
    if (m_attempt.running) {
        logSilence("attempt_silent", m_attempt);
        m_problem = "silent";
    }
    m_services.requeue(*this);
}

// Called when the current attempt has sent more of its response.
void GatewayExchange::recordProgress()
{
    m_attempt.lastProgressAt = monotonicNow();
    if (!m_queuedId)
        return;
    m_services.withdraw(*this);
    armSearchTimer(m_attempt.lastProgressAt + silenceLimit());
}

void GatewayExchange::logSilence(const char *event, const Attempt &attempt) const
{
    EventLog(event, EventLevel::Warning)
            .field("request", m_admitted.metadata.requestId)
            .field("backend", attempt.backendId)
            .field("silent_ms", (monotonicNow() - attempt.lastProgressAt) / 1ms);
}

void GatewayExchange::cancelSilentAttempt()
{
    logSilence("attempt_replaced", m_attempt);
    ++m_history.ran;
    m_cancelledSilent = true;
    stopAttempt(AttemptOutcome::TimedOut);
}

// Whether the current attempt may have sent all events of its stream. Another backend server has
// none then, which does not show that the stream is complete.
bool GatewayExchange::mayBeAtEnd() const
{
    return m_attempt.firstEventAt != Instant {} && !m_attempt.eventSplitter->pending();
}

void GatewayExchange::setAsideSilentAttempt()
{
    logSilence("attempt_set_aside", m_attempt);
    ++m_history.ran;
    m_silentAttempt = std::exchange(m_attempt, {});
}

bool GatewayExchange::isSilentAttempt(const ResponseHandler &handler) const
{
    return m_silentAttempt && m_silentAttempt->handler.get() == &handler;
}

void GatewayExchange::dropSilentAttempt(AttemptOutcome outcome)
{
    if (!m_silentAttempt)
        return;
    tryReserve(*m_silentAttempt, 0);
    std::swap(m_attempt, *m_silentAttempt);
    releaseAttempt(outcome);
    std::swap(m_attempt, *m_silentAttempt);
    m_silentAttempt.reset();
}

// Makes the silent attempt the current one again, and cancels the one that was to replace it.
void GatewayExchange::returnToSilentAttempt()
{
    if (m_queuedId)
        m_services.withdraw(*this);
    takeBody();
    if (m_attempt.running) {
        ++m_history.ran;
        releaseAttempt(AttemptOutcome::Abandoned);
    }
    m_attempt = std::move(*m_silentAttempt);
    m_silentAttempt.reset();
    --m_history.ran; // it counts again once it ends
    m_problem = "";
    logSilence("attempt_taken_up", m_attempt);
    if (m_history.retryable)
        waitForPlace();
}

void GatewayExchange::handleSilentBody(const std::string &data)
{
    EventSplitter &splitter = *m_silentAttempt->eventSplitter;
    const std::string completeEvents = splitter.append(data);
    if (!completeEvents.empty()) {
        returnToSilentAttempt();
        forwardEvents(completeEvents);
    } else if (splitter.malformed() || !tryReserve(*m_silentAttempt, splitter.pendingBytes())) {
        dropSilentAttempt(AttemptOutcome::Failed);
    }
}

void GatewayExchange::handleSilentFailed(BackendError error)
{
    m_silentAttempt->call = nullptr;
    if (error == BackendError::Cut) {
        std::swap(m_attempt, *m_silentAttempt);
        recordCut();
        std::swap(m_attempt, *m_silentAttempt);
    }
    dropSilentAttempt(AttemptOutcome::Broken);
}

bool GatewayExchange::hasTimeForRetry() const
{
    return monotonicNow() + minTimeForRetry < m_admitted.deadline;
}

// Whether another attempt may run after the current one.
bool GatewayExchange::mayRunAgain() const
{
    return m_history.retryable
            && m_history.ran + (m_attempt.running ? 1 : 0) < m_history.attemptLimit;
}

// Whether a request without an attempt may wait until it is queued again: one whose answer has
// begun, or whose attempt was cancelled although it might have answered and that has no answer.
bool GatewayExchange::mayResumeLater() const
{
    const bool isWorthwhile = m_history.answerStarted || (m_cancelledSilent && !m_hasErrorAnswer);
    return isWorthwhile && mayRunAgain() && hasTimeForRetry();
}

void GatewayExchange::waitForPlace()
{
    const bool isOftenRefused = m_history.refused > refusedAttemptLimit;
    armSearchTimer(monotonicNow() + (isOftenRefused ? refusedSearchPause : searchPause));
}

// --- response of an attempt ---

void GatewayExchange::handleHead(std::uint32_t status, Headers headers)
{
    recordProgress();
    m_attempt.status = status;
    m_attempt.reply = m_services.protocol().decodeReply(status, headers);
    m_attempt.responseHeaders = std::move(headers);
    m_services.replyReceived(m_attempt.id, m_attempt.backendId, m_attempt.reply);
    if (isStreamedResponse()) {
        m_attempt.eventSplitter.emplace(m_lastEventId);
        return;
    }
    if (m_attempt.reply.notRun || m_attempt.reply.misdirected)
        return;
    if (m_attempt.reply.authenticated)
        m_services.requestBegan(*this);
    if (m_history.answerStarted)
        failAttempt("stream_not_resumed"); // only further events may follow those already sent
}

bool GatewayExchange::isStreamedResponse() const
{
    const bool mayBeEvents = declaresEventStream(m_attempt.responseHeaders)
            || findHeader(m_attempt.responseHeaders, "Content-Type") == nullptr;
    return m_admitted.route.kind == RequestKind::Stream && m_attempt.status
            && *m_attempt.status < 300 && m_attempt.reply.authenticated && !m_attempt.reply.encoded
            && !m_attempt.reply.notRun && mayBeEvents;
}

void GatewayExchange::handleBody(const std::string &data)
{
    if (m_attempt.eventSplitter)
        forwardEvents(m_attempt.eventSplitter->append(data));
    else
        bufferBody(data);
}

void GatewayExchange::bufferBody(const std::string &data)
{
    if (!tryReserve(m_attempt, m_attempt.responseBody.size() + data.size())) {
        failAttempt("answer_too_large");
        return;
    }
    m_attempt.responseBody += data;
    if (m_attempt.responseBody.size() < m_attempt.bodyBytesAtProgress + progressBytes)
        return;
    m_attempt.bodyBytesAtProgress = m_attempt.responseBody.size();
    recordProgress();
}

// Returns what is buffered of the body, and its memory to the gateway's limit.
std::string GatewayExchange::takeBody()
{
    tryReserve(m_attempt, 0);
    return std::exchange(m_attempt.responseBody, std::string());
}

// Adjusts what is reserved of the gateway's limit to this size. Returns false if the limit does not
// allow it.
bool GatewayExchange::tryReserve(Attempt &attempt, std::size_t bytes)
{
    const std::size_t reserved = attempt.reservedBytes;
    if (bytes > reserved && !m_services.tryBuffer(reserved, bytes - reserved))
        return false;
    if (bytes < reserved)
        m_services.releaseBuffer(reserved - bytes);
    attempt.reservedBytes = bytes;
    return true;
}

// Ends the attempt because of what the backend server sent.
void GatewayExchange::failAttempt(const char *problem)
{
    m_problem = problem;
    m_attempt.handler->detach();
    m_attempt.call->abandon();
    // The request may wait for another attempt.
    takeBody();
    if (m_attempt.eventSplitter)
        m_attempt.eventSplitter->discardPending();
    endAttempt(AttemptEnd::MayHaveRun, AttemptOutcome::Failed);
}

void GatewayExchange::endLargeResponse()
{
    if (m_finished || incompleteBytes() == 0)
        return;
    if (m_silentAttempt && m_silentAttempt->reservedBytes >= m_attempt.reservedBytes)
        dropSilentAttempt(AttemptOutcome::Failed);
    else
        failAttempt("answer_too_large");
}

void GatewayExchange::forwardEvents(const std::string &completeEvents)
{
    if (!completeEvents.empty()) {
        if (m_silentAttempt) {
            logSilence("attempt_replaced", *m_silentAttempt);
            dropSilentAttempt(AttemptOutcome::TimedOut);
        }
        if (m_attempt.firstEventAt == Instant {}) {
            m_attempt.firstEventAt = monotonicNow();
            m_services.firstEvent(*this);
        }
        recordProgress();
        if (answerWentOn())
            m_services.answerContinued(m_admitted.prompt);
        beginResponse();
        m_lastEventId = m_attempt.eventSplitter->lastId();
        // Without ids, a repeated attempt would send the same events again.
        if (m_attempt.eventSplitter->count() > 0 && !m_lastEventId)
            m_history.retryable = false;
        m_channel->writeStreamChunk(completeEvents);
    }
    if (m_finished)
        return;
    if (m_attempt.eventSplitter->malformed())
        failAttempt("events_out_of_order");
    else if (!tryReserve(m_attempt, m_attempt.eventSplitter->pendingBytes()))
        failAttempt("answer_too_large");
}

AnswerPhase GatewayExchange::answerPhase() const
{
    if (!m_attempt.status)
        return AnswerPhase::Awaited;
    const bool hasBegun = *m_attempt.status < 300 && !m_attempt.reply.notRun && !answerWentOn();
    return hasBegun ? AnswerPhase::Begun : AnswerPhase::Later;
}

bool GatewayExchange::answerWentOn() const
{
    return m_attempt.eventSplitter ? m_attempt.eventSplitter->count() >= continuedEvents
                                   : m_attempt.responseBody.size() >= progressBytes;
}

void GatewayExchange::beginResponse()
{
    if (m_history.answerStarted)
        return;
    m_history.answerStarted = true;
    m_timeToFirstEvent = monotonicNow() - m_admitted.request.receivedAt;
    m_channel->beginStream(*m_attempt.status, responseHeaders());
}

void GatewayExchange::handleFinished()
{
    if (m_attempt.eventSplitter) {
        // Without a length, the end of the answer is only that of the connection.
        const bool hasNoEvent = m_attempt.eventSplitter->count() == 0;
        const bool hasBody = m_admitted.request.method != "HEAD" && *m_attempt.status != 204;
        if (m_attempt.eventSplitter->pending()
            || (hasNoEvent && hasBody && isCloseDelimited(m_attempt.responseHeaders))) {
            m_problem = "event_cut";
            recordCut();
            endAttempt(AttemptEnd::MayHaveRun, AttemptOutcome::Broken);
        } else if (hasNoEvent && m_history.answerStarted && m_history.ran > 0) {
            // The stream broke off before its end, and this does not show that nothing is missing.
            m_problem = "stream_not_resumed";
            endAttempt(AttemptEnd::MayHaveRun, AttemptOutcome::Failed);
        } else {
            m_services.answerCompleted(m_admitted.prompt);
            endAttempt(AttemptEnd::Success, AttemptOutcome::Answered);
        }
        return;
    }
    const AttemptEnd end = classifyAnswer(*m_attempt.status, m_attempt.reply);
    if (end == AttemptEnd::Success)
        m_services.answerCompleted(m_admitted.prompt);
    AttemptOutcome outcome = AttemptOutcome::Answered;
    if (end == AttemptEnd::NotRun) {
        m_problem = m_attempt.reply.misdirected ? "misdirected" : "backend_full";
        outcome =
                m_attempt.reply.misdirected ? AttemptOutcome::Misdirected : AttemptOutcome::NotRun;
    } else if (end != AttemptEnd::Success) {
        m_problem = end == AttemptEnd::RanAndFailed ? "backend_error" : "answer_not_authentic";
        outcome = AttemptOutcome::Failed;
    }
    endAttempt(end, outcome);
}

void GatewayExchange::handleFailed(BackendError error)
{
    m_problem = nameOf(error);
    const bool sent = mayHaveBeenSent(error);
    const bool broken = !sent || error == BackendError::Cut;
    if (error == BackendError::Cut)
        recordCut();
    m_attempt.connectionRefused = error == BackendError::Refused;
    endAttempt(sent ? AttemptEnd::MayHaveRun : AttemptEnd::NotRun,
               broken ? AttemptOutcome::Broken : AttemptOutcome::Failed);
}

// Logs what the backend server was doing when it was lost, and for which prompt.
void GatewayExchange::recordCut()
{
    m_attempt.cut = true;
    EventLog("attempt_cut", EventLevel::Warning)
            .field("request", m_admitted.metadata.requestId)
            .field("backend", m_attempt.backendId)
            .field("sent_ms", attemptAge() / 1ms)
            .field("head_received", m_attempt.status ? "yes" : "no")
            .field("events", m_attempt.eventSplitter ? m_attempt.eventSplitter->count() : 0)
            .field("event_cut",
                   m_attempt.eventSplitter && m_attempt.eventSplitter->pending() ? "yes" : "no")
            .field("shared_parts", joinedParts(m_admitted.metadata.sharedPromptParts))
            .field("last_part", m_admitted.metadata.sessionAffinityKey)
            .field("content", m_admitted.prompt.content.value_or(0))
            .field("crash", m_services.backendDigest(m_attempt.backendId))
            .field("resumed", m_lastEventId ? "yes" : "no");
}

Duration GatewayExchange::attemptAge() const
{
    return monotonicNow() - m_attempt.start;
}

AttemptReport GatewayExchange::report(AttemptOutcome outcome) const
{
    const Instant now = monotonicNow();
    AttemptReport report {outcome, now - m_attempt.start, {}, m_attempt.connectionRefused};
    if (m_attempt.eventSplitter && m_attempt.eventSplitter->count() > 2)
        report.eventInterval = (now - m_attempt.firstEventAt)
                / static_cast<std::int64_t>(m_attempt.eventSplitter->count() - 1);
    return report;
}

void GatewayExchange::endAttempt(AttemptEnd end, AttemptOutcome outcome)
{
    m_attempt.running = false;
    m_attempt.call = nullptr;
    cancelSearchTimer();
    if (end == AttemptEnd::NotRun)
        ++m_history.refused;
    else
        ++m_history.ran;
    m_hasErrorAnswer = end == AttemptEnd::RanAndFailed;
    // Only a complete answer may be delivered; the memory of another one is free for other
    // requests.
    if (end != AttemptEnd::Success && !m_hasErrorAnswer)
        takeBody();
    m_services.attemptEnded(*this, report(outcome));
    if (m_queuedId)
        m_services.withdraw(*this);
    if (m_silentAttempt && end != AttemptEnd::Success) {
        returnToSilentAttempt();
        return;
    }
    const NextSteps steps = afterAttempt(end, m_history);
    if (steps.preferred != NextStep::Retry) {
        if (steps.preferred != NextStep::Deliver && mayResumeLater())
            waitForPlace();
        else
            takeStep(steps.preferred);
        return;
    }
    const bool inTime = hasTimeForRetry();
    const bool suspect = m_attempt.cut
            && m_services.isSuspect(answerPhase() == AnswerPhase::Begun
                                            ? m_admitted.prompt
                                            : m_admitted.prompt.wholeOnly());
    // The same backend server would most likely answer with the same error.
    const bool elsewhere = end != AttemptEnd::RanAndFailed || m_services.hasOtherBackend(*this);
    const bool retry =
            inTime && !suspect && elsewhere && m_services.tryTakeRetry(m_admitted.service);
    EventLog(retry ? "attempt_repeated" : "attempt_not_repeated", EventLevel::Warning)
            .field("request", m_admitted.metadata.requestId)
            .field("backend", m_attempt.backendId)
            .field("problem", m_problem)
            .field("ran", m_history.ran)
            .field("refused", m_history.refused)
            .field("attempt_limit", m_history.attemptLimit)
            .field("reason",
                   retry                ? "allowed"
                           : suspect    ? "suspected_prompt"
                           : !elsewhere ? "no_other_backend"
                           : inTime     ? "budget"
                                        : "deadline");
    if (retry)
        takeStep(NextStep::Retry);
    else if (!suspect && mayResumeLater())
        waitForPlace();
    else
        takeStep(steps.withoutRetry);
}

void GatewayExchange::takeStep(NextStep step)
{
    switch (step) {
    case NextStep::Deliver:
        deliver();
        break;
    case NextStep::Retry:
        m_retryTaken = true;
        m_services.requeue(*this);
        break;
    case NextStep::ReportNotRun:
        fail(503, "not run", retryAfterDelay(Duration::zero()));
        break;
    case NextStep::ReportUnknown:
        fail(502, "the backend server gave no answer", std::nullopt);
        break;
    case NextStep::AbortResponse:
        abortResponse();
        break;
    }
}

void GatewayExchange::abandonAttempt()
{
    stopAttempt(AttemptOutcome::Abandoned);
}

void GatewayExchange::stopAttempt(AttemptOutcome outcome)
{
    cancelSearchTimer();
    releaseAttempt(outcome);
}

// Cancels the current attempt.
void GatewayExchange::releaseAttempt(AttemptOutcome outcome)
{
    m_attempt.running = false;
    m_attempt.handler->detach();
    if (m_attempt.call)
        m_attempt.call->abandon();
    m_attempt.call = nullptr;
    m_services.attemptEnded(*this, report(outcome));
}

// --- response to the caller ---

Headers GatewayExchange::responseHeaders() const
{
    return endToEndHeaders(m_attempt.responseHeaders);
}

void GatewayExchange::deliver()
{
    if (m_attempt.eventSplitter) {
        beginResponse();
        m_channel->endStream();
    } else {
        m_channel->respond(*m_attempt.status, responseHeaders(), takeBody());
    }
    finish(*m_attempt.status);
}

Duration GatewayExchange::retryAfterDelay(Duration expected) const
{
    const Duration remaining = std::max<Duration>(m_admitted.deadline - monotonicNow(), 0ms);
    return retryAfterTime(expected, remaining, m_admitted.metadata.requestId);
}

void GatewayExchange::fail(std::uint32_t status, const char *reason,
                           std::optional<Duration> retryAfter)
{
    Headers headers {{"Content-Type", "text/plain"}};
    if (retryAfter)
        headers.emplace_back("Retry-After", secondsText(*retryAfter));
    m_channel->respond(status, std::move(headers), std::string(reason) + "\n");
    finish(status);
}

void GatewayExchange::abortResponse()
{
    m_channel->abort();
    finish(0);
}

void GatewayExchange::handleRefusal(const RefuseAction &refusal)
{
    if (m_attempt.running || mayResumeLater()) {
        // Servers that refused the request before may have a place by now.
        m_excludedBackends.clear();
        if (m_attempt.running)
            m_excludedBackends.insert(m_attempt.backendId);
        armSearchTimer(monotonicNow() + searchPause);
        return;
    }
    m_problem = nameOf(refusal.reason);
    for (const auto &[reason, count] : refusal.causes)
        m_unavailable += std::string(m_unavailable.empty() ? "" : ",") + nameOf(reason) + ":"
                + std::to_string(count);
    if (m_history.answerStarted)
        abortResponse();
    else if (m_hasErrorAnswer)
        deliver();
    else if (m_history.ran > 0)
        fail(502, "the backend server gave no answer", std::nullopt);
    else
        fail(503, "no backend server is free", retryAfterDelay(refusal.retryAfter));
}

void GatewayExchange::handleMissingBackend(const std::string &backend)
{
    m_missingBackends.insert(backend);
    m_services.requeue(*this);
}

OpenRequest GatewayExchange::openRequest() const
{
    return {m_admitted.id, m_queuedId,
            m_attempt.running ? std::optional(m_attempt.id) : std::nullopt, m_searchTimerSet,
            m_silentAttempt ? std::optional(m_silentAttempt->id) : std::nullopt};
}

void GatewayExchange::recover(RequestState state)
{
    // The connection of a running attempt ends it.
    if (m_finished || state == RequestState::NotStarted)
        return;
    m_queuedId.reset();
    if (m_attempt.running)
        armSearchTimer(monotonicNow() + searchPause);
    else if (m_history.ran == 0 && hasTimeForRetry())
        m_services.requeue(*this);
    else
        handleRefusal({m_admitted.id, RefusalReason::NoBackend, {}, 0});
}

void GatewayExchange::callerDisconnected()
{
    if (m_finished)
        return;
    m_problem = "caller_left";
    if (m_attempt.running)
        abandonAttempt();
    finish(0);
}

void GatewayExchange::endQuarantined(Duration untilTrial)
{
    if (m_finished)
        return;
    m_problem = "prompt_quarantined";
    if (m_attempt.running) {
        ++m_history.ran;
        abandonAttempt();
    }
    if (m_history.answerStarted)
        abortResponse();
    else if (m_history.ran > 0)
        fail(502, promptCrashesMessage, std::nullopt);
    else
        fail(503, promptCrashesMessage, untilTrial);
}

void GatewayExchange::shutDown()
{
    if (m_finished)
        return;
    m_problem = "shutdown";
    if (m_attempt.running) {
        ++m_history.ran;
        abandonAttempt();
    }
    if (m_history.answerStarted)
        abortResponse();
    else if (m_hasErrorAnswer)
        deliver();
    else if (m_history.ran > 0)
        fail(502, "shutting down", std::nullopt);
    else
        fail(503, "shutting down", shutdownRetryAfter);
}

void GatewayExchange::finish(std::uint32_t status)
{
    m_finished = true;
    if (m_queuedId)
        m_services.withdraw(*this);
    takeBody();
    dropSilentAttempt(AttemptOutcome::Abandoned);
    m_deadlineTimer.cancel();
    cancelSearchTimer();
    if (m_attempt.handler)
        m_attempt.handler->detach(); // breaks the reference cycle with the handler
    m_services.exchangeEnded(*this, status);
}

} // namespace cornelshed::detail
