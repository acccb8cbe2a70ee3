// Exponentially weighted averages of a backend server's speed.

#include "serverrates.h"

#include <algorithm>
#include <bit>

namespace cornelshed {

namespace {

// About ten observations dominate the average; single outliers move it by a tenth.
constexpr double weightOfNew = 0.1;

// Prompt tokens that the average covers. It weighs by tokens, because the time of a short prompt is
// mostly fixed cost and says little about the rate.
constexpr double prefillMemoryTokens = 16000;

double averaged(double old, double observed)
{
    return old == 0 ? observed : old + weightOfNew * (observed - old);
}

std::size_t bucketOf(std::uint32_t batch, std::size_t count)
{
    const std::size_t width = static_cast<std::size_t>(std::bit_width(std::max(batch, 1U))) - 1;
    return std::min(width, count - 1);
}

} // namespace

void ServerRates::prefillObserved(std::uint64_t tokens, Duration time)
{
    if (tokens == 0 || time.count() <= 0)
        return;
    m_prefillTokens += static_cast<double>(tokens);
    m_prefillUs += static_cast<double>(time.count());
    const double kept = std::min(1.0, prefillMemoryTokens / m_prefillTokens);
    m_prefillTokens *= kept;
    m_prefillUs *= kept;
}

void ServerRates::intervalObserved(std::uint32_t batch, Duration interval)
{
    if (interval.count() <= 0)
        return;
    double &bucket = m_intervalUs[bucketOf(batch, bucketCount)];
    bucket = averaged(bucket, static_cast<double>(interval.count()));
}

void ServerRates::clear()
{
    m_prefillTokens = 0;
    m_prefillUs = 0;
    m_intervalUs.fill(0);
}

Duration ServerRates::interval(std::uint32_t batch) const
{
    const std::size_t wanted = bucketOf(batch, bucketCount);
    for (std::size_t distance = 0; distance < bucketCount; ++distance) {
        const std::size_t above = wanted + distance;
        if (above < bucketCount && m_intervalUs[above] > 0)
            return Duration(static_cast<Duration::rep>(m_intervalUs[above]));
        if (distance <= wanted && m_intervalUs[wanted - distance] > 0)
            return Duration(static_cast<Duration::rep>(m_intervalUs[wanted - distance]));
    }
    return Duration::zero();
}

double ServerRates::prefillTokensPerSecond() const
{
    return m_prefillUs == 0 ? 0 : m_prefillTokens * 1e6 / m_prefillUs;
}

Duration ServerRates::prefillTime(std::uint64_t tokens) const
{
    if (m_prefillTokens == 0)
        return Duration::zero();
    const double us = static_cast<double>(tokens) * m_prefillUs / m_prefillTokens;
    return Duration(static_cast<Duration::rep>(us));
}

} // namespace cornelshed
