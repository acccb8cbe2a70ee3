// Limits how often one kind of event is logged, so that one caller cannot fill the log. Events that
// are not logged are counted, and the next line tells their number.

#ifndef CORNELSHED_LOGTHROTTLE_H
#define CORNELSHED_LOGTHROTTLE_H

#include "types.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

namespace cornelshed {

class LogThrottle
{
public:
    LogThrottle(double linesPerSecond, double burstLines)
        : m_perSecond(linesPerSecond), m_burst(burstLines), m_lines(burstLines)
    { }

    // Returns the number of events since the last line if this one is to be logged.
    std::optional<std::uint64_t> admit(Instant now)
    {
        const double elapsed = std::chrono::duration<double>(now - m_at).count();
        m_at = now;
        m_lines = std::min(m_burst, m_lines + std::max(elapsed, 0.0) * m_perSecond);
        if (m_lines < 1) {
            ++m_suppressed;
            return std::nullopt;
        }
        --m_lines;
        return std::exchange(m_suppressed, 0);
    }

private:
    double m_perSecond;
    double m_burst;
    double m_lines; // that may be written now
    Instant m_at {};
    std::uint64_t m_suppressed = 0;
};

} // namespace cornelshed

#endif // CORNELSHED_LOGTHROTTLE_H
