// Limits repeated attempts to a share of the first attempts in a sliding window, plus a constant.
// The bound is on the sum over all daemons: each daemon spends its own share of the constant and
// counts its own first attempts, so that the sum keeps the bound also while daemons are cut off.

#ifndef CORNELSHED_WINDOWEDBUDGET_H
#define CORNELSHED_WINDOWEDBUDGET_H

#include "types.h"

#include <cstdint>
#include <deque>

namespace cornelshed {

struct WindowedBudgetSettings
{
    double ratio = 0.2;  // repeats for each first attempt
    double constant = 0; // repeats beyond that in any window, of all daemons
    Duration window = std::chrono::seconds(10);

    bool operator==(const WindowedBudgetSettings &) const = default;
};

class WindowedBudget
{
public:
    explicit WindowedBudget(const WindowedBudgetSettings &settings) : m_settings(settings) { }

    void firstAttempt(Instant now);

    // Takes one repeat; false if the window has none left. daemons shares the constant: all that
    // may be alive, this one included; at least 1.
    bool tryRepeat(std::uint32_t daemons, Instant now);

private:
    void expire(Instant now);

    WindowedBudgetSettings m_settings;
    std::deque<Instant> m_firstAttempts; // within the window, oldest first
    std::deque<Instant> m_repeats;       // within the window, oldest first
};

} // namespace cornelshed

#endif // CORNELSHED_WINDOWEDBUDGET_H
