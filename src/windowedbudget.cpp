// Sliding-window counts of first attempts and repeats.

#include "windowedbudget.h"

#include <algorithm>

namespace cornelshed {

namespace {

// Part of the bound that is used: attempts at a window's edge may arrive in the next one.
constexpr double usedShare = 0.8;

} // namespace

void WindowedBudget::firstAttempt(Instant now)
{
    expire(now);
    m_firstAttempts.push_back(now);
}

bool WindowedBudget::tryRepeat(std::uint32_t daemons, Instant now)
{
    expire(now);
    const double share = m_settings.constant / std::max(daemons, 1U);
    const double limit =
            usedShare * (m_settings.ratio * static_cast<double>(m_firstAttempts.size()) + share);
    if (static_cast<double>(m_repeats.size()) + 1 > limit)
        return false;
    m_repeats.push_back(now);
    return true;
}

void WindowedBudget::expire(Instant now)
{
    const auto trim = [&](std::deque<Instant> &times) {
        while (!times.empty() && times.front() + m_settings.window <= now)
            times.pop_front();
    };
    trim(m_firstAttempts);
    trim(m_repeats);
}

} // namespace cornelshed
