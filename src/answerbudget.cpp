// The budget takes and releases bytes without a lock: chunks of answers arrive on the threads of
// the agents' sessions and are sent on by those of the callers' connections.

#include "answerbudget.h"

#include <algorithm>

namespace cornelshed {

AnswerRoom AnswerBudget::tryTake(std::size_t answerBytes, std::size_t bytes)
{
    if (answerBytes > m_limits.answerBytes)
        return AnswerRoom::AnswerTooLarge;
    const bool isShort = answerBytes <= shortAnswerBytes;
    const std::size_t limit = isShort ? m_limits.allAnswersBytes : m_limits.allAnswersBytes / 4 * 3;
    if (!tryTakeOfLimit(bytes, limit))
        return AnswerRoom::BudgetExhausted;
    if (!m_pool || m_pool->tryTake(bytes, isShort ? PoolUse::ShortAnswer : PoolUse::Large))
        return AnswerRoom::Taken;
    m_held -= bytes;
    return AnswerRoom::BudgetExhausted;
}

bool AnswerBudget::tryTakeOfLimit(std::size_t bytes, std::size_t limit)
{
    std::size_t held = m_held;
    do {
        if (held + bytes > std::min(limit + m_ending, m_limits.allAnswersBytes))
            return false;
    } while (!m_held.compare_exchange_weak(held, held + bytes));
    return true;
}

void AnswerBudget::release(std::size_t bytes)
{
    m_held -= bytes;
    if (m_pool)
        m_pool->release(bytes);
}

AnswerRoom AnswerShare::tryTake(std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    if (m_isEnding)
        return AnswerRoom::BudgetExhausted;
    const AnswerRoom room = m_budget->tryTake(m_held + bytes, bytes);
    if (room == AnswerRoom::Taken) {
        m_held += bytes;
    } else if (room == AnswerRoom::BudgetExhausted && m_held > 0) {
        m_isEnding = true;
        m_budget->m_ending += m_held;
    }
    return room;
}

void AnswerShare::release(std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    m_held -= bytes;
    m_budget->release(bytes);
    if (!m_isEnding)
        return;
    m_budget->m_ending -= bytes;
    m_isEnding = m_held > 0;
}

} // namespace cornelshed
