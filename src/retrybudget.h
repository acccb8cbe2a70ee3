// Token bucket that limits repeated offers to a share of first attempts, so that retries cannot
// multiply the load of an overloaded system.

#ifndef CORNELSHED_RETRYBUDGET_H
#define CORNELSHED_RETRYBUDGET_H

#include <cstdint>

namespace cornelshed {

class RetryBudget
{
public:
    // share: retries allowed for each first attempt, 0 or more; burst: most tokens kept. The bucket
    // starts full.
    RetryBudget(double share, std::uint32_t burst);

    void firstAttempt();

    // Takes one token; false if none is left.
    bool tryRetry();

    double available() const { return m_tokens; }

private:
    double m_share;
    double m_burst;
    double m_tokens; // invariant: in [0, m_burst]
};

} // namespace cornelshed

#endif // CORNELSHED_RETRYBUDGET_H
