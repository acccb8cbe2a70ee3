// Engine stand-in: the loop that runs the steps of the batching model, the completions in progress,
// and the HTTP routes.

#include "engineserver.h"

#include "cacheeventlog.h"
#include "completionformat.h"
#include "laggedvalue.h"
#include "prefixcache.h"
#include "runledger.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <map>

namespace cornelshed::standins {

namespace asio = boost::asio;
namespace json = boost::json;
using Clock = std::chrono::steady_clock;

namespace {

// Waits shorter than this are skipped, because setting a timer would take longer than the wait.
constexpr std::chrono::microseconds minTimerWait {200};

// Completion in progress. The coroutine that sends the response waits on a timer that never
// expires; cancelling the timer wakes it.
struct Job
{
    Job(asio::io_context &context, CompletionRequest completion)
        : request(std::move(completion)), wakeTimer(context, Clock::time_point::max())
    { }

    CompletionRequest request;
    CompletionUsage usage;
    std::vector<std::uint64_t> hashes; // of the prompt blocks
    std::uint64_t number = 0;
    std::uint64_t produced = 0; // position after the last token produced; starts at resumeAfter
    bool finished = false;
    bool cancelled = false;
    bool crashed = false; // cancelled, and the connection is to be aborted
    asio::steady_timer wakeTimer;
};

struct LoadSnapshot
{
    std::uint64_t running = 0;
    std::uint64_t outstandingTokens = 0;
};

using JobPointer = std::shared_ptr<Job>;

} // namespace

class EngineServer::Private
{
public:
    Private(asio::io_context &context, EngineOptions options)
        : m_context(context), m_options(std::move(options)), m_model(m_options.rates),
          m_faults(m_options.faultLimits), m_load({}, m_options.loadLag),
          m_cacheEvents(m_options.seed, m_options.cacheEventLossShare, m_options.cacheEventLag),
          m_cache(m_options.cacheBlockCount,
                  [this](bool stored, std::uint64_t hash) {
                      m_cacheEvents.add(Clock::now(), stored, hash);
                  }),
          m_ledger(m_options.ledgerFile), m_modelVersion(m_options.version),
          m_stepLoopTimer(context, Clock::time_point::max())
    {
        if (m_options.startsCold)
            m_faults.turnCold();
    }

    asio::awaitable<void> runStepLoop();
    asio::awaitable<void> handle(const HttpRequest &httpRequest, HttpResponseWriter &response);

private:
    asio::awaitable<void> handleCompletion(const HttpRequest &httpRequest,
                                           HttpResponseWriter &response);
    asio::awaitable<void> handleControl(const HttpRequest &httpRequest,
                                        HttpResponseWriter &response);
    // Both return whether the complete response was sent.
    asio::awaitable<bool> sendCompleteResponse(JobPointer job, HttpResponseWriter &response);
    asio::awaitable<bool> sendStream(JobPointer job, HttpResponseWriter &response);
    // Waits for the token at the position, or for the end of the job.
    asio::awaitable<void> waitForTokens(JobPointer job, std::uint64_t position);
    JobPointer admit(CompletionRequest request);
    void applyStep(const BatchStep &step);
    void cancel(const JobPointer &job);
    std::size_t cancelMatching(const std::string &requestId);
    std::size_t cancelAll();
    void recordLoad();
    // Returns false if the command is refused because of an old fencing number.
    bool loadModelVersion(const json::object &body);
    // Discards the prefix cache and makes the engine cold.
    void turnCold();
    // Breaks off all requests, as if the engine had ended and started again.
    void crash();
    std::string loadReport();

