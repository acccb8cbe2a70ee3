// Work and duration of each step of the continuous batching model.

#include "batchmodel.h"

#include <algorithm>

namespace cornelshed::standins {

namespace {

// Prompt tokens prefilled in one step. Without a bound, a long prompt would stall the decoding of
// the other requests for seconds.
constexpr std::uint64_t maxPrefillTokensPerStep = 512;

// A decode step takes twice as long as for a single stream when this many further requests are in
// the batch, or when the KV cache holds this many tokens of the batch. Both effects add up.
constexpr double stepTimeDoublingBatchSize = 32;
constexpr double stepTimeDoublingCacheTokens = 65536;

} // namespace

std::uint64_t BatchModel::admit(std::uint64_t prefillTokens, std::uint64_t outputTokens)
{
    const std::uint64_t output = std::max<std::uint64_t>(outputTokens, 1);
    m_jobs[++m_lastJobNumber] = {prefillTokens, output, 0};
    return m_lastJobNumber;
}

void BatchModel::cancel(std::uint64_t jobNumber)
{
    m_jobs.erase(jobNumber);
}

BatchStep BatchModel::step(double slowdownFactor)
{
    const std::uint64_t prefilledTokens = prefillWaitingJobs();
    BatchStep step;
    std::uint64_t batchCacheTokens = 0;
    for (auto &[jobNumber, job] : m_jobs) {
        if (job.prefillTokensLeft > 0)
            continue;
        job.outputTokensLeft -= 1;
        job.kvCacheTokens += 1;
        batchCacheTokens += job.kvCacheTokens;
        step.decoded.push_back(jobNumber);
        if (job.outputTokensLeft == 0)
            step.finished.push_back(jobNumber);
    }
    for (const std::uint64_t it : step.finished)
        m_jobs.erase(it);
    double seconds = static_cast<double>(prefilledTokens) / m_rates.prefillTokensPerSecond;
    if (!step.decoded.empty())
        seconds += decodeStepSeconds(step.decoded.size(), batchCacheTokens);
    step.duration =
            std::chrono::microseconds(static_cast<std::int64_t>(seconds * slowdownFactor * 1e6));
    return step;
}

std::uint64_t BatchModel::outstandingTokens() const
{
    std::uint64_t tokens = 0;
    for (const auto &[jobNumber, job] : m_jobs)
        tokens += job.prefillTokensLeft + job.outputTokensLeft;
    return tokens;
}

std::uint64_t BatchModel::prefillWaitingJobs()
{
    std::uint64_t budget = maxPrefillTokensPerStep;
    for (auto &[jobNumber, job] : m_jobs) {
        const std::uint64_t tokens = std::min(budget, job.prefillTokensLeft);
        job.prefillTokensLeft -= tokens;
        job.kvCacheTokens += tokens;
        budget -= tokens;
    }
    return maxPrefillTokensPerStep - budget;
}

double BatchModel::decodeStepSeconds(std::size_t batchSize, std::uint64_t kvCacheTokens) const
{
    const double batchSizeCost = static_cast<double>(batchSize - 1) / stepTimeDoublingBatchSize;
    const double cacheCost = static_cast<double>(kvCacheTokens) / stepTimeDoublingCacheTokens;
    return (1 + batchSizeCost + cacheCost) / m_rates.decodeTokensPerSecond;
}

} // namespace cornelshed::standins
