// Cap on operations a second, enforced and counted over whole seconds.

#ifndef CORNELSHED_STANDINS_RATECAP_H
#define CORNELSHED_STANDINS_RATECAP_H

#include <cstdint>

namespace cornelshed::standins {

class RateCap
{
public:
    explicit RateCap(std::uint64_t limitPerSecond) : m_limitPerSecond(limitPerSecond) { }

    // Counts one operation in the given second and tells whether it is within the cap.
    bool admit(std::int64_t second);

    [[nodiscard]] std::uint64_t totalCount() const { return m_totalCount; } // admitted
    [[nodiscard]] std::uint64_t refusedCount() const { return m_refusedCount; }
    [[nodiscard]] std::uint64_t worstSecondCount() const { return m_worstSecondCount; }

private:
    std::uint64_t m_limitPerSecond;
    std::int64_t m_second = -1;
    std::uint64_t m_secondCount = 0; // arrivals in m_second, refused ones included
    std::uint64_t m_totalCount = 0;
    std::uint64_t m_refusedCount = 0;
    std::uint64_t m_worstSecondCount = 0; // arrivals, refused ones included
};

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_RATECAP_H
