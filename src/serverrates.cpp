// Exponentially weighted averages of a backend server's speed.

#include "serverrates.h"

#include <algorithm>
#include <bit>

namespace cornelshed {

namespace {

// About ten observations dominate the average; single outliers move it by a tenth.
constexpr double weightOfNew = 0.1;

// Prompt tokens after which one observation moves the average by a half. The time of short prompts
// is mostly fixed cost, so they say little about the rate.
constexpr double halfWeightTokens = 8000;

double averaged(double old, double observed, double weight)
{
    return old == 0 ? observed : old + weight * (observed - old);
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
    const double rate = static_cast<double>(tokens) * 1e6 / static_cast<double>(time.count());
    const double weight =
            static_cast<double>(tokens) / (static_cast<double>(tokens) + halfWeightTokens);
    m_prefillRate = averaged(m_prefillRate, rate, weight);
}

void ServerRates::intervalObserved(std::uint32_t batch, Duration interval)
{
    if (interval.count() <= 0)
        return;
    double &bucket = m_intervalUs[bucketOf(batch, bucketCount)];
    bucket = averaged(bucket, static_cast<double>(interval.count()), weightOfNew);
}

void ServerRates::clear()
{
    m_prefillRate = 0;
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

Duration ServerRates::prefillTime(std::uint64_t tokens) const
{
    if (m_prefillRate == 0)
        return Duration::zero();
    return Duration(static_cast<Duration::rep>(static_cast<double>(tokens) * 1e6 / m_prefillRate));
}

} // namespace cornelshed
