// Implements the classification of latencies, the stall detection and the baseline updates.

#include "serverloadtracker.h"

#include <algorithm>

namespace cornelshed {

namespace {

// Observations above this multiple of the baseline count as slow. A cold server is several times
// slower than a warm one, while load within the limit less than doubles the time per token.
constexpr int slowFactor = 3;

// Timer and network jitter that does not indicate a slow server.
constexpr Duration jitterAllowance = std::chrono::milliseconds(20);

// The pending prompts may take at most the target for the time to first token divided by this. The
// rest is needed for the request's own prompt, the wait for a grant, and the messages.
constexpr int firstTokenTargetDivisor = 4;

// Requests that are expected to occupy a slot for at most this time are short. Callers of short
// questions wait for a few seconds only.
constexpr Duration shortRequestTime = std::chrono::seconds(3);

// Requests that may be started or granted before the server makes progress. Without this limit, a
// whole burst would be started on a server that has become cold, before the first late token can
// show it.
constexpr std::uint32_t maximumStartsWithoutProgress = 3;

// Tokens over which the time per token is averaged: few enough to detect a cold server within a
// fraction of a second, and enough to smooth out single late tokens.
constexpr std::uint64_t minimumWindowTokens = 4;

// Consecutive tokens of one request within the latency targets that count as a sustained load. They
// take longer than a cold server needs to fail under a load that is too high for it.
constexpr std::uint64_t tokensPerSustainedLoad = 128;

// A server that still completes requests but has stayed at the cold limit for this time has become
// permanently slower. Its baseline is then discarded and measured anew.
constexpr Duration baselineResetDelay = std::chrono::seconds(120);

// Time constant with which the usual gap between progress events decays.
constexpr Duration gapDecayTime = std::chrono::seconds(30);

Duration scaled(Duration d, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(d.count()) * factor));
}

AdaptiveLimitSettings settingsOf(const AgentLimits &limits)
{
    return {limits.coldConcurrency, limits.maximumConcurrency, limits.coldOutstandingTokens,
            limits.maximumOutstandingTokens};
}

} // namespace

ServerLoadTracker::ServerLoadTracker(const AgentLimits &limits)
    : m_limits(limits), m_limit(settingsOf(limits))
{ }

bool ServerLoadTracker::admits(const GrantedLoad &granted, const RequestSize &size,
                               Instant now) const
{
    Occupancy committed = occupancy();
    committed.requests += granted.occupancy.requests;
    committed.tokens += granted.occupancy.tokens;
    if (committed.requests > 0 && stallSuspected(now))
        return false;
    if (committed.requests > 0
        && m_startsSinceProgress + granted.occupancy.requests >= maximumStartsWithoutProgress)
        return false;
    const Duration prefillAhead = m_rates.prefillTime(m_pendingPromptTokens + granted.promptTokens);
    return prefillAhead <= m_limits.firstTokenTarget / firstTokenTargetDivisor
            && m_limit.admits(committed, size.promptTokens + size.outputTokens, isShort(size));
}

// Leaves out the pending prompts, so that the result does not change with every grant.
bool ServerLoadTracker::isShort(const RequestSize &size) const
{
    const Duration decode = m_rates.tokenInterval(batchSize()) * size.outputTokens;
    return m_rates.prefillTime(size.promptTokens) + decode <= shortRequestTime;
}

void ServerLoadTracker::start(RequestId request, const RunningRequest &running)
{
    if (m_running.empty())
        m_lastProgressAt = running.startedAt;
    for (auto &[id, it] : m_running)
        it.windowPromptTokens += running.promptTokens;
    RunningRequest addedRequest = running;
    addedRequest.occupancyAtStart = occupancy();
    m_pendingPromptTokens += addedRequest.promptTokens;
    ++m_prefillingCount;
    m_promptsSinceProgress = true;
    ++m_startsSinceProgress;
    m_runningTokens += addedRequest.promptTokens + addedRequest.outputTokens;
    addedRequest.promptTokensAhead = m_pendingPromptTokens;
    m_running.emplace(request, addedRequest);
    for (auto &[id, it] : m_running)
        it.peakBatchSize = std::max(it.peakBatchSize, batchSize());
}

RunningRequest *ServerLoadTracker::find(RequestId request)
{
    const auto it = m_running.find(request);
    return it == m_running.end() ? nullptr : &it->second;
}

