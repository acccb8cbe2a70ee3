// Step arithmetic of the continuous batching model.

#include "batchmodel.h"

#include <algorithm>

namespace cornelshed::standins {

namespace {

// Prompt tokens in one step; a bound keeps long prompts from stalling decoding for seconds.
constexpr std::uint64_t prefillTokensPerStep = 512;

// Batch size and tokens held at which the time of a decode step has doubled.
constexpr double doublingBatchSize = 32;
constexpr double doublingHeldTokens = 65536;

} // namespace

std::uint64_t BatchModel::admit(std::uint64_t prefillTokens, std::uint64_t outputTokens)
{
    const std::uint64_t output = std::max<std::uint64_t>(outputTokens, 1);
    m_jobs[++m_lastJob] = {prefillTokens, output, 0};
    return m_lastJob;
}

void BatchModel::cancel(std::uint64_t job)
{
    m_jobs.erase(job);
}

BatchStep BatchModel::step(double slowdown)
{
    const std::uint64_t prefilled = prefillJobs();
    BatchStep step;
    std::uint64_t held = 0;
    for (auto &[job, state] : m_jobs) {
        if (state.prefillLeft > 0)
            continue;
        state.outputLeft -= 1;
        state.heldTokens += 1;
        held += state.heldTokens;
        step.decoded.push_back(job);
        if (state.outputLeft == 0)
            step.finished.push_back(job);
    }
    for (const std::uint64_t it : step.finished)
        m_jobs.erase(it);
    double seconds = static_cast<double>(prefilled) / m_rates.prefillTokensPerSecond;
    if (!step.decoded.empty())
        seconds += decodeSeconds(step.decoded.size(), held);
    step.duration = std::chrono::microseconds(static_cast<std::int64_t>(seconds * slowdown * 1e6));
    return step;
}

std::uint64_t BatchModel::outstandingTokens() const
{
    std::uint64_t tokens = 0;
    for (const auto &[job, state] : m_jobs)
        tokens += state.prefillLeft + state.outputLeft;
    return tokens;
}

std::uint64_t BatchModel::prefillJobs()
{
    std::uint64_t budget = prefillTokensPerStep;
    for (auto &[job, state] : m_jobs) {
        const std::uint64_t tokens = std::min(budget, state.prefillLeft);
        state.prefillLeft -= tokens;
        state.heldTokens += tokens;
        budget -= tokens;
    }
    return prefillTokensPerStep - budget;
}

double BatchModel::decodeSeconds(std::size_t batchSize, std::uint64_t heldTokens) const
{
    const double others = static_cast<double>(batchSize - 1) / doublingBatchSize;
    const double memory = static_cast<double>(heldTokens) / doublingHeldTokens;
    return (1 + others + memory) / m_rates.decodeTokensPerSecond;
}

} // namespace cornelshed::standins
