// Value that observers see with a delay: as it was a fixed time ago.

#ifndef CORNELSHED_STANDINS_LAGGEDVALUE_H
#define CORNELSHED_STANDINS_LAGGEDVALUE_H

#include <chrono>
#include <deque>
#include <utility>

namespace cornelshed::standins {

using SteadyTime = std::chrono::steady_clock::time_point;

template<typename Value> class LaggedValue
{
public:
    LaggedValue(Value initial, std::chrono::milliseconds lag) : m_lag(lag)
    {
        m_history.emplace_back(SteadyTime::min(), std::move(initial));
    }

    void set(SteadyTime now, Value value)
    {
        m_history.emplace_back(now, std::move(value));
        discardExpired(now);
    }

    // Returns the value as it was m_lag before now.
    const Value &visible(SteadyTime now)
    {
        discardExpired(now);
        return m_history.front().second;
    }

    [[nodiscard]] const Value &latest() const { return m_history.back().second; }

private:
    // Removes the values that are no longer visible because a later one is visible.
    void discardExpired(SteadyTime now)
    {
        while (m_history.size() > 1 && m_history[1].first + m_lag <= now)
            m_history.pop_front();
    }

    std::chrono::milliseconds m_lag;
    // Values with the times at which they were set, in ascending order; never empty.
    std::deque<std::pair<SteadyTime, Value>> m_history;
};

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_LAGGEDVALUE_H
