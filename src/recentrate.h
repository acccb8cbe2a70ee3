// Rate of events over the last second or so: each event counts less as time passes.

#ifndef CORNELSHED_RECENTRATE_H
#define CORNELSHED_RECENTRATE_H

#include "types.h"

#include <algorithm>
#include <cmath>

namespace cornelshed {

class RecentRate
{
public:
    void record(Instant now)
    {
        m_count = countAt(now) + 1;
        m_updatedAt = std::max(m_updatedAt, now);
    }

    double perSecond(Instant now) const { return countAt(now) / averagingSeconds; }

private:
    static constexpr double averagingSeconds = 1;

    double countAt(Instant now) const
    {
        const std::chrono::duration<double> age = std::max<Duration>(now - m_updatedAt, {});
        return m_count * std::exp(-age.count() / averagingSeconds);
    }

    double m_count = 0;
    Instant m_updatedAt {};
};

} // namespace cornelshed

#endif // CORNELSHED_RECENTRATE_H
