// Implements the retry budget as a token bucket with fractional tokens.

#include "retrybudget.h"

#include <algorithm>

namespace cornelshed {

RetryBudget::RetryBudget(double share, std::uint32_t burst)
    : m_share(std::max(share, 0.0)), m_burst(burst), m_tokens(burst)
{ }

void RetryBudget::firstAttempt()
{
    m_tokens = std::min(m_tokens + m_share, m_burst);
}

bool RetryBudget::tryTakeRetry()
{
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace cornelshed
