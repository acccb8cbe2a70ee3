// Spreads the Retry-After times of refused callers.

#include "retryaftertime.h"

#include "stabledigest.h"

#include <algorithm>

namespace cornelshed {

namespace {

using namespace std::chrono_literals;

constexpr Duration minReturnTime = 50ms;
// Range of the result as a share of the remaining time; the rest of that time is for the next
// attempt itself.
constexpr double earliestShare = 0.15;
constexpr double latestShare = 0.3;

} // namespace

Duration retryAfterTime(Duration expected, Duration remaining, std::string_view requestId)
{
    constexpr std::uint64_t steps = 1024;
    const double position = static_cast<double>(stableDigest(requestId) % steps) / steps;
    const double share = earliestShare + position * (latestShare - earliestShare);
    const auto spread = std::chrono::duration_cast<Duration>(remaining * share);
    const auto latest = std::chrono::duration_cast<Duration>(remaining * latestShare);
    return std::max(std::min(std::max(expected, spread), latest), minReturnTime);
}

} // namespace cornelshed
