// Retry budget: a token bucket that limits retries to a share of the first attempts, so that
// retries cannot multiply the load of an overloaded system.

#ifndef CORNELSHED_RETRYBUDGET_H
#define CORNELSHED_RETRYBUDGET_H

#include <cstdint>

namespace cornelshed {

class RetryBudget
{
public:
    // share: tokens added per first attempt; negative values count as 0. burst: capacity of the
    // bucket, which is full initially. Each retry takes one token.
    RetryBudget(double share, std::uint32_t burst);

    void firstAttempt();

    // Takes one token. Returns false if there is less than one.
    bool tryTakeRetry();

    double available() const { return m_tokens; }

private:
    double m_share;
    double m_burst;
    double m_tokens; // invariant: in [0, m_burst]
};

} // namespace cornelshed

#endif // CORNELSHED_RETRYBUDGET_H
