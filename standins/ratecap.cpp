// Cap on operations a second.

#include "ratecap.h"

#include <algorithm>

namespace cornelshed::standins {

bool RateCap::admit(std::int64_t second)
{
    if (second != m_second) {
        m_second = second;
        m_secondCount = 0;
    }
    m_secondCount += 1;
    m_worstSecondCount = std::max(m_worstSecondCount, m_secondCount);
    const bool admitted = m_secondCount <= m_limitPerSecond;
    (admitted ? m_totalCount : m_refusedCount) += 1;
    return admitted;
}

} // namespace cornelshed::standins
