// Implements how the limit of a backend server grows and shrinks.

#include "adaptivelimit.h"

#include <algorithm>

namespace cornelshed {

namespace {

// Consecutive slow observations after which the server counts as cold. A server that became cold
// without reporting it must be detected within three requests.
constexpr std::uint32_t slowObservationsUntilCold = 3;

// A single failure may be caused by the request; a second one in a row is attributed to the server.
constexpr std::uint32_t failuresUntilCold = 2;

// Consecutive observations above the latency targets that shrink the limit. Shorter phases are
// ignored, because one long prompt briefly slows down all streams of a batch.
constexpr std::uint32_t observationsUntilShrink = 32;

// One in this many slots is reserved for short requests.
constexpr std::uint32_t shortOnlyDivisor = 5;

constexpr double shrinkFactor = 0.9;

} // namespace

AdaptiveLimit::AdaptiveLimit(const AdaptiveLimitSettings &settings)
    : m_settings(settings), m_concurrency(settings.coldConcurrency), m_tokens(settings.coldTokens)
{ }

void AdaptiveLimit::setMaximumConcurrency(std::uint32_t maximum)
{
    m_settings.maximumConcurrency = std::max(maximum, m_settings.coldConcurrency);
    m_concurrency = std::min(m_concurrency, m_settings.maximumConcurrency);
}

bool AdaptiveLimit::admits(const Occupancy &occupancy, std::uint64_t requestTokens,
                           bool isShort) const
{
    if (occupancy.requests == 0)
        return true;
    const std::uint32_t requestLimit = isShort ? m_concurrency : longRequestLimit();
    return occupancy.requests < requestLimit && occupancy.tokens + requestTokens <= m_tokens;
}

void AdaptiveLimit::recordLatency(LatencyClass latencyClass, const Occupancy &occupancy,
                                  Instant now)
{
    m_consecutiveSlow = latencyClass == LatencyClass::Slow ? m_consecutiveSlow + 1 : 0;
    m_consecutiveAboveTarget =
            latencyClass == LatencyClass::WithinTarget ? 0 : m_consecutiveAboveTarget + 1;
    if (m_consecutiveSlow >= slowObservationsUntilCold)
        resetToCold(now);
    else if (m_consecutiveAboveTarget >= observationsUntilShrink)
        shrink(occupancy);
}

void AdaptiveLimit::recordSuccess(const Occupancy &occupancy, LatencyClass latencyClass)
{
    m_consecutiveFailures = 0;
    if (latencyClass != LatencyClass::WithinTarget) {
        if (latencyClass == LatencyClass::AboveTarget && m_concurrency > m_settings.coldConcurrency)
            m_cold = false; // the latency targets leave no room for further doubling
        return;
    }
    if (!full(occupancy))
        return;
    if (m_cold)
        growCold();
    else
        growWarm(occupancy);
}

void AdaptiveLimit::recordSustainedLoad(const Occupancy &occupancy)
{
    if (m_cold && full(occupancy))
        growCold();
}

void AdaptiveLimit::recordServerQueueing(const Occupancy &occupancyBefore)
{
    m_cold = false;
    m_successesAtFullOccupancy = 0;
    m_tokens = std::clamp(occupancyBefore.tokens, m_settings.coldTokens, m_tokens);
    // If far fewer requests ran than the concurrency limit allows, tokens were the bottleneck, and
    // the concurrency limit is kept.
    if (occupancyBefore.requests + 1 >= m_concurrency * shrinkFactor)
        m_concurrency =
                std::clamp(occupancyBefore.requests, m_settings.coldConcurrency, m_concurrency);
}

void AdaptiveLimit::recordFailure(Instant now)
{
    if (++m_consecutiveFailures >= failuresUntilCold)
        resetToCold(now);
}

void AdaptiveLimit::resetToCold(Instant now)
{
    m_concurrency = m_settings.coldConcurrency;
    m_tokens = m_settings.coldTokens;
    m_consecutiveSlow = 0;
    m_consecutiveAboveTarget = 0;
    m_consecutiveFailures = 0;
    m_successesAtFullOccupancy = 0;
    if (!m_cold)
        m_coldSince = now;
    m_cold = true;
}

std::uint32_t AdaptiveLimit::longRequestLimit() const
{
    return m_concurrency - m_concurrency / shortOnlyDivisor;
}

// Half of the token limit already counts as full, because the next large request would not fit.
bool AdaptiveLimit::fullByTokens(const Occupancy &occupancy) const
{
    return occupancy.tokens * 2 >= m_tokens;
}

bool AdaptiveLimit::full(const Occupancy &occupancy) const
{
    return occupancy.requests >= longRequestLimit() || fullByTokens(occupancy);
}

void AdaptiveLimit::growCold()
{
    m_concurrency = std::min(m_concurrency * 2, m_settings.maximumConcurrency);
    m_tokens = std::min(m_tokens * 2, m_settings.maximumTokens);
    if (m_concurrency == m_settings.maximumConcurrency && m_tokens == m_settings.maximumTokens)
        m_cold = false;
}

// Raises only the limit that was reached, as only that one is known to be too low.
void AdaptiveLimit::growWarm(const Occupancy &occupancy)
{
    if (++m_successesAtFullOccupancy < m_concurrency)
        return;
    m_successesAtFullOccupancy = 0;
    const std::uint64_t tokensPerRequest = std::max<std::uint64_t>(m_tokens / m_concurrency, 1);
    if (fullByTokens(occupancy))
        m_tokens = std::min(m_tokens + tokensPerRequest, m_settings.maximumTokens);
    if (occupancy.requests >= longRequestLimit())
        m_concurrency = std::min(m_concurrency + 1, m_settings.maximumConcurrency);
}

// Shrinks relative to the occupancy rather than to the limit: a batch of long requests takes time
// to drain, and must not lower the limit again with each token meanwhile.
void AdaptiveLimit::shrink(const Occupancy &occupancy)
{
    m_consecutiveAboveTarget = 0;
    m_successesAtFullOccupancy = 0;
    if (occupancy.requests <= m_settings.coldConcurrency)
        return;
    m_cold = false;
    const auto newConcurrency = static_cast<std::uint32_t>(occupancy.requests * shrinkFactor);
    m_concurrency = std::clamp(newConcurrency, m_settings.coldConcurrency, m_concurrency);
    const auto newTokens =
            static_cast<std::uint64_t>(static_cast<double>(occupancy.tokens) * shrinkFactor);
    m_tokens = std::clamp(newTokens, m_settings.coldTokens, m_tokens);
}

} // namespace cornelshed
