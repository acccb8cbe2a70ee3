// Steps of the engine model: each step decodes one token of every running request and processes one
// chunk of pending prompts.

#include "enginemodel.h"

#include <algorithm>

namespace cornelshed::measure {

namespace {

constexpr Duration stepTimeTarget = std::chrono::milliseconds(27);

Duration scaled(Duration d, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(d.count()) * factor));
}

std::uint64_t contextOf(const EngineJob &job)
{
    return job.promptTokens + job.outputTokens;
}

} // namespace

EngineModel::EngineModel(const EngineSettings &settings, EventQueue &events,
                         EngineListener &listener)
    : m_settings(settings), m_events(events), m_listener(listener)
{ }

Duration EngineModel::stepTime(const EngineSettings &settings, std::uint32_t batch,
                               std::uint64_t contextTokens)
{
    return settings.stepBase + settings.stepPerRequest * batch
            + scaled(settings.stepPerThousandTokens, static_cast<double>(contextTokens) / 1000);
}

std::uint32_t EngineModel::batchWithinStepTarget(const EngineSettings &settings,
                                                 std::uint64_t averageContext)
{
    std::uint32_t batch = 1;
    while (batch < settings.maximumBatch
           && stepTime(settings, batch + 1, averageContext * (batch + 1)) <= stepTimeTarget
           && averageContext * (batch + 1) <= settings.memoryTokens)
        ++batch;
    return batch;
}

void EngineModel::start(const EngineJob &job)
{
    Job added;
    added.job = job;
    added.startedAt = m_events.now();
    added.exceedsColdConcurrency = m_cold && running() + waiting() >= m_settings.coldConcurrency;
    if (added.exceedsColdConcurrency) {
        const std::uint64_t epoch = m_epoch;
        m_events.after(m_settings.coldOverloadTime,
                       [this, request = job.request, epoch] { failOverload(request, epoch); });
    }
    m_waiting.push_back(std::move(added));
    scheduleStep();
}

void EngineModel::cancel(RequestId request)
{
    fail(request, FailReason::Cancelled);
}

void EngineModel::turnCold()
{
    m_cold = true;
    m_warmUpAnswersLeft = m_settings.warmUpAnswers;
    m_cache.clear();
    m_cacheOrder.clear();
}

void EngineModel::crash()
{
    ++m_epoch;
    m_waiting.clear();
    m_batch.clear();
    m_contextTokens = 0;
    m_stepping = false;
    turnCold();
}

std::uint64_t EngineModel::pendingPrefill() const
{
    std::uint64_t tokens = 0;
    for (const Job &it : m_batch)
        tokens += it.job.promptTokens - it.cached - it.computed;
    for (const Job &it : m_waiting)
        tokens += it.job.promptTokens;
    return tokens;
}

std::uint64_t EngineModel::cachedTokens(const EngineJob &job) const
{
    std::uint64_t tokens = 0;
    for (const std::uint64_t hash : job.prefixHashes) {
        if (m_cache.count(hash) == 0)
            break;
        tokens += job.prefixTokensPerHash;
    }
    // At least one prompt token is always computed.
    return std::min(tokens, job.promptTokens - std::min<std::uint64_t>(job.promptTokens, 1));
}

// Admits requests in the order of arrival while there is memory. Cached prefixes are evicted to
// make room.
void EngineModel::admit()
{
    while (!m_waiting.empty() && m_batch.size() < m_settings.maximumBatch) {
        Job &next = m_waiting.front();
        if (!m_batch.empty() && m_contextTokens + contextOf(next.job) > m_settings.memoryTokens)
            return;
        next.cached = cachedTokens(next.job);
        m_contextTokens += contextOf(next.job);
        m_batch.push_back(std::move(next));
        m_waiting.pop_front();
        evict();
    }
}

void EngineModel::scheduleStep()
{
    if (m_stepping)
        return;
    admit();
    if (m_batch.empty())
        return;
    m_stepping = true;
    std::uint64_t pending = 0;
    std::uint32_t decoding = 0;
    for (const Job &it : m_batch) {
        pending += it.job.promptTokens - it.cached - it.computed;
        decoding += it.produced > 0 ? 1 : 0;
    }
    m_stepChunk = std::min(pending, m_settings.prefillChunkTokens);
    Duration time = stepTime(m_settings, decoding, m_contextTokens);
    time += Duration(static_cast<Duration::rep>(static_cast<double>(m_stepChunk) * 1e6
                                                / m_settings.prefillTokensPerSecond));
    const double slowdown = m_slowdown * (m_cold ? m_settings.coldSlowdown : 1);
    m_events.after(scaled(time, slowdown), [this, epoch = m_epoch] { step(epoch); });
}

