// Reads the host's clocks and converts between its steady clock and Instant, the time type of the
// scheduling library.

#ifndef CORNELSHED_MONOTONICCLOCK_H
#define CORNELSHED_MONOTONICCLOCK_H

#include "types.h"

#include <algorithm>
#include <chrono>
#include <ctime>

namespace cornelshed {

inline Instant monotonicNow()
{
    const auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return Instant(std::chrono::duration_cast<Duration>(sinceEpoch));
}

// Time since the host booted, including time spent suspended, during which the steady clock stops.
// Use it to measure the age of data, never for timers.
inline Duration timeSinceBoot()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                + std::chrono::nanoseconds(time.tv_nsec));
}

// Converts an Instant to a time point of the steady clock. Instants more than a day ahead are
// limited to one day, because very distant ones cannot be represented.
inline std::chrono::steady_clock::time_point toSteadyTime(Instant instant, Instant now)
{
    const Duration ahead = std::min<Duration>(instant - now, std::chrono::hours(24));
    return std::chrono::steady_clock::now() + ahead;
}

} // namespace cornelshed

#endif // CORNELSHED_MONOTONICCLOCK_H
