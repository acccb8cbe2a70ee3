// Growth and fall of the limit on requests and tokens of one backend server.

#include "adaptivelimit.h"

#include <algorithm>

namespace cornelshed {

namespace {

// A server that silently turned cold has to be noticed within three requests.
constexpr std::uint32_t slowUntilCold = 3;

// One failure may be the request's own fault; a second one in a row is the server's.
constexpr std::uint32_t failuresUntilCold = 2;

// Load beyond the latency targets shrinks the limit only when it lasts: one long prompt slows all
// streams of a batch for a moment.
constexpr std::uint32_t loadedUntilShrink = 32;
// One place in so many is open to small requests only.
constexpr std::uint32_t smallPlacesDivisor = 5;

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

bool AdaptiveLimit::admits(const Occupancy &occupancy, std::uint64_t requestTokens) const
{
    if (occupancy.requests == 0)
        return true;
    const bool isSmall = requestTokens <= smallTokens();
    const std::uint32_t places = isSmall ? m_concurrency : placesForLarge();
    return occupancy.requests < places && occupancy.tokens + requestTokens <= m_tokens;
}

void AdaptiveLimit::observed(Pace pace, const Occupancy &occupancy, Instant now)
{
    m_slowInARow = pace == Pace::Slow ? m_slowInARow + 1 : 0;
    m_loadedInARow = pace == Pace::Good ? 0 : m_loadedInARow + 1;
    if (m_slowInARow >= slowUntilCold)
        turnCold(now);
    else if (m_loadedInARow >= loadedUntilShrink)
        shrink(occupancy);
}

void AdaptiveLimit::succeeded(const Occupancy &occupancy, Pace pace)
{
    m_failedInARow = 0;
    if (pace != Pace::Good) {
        if (pace == Pace::Loaded && m_concurrency > m_settings.coldConcurrency)
            m_cold = false; // latency shows that the server is as full as the targets allow
        return;
    }
    if (!full(occupancy))
        return;
    if (m_cold)
        growCold();
    else
        growWarm(occupancy);
}

void AdaptiveLimit::steady(const Occupancy &occupancy)
{
    if (m_cold && full(occupancy))
        growCold();
}

void AdaptiveLimit::overfull(const Occupancy &beside)
{
    m_cold = false;
    m_successesAtLimit = 0;
    m_tokens = std::clamp(beside.tokens, m_settings.coldTokens, m_tokens);
    // Far below the limit on requests it was the tokens that did not fit.
    if (beside.requests + 1 >= m_concurrency * shrinkFactor)
        m_concurrency = std::clamp(beside.requests, m_settings.coldConcurrency, m_concurrency);
}

void AdaptiveLimit::failed(Instant now)
{
    if (++m_failedInARow >= failuresUntilCold)
        turnCold(now);
}

void AdaptiveLimit::turnCold(Instant now)
{
    m_concurrency = m_settings.coldConcurrency;
    m_tokens = m_settings.coldTokens;
    m_slowInARow = 0;
    m_loadedInARow = 0;
    m_failedInARow = 0;
    m_successesAtLimit = 0;
    if (!m_cold)
        m_coldSince = now;
    m_cold = true;
}

std::uint32_t AdaptiveLimit::placesForLarge() const
{
    return m_concurrency - m_concurrency / smallPlacesDivisor;
}

// Half of the token limit counts as full: the next large request would not fit.
bool AdaptiveLimit::fullByTokens(const Occupancy &occupancy) const
{
    return occupancy.tokens * 2 >= m_tokens;
}

bool AdaptiveLimit::full(const Occupancy &occupancy) const
{
    return occupancy.requests >= placesForLarge() || fullByTokens(occupancy);
}

void AdaptiveLimit::growCold()
{
    m_concurrency = std::min(m_concurrency * 2, m_settings.maximumConcurrency);
    m_tokens = std::min(m_tokens * 2, m_settings.maximumTokens);
    if (m_concurrency == m_settings.maximumConcurrency && m_tokens == m_settings.maximumTokens)
        m_cold = false;
}

// Only what was full has been shown to be too small.
void AdaptiveLimit::growWarm(const Occupancy &occupancy)
{
    if (++m_successesAtLimit < m_concurrency)
        return;
    m_successesAtLimit = 0;
    const std::uint64_t tokensOfOne = std::max<std::uint64_t>(m_tokens / m_concurrency, 1);
    if (fullByTokens(occupancy))
        m_tokens = std::min(m_tokens + tokensOfOne, m_settings.maximumTokens);
    if (occupancy.requests >= placesForLarge())
        m_concurrency = std::min(m_concurrency + 1, m_settings.maximumConcurrency);
}

// Shrinks relative to what runs, so that a long batch that cannot drain at once does not push the
// limit further down with every token.
void AdaptiveLimit::shrink(const Occupancy &occupancy)
{
    m_loadedInARow = 0;
    m_successesAtLimit = 0;
    if (occupancy.requests <= m_settings.coldConcurrency)
        return;
    m_cold = false;
    const auto fewer = static_cast<std::uint32_t>(occupancy.requests * shrinkFactor);
    m_concurrency = std::clamp(fewer, m_settings.coldConcurrency, m_concurrency);
    const auto less =
            static_cast<std::uint64_t>(static_cast<double>(occupancy.tokens) * shrinkFactor);
    m_tokens = std::clamp(less, m_settings.coldTokens, m_tokens);
}

} // namespace cornelshed
