// Budget of retries: limits them to a ratio of the first attempts in a sliding window, plus a
// constant. The limit applies to the sum over all daemons. Each daemon counts its own first
// attempts and may use an equal share of the constant, so that the sum stays within the limit even
// when daemons cannot reach each other.

#ifndef CORNELSHED_WINDOWEDRETRYBUDGET_H
#define CORNELSHED_WINDOWEDRETRYBUDGET_H

#include "types.h"

#include <cstdint>
#include <deque>

namespace cornelshed {

struct WindowedRetryBudgetSettings
{
    double ratio = 0.2;  // retries per first attempt
    double constant = 0; // additional retries in any window, over all daemons
    Duration window = std::chrono::seconds(10);

    bool operator==(const WindowedRetryBudgetSettings &) const = default;
};

class WindowedRetryBudget
{
public:
    explicit WindowedRetryBudget(const WindowedRetryBudgetSettings &settings) : m_settings(settings)
    { }

    void firstAttempt(Instant now);

    // Takes one retry from the budget; false if none is left in the window. daemons: the number of
    // daemons that may be running, this one included, by which the constant is divided; at least 1.
    bool tryTakeRetry(std::uint32_t daemons, Instant now);
    bool hasRetry(std::uint32_t daemons, Instant now);

private:
    void expire(Instant now);

    WindowedRetryBudgetSettings m_settings;
    std::deque<Instant> m_firstAttempts; // within the window, oldest first
    std::deque<Instant> m_retries;       // within the window, oldest first
};

} // namespace cornelshed

#endif // CORNELSHED_WINDOWEDRETRYBUDGET_H
