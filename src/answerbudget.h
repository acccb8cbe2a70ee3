// Limits of the bytes of answers that a daemon holds until they are sent on: one limit for each
// answer and one for all; they also count in the pool of the daemon. Thread-safe.

#ifndef CORNELSHED_ANSWERBUDGET_H
#define CORNELSHED_ANSWERBUDGET_H

#include "memorypool.h"

#include <atomic>
#include <cstddef>
#include <memory>
#include <mutex>
#include <utility>

namespace cornelshed {

struct AnswerLimits
{
    std::size_t answerBytes = 0;     // for each answer
    std::size_t allAnswersBytes = 0; // for all answers together

    bool operator==(const AnswerLimits &) const = default;
};

enum class AnswerRoom {
    Taken,
    AnswerTooLarge, // beyond the limit for each answer
    BudgetExhausted // beyond the limit for all answers, or no room in the pool
};

class AnswerBudget
{
public:
    // An answer that holds no more than this may use the whole budget, others only three quarters
    // of it: large answers, of which few fill the budget, leave room for the short ones.
    static constexpr std::size_t shortAnswerBytes = std::size_t {64} << 10U;

    // pool: null: none.
    explicit AnswerBudget(const AnswerLimits &limits, std::shared_ptr<MemoryPool> pool = nullptr)
        : m_limits(limits), m_pool(std::move(pool))
    { }
    AnswerBudget(const AnswerBudget &) = delete;
    AnswerBudget &operator=(const AnswerBudget &) = delete;

    const AnswerLimits &limits() const { return m_limits; }
    std::size_t heldBytes() const { return m_held; }

private:
    friend class AnswerShare;

    // answerBytes: held by the answer, including bytes.
    AnswerRoom tryTake(std::size_t answerBytes, std::size_t bytes);
    bool tryTakeOfLimit(std::size_t bytes, std::size_t limit);
    void release(std::size_t bytes);

    const AnswerLimits m_limits;
    const std::shared_ptr<MemoryPool> m_pool; // null: none
    std::atomic<std::size_t> m_held {0};
    // Part of m_held, of answers that found no room and so are about to release it. Within the
    // limit of all answers, others need not wait for that: answers that reach the limit of large
    // ones at the same moment would all be ended.
    std::atomic<std::size_t> m_ending {0};
};

// Bytes of the budget that one answer holds. The destructor releases them. An answer that found no
// room gets none until it has released everything.
class AnswerShare
{
public:
    explicit AnswerShare(std::shared_ptr<AnswerBudget> budget) : m_budget(std::move(budget)) { }
    ~AnswerShare() { release(heldBytes()); }
    AnswerShare(const AnswerShare &) = delete;
    AnswerShare &operator=(const AnswerShare &) = delete;

    // Takes the bytes, or none if a limit does not permit them.
    AnswerRoom tryTake(std::size_t bytes);

    // The bytes must have been taken.
    void release(std::size_t bytes);

    std::size_t heldBytes() const
    {
        const std::lock_guard lock(m_mutex);
        return m_held;
    }

private:
    std::shared_ptr<AnswerBudget> m_budget;
    mutable std::mutex m_mutex; // guards the members below
    std::size_t m_held = 0;
    bool m_isEnding = false; // m_held counts in the budget's m_ending
};

} // namespace cornelshed

#endif // CORNELSHED_ANSWERBUDGET_H
