// Attempts and answers of one request.

#include "gatewayexchange.h"

#include "eventlog.h"
#include "httpheaders.h"
#include "monotonicclock.h"
#include "returntime.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace cornelshed::detail {

namespace {

using namespace std::chrono_literals;

// A request with less time left is not offered: it could not be answered in time.
constexpr Duration leastUsefulTime = 20ms;
// A repeatable request is taken from a silent backend server after this multiple of its objective,
// and at the earliest after leastSilence.
constexpr double silenceObjectives = 1.25;
constexpr Duration leastSilence = 400ms;
// A stream that goes silent is resumed elsewhere after this multiple of its gap objective; callers
// give up at eight.
constexpr double silenceGaps = 4;
// Callers return to another gateway at once when this one shuts down.
constexpr Duration leastRetryAfter = 50ms;

std::string secondsText(Duration duration)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.3f",
                  std::chrono::duration<double>(duration).count());
    return text.data();
}

const char *nameOf(BackendError error)
{
    switch (error) {
    case BackendError::NotSent:
        return "no_connection";
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

} // namespace

// Passes an attempt's answer to the exchange as long as the attempt is the present one.
class GatewayExchange::Answer final : public BackendAnswer
{
public:
    explicit Answer(std::shared_ptr<GatewayExchange> exchange) : m_exchange(std::move(exchange)) { }

    void detach() { m_exchange = nullptr; }

    void head(std::uint32_t status, Headers headers) override
    {
        if (const auto exchange = m_exchange)
            exchange->handleHead(status, std::move(headers));
    }
    void body(std::string data) override
    {
        if (const auto exchange = m_exchange)
            exchange->handleBody(data);
    }
    void finished() override
    {
        if (const auto exchange = m_exchange)
            exchange->handleFinished();
    }
    void failed(BackendError error) override
    {
        if (const auto exchange = m_exchange)
            exchange->handleFailed(error);
    }

private:
    std::shared_ptr<GatewayExchange> m_exchange; // null once the attempt is over
};

GatewayExchange::GatewayExchange(ExchangeServices &services, AdmittedRequest admitted,
                                 std::shared_ptr<CallerChannel> channel)
    : m_services(services), m_admitted(std::move(admitted)), m_channel(std::move(channel)),
      m_deadlineTimer(services.context()), m_silenceTimer(services.context()),
      m_lastEvent(m_admitted.facts.resumeAfter)
{
    m_history.repeatable = m_admitted.route.repeatable();
    m_history.attemptLimit = m_admitted.route.attemptLimit;
}

GatewayExchange::~GatewayExchange() = default;

void GatewayExchange::start()
{
    const Instant now = monotonicNow();
    m_deadlineTimer.expires_at(toSteadyTime(m_admitted.deadline, now));
    m_deadlineTimer.async_wait([self = shared_from_this()](auto ec) {
        if (!ec)
            self->deadlinePassed();
    });
}

void GatewayExchange::deadlinePassed()
{
    if (m_over)
        return;
    m_problem = "deadline";
    if (m_running) {
        ++m_history.ran;
        abandonAttempt();
    }
    if (m_history.answerBegun)
        breakOff();
    else if (m_history.ran > 0)
        fail(504, "no answer within the time limit", std::nullopt);
    else
        fail(503, "not run within the time limit", returnAfter(Duration::zero()));
}

void GatewayExchange::startAttempt(const BackendRecord &backend, BackendClient &client)
{
    const Instant now = monotonicNow();
    if (m_tried.empty())
        m_queueTime = now - m_admitted.request.receivedAt;
    m_running = true;
    m_backend = backend.id;
    m_tried.insert(backend.id);
    m_attemptStart = now;
    m_lastProgress = now;
    m_status.reset();
    m_answerHeaders.clear();
    m_reply = {};
    m_body.clear();
    m_events.reset();
    m_firstEventAt = {};

    const Duration remaining = std::max<Duration>(m_admitted.deadline - now, 1ms);
    ForwardFacts facts {remaining, m_admitted.organisation, backend.id, m_lastEvent};
    const IngressRequest &request = m_admitted.request;
    BackendRequest forwarded {request.method,
                              request.target,
                              m_services.protocol().forwardHeaders(request.headers, facts),
                              request.body,
                              remaining + 1s,
                              m_services.protocol().echoHeader(),
                              m_admitted.facts.requestId};
    m_answer = std::make_shared<Answer>(shared_from_this());
    m_call = client.start(std::move(forwarded), m_answer);
    if (m_history.repeatable)
        watchSilence();
}

// --- silence of a backend server ---

Duration GatewayExchange::silenceLimit() const
{
    const DirectRoute &route = m_admitted.route;
    const bool begun = m_firstEventAt != Instant {};
    const double factor = begun ? silenceGaps : silenceObjectives;
    const Duration base =
            begun && route.gapObjective > Duration::zero() ? route.gapObjective : route.objective;
    const auto limit = std::chrono::duration_cast<Duration>(base * factor);
    return std::max<Duration>(limit, leastSilence);
}

void GatewayExchange::watchSilence()
{
    m_silenceTimer.expires_at(toSteadyTime(m_lastProgress + silenceLimit(), monotonicNow()));
    m_silenceTimer.async_wait([self = shared_from_this()](auto ec) {
        if (!ec)
            self->silenceChecked();
    });
}

void GatewayExchange::silenceChecked()
{
    if (m_over || !m_running)
        return;
    if (monotonicNow() < m_lastProgress + silenceLimit()) {
        watchSilence();
        return;
    }
    // Only worth it if a further attempt is allowed; the present one may still answer.
    const bool mayRepeat =
            m_history.ran + 1 < m_history.attemptLimit && m_services.tryRepeat(m_admitted.service);
    if (!mayRepeat)
        return;
    EventLog("attempt_silent", EventLevel::Warning)
            .field("request", m_admitted.facts.requestId)
            .field("backend", m_backend)
            .field("silent_ms", (monotonicNow() - m_lastProgress) / 1ms);
    m_problem = "silent";
    ++m_history.ran;
    m_running = false;
    m_answer->detach();
    m_call->abandon();
    m_call = nullptr;
    m_services.attemptEnded(m_admitted.id, report(AttemptOutcome::Silent));
    m_services.offerAgain(*this);
}

// --- the answer of an attempt ---

void GatewayExchange::handleHead(std::uint32_t status, Headers headers)
{
    m_lastProgress = monotonicNow();
    m_status = status;
    m_reply = m_services.protocol().decodeReply(status, headers);
    m_answerHeaders = std::move(headers);
    if (streamsAnswer())
        m_events.emplace(m_lastEvent);
}

bool GatewayExchange::streamsAnswer() const
{
    return m_admitted.route.kind == RequestKind::Stream && m_status && *m_status < 300
            && m_reply.authenticated && !m_reply.encoded && !m_reply.notRun;
}

void GatewayExchange::handleBody(const std::string &data)
{
    m_lastProgress = monotonicNow();
    if (m_events)
        passEvents(data);
    else
        m_body += data;
}

void GatewayExchange::passEvents(std::string_view data)
{
    const std::string whole = m_events->append(data);
    if (!whole.empty()) {
        if (m_firstEventAt == Instant {}) {
            m_firstEventAt = m_lastProgress;
            m_services.firstEvent(m_admitted.id);
        }
        beginAnswer();
        m_lastEvent = m_events->lastId();
        m_channel->streamPart(whole);
    }
    if (m_over || !m_events->malformed())
        return;
    m_problem = "events_out_of_order";
    m_answer->detach();
    m_call->abandon();
    endAttempt(AttemptEnd::MayHaveRun, AttemptOutcome::Failed);
}

void GatewayExchange::beginAnswer()
{
    if (m_history.answerBegun)
        return;
    m_history.answerBegun = true;
    m_firstEventTime = monotonicNow() - m_admitted.request.receivedAt;
    m_channel->beginStream(*m_status, answerHeaders());
}

void GatewayExchange::handleFinished()
{
    if (m_events) {
        if (m_events->pending()) {
            m_problem = "event_cut";
            endAttempt(AttemptEnd::MayHaveRun, AttemptOutcome::Failed);
        } else {
            endAttempt(AttemptEnd::Success, AttemptOutcome::Answered);
        }
        return;
    }
    const AttemptEnd end = classifyAnswer(*m_status, m_reply);
    AttemptOutcome outcome = AttemptOutcome::Answered;
    if (end == AttemptEnd::NotRun) {
        m_problem = m_reply.misdirected ? "misdirected" : "backend_full";
        outcome = m_reply.misdirected ? AttemptOutcome::Misdirected : AttemptOutcome::NotRun;
    } else if (end != AttemptEnd::Success) {
        m_problem = end == AttemptEnd::RanAndFailed ? "backend_error" : "answer_not_authentic";
        outcome = AttemptOutcome::Failed;
    }
    endAttempt(end, outcome);
}

void GatewayExchange::handleFailed(BackendError error)
{
    m_problem = nameOf(error);
    const bool sent = error != BackendError::NotSent;
    const bool broken = error == BackendError::NotSent || error == BackendError::Cut;
    endAttempt(sent ? AttemptEnd::MayHaveRun : AttemptEnd::NotRun,
               broken ? AttemptOutcome::Broken : AttemptOutcome::Failed);
}

Duration GatewayExchange::attemptAge() const
{
    return monotonicNow() - m_attemptStart;
}

AttemptReport GatewayExchange::report(AttemptOutcome outcome) const
{
    const Instant now = monotonicNow();
    AttemptReport report {outcome, now - m_attemptStart, {}};
    if (m_events && m_events->count() > 2)
        report.eventInterval =
                (now - m_firstEventAt) / static_cast<std::int64_t>(m_events->count() - 1);
    return report;
}

void GatewayExchange::endAttempt(AttemptEnd end, AttemptOutcome outcome)
{
    m_running = false;
    m_call = nullptr;
    m_silenceTimer.cancel();
    if (end == AttemptEnd::NotRun)
        ++m_history.refused;
    else
        ++m_history.ran;
    m_services.attemptEnded(m_admitted.id, report(outcome));
    const NextSteps steps = afterAttempt(end, m_history);
    if (steps.preferred != NextStep::OfferAgain) {
        takeStep(steps.preferred);
        return;
    }
    const bool inTime = monotonicNow() + leastUsefulTime < m_admitted.deadline;
    const bool again = inTime && m_services.tryRepeat(m_admitted.service);
    EventLog(again ? "attempt_repeated" : "attempt_not_repeated", EventLevel::Warning)
            .field("request", m_admitted.facts.requestId)
            .field("backend", m_backend)
            .field("problem", m_problem)
            .field("ran", m_history.ran)
            .field("refused", m_history.refused)
            .field("attempt_limit", m_history.attemptLimit)
            .field("reason", again ? "allowed" : (inTime ? "budget" : "deadline"));
    takeStep(again ? NextStep::OfferAgain : steps.otherwise);
}

void GatewayExchange::takeStep(NextStep step)
{
    switch (step) {
    case NextStep::Deliver:
        deliver();
        break;
    case NextStep::OfferAgain:
        m_services.offerAgain(*this);
        break;
    case NextStep::ReportNotRun:
        fail(503, "not run", returnAfter(Duration::zero()));
        break;
    case NextStep::ReportUnknown:
        fail(502, "the backend server gave no answer", std::nullopt);
        break;
    case NextStep::BreakOff:
        breakOff();
        break;
    }
}

void GatewayExchange::abandonAttempt()
{
    m_running = false;
    m_silenceTimer.cancel();
    m_answer->detach();
    m_call->abandon();
    m_call = nullptr;
    m_services.attemptEnded(m_admitted.id, report(AttemptOutcome::Abandoned));
}

// --- the caller's answer ---

Headers GatewayExchange::answerHeaders() const
{
    return endToEndHeaders(m_answerHeaders);
}

void GatewayExchange::deliver()
{
    if (m_events) {
        beginAnswer();
        m_channel->endStream();
    } else {
        m_channel->respond(*m_status, answerHeaders(), std::move(m_body));
    }
    finish(*m_status);
}

Duration GatewayExchange::returnAfter(Duration expected) const
{
    const Duration remaining = std::max<Duration>(m_admitted.deadline - monotonicNow(), 0ms);
    return returnTime(expected, remaining, m_admitted.facts.requestId);
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

void GatewayExchange::breakOff()
{
    m_channel->abort();
    finish(0);
}

void GatewayExchange::refused(const RefuseAction &refusal)
{
    m_problem =
            refusal.reason == RefusalReason::QueueTooLong ? "queue_too_long" : "waited_too_long";
    if (m_history.answerBegun)
        breakOff();
    else if (m_history.ran > 0)
        fail(502, "the backend server gave no answer", std::nullopt);
    else
        fail(503, "no backend server is free", returnAfter(refusal.retryAfter));
}

void GatewayExchange::callerLeft()
{
    if (m_over)
        return;
    m_problem = "caller_left";
    if (m_running)
        abandonAttempt();
    finish(0);
}

void GatewayExchange::shutDown()
{
    if (m_over)
        return;
    m_problem = "shutdown";
    if (m_running) {
        ++m_history.ran;
        abandonAttempt();
    }
    if (m_history.answerBegun)
        breakOff();
    else if (m_history.ran > 0)
        fail(502, "shutting down", std::nullopt);
    else
        fail(503, "shutting down", leastRetryAfter);
}

void GatewayExchange::finish(std::uint32_t status)
{
    m_over = true;
    m_deadlineTimer.cancel();
    m_silenceTimer.cancel();
    if (m_answer)
        m_answer->detach(); // they refer to each other
    m_services.exchangeEnded(*this, status);
}

} // namespace cornelshed::detail
