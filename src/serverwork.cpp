// Judges the progress of running requests against the server's own warm baseline.

#include "serverwork.h"

#include <algorithm>

namespace cornelshed {

namespace {

// A cold server is several times slower than a warm one; load within the limit changes the time
// per token by less than twice.
constexpr int slowFactor = 3;

// Timer and network jitter that is no sign of a slow server.
constexpr Duration jitter = std::chrono::milliseconds(20);

// Prompts ahead of a request may take this part of the target for its first token; its own prompt,
// the wait for a grant and the messages need the rest.
constexpr int promptShareOfTarget = 4;

// Requests that hold a place for at most this time are brief. Callers of short questions wait a few
// seconds.
constexpr Duration briefTime = std::chrono::seconds(3);

// Requests started or granted until the server makes progress. A burst would otherwise be started
// on a server that turned cold before its first late token can show it.
constexpr std::uint32_t startsWithoutProgress = 3;

// Tokens over which the time per token is averaged: few enough to see a cold server within a
// fraction of a second, enough to smooth out single late tokens.
constexpr std::uint64_t windowLength = 4;

// Tokens at good pace that count as a success. They take longer than a cold server needs to fail
// under load that it does not bear.
constexpr std::uint64_t tokensPerSuccess = 128;

// A server that stays slow that long and finishes its requests has become slower for good; its
// baseline is learnt anew.
constexpr Duration relearnAfter = std::chrono::seconds(120);

// How long a gap counts as usual.
constexpr Duration gapMemory = std::chrono::seconds(30);

Duration times(Duration d, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(d.count()) * factor));
}

AdaptiveLimitSettings settingsOf(const AgentLimits &limits)
{
    return {limits.coldConcurrency, limits.maximumConcurrency, limits.coldOutstandingTokens,
            limits.maximumOutstandingTokens};
}

} // namespace

ServerWork::ServerWork(const AgentLimits &limits)
    : m_limits(limits), m_limit(settingsOf(limits)) { }

bool ServerWork::admits(const HeldPlaces &held, const RequestSize &size, Instant now) const
{
    Occupancy sum = occupancy();
    sum.requests += held.occupancy.requests;
    sum.tokens += held.occupancy.tokens;
    if (sum.requests > 0 && suspect(now))
        return false;
    if (sum.requests > 0
        && m_startsSinceProgress + held.occupancy.requests >= startsWithoutProgress)
        return false;
    const Duration ahead = m_rates.prefillTime(m_pendingPrompt + held.promptTokens);
    return ahead <= m_limits.firstTokenTarget / promptShareOfTarget
            && m_limit.admits(sum, size.promptTokens + size.outputTokens, isShort(size));
}

// Judged without the prompts that wait now, so that the verdict does not change with every grant.
bool ServerWork::isShort(const RequestSize &size) const
{
    const Duration decode = m_rates.interval(batch()) * size.outputTokens;
    return m_rates.prefillTime(size.promptTokens) + decode <= briefTime;
}

void ServerWork::start(RequestId request, const RunningRequest &running)
{
    if (m_running.empty())
        m_lastProgress = running.startedAt;
    for (auto &[id, it] : m_running)
        it.windowPromptTokens += running.promptTokens;
    RunningRequest added = running;
    added.beside = occupancy();
    m_pendingPrompt += added.promptTokens;
    ++m_prefilling;
    m_gapHasPrompts = true;
    ++m_startsSinceProgress;
    m_heldTokens += added.promptTokens + added.outputTokens;
    added.promptTokensAhead = m_pendingPrompt;
    m_running.emplace(request, added);
    for (auto &[id, it] : m_running)
        it.companions = std::max(it.companions, batch());
}

RunningRequest *ServerWork::find(RequestId request)
{
    const auto it = m_running.find(request);
    return it == m_running.end() ? nullptr : &it->second;
}

void ServerWork::firstToken(RequestId request, Instant now)
{
    RunningRequest *running = find(request);
    if (running == nullptr || running->firstTokenAt)
        return;
    running->firstTokenAt = now;
    running->windowStart = now;
    progressed(now);
    m_pendingPrompt -= running->promptTokens;
    --m_prefilling;
    running->windowPromptTokens = m_pendingPrompt;
    judgeStart(*running, now);
}

void ServerWork::tokens(RequestId request, std::uint64_t count, Instant now)
{
    firstToken(request, now);
    RunningRequest *running = find(request);
    if (running == nullptr)
        return;
    progressed(now);
    running->producedTokens += count;
    if (now == *running->firstTokenAt)
        return;
    running->windowTokens += count;
    if (running->windowTokens >= windowLength)
        closeWindow(*running, now);
}