void ServerLoadTracker::recordFirstToken(RequestId request, Instant now)
{
    RunningRequest *running = find(request);
    if (running == nullptr || running->firstTokenAt)
        return;
    running->firstTokenAt = now;
    running->windowStart = now;
    recordProgress(now);
    m_pendingPromptTokens -= running->promptTokens;
    --m_prefillingCount;
    running->windowPromptTokens = m_pendingPromptTokens;
    evaluateFirstToken(*running, now);
}

void ServerLoadTracker::recordTokens(RequestId request, std::uint64_t count, Instant now)
{
    recordFirstToken(request, now);
    RunningRequest *running = find(request);
    if (running == nullptr)
        return;
    recordProgress(now);
    running->producedTokens += count;
    if (now == *running->firstTokenAt)
        return;
    running->windowTokens += count;
    if (running->windowTokens >= minimumWindowTokens)
        closeWindow(*running, now);
}

Usage ServerLoadTracker::finish(RequestId request, Usage usage, Instant now)
{
    RunningRequest *running = find(request);
    if (running == nullptr)
        return usage;
    const Duration total = now - running->startedAt;
    usage.queueTime = running->startedAt - running->grantedAt;
    usage.totalTime = total;
    usage.firstTokenTime =
            running->firstTokenAt ? *running->firstTokenAt - running->startedAt : total;
    LatencyClass latencyClass = running->everSlow ? LatencyClass::Slow : LatencyClass::WithinTarget;
    if (!running->firstTokenAt) {
        latencyClass = evaluateWholeAnswer(*running, total);
        recordLatencyOf(*running, latencyClass, now);
    } else if (latencyClass == LatencyClass::WithinTarget) {
        updatePrefillRate(*running, usage);
        latencyClass = std::max(running->latestLatencyClass, classifyBaseline());
    }
    if (!running->everSlow)
        clearStallSuspicion(running->startedAt);
    if (m_stallSuspected)
        latencyClass = LatencyClass::Slow; // earlier tokens do not show the current speed
    m_limit.recordSuccess(occupancy(), latencyClass);
    remove(request, now);
    resetBaselineIfStuck(now);
    return usage;
}

void ServerLoadTracker::fail(RequestId request, bool serverFault, Instant now)
{
    if (find(request) == nullptr)
        return;
    if (serverFault)
        m_limit.recordFailure(now);
    remove(request, now);
}

ServiceEstimate ServerLoadTracker::estimate(std::uint64_t promptTokens,
                                            std::uint64_t outputTokens) const
{
    const Duration perToken = m_rates.tokenInterval(batchSize() + 1);
    if (perToken == Duration::zero())
        return {};
    ServiceEstimate result;
    result.firstToken = m_rates.prefillTime(m_pendingPromptTokens + promptTokens) + perToken;
    result.total = result.firstToken;
    if (outputTokens > 1)
        result.total += perToken * (outputTokens - 1);
    return result;
}

std::vector<RequestId> ServerLoadTracker::requestsOfSession(SessionId session) const
{
    std::vector<RequestId> requests;
    for (const auto &[id, it] : m_running) {
        if (it.session == session)
            requests.push_back(id);
    }
    return requests;
}

bool ServerLoadTracker::stalled(Instant now) const
{
    const Duration perToken = m_rates.tokenInterval(std::max(batchSize(), 1U));
    if (m_running.empty() || perToken == Duration::zero())
        return false;
    const Duration gap = now - m_lastProgressAt;
    if (m_prefillingCount == batchSize()) // no request has produced its first token
        return gap > (perToken + m_rates.prefillTime(m_pendingPromptTokens)) * slowFactor
                + jitterAllowance;
    const Duration explainedGap = m_promptsSinceProgress ? m_usualGap * 2 : Duration::zero();
    return gap > std::max(perToken * slowFactor, explainedGap) + jitterAllowance;
}

// A gap in the progress reveals a cold server at the first token after the change, while the
// averaged time per token needs several. Meanwhile requests complete, and others would take their
// slots.
void ServerLoadTracker::recordProgress(Instant now)
{
    const Duration gap = now - m_lastProgressAt;
    if (stalled(now)) {
        m_stallSuspected = true;
        m_suspectedGap = gap;
        m_suspectedSince = now;
    } else if (!m_stallSuspected && m_prefillingCount < batchSize() && m_promptsSinceProgress) {
        updateUsualGap(gap);
    }
    m_lastProgressAt = now;
    m_promptsSinceProgress = m_prefillingCount > 0;
    m_startsSinceProgress = 0;
}

