// Computes exponentially weighted moving averages of a backend server's speed.

#include "serverrates.h"

#include <algorithm>
#include <bit>

namespace cornelshed {

namespace {

// Weight of a new sample. About ten samples dominate the average, and a single outlier changes it
// by a tenth of its deviation.
constexpr double newSampleWeight = 0.1;

// Number of prompt tokens over which the prefill rate is averaged. Samples are weighted by their
// tokens, because the time of a short prompt is mostly fixed cost and says little about the rate.
constexpr double prefillWindowTokens = 16000;

double weightedAverage(double old, double observed)
{
    return old == 0 ? observed : old + newSampleWeight * (observed - old);
}

std::size_t bucketOf(std::uint32_t batchSize, std::size_t count)
{
    const std::size_t width = static_cast<std::size_t>(std::bit_width(std::max(batchSize, 1U))) - 1;
    return std::min(width, count - 1);
}

} // namespace

void ServerRates::recordPrefill(std::uint64_t tokens, Duration time)
{
    if (tokens == 0 || time.count() <= 0)
        return;
    m_prefillTokens += static_cast<double>(tokens);
    m_prefillUs += static_cast<double>(time.count());
    const double scale = std::min(1.0, prefillWindowTokens / m_prefillTokens);
    m_prefillTokens *= scale;
    m_prefillUs *= scale;
}

void ServerRates::recordTokenInterval(std::uint32_t batchSize, Duration tokenInterval)
{
    if (tokenInterval.count() <= 0)
        return;
    double &bucket = m_tokenIntervalUs[bucketOf(batchSize, bucketCount)];
    bucket = weightedAverage(bucket, static_cast<double>(tokenInterval.count()));
}

void ServerRates::clear()
{
    m_prefillTokens = 0;
    m_prefillUs = 0;
    m_tokenIntervalUs.fill(0);
}

Duration ServerRates::tokenInterval(std::uint32_t batchSize) const
{
    const std::size_t wantedBucket = bucketOf(batchSize, bucketCount);
    for (std::size_t distance = 0; distance < bucketCount; ++distance) {
        const std::size_t above = wantedBucket + distance;
        if (above < bucketCount && m_tokenIntervalUs[above] > 0)
            return Duration(static_cast<Duration::rep>(m_tokenIntervalUs[above]));
        if (distance <= wantedBucket && m_tokenIntervalUs[wantedBucket - distance] > 0)
            return Duration(static_cast<Duration::rep>(m_tokenIntervalUs[wantedBucket - distance]));
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