Usage ServerWork::finish(RequestId request, Usage usage, Instant now)
{
    RunningRequest *running = find(request);
    if (running == nullptr)
        return usage;
    const Duration total = now - running->startedAt;
    usage.queueTime = running->startedAt - running->grantedAt;
    usage.totalTime = total;
    usage.firstTokenTime =
            running->firstTokenAt ? *running->firstTokenAt - running->startedAt : total;
    LatencyClass latencyClass = running->slow ? LatencyClass::Slow : LatencyClass::WithinTarget;
    if (!running->firstTokenAt) {
        latencyClass = observeWhole(*running, total);
        note(*running, latencyClass, now);
    } else if (latencyClass == LatencyClass::WithinTarget) {
        learnPrefill(*running, usage);
        latencyClass = std::max(running->latestPace, presentPace());
    }
    if (!running->slow)
        clearSuspicion(running->startedAt);
    if (m_suspect)
        latencyClass = LatencyClass::Slow; // its earlier tokens say nothing about the server now
    m_limit.recordSuccess(occupancy(), latencyClass);
    remove(request, now);
    relearnIfStuck(now);
    return usage;
}

void ServerWork::fail(RequestId request, bool serverFault, Instant now)
{
    if (find(request) == nullptr)
        return;
    if (serverFault)
        m_limit.recordFailure(now);
    remove(request, now);
}

ServiceEstimate ServerWork::estimate(std::uint64_t promptTokens, std::uint64_t outputTokens) const
{
    const Duration perToken = m_rates.interval(batch() + 1);
    if (perToken == Duration::zero())
        return {};
    ServiceEstimate result;
    result.firstToken = m_rates.prefillTime(m_pendingPrompt + promptTokens) + perToken;
    result.total = result.firstToken;
    if (outputTokens > 1)
        result.total += perToken * (outputTokens - 1);
    return result;
}

std::vector<RequestId> ServerWork::ofSession(SessionId session) const
{
    std::vector<RequestId> requests;
    for (const auto &[id, it] : m_running) {
        if (it.session == session)
            requests.push_back(id);
    }
    return requests;
}

bool ServerWork::stalled(Instant now) const
{
    const Duration perToken = m_rates.interval(std::max(batch(), 1U));
    if (m_running.empty() || perToken == Duration::zero())
        return false;
    const Duration gap = now - m_lastProgress;
    if (m_prefilling == batch()) // no stream is past its first token
        return gap > (perToken + m_rates.prefillTime(m_pendingPrompt)) * slowFactor + jitter;
    const Duration explained = m_gapHasPrompts ? m_usualGap * 2 : Duration::zero();
    return gap > std::max(perToken * slowFactor, explained) + jitter;
}

// A gap in the progress shows a cold server one token after it turned, where the averaged time per
// token needs several; in that time requests end and others would take their places.
void ServerWork::progressed(Instant now)
{
    const Duration gap = now - m_lastProgress;
    if (stalled(now)) {
        m_suspect = true;
        m_suspectGap = gap;
        m_suspectSince = now;
    } else if (!m_suspect && m_prefilling < batch() && m_gapHasPrompts) {
        learnGap(gap);
    }
    m_lastProgress = now;
    m_gapHasPrompts = m_prefilling > 0;
    m_startsSinceProgress = 0;
}

// A decaying maximum: prompts processed beside the streams make gaps that the time per token of a
// quiet server does not show.
void ServerWork::learnGap(Duration gap)
{
    m_usualGap = std::max(gap, m_usualGap - m_usualGap * gap.count() / gapMemory.count());
}

Occupancy ServerWork::occupancy() const
{
    return {batch(), m_heldTokens};
}

LoadReport ServerWork::load() const
{
    LoadReport report;
    report.running = batch();
    for (const auto &[id, it] : m_running) {
        const std::uint64_t left = it.outputTokens - std::min(it.outputTokens, it.producedTokens);
        report.outstandingTokens += left + (it.firstTokenAt ? 0 : it.promptTokens);
    }
    report.prefillTokensPerSecond = m_rates.prefillTokensPerSecond();
    const Duration perToken = m_rates.interval(std::max(batch(), 1U));
    if (perToken > Duration::zero())
        report.decodeTokensPerSecond = 1e6 / static_cast<double>(perToken.count());
    report.concurrencyLimit = m_limit.concurrency();
    return report;
}

// A first token that is late although the streams beside it keep their pace had to wait for room.
void ServerWork::judgeStart(RunningRequest &running, Instant now)
{
    const LatencyClass latencyClass = judgeFirstToken(running, now - running.startedAt);
    const bool streamsBeside = batch() > m_prefilling + 1;
    if (latencyClass == LatencyClass::WithinTarget || !streamsBeside || m_suspect) {
        note(running, latencyClass, now);
        return;
    }
    running.latestPace = LatencyClass::AboveTarget;
    m_limit.recordServerQueueing(running.beside);
}

// The time of a first token is compared with that of all prompt tokens ahead, its own included.
LatencyClass ServerWork::judgeFirstToken(const RunningRequest &running, Duration time) const
{
    const Duration prefill = m_rates.prefillTime(running.promptTokensAhead);
    const Duration perToken = m_rates.interval(batch());
    if (prefill == Duration::zero() || perToken == Duration::zero())
        return LatencyClass::WithinTarget;
    if (time > (prefill + perToken * 2) * slowFactor + jitter)
        return LatencyClass::Slow;
    if (time > m_limits.firstTokenTarget + times(prefill, 1.5))
        return LatencyClass::AboveTarget;
    return LatencyClass::WithinTarget;
}