// Keeps a decaying maximum of the gaps. Prompts processed beside the streams cause gaps that do not
// appear in the time per token, as that is measured without prompts.
void ServerLoadTracker::updateUsualGap(Duration gap)
{
    m_usualGap = std::max(gap, m_usualGap - m_usualGap * gap.count() / gapDecayTime.count());
}

Occupancy ServerLoadTracker::occupancy() const
{
    return {batchSize(), m_runningTokens};
}

LoadReport ServerLoadTracker::load() const
{
    LoadReport report;
    report.running = batchSize();
    for (const auto &[id, it] : m_running) {
        const std::uint64_t remainingTokens =
                it.outputTokens - std::min(it.outputTokens, it.producedTokens);
        report.outstandingTokens += remainingTokens + (it.firstTokenAt ? 0 : it.promptTokens);
    }
    report.prefillTokensPerSecond = m_rates.prefillTokensPerSecond();
    const Duration perToken = m_rates.tokenInterval(std::max(batchSize(), 1U));
    if (perToken > Duration::zero())
        report.decodeTokensPerSecond = 1e6 / static_cast<double>(perToken.count());
    report.concurrencyLimit = m_limit.concurrency();
    return report;
}

// If the first token is late although other streams are decoding at their usual speed, the request
// had to wait on the server for a place in the batch or for memory.
void ServerLoadTracker::evaluateFirstToken(RunningRequest &running, Instant now)
{
    const LatencyClass latencyClass = classifyFirstToken(running, now - running.startedAt);
    const bool otherStreamsDecoding = batchSize() > m_prefillingCount + 1;
    if (latencyClass == LatencyClass::WithinTarget || !otherStreamsDecoding || m_stallSuspected) {
        recordLatencyOf(running, latencyClass, now);
        return;
    }
    running.latestLatencyClass = LatencyClass::AboveTarget;
    m_limit.recordServerQueueing(running.occupancyAtStart);
}

// Compares the time to first token with the prefill time of all prompt tokens that were pending at
// the start, including the request's own.
LatencyClass ServerLoadTracker::classifyFirstToken(const RunningRequest &running,
                                                   Duration time) const
{
    const Duration prefill = m_rates.prefillTime(running.promptTokensAhead);
    const Duration perToken = m_rates.tokenInterval(batchSize());
    if (prefill == Duration::zero() || perToken == Duration::zero())
        return LatencyClass::WithinTarget;
    if (time > (prefill + perToken * 2) * slowFactor + jitterAllowance)
        return LatencyClass::Slow;
    if (time > m_limits.firstTokenTarget + scaled(prefill, 1.5))
        return LatencyClass::AboveTarget;
    return LatencyClass::WithinTarget;
}

// Classifies the baseline time per token at the current batch size, that is, of steps without
// prompts. Prompts slow down the other streams for a moment, which a smaller batch would not avoid.
LatencyClass ServerLoadTracker::classifyBaseline() const
{
    return m_rates.tokenInterval(batchSize()) > m_limits.tokenIntervalTarget
            ? LatencyClass::AboveTarget
            : LatencyClass::WithinTarget;
}

// allowance is the additional time per token that is explained by prompts in the same batch.
LatencyClass ServerLoadTracker::classifyTokenInterval(Duration perToken, Duration allowance) const
{
    const Duration baseline = m_rates.tokenInterval(batchSize());
    if (baseline > Duration::zero() && perToken > (baseline + allowance) * slowFactor)
        return LatencyClass::Slow;
    if (perToken > m_limits.tokenIntervalTarget && allowance == Duration::zero())
        return LatencyClass::AboveTarget;
    return LatencyClass::WithinTarget;
}

