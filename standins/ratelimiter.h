// Rate limiter of the platform stand-in: limits and counts the operations in each whole second.

#ifndef CORNELSHED_STANDINS_RATELIMITER_H
#define CORNELSHED_STANDINS_RATELIMITER_H

#include <cstdint>

namespace cornelshed::standins {

class RateLimiter
{
public:
    explicit RateLimiter(std::uint64_t limitPerSecond) : m_limitPerSecond(limitPerSecond) { }

    // Counts one operation in the given second, and returns whether it is within the limit.
    bool admit(std::int64_t second);

    [[nodiscard]] std::uint64_t totalCount() const { return m_totalCount; } // admitted only
    [[nodiscard]] std::uint64_t refusedCount() const { return m_refusedCount; }
    [[nodiscard]] std::uint64_t peakSecondCount() const { return m_peakSecondCount; }

private:
    std::uint64_t m_limitPerSecond;
    std::int64_t m_currentSecond = -1;
    std::uint64_t m_currentSecondCount = 0; // operations in m_currentSecond, including refused ones
    std::uint64_t m_totalCount = 0;
    std::uint64_t m_refusedCount = 0;
    std::uint64_t m_peakSecondCount = 0; // most operations in any second, including refused ones
};

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_RATELIMITER_H
