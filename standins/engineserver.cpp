// Engine stand-in: the step loop, the jobs and the HTTP routes.

#include "engineserver.h"

#include "cacheevents.h"
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

// Shorter waits than this cost more in the timer than they take.
constexpr std::chrono::microseconds timerGranularity {200};

// Completion in progress; the waiting coroutine is woken by cancelling the timer.
struct Job
{
    Job(asio::io_context &context, CompletionRequest completion)
        : request(std::move(completion)), wake(context, Clock::time_point::max())
    { }

    CompletionRequest request;
    CompletionUsage usage;
    std::vector<std::uint64_t> hashes;
    std::uint64_t number = 0;
    std::uint64_t produced = 0; // position after the last token produced
    bool finished = false;
    bool cancelled = false;
    asio::steady_timer wake;
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
          m_ledger(m_options.ledgerFile), m_version(m_options.version),
          m_wakeLoop(context, Clock::time_point::max())
    {
        if (m_options.startsCold)
            m_faults.turnCold();
    }

    asio::awaitable<void> runSteps();
    asio::awaitable<void> handle(const HttpCall &call, HttpAnswer &answer);

private:
    asio::awaitable<void> complete(const HttpCall &call, HttpAnswer &answer);
    asio::awaitable<void> control(const HttpCall &call, HttpAnswer &answer);
    asio::awaitable<bool> sendWhole(JobPointer job, HttpAnswer &answer);
    asio::awaitable<bool> sendStream(JobPointer job, HttpAnswer &answer);
    asio::awaitable<void> waitForTokens(JobPointer job, std::uint64_t sent);
    JobPointer admit(CompletionRequest request);
    void deliver(const BatchStep &step);
    void cancel(const JobPointer &job);
    std::size_t cancelMatching(const std::string &requestId);
    std::size_t cancelAll();
    void recordLoad();
    bool loadVersion(const json::object &body);
    void turnCold();
    std::string loadReport();

    asio::io_context &m_context;
    EngineOptions m_options;
    BatchModel m_model;
    EngineFaultState m_faults;
    LaggedValue<LoadSnapshot> m_load;
    CacheEvents m_cacheEvents;
    PrefixCache m_cache;
    RunLedger m_ledger;
    std::string m_version;
    std::uint64_t m_highestFencing = 0;
    std::map<std::uint64_t, JobPointer> m_jobs; // by number in m_model
    asio::steady_timer m_wakeLoop;
};

asio::awaitable<void> EngineServer::Private::runSteps()
{
    Clock::time_point due = Clock::now();
    boost::system::error_code ec;
    for (;;) {
        if (m_model.runningCount() == 0) {
            m_wakeLoop.expires_at(Clock::time_point::max());
            co_await m_wakeLoop.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            due = Clock::now();
            continue;
        }
        const BatchStep step = m_model.step(m_faults.slowdown(m_model.runningCount()));
        due += step.duration;
        if (due - Clock::now() > timerGranularity) {
            asio::steady_timer timer(m_context, due);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        } else {
            co_await asio::post(m_context, asio::use_awaitable);
        }
        deliver(step);
    }
}