void ServerLoadTracker::closeWindow(RunningRequest &running, Instant now)
{
    const auto count = static_cast<Duration::rep>(running.windowTokens);
    const Duration perToken = (now - running.windowStart) / count;
    const Duration allowance = m_rates.prefillTime(running.windowPromptTokens) / count;
    const LatencyClass latencyClass = classifyTokenInterval(perToken, allowance);
    if (latencyClass != LatencyClass::Slow && running.windowPromptTokens == 0)
        m_rates.recordTokenInterval(batchSize(), perToken);
    recordLatencyOf(running, latencyClass, now);
    if (latencyClass != LatencyClass::Slow && running.windowPromptTokens == 0)
        clearStallSuspicion(running.windowStart);
    countTokensWithinTarget(running, latencyClass);
    running.windowStart = now;
    running.windowTokens = 0;
    running.windowPromptTokens = m_pendingPromptTokens;
}

// A long answer proves many times before its end that the server can handle its load. Waiting for
// the end would keep the limit low for minutes.
void ServerLoadTracker::countTokensWithinTarget(RunningRequest &running, LatencyClass latencyClass)
{
    running.tokensWithinTarget += running.windowTokens;
    if (latencyClass != LatencyClass::WithinTarget || m_stallSuspected)
        running.tokensWithinTarget = 0;
    if (running.tokensWithinTarget < tokensPerSustainedLoad)
        return;
    running.tokensWithinTarget = 0;
    if (classifyBaseline() == LatencyClass::WithinTarget)
        m_limit.recordSustainedLoad(occupancy());
}

// Uses only prompts that did not wait for others. One decoding step is subtracted, because it
// passes before the first token whatever the length of the prompt.
void ServerLoadTracker::updatePrefillRate(const RunningRequest &running, const Usage &usage)
{
    if (running.promptTokensAhead != running.promptTokens)
        return;
    const std::uint64_t uncached =
            running.promptTokens - std::min(running.promptTokens, usage.cachedTokens);
    const Duration step = m_rates.tokenInterval(batchSize());
    const Duration minimumTime = usage.firstTokenTime / 10;
    m_rates.recordPrefill(uncached, std::max(usage.firstTokenTime - step, minimumTime));
}

// For plain services, which produce no tokens. The whole answer counts as one token.
LatencyClass ServerLoadTracker::evaluateWholeAnswer(const RunningRequest &running, Duration total)
{
    const Duration baselineAlone = m_rates.tokenInterval(1);
    const Duration baseline = m_rates.tokenInterval(running.peakBatchSize);
    LatencyClass latencyClass = LatencyClass::WithinTarget;
    if (baseline > Duration::zero() && total > baseline * slowFactor + jitterAllowance)
        latencyClass = LatencyClass::Slow;
    else if (baselineAlone > Duration::zero() && total > baselineAlone * 2 + jitterAllowance)
        latencyClass = LatencyClass::AboveTarget;
    if (latencyClass != LatencyClass::Slow)
        m_rates.recordTokenInterval(running.peakBatchSize, total);
    return latencyClass;
}

void ServerLoadTracker::recordLatencyOf(RunningRequest &running, LatencyClass latencyClass,
                                        Instant now)
{
    running.latestLatencyClass = latencyClass;
    if (latencyClass == LatencyClass::Slow)
        running.everSlow = true;
    m_limit.recordLatency(latencyClass, occupancy(), now);
}

// Call when the server has shown its usual speed since the given time. Clears the suspicion of a
// stall unless that period began before the stall was noticed. Only windows without prompts and
// complete requests count, because a long prompt can explain any speed.
void ServerLoadTracker::clearStallSuspicion(Instant since)
{
    if (!m_stallSuspected || since < m_suspectedSince)
        return;
    m_stallSuspected = false;
    updateUsualGap(m_suspectedGap); // the gap was not caused by a cold server
}

void ServerLoadTracker::resetBaselineIfStuck(Instant now)
{
    const bool stuck = m_limit.cold() && m_limit.concurrency() == m_limits.coldConcurrency;
    if (!stuck || now - m_limit.coldSince() < baselineResetDelay)
        return;
    m_rates.clear();
    m_limit.restartColdPeriod(now);
}

void ServerLoadTracker::remove(RequestId request, Instant now)
{
    const auto it = m_running.find(request);
    if (!it->second.firstTokenAt) {
        m_pendingPromptTokens -= it->second.promptTokens;
        --m_prefillingCount;
    }
    m_runningTokens -= it->second.promptTokens + it->second.outputTokens;
    m_running.erase(it);
    m_lastProgressAt = now;
    m_startsSinceProgress = 0;
}

} // namespace cornelshed
