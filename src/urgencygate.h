// Keeps less urgent requests of a queue from requesting slots while a more urgent one waits. Each
// request asks only a few of the agents. At an agent that the urgent request has not asked, a less
// urgent one would be first, and a long stream holds its slot for many times the objective of the
// requests that are served before it.
//
// Load: more requests than slots for some seconds, with long streams among the least urgent ones.

#ifndef CORNELSHED_URGENCYGATE_H
#define CORNELSHED_URGENCYGATE_H

#include "types.h"

#include <cstdint>

namespace cornelshed {

// One pass over a queue in its order. Requests yield only to those of organisations of their own
// rank: otherwise the long streams of one organisation would hold up all requests of the others.
class UrgencyGate
{
public:
    // yieldAfter: time that a request must have waited for others to yield to it; 0: none do.
    explicit UrgencyGate(Duration yieldAfter) : m_yieldAfter(yieldAfter) { }

    // Whether a request of this order leaves the slots to one that was passed before. The upper 32
    // bits of an order hold the rank of the organisation.
    bool mustYield(std::uint64_t order) const
    {
        return m_isWaiting && rankOf(m_waitingOrder) == rankOf(order) && order > m_waitingOrder;
    }

    // The request of this order goes on waiting, as it has for this time.
    void passWaiting(std::uint64_t order, Duration waited)
    {
        const bool isFirst = !m_isWaiting || rankOf(m_waitingOrder) != rankOf(order);
        if (m_yieldAfter <= Duration::zero() || waited < m_yieldAfter || !isFirst)
            return;
        m_isWaiting = true;
        m_waitingOrder = order;
    }

private:
    static std::uint64_t rankOf(std::uint64_t order) { return order >> 32U; }

    Duration m_yieldAfter;
    bool m_isWaiting = false;
    std::uint64_t m_waitingOrder = 0; // of the first that waits, in the rank passed last
};

} // namespace cornelshed

#endif // CORNELSHED_URGENCYGATE_H
