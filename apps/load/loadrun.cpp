// Runs the open loop on a single-threaded io_context with one coroutine per request.

#include "loadrun.h"

#include "replycheck.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <atomic>

namespace cornelshed::load {

namespace asio = boost::asio;
namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using standins::HttpClientRequest;
using standins::HttpClientResponse;
using standins::HttpTransportResult;

namespace {

constexpr std::size_t bytesPerToken = 4; // how the engine stand-in counts the tokens of a prompt

// Bounds each sleep of the sending loop, so that stopSending() takes effect quickly.
constexpr std::chrono::milliseconds maximumSleep {20};

double millisecondsBetween(Clock::time_point begin, Clock::time_point end)
{
    return std::chrono::duration<double, std::milli>(end - begin).count();
}

// The first half depends only on the shared prefix, so that engines can reuse their prefix cache;
// the marker in the second half identifies the request in ledgers and answers.
std::string promptText(const PlannedRequest &request, const std::string &marker)
{
    const std::size_t size = std::size_t(request.promptTokens) * bytesPerToken;
    const std::string pattern = "shared prefix " + std::to_string(request.sharedPrefixId) + ' ';
    std::string text;
    while (text.size() < size / 2)
        text += pattern;
    text += "[marker:" + marker + "] ";
    while (text.size() < size)
        text += marker + ' ';
    return text;
}

std::string requestBody(const PlannedRequest &request, const std::string &marker,
                        const std::string &model)
{
    const std::string prompt = promptText(request, marker);
    if (request.kind == RequestKind::Order)
        return json::serialize(json::object {{"order", prompt}});
    json::object body {{"model", model},
                       {"max_tokens", request.outputTokens},
                       {"stream", request.kind == RequestKind::Streaming}};
    if (request.path == "/v1/chat/completions") {
        json::array messages;
        messages.push_back({{"role", "user"}, {"content", prompt}});
        body["messages"] = std::move(messages);
    } else {
        body["prompt"] = prompt;
    }
    return json::serialize(body);
}

} // namespace

class LoadRun::Private
{
public:
    Private(Day day, LoadOptions options)
        : m_day(std::move(day)), m_options(std::move(options)), m_context(1)
    { }

    asio::awaitable<void> sendAll();
    asio::awaitable<void> sendRequest(std::size_t number);

    Day m_day;
    LoadOptions m_options;
    asio::io_context m_context;
    std::vector<RequestRecord> m_records; // in the order in which the requests ended
    std::atomic<bool> m_stopping {false};
    std::atomic<std::uint64_t> m_ended {0};
    std::atomic<std::uint64_t> m_answered {0};

private:
    asio::awaitable<HttpClientResponse> sendAttempt(HttpClientRequest call, std::size_t firstEntry,
                                                    std::chrono::milliseconds timeout);
    asio::awaitable<void> sleepFor(std::chrono::milliseconds length);
    HttpClientRequest makeCall(const PlannedRequest &request, const RequestRecord &record) const;
    void finishRequest(std::size_t number, RequestRecord record);

