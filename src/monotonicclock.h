// The time that daemons feed to the decision library: the host's steady clock as an Instant.

#ifndef CORNELSHED_MONOTONICCLOCK_H
#define CORNELSHED_MONOTONICCLOCK_H

#include "types.h"

#include <algorithm>
#include <chrono>
#include <ctime>

namespace cornelshed {

inline Instant monotonicNow()
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return Instant(std::chrono::duration_cast<Duration>(sinceStart));
}

// Time since the host started, including time for which it was suspended; the steady clock stops
// there. For judging how old a fact is, never for timers.
inline Duration timeSinceBoot()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                + std::chrono::nanoseconds(time.tv_nsec));
}

// The clock's time point for an Instant; instants too far away to represent become a day ahead.
inline std::chrono::steady_clock::time_point toSteadyTime(Instant instant, Instant now)
{
    const Duration ahead = std::min<Duration>(instant - now, std::chrono::hours(24));
    return std::chrono::steady_clock::now() + ahead;
}

} // namespace cornelshed

#endif // CORNELSHED_MONOTONICCLOCK_H
