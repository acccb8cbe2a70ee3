// Sliding-window counts of first attempts and retries.

#include "windowedretrybudget.h"

#include <algorithm>

namespace cornelshed {

namespace {

// Part of the limit that is used: attempts sent at the end of one window may arrive at the backend
// servers in the next one.
constexpr double usableLimitShare = 0.8;

} // namespace

void WindowedRetryBudget::firstAttempt(Instant now)
{
    expire(now);
    m_firstAttempts.push_back(now);
}

bool WindowedRetryBudget::hasRetry(std::uint32_t daemons, Instant now)
{
    expire(now);
    const double share = m_settings.constant / std::max(daemons, 1U);
    const double limit = usableLimitShare
            * (m_settings.ratio * static_cast<double>(m_firstAttempts.size()) + share);
    return static_cast<double>(m_retries.size()) + 1 <= limit;
}

bool WindowedRetryBudget::tryTakeRetry(std::uint32_t daemons, Instant now)
{
    if (!hasRetry(daemons, now))
        return false;
    m_retries.push_back(now);
    return true;
}

void WindowedRetryBudget::expire(Instant now)
{
    const auto trim = [&](std::deque<Instant> &times) {
        while (!times.empty() && times.front() + m_settings.window <= now)
            times.pop_front();
    };
    trim(m_firstAttempts);
    trim(m_retries);
}

} // namespace cornelshed