    std::uint32_t m_openCount = 0; // requests started and not ended
};

asio::awaitable<void> LoadRun::Private::sleepFor(std::chrono::milliseconds length)
{
    asio::steady_timer timer(m_context, length);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> LoadRun::Private::sendAll()
{
    const Clock::time_point start = Clock::now();
    m_records.reserve(m_day.size());
    for (std::size_t n = 0; n < m_day.size(); ++n) {
        const double offset = static_cast<double>(m_day[n].offset.count()) / m_options.compression;
        const Clock::time_point due =
                start + std::chrono::microseconds(static_cast<std::int64_t>(offset * 1000));
        while (!m_stopping && Clock::now() < due) {
            asio::steady_timer timer(m_context, std::min(due, Clock::now() + maximumSleep));
            co_await timer.async_wait(asio::use_awaitable);
        }
        if (m_stopping)
            co_return;
        asio::co_spawn(m_context, sendRequest(n), [](const std::exception_ptr &error) {
            if (error)
                std::rethrow_exception(error);
        });
    }
}

HttpClientRequest LoadRun::Private::makeCall(const PlannedRequest &request,
                                             const RequestRecord &record) const
{
    HttpClientRequest call {"POST", request.path, {}, ""};
    call.headers = {{"Content-Type", "application/json"},
                    {"Cornelshed-Organisation", request.organisation},
                    {"Cornelshed-Deadline-Ms", std::to_string(request.deadlineMs)}};
    if (!record.idempotencyKey.empty())
        call.headers.emplace_back("Idempotency-Key", record.idempotencyKey);
    call.body = requestBody(request, record.marker, m_options.model);
    return call;
}

// Tries the next available entry daemon when the connection fails, which is safe because nothing
// has been sent then.
asio::awaitable<HttpClientResponse> LoadRun::Private::sendAttempt(HttpClientRequest call,
                                                                  std::size_t firstEntry,
                                                                  std::chrono::milliseconds timeout)
{
    HttpClientResponse reply;
    reply.endTime = Clock::now();
    for (std::size_t i = 0; i < m_options.entries.size(); ++i) {
        const std::size_t number = (firstEntry + i) % m_options.entries.size();
        const auto entry = m_options.entries[number];
        if (m_options.isEntryAvailable && !m_options.isEntryAvailable(number))
            continue;
        reply = co_await standins::sendHttpRequest(entry, call, timeout);
        if (reply.transport != HttpTransportResult::ConnectFailed)
            break;
    }
    co_return reply;
}

asio::awaitable<void> LoadRun::Private::sendRequest(std::size_t number)
{
    const PlannedRequest &request = m_day[number];
    RequestRecord record;
    record.tier = request.tier;
    record.stream = request.kind == RequestKind::Streaming;
    record.marker = m_options.markerPrefix + '-' + std::to_string(number);
    if (request.kind == RequestKind::Order)
        record.idempotencyKey = "order-" + record.marker;
    if (m_openCount >= m_options.openRequestLimit) {
        record.outcome = Outcome::Unsent;
        finishRequest(number, std::move(record));
        co_return;
    }
    m_openCount += 1;
    const HttpClientRequest call = makeCall(request, record);
    const Clock::time_point start = Clock::now();
    const auto timeout = std::chrono::milliseconds(request.deadlineMs) + m_options.replyGracePeriod;
    // Only orders, which carry an idempotency key, are sent again.
    const std::uint32_t attemptCount =
            request.kind == RequestKind::Order ? m_options.orderAttemptCount : 1;
    record.reportedNotRun = true; // until a reply leaves open whether the request ran
    for (std::uint32_t n = 0; n < attemptCount; ++n) {
        const HttpClientResponse reply = co_await sendAttempt(call, number + n, timeout);
        const ReplyClassification classification =
                classifyReply(request, record.marker, record.idempotencyKey, reply);
        record.outcome = classification.outcome;
        record.code = classification.code;
        record.reportedNotRun &= classification.outcome == Outcome::NotRun
                || classification.outcome == Outcome::Unsent;
        record.totalMs = millisecondsBetween(start, reply.endTime);
        record.firstByteMs = millisecondsBetween(start, reply.firstByteTime);
        if (classification.outcome != Outcome::Broken && classification.outcome != Outcome::Unsent)
            break;
        co_await sleepFor(m_options.orderRetryDelay * (1U << n));
    }
    if (record.outcome == Outcome::InTime && record.totalMs > request.deadlineMs)
        record.outcome = Outcome::Late;
    m_openCount -= 1;
    finishRequest(number, std::move(record));
}

void LoadRun::Private::finishRequest(std::size_t number, RequestRecord record)
{
    if (record.outcome == Outcome::InTime || record.outcome == Outcome::Late)
        m_answered += 1;
    m_records.push_back(std::move(record));
    m_ended += 1;
}

LoadRun::LoadRun(Day day, LoadOptions options)
    : d(std::make_unique<Private>(std::move(day), std::move(options)))
{ }

LoadRun::~LoadRun() = default;

std::vector<RequestRecord> LoadRun::run()
{
    asio::co_spawn(d->m_context, d->sendAll(), asio::detached);
    d->m_context.run();
    return std::move(d->m_records);
}

void LoadRun::stopSending()
{
    d->m_stopping = true;
}

std::uint64_t LoadRun::endedCount() const
{
    return d->m_ended;
}

std::uint64_t LoadRun::answeredCount() const
{
    return d->m_answered;
}

} // namespace cornelshed::load
