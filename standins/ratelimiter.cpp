// Rate limiter with windows of one second.

#include "ratelimiter.h"

#include <algorithm>

namespace cornelshed::standins {

bool RateLimiter::admit(std::int64_t second)
{
    if (second != m_currentSecond) {
        m_currentSecond = second;
        m_currentSecondCount = 0;
    }
    m_currentSecondCount += 1;
    m_peakSecondCount = std::max(m_peakSecondCount, m_currentSecondCount);
    const bool admitted = m_currentSecondCount <= m_limitPerSecond;
    (admitted ? m_totalCount : m_refusedCount) += 1;
    return admitted;
}

} // namespace cornelshed::standins
