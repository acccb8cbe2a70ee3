// State shared by all caller connections of an entry daemon.

#ifndef CORNELSHED_CALLERCONTEXT_H
#define CORNELSHED_CALLERCONTEXT_H

#include "answerbudget.h"
#include "callermemory.h"
#include "controllink.h"
#include "entrydispatcher.h"
#include "entrysettings.h"
#include "metrics.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

namespace cornelshed {

// Connections beyond the limit that may be open for a short time: provisional ones, refused ones
// that are told so, and dropped ones that are not closed yet. Further ones are not accepted, so
// that those who open connections without end do not use up the descriptors.
constexpr std::size_t extraConnectionCount = 32;
// Of these, the ones that stay open until their callers have read why they were refused or dropped.
constexpr std::size_t refusedConnectionCount = 16;

struct CallerMetrics
{
    explicit CallerMetrics(Metrics &metrics);

    Counter &answered;
    Counter &notRun;
    Counter &unknown;
    Counter &invalid;
    Counter &chunks;
    DurationSummary &answerTime;
};

// The referenced objects must outlive the connections.
class CallerContext
{
public:
    CallerContext(const EntrySettings &settings, const std::shared_ptr<MemoryPool> &pool,
                  std::uint64_t entryIncarnation, EntryDispatcher &dispatcher, ControlLink &control,
                  Metrics &metrics)
        : settings(settings), dispatcher(dispatcher), control(control), metrics(metrics),
          answerBudget(std::make_shared<AnswerBudget>(
                  AnswerLimits {settings.answerLimitBytes, settings.bufferedAnswersLimitBytes},
                  pool)),
          memory(requestMemoryLimits(settings), pool, metrics), m_entryIncarnation(entryIncarnation)
    { }

    // Null until the first setConfiguration().
    std::shared_ptr<const Configuration> configuration() const
    {
        const std::lock_guard lock(m_mutex);
        return m_configuration;
    }

    void setConfiguration(std::shared_ptr<const Configuration> configuration)
    {
        const std::lock_guard lock(m_mutex);
        m_configuration = std::move(configuration);
    }

    RequestId nextRequestId() { return {m_entryIncarnation, ++m_sequence}; }

    const EntrySettings &settings;
    EntryDispatcher &dispatcher;
    ControlLink &control;
    CallerMetrics metrics;
    const std::shared_ptr<AnswerBudget> answerBudget; // of the answers that the connections hold
    CallerMemory memory;                              // of the requests
    std::atomic<std::size_t> connectionCount {0};
    std::atomic<std::size_t> refusedCount {0}; // connections that are told that they are too many
    std::atomic<std::size_t> activeCount {0};  // connections that the shutdown waits for
    std::atomic<bool> shuttingDown {false};

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const Configuration> m_configuration;
    std::uint64_t m_entryIncarnation;
    std::atomic<std::uint64_t> m_sequence {0};
};

} // namespace cornelshed

#endif // CORNELSHED_CALLERCONTEXT_H