// Pace of a step that processes no prompts. Prompts beside the streams slow them for a moment,
// which a smaller batch would not change.
LatencyClass ServerWork::presentPace() const
{
    return m_rates.interval(batch()) > m_limits.tokenIntervalTarget ? LatencyClass::AboveTarget
                                                                    : LatencyClass::WithinTarget;
}

// allowance is the time per token that prompts processed in the same batch explain.
LatencyClass ServerWork::judgeInterval(Duration perToken, Duration allowance) const
{
    const Duration baseline = m_rates.interval(batch());
    if (baseline > Duration::zero() && perToken > (baseline + allowance) * slowFactor)
        return LatencyClass::Slow;
    if (perToken > m_limits.tokenIntervalTarget && allowance == Duration::zero())
        return LatencyClass::AboveTarget;
    return LatencyClass::WithinTarget;
}

void ServerWork::closeWindow(RunningRequest &running, Instant now)
{
    const auto count = static_cast<Duration::rep>(running.windowTokens);
    const Duration perToken = (now - running.windowStart) / count;
    const Duration allowance = m_rates.prefillTime(running.windowPromptTokens) / count;
    const LatencyClass latencyClass = judgeInterval(perToken, allowance);
    if (latencyClass != LatencyClass::Slow && running.windowPromptTokens == 0)
        m_rates.intervalObserved(batch(), perToken);
    note(running, latencyClass, now);
    if (latencyClass != LatencyClass::Slow && running.windowPromptTokens == 0)
        clearSuspicion(running.windowStart);
    countSuccess(running, latencyClass);
    running.windowStart = now;
    running.windowTokens = 0;
    running.windowPromptTokens = m_pendingPrompt;
}

// A long answer shows many times over that the server bears its load; waiting for its end would
// keep a server small for minutes.
void ServerWork::countSuccess(RunningRequest &running, LatencyClass latencyClass)
{
    running.tokensSinceSuccess += running.windowTokens;
    if (latencyClass != LatencyClass::WithinTarget || m_suspect)
        running.tokensSinceSuccess = 0;
    if (running.tokensSinceSuccess < tokensPerSuccess)
        return;
    running.tokensSinceSuccess = 0;
    if (presentPace() == LatencyClass::WithinTarget)
        m_limit.recordSustainedLoad(occupancy());
}

// Learns from prompts that waited for no other one. One step of the batch passes before the first
// token whatever the length of the prompt.
void ServerWork::learnPrefill(const RunningRequest &running, const Usage &usage)
{
    if (running.promptTokensAhead != running.promptTokens)
        return;
    const std::uint64_t uncached =
            running.promptTokens - std::min(running.promptTokens, usage.cachedTokens);
    const Duration step = m_rates.interval(batch());
    const Duration least = usage.firstTokenTime / 10;
    m_rates.prefillObserved(uncached, std::max(usage.firstTokenTime - step, least));
}

// A plain service has no tokens; its answer as a whole counts as one.
LatencyClass ServerWork::observeWhole(const RunningRequest &running, Duration total)
{
    const Duration alone = m_rates.interval(1);
    const Duration baseline = m_rates.interval(running.companions);
    LatencyClass latencyClass = LatencyClass::WithinTarget;
    if (baseline > Duration::zero() && total > baseline * slowFactor + jitter)
        latencyClass = LatencyClass::Slow;
    else if (alone > Duration::zero() && total > alone * 2 + jitter)
        latencyClass = LatencyClass::AboveTarget;
    if (latencyClass != LatencyClass::Slow)
        m_rates.intervalObserved(running.companions, total);
    return latencyClass;
}

void ServerWork::note(RunningRequest &running, LatencyClass latencyClass, Instant now)
{
    running.latestPace = latencyClass;
    if (latencyClass == LatencyClass::Slow)
        running.slow = true;
    m_limit.recordLatency(latencyClass, occupancy(), now);
}

// The server kept its usual pace since the given time. Only windows without prompts and whole
// answers show that: a long prompt explains any pace.
void ServerWork::clearSuspicion(Instant since)
{
    if (!m_suspect || since < m_suspectSince)
        return;
    m_suspect = false;
    learnGap(m_suspectGap); // the gap had another cause
}

void ServerWork::relearnIfStuck(Instant now)
{
    const bool stuck = m_limit.cold() && m_limit.concurrency() == m_limits.coldConcurrency;
    if (!stuck || now - m_limit.coldSince() < relearnAfter)
        return;
    m_rates.clear();
    m_limit.restartColdPeriod(now);
}

void ServerWork::remove(RequestId request, Instant now)
{
    const auto it = m_running.find(request);
    if (!it->second.firstTokenAt) {
        m_pendingPrompt -= it->second.promptTokens;
        --m_prefilling;
    }
    m_heldTokens -= it->second.promptTokens + it->second.outputTokens;
    m_running.erase(it);
    m_lastProgress = now;
    m_startsSinceProgress = 0;
}

} // namespace cornelshed