    asio::io_context &m_context;
    EngineOptions m_options;
    BatchModel m_model;
    EngineFaultState m_faults;
    LaggedValue<LoadSnapshot> m_load;
    CacheEventLog m_cacheEvents;
    PrefixCache m_cache;
    RunLedger m_ledger;
    std::string m_modelVersion;
    std::uint64_t m_highestFencingNumber = 0;
    std::map<std::uint64_t, JobPointer> m_jobs; // in progress, by number in m_model
    asio::steady_timer m_stepLoopTimer; // never expires; cancelled to wake the idle step loop
};

asio::awaitable<void> EngineServer::Private::runStepLoop()
{
    Clock::time_point stepEndTime = Clock::now();
    boost::system::error_code ec;
    for (;;) {
        if (m_model.runningCount() == 0) {
            m_stepLoopTimer.expires_at(Clock::time_point::max());
            co_await m_stepLoopTimer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            stepEndTime = Clock::now();
            continue;
        }
        const BatchStep step = m_model.step(m_faults.slowdown(m_model.runningCount()));
        stepEndTime += step.duration;
        if (stepEndTime - Clock::now() > minTimerWait) {
            asio::steady_timer timer(m_context, stepEndTime);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        } else {
            co_await asio::post(m_context, asio::use_awaitable);
        }
        applyStep(step);
    }
}

void EngineServer::Private::applyStep(const BatchStep &step)
{
    for (const std::uint64_t it : step.decoded) {
        const auto found = m_jobs.find(it);
        if (found == m_jobs.end())
            continue;
        Job &job = *found->second;
        if (job.usage.completionTokens == 0 && m_faults.crashesOn(job.request.prompt)) {
            crash();
            return;
        }
        if (job.usage.completionTokens == 0)
            m_cache.store(job.hashes);
        job.produced += 1;
        job.usage.completionTokens += 1;
        job.wakeTimer.cancel();
    }
    for (const std::uint64_t it : step.finished) {
        const auto found = m_jobs.find(it);
        if (found == m_jobs.end())
            continue;
        found->second->finished = true;
        m_jobs.erase(found);
        m_faults.requestCompleted();
    }
    recordLoad();
}

JobPointer EngineServer::Private::admit(CompletionRequest request)
{
    auto job = std::make_shared<Job>(m_context, std::move(request));
    const CompletionRequest &completion = job->request;
    job->hashes = blockHashes(completion.prompt);
    job->usage.promptTokens = countTokens(completion.prompt);
    job->usage.cachedTokens = m_cache.cachedTokens(job->hashes);
    job->produced = completion.resumeAfter;
    // At least one prompt token is always prefilled, because the first output token is computed
    // from the last prompt token.
    const std::uint64_t uncached = job->usage.promptTokens - job->usage.cachedTokens;
    job->number = m_model.admit(std::max<std::uint64_t>(uncached, 1),
                                completion.maximumTokens - completion.resumeAfter);
    m_jobs[job->number] = job;
    recordLoad();
    m_stepLoopTimer.cancel();
    return job;
}

asio::awaitable<void> EngineServer::Private::handleCompletion(const HttpRequest &httpRequest,
                                                              HttpResponseWriter &response)
{
    CompletionRequest request = parseCompletionRequest(httpRequest);
    const LedgerKey key {"", request.requestId, request.marker};
    if (request.maximumTokens == 0 || request.resumeAfter >= request.maximumTokens) {
        co_await response.send(400, R"({"error":"max_tokens out of range"})");
        co_return;
    }
    if (request.resume && !m_ledger.contains(key)) {
        co_await response.send(404, R"({"error":"unknown request"})");
        co_return;
    }
    LedgerCounts &counts = request.resume ? m_ledger.entry(key) : m_ledger.recordStart(key);
    counts.resumed += request.resume ? 1 : 0;
    if (m_faults.arrivalFails(httpRequest.path, m_model.runningCount())) {
        counts.failed += 1;
        co_await response.send(500, R"({"error":"engine failure"})");
        co_return;
    }
    const JobPointer job = admit(std::move(request));
    bool sent = false;
    if (job->request.stream)
        sent = co_await sendStream(job, response);
    else
        sent = co_await sendCompleteResponse(job, response);
    (sent ? counts.finished : counts.cancelled) += 1;
}

asio::awaitable<void> EngineServer::Private::waitForTokens(JobPointer job, std::uint64_t position)
{
    boost::system::error_code ec;
    while (!job->finished && !job->cancelled && job->produced == position)
        co_await job->wakeTimer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<bool> EngineServer::Private::sendCompleteResponse(JobPointer job,
                                                                  HttpResponseWriter &response)
{
    while (!job->finished && !job->cancelled)
        co_await waitForTokens(job, job->produced);
    if (job->crashed) {
        response.abort();
        co_return false;
    }
    if (job->cancelled) {
        co_await response.send(499, R"({"error":"cancelled"})");
        co_return false;
    }
    co_return co_await response.send(200, formatCompleteResponse(job->request, job->usage));
}

asio::awaitable<bool> EngineServer::Private::sendStream(JobPointer job,
                                                        HttpResponseWriter &response)
{
    std::uint64_t position = job->produced;
    bool open = co_await response.beginStream();
    while (open && !job->cancelled) {
        co_await waitForTokens(job, position);
        std::string events;
        while (position < job->produced)
            events += formatTokenEvent(job->request, position++);
        if (!events.empty())
            open = co_await response.sendChunk(std::move(events));
        if (job->finished && position == job->produced)
            break;
    }
    if (!open || job->cancelled) {
        cancel(job);
        response.abort();
        co_return false;
    }
    open = co_await response.sendChunk(formatStreamEnd(job->request, job->usage));
    if (open)
        open = co_await response.endStream();
    co_return open;
}

void EngineServer::Private::cancel(const JobPointer &job)
{
    m_model.cancel(job->number);
    m_jobs.erase(job->number);
    job->cancelled = !job->finished;
    job->wakeTimer.cancel();
    recordLoad();
}

std::size_t EngineServer::Private::cancelMatching(const std::string &requestId)
{
    std::vector<JobPointer> found;
    for (const auto &[number, job] : m_jobs) {
        if (job->request.requestId == requestId)
            found.push_back(job);
    }
    for (const JobPointer &it : found)
        cancel(it);
    return found.size();
}

std::size_t EngineServer::Private::cancelAll()
{
    const std::size_t count = m_jobs.size();
    while (!m_jobs.empty()) {
        const JobPointer job = m_jobs.begin()->second;
        cancel(job);
    }
    return count;
}

void EngineServer::Private::recordLoad()
{
    m_load.set(Clock::now(), {m_model.runningCount(), m_model.outstandingTokens()});
}

std::string EngineServer::Private::loadReport()
{
    const LoadSnapshot snapshot = m_load.visible(Clock::now());
    return json::serialize(json::object {{"running", snapshot.running},
                                         {"outstanding_tokens", snapshot.outstandingTokens},
                                         {"age_ms", m_options.loadLag.count()}});
}

bool EngineServer::Private::loadModelVersion(const json::object &body)
{
    const auto fencing = json::value_to<std::uint64_t>(body.at("fencing"));
    if (m_options.checksFencing && fencing < m_highestFencingNumber)
        return false;
    m_highestFencingNumber = std::max(m_highestFencingNumber, fencing);
    m_modelVersion = json::value_to<std::string>(body.at("version"));
    turnCold();
    return true;
}

void EngineServer::Private::turnCold()
{
    m_cache.clear();
    m_faults.turnCold();
}

void EngineServer::Private::crash()
{
    for (const auto &[number, job] : m_jobs)
        job->crashed = true;
    cancelAll();
    turnCold();
}

asio::awaitable<void> EngineServer::Private::handleControl(const HttpRequest &httpRequest,
                                                           HttpResponseWriter &response)
{
    const json::object body =
            httpRequest.body.empty() ? json::object() : json::parse(httpRequest.body).as_object();
    std::string reply = "{}";
    unsigned status = 200;
    if (httpRequest.path == "/control/cancel") {
        const std::size_t count =
                cancelMatching(json::value_to<std::string>(body.at("request_id")));
        reply = "{\"cancelled\":" + std::to_string(count) + "}";
    } else if (httpRequest.path == "/control/cancel_all") {
        reply = "{\"cancelled\":" + std::to_string(cancelAll()) + "}";
    } else if (httpRequest.path == "/control/load") {
        status = loadModelVersion(body) ? 200 : 409;
        reply = json::serialize(
                json::object {{"version", m_modelVersion}, {"fencing", m_highestFencingNumber}});
    } else if (httpRequest.path == "/fault") {
        const auto fault = parseEngineFault(json::value_to<std::string>(body.at("mode")));
        status = fault.has_value() ? 200 : 400;
        const json::value *subject =
                body.if_contains(fault == EngineFault::CrashOnPrompt ? "prompt" : "route");
        const bool hasSubject = subject != nullptr && subject->is_string();
        if (fault.has_value())
            m_faults.set(*fault, hasSubject ? json::value_to<std::string>(*subject) : "");
        if (m_faults.isCold())
            m_cache.clear();
    } else {
        status = 404;
    }
    co_await response.send(status, std::move(reply));
}

asio::awaitable<void> EngineServer::Private::handle(const HttpRequest &httpRequest,
                                                    HttpResponseWriter &response)
{
    if (httpRequest.method == "POST" && httpRequest.path.starts_with("/v1/")) {
        co_await handleCompletion(httpRequest, response);
        co_return;
    }
    if (httpRequest.method == "POST") {
        co_await handleControl(httpRequest, response);
        co_return;
    }
    std::string reply;
    if (httpRequest.path == "/load") {
        reply = loadReport();
    } else if (httpRequest.path == "/ledger") {
        reply = m_ledger.toJson();
    } else if (httpRequest.path == "/version") {
        reply = json::serialize(json::object {{"version", m_modelVersion}});
    } else if (httpRequest.path == "/cache_events") {
        const auto after = httpRequest.query.find("after");
        const std::uint64_t afterSequence =
                after == httpRequest.query.end() ? 0 : std::stoull(after->second);
        reply = m_cacheEvents.toJson(Clock::now(), afterSequence);
    }
    if (reply.empty())
        co_await response.send(404, "{}");
    else
        co_await response.send(200, std::move(reply));
}

EngineServer::EngineServer(asio::io_context &context, EngineOptions options)
    : d(std::make_unique<Private>(context, std::move(options)))
{
    asio::co_spawn(context, d->runStepLoop(), asio::detached);
}

EngineServer::~EngineServer() = default;

HttpHandler EngineServer::handler()
{
    return [this](const HttpRequest &httpRequest, HttpResponseWriter &response) {
        return d->handle(httpRequest, response);
    };
}

} // namespace cornelshed::standins