void EngineServer::Private::deliver(const BatchStep &step)
{
    for (const std::uint64_t it : step.decoded) {
        const auto found = m_jobs.find(it);
        if (found == m_jobs.end())
            continue;
        Job &job = *found->second;
        if (job.usage.completionTokens == 0)
            m_cache.store(job.hashes);
        job.produced += 1;
        job.usage.completionTokens += 1;
        job.wake.cancel();
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
    const CompletionRequest &it = job->request;
    job->hashes = blockHashes(it.prompt);
    job->usage.promptTokens = countTokens(it.prompt);
    job->usage.cachedTokens = m_cache.cachedTokens(job->hashes);
    job->produced = it.resumeAfter;
    // The last prompt token is always computed, because the first output token needs it.
    const std::uint64_t uncached = job->usage.promptTokens - job->usage.cachedTokens;
    job->number =
            m_model.admit(std::max<std::uint64_t>(uncached, 1), it.maximumTokens - it.resumeAfter);
    m_jobs[job->number] = job;
    recordLoad();
    m_wakeLoop.cancel();
    return job;
}

asio::awaitable<void> EngineServer::Private::complete(const HttpCall &call, HttpAnswer &answer)
{
    CompletionRequest request = parseCompletion(call);
    const LedgerKey key {"", request.requestId, request.marker};
    if (request.maximumTokens == 0 || request.resumeAfter >= request.maximumTokens) {
        co_await answer.whole(400, R"({"error":"max_tokens out of range"})");
        co_return;
    }
    if (request.resume && !m_ledger.contains(key)) {
        co_await answer.whole(404, R"({"error":"unknown request"})");
        co_return;
    }
    LedgerCounts &counts = request.resume ? m_ledger.entry(key) : m_ledger.start(key);
    counts.resumed += request.resume ? 1 : 0;
    if (m_faults.failsArrival(call.path, m_model.runningCount())) {
        counts.failed += 1;
        co_await answer.whole(500, R"({"error":"engine failure"})");
        co_return;
    }
    const JobPointer job = admit(std::move(request));
    bool sent = false;
    if (job->request.stream)
        sent = co_await sendStream(job, answer);
    else
        sent = co_await sendWhole(job, answer);
    (sent ? counts.finished : counts.cancelled) += 1;
}

asio::awaitable<void> EngineServer::Private::waitForTokens(JobPointer job, std::uint64_t sent)
{
    boost::system::error_code ec;
    while (!job->finished && !job->cancelled && job->produced == sent)
        co_await job->wake.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<bool> EngineServer::Private::sendWhole(JobPointer job, HttpAnswer &answer)
{
    while (!job->finished && !job->cancelled)
        co_await waitForTokens(job, job->produced);
    if (job->cancelled) {
        co_await answer.whole(499, R"({"error":"cancelled"})");
        co_return false;
    }
    co_return co_await answer.whole(200, formatWhole(job->request, job->usage));
}

asio::awaitable<bool> EngineServer::Private::sendStream(JobPointer job, HttpAnswer &answer)
{
    std::uint64_t sent = job->produced;
    bool open = co_await answer.beginStream();
    while (open && !job->cancelled) {
        co_await waitForTokens(job, sent);
        std::string events;
        while (sent < job->produced)
            events += formatTokenEvent(job->request, sent++);
        if (!events.empty())
            open = co_await answer.chunk(std::move(events));
        if (job->finished && sent == job->produced)
            break;
    }
    if (!open || job->cancelled) {
        cancel(job);
        answer.drop();
        co_return false;
    }
    open = co_await answer.chunk(formatStreamEnd(job->request, job->usage));
    if (open)
        open = co_await answer.endStream();
    co_return open;
}

void EngineServer::Private::cancel(const JobPointer &job)
{
    m_model.cancel(job->number);
    m_jobs.erase(job->number);
    job->cancelled = !job->finished;
    job->wake.cancel();
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
    const std::size_t n = m_jobs.size();
    while (!m_jobs.empty()) {
        const JobPointer job = m_jobs.begin()->second;
        cancel(job);
    }
    return n;
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

bool EngineServer::Private::loadVersion(const json::object &body)
{
    const auto fencing = json::value_to<std::uint64_t>(body.at("fencing"));
    if (m_options.checksFencing && fencing < m_highestFencing)
        return false;
    m_highestFencing = std::max(m_highestFencing, fencing);
    m_version = json::value_to<std::string>(body.at("version"));
    turnCold();
    return true;
}

void EngineServer::Private::turnCold()
{
    m_cache.clear();
    m_faults.turnCold();
}

asio::awaitable<void> EngineServer::Private::control(const HttpCall &call, HttpAnswer &answer)
{
    const json::object body =
            call.body.empty() ? json::object() : json::parse(call.body).as_object();
    std::string reply = "{}";
    unsigned status = 200;
    if (call.path == "/control/cancel") {
        const std::size_t n = cancelMatching(json::value_to<std::string>(body.at("request_id")));
        reply = "{\"cancelled\":" + std::to_string(n) + "}";
    } else if (call.path == "/control/cancel_all") {
        reply = "{\"cancelled\":" + std::to_string(cancelAll()) + "}";
    } else if (call.path == "/control/load") {
        status = loadVersion(body) ? 200 : 409;
        reply = json::serialize(
                json::object {{"version", m_version}, {"fencing", m_highestFencing}});
    } else if (call.path == "/fault") {
        const auto fault = parseEngineFault(json::value_to<std::string>(body.at("mode")));
        status = fault.has_value() ? 200 : 400;
        const json::value *route = body.if_contains("route");
        const bool hasRoute = route != nullptr && route->is_string();
        if (fault.has_value())
            m_faults.set(*fault, hasRoute ? json::value_to<std::string>(*route) : "");
        if (m_faults.isCold())
            m_cache.clear();
    } else {
        status = 404;
    }
    co_await answer.whole(status, std::move(reply));
}

asio::awaitable<void> EngineServer::Private::handle(const HttpCall &call, HttpAnswer &answer)
{
    if (call.method == "POST" && call.path.starts_with("/v1/")) {
        co_await complete(call, answer);
        co_return;
    }
    if (call.method == "POST") {
        co_await control(call, answer);
        co_return;
    }
    std::string reply;
    if (call.path == "/load") {
        reply = loadReport();
    } else if (call.path == "/ledger") {
        reply = m_ledger.toJson();
    } else if (call.path == "/version") {
        reply = json::serialize(json::object {{"version", m_version}});
    } else if (call.path == "/cache_events") {
        const auto after = call.query.find("after");
        const std::uint64_t n = after == call.query.end() ? 0 : std::stoull(after->second);
        reply = m_cacheEvents.toJson(Clock::now(), n);
    }
    if (reply.empty())
        co_await answer.whole(404, "{}");
    else
        co_await answer.whole(200, std::move(reply));
}

EngineServer::EngineServer(asio::io_context &context, EngineOptions options)
    : d(std::make_unique<Private>(context, std::move(options)))
{
    asio::co_spawn(context, d->runSteps(), asio::detached);
}

EngineServer::~EngineServer() = default;

HttpHandler EngineServer::handler()
{
    return [this](const HttpCall &call, HttpAnswer &answer) { return d->handle(call, answer); };
}

} // namespace cornelshed::standins