void EngineModel::step(std::uint64_t epoch)
{
    if (epoch != m_epoch)
        return;
    std::uint64_t budget = m_stepChunk;
    std::vector<Job> finished;
    std::vector<std::pair<RequestId, bool>> produced; // true: this is the first token
    for (Job &it : m_batch) {
        if (!advance(it, budget))
            continue;
        produced.emplace_back(it.job.request, it.produced == 1);
        if (it.produced >= it.job.outputTokens)
            finished.push_back(it);
    }
    for (const Job &it : finished)
        remove(it.job.request);
    // Notify after the batch is updated, because the listener may start or cancel requests.
    for (const auto &[request, first] : produced)
        m_listener.engineTokens(request, 1, first);
    for (const Job &it : finished)
        finish(it);
    m_stepping = false;
    scheduleStep();
}

// Computes up to budget tokens of the rest of the prompt, and produces a token if the prompt is
// complete. Returns true if the job produced a token.
bool EngineModel::advance(Job &job, std::uint64_t &budget)
{
    const std::uint64_t left = job.job.promptTokens - job.cached - job.computed;
    if (left > 0) {
        const std::uint64_t done = std::min(left, budget);
        job.computed += done;
        budget -= done;
        if (done < left)
            return false;
        touchPrefixes(job.job);
    }
    if (++job.produced == 1)
        job.firstTokenAt = m_events.now();
    return true;
}

void EngineModel::finish(const Job &job)
{
    if (m_cold && --m_warmUpAnswersLeft == 0)
        m_cold = false;
    Usage usage;
    usage.promptTokens = job.job.promptTokens;
    usage.outputTokens = job.produced;
    usage.cachedTokens = job.cached;
    usage.firstTokenTime = job.firstTokenAt - job.startedAt;
    usage.totalTime = m_events.now() - job.startedAt;
    m_listener.engineFinished(job.job.request, usage);
}

void EngineModel::touchPrefixes(const EngineJob &job)
{
    m_cacheBlockTokens = std::max(m_cacheBlockTokens, job.prefixTokensPerHash);
    for (const std::uint64_t hash : job.prefixHashes) {
        const auto it = m_cache.find(hash);
        if (it != m_cache.end())
            m_cacheOrder.splice(m_cacheOrder.end(), m_cacheOrder, it->second);
        else
            m_cache[hash] = m_cacheOrder.insert(m_cacheOrder.end(), hash);
    }
    evict();
}

void EngineModel::evict()
{
    while (!m_cacheOrder.empty()
           && m_contextTokens + m_cache.size() * m_cacheBlockTokens > m_settings.memoryTokens) {
        m_cache.erase(m_cacheOrder.front());
        m_cacheOrder.pop_front();
    }
}

void EngineModel::failOverload(RequestId request, std::uint64_t epoch)
{
    if (epoch == m_epoch && m_cold)
        fail(request, FailReason::EngineError);
}

void EngineModel::fail(RequestId request, FailReason reason)
{
    const Job *job = find(request);
    if (job == nullptr)
        return;
    const std::uint64_t computed = job->computed;
    remove(request);
    m_listener.engineFailed(request, reason, computed);
}

EngineModel::Job *EngineModel::find(RequestId request)
{
    const auto same = [&](const Job &it) { return it.job.request == request; };
    const auto running = std::find_if(m_batch.begin(), m_batch.end(), same);
    if (running != m_batch.end())
        return &*running;
    const auto waiting = std::find_if(m_waiting.begin(), m_waiting.end(), same);
    return waiting != m_waiting.end() ? &*waiting : nullptr;
}

void EngineModel::remove(RequestId request)
{
    const auto same = [&](const Job &it) { return it.job.request == request; };
    const auto it = std::find_if(m_batch.begin(), m_batch.end(), same);
    if (it != m_batch.end()) {
        m_contextTokens -= contextOf(it->job);
        m_batch.erase(it);
        return;
    }
    std::erase_if(m_waiting, same);
}

} // namespace cornelshed::measure
