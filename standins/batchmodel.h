// Continuous batching in virtual steps. Each step prefills a bounded number of prompt tokens in
// arrival order and decodes one token of every prefilled request. The model has no clock: the
// caller waits for the duration that a step returns.

#ifndef CORNELSHED_STANDINS_BATCHMODEL_H
#define CORNELSHED_STANDINS_BATCHMODEL_H

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

namespace cornelshed::standins {

struct BatchRates
{
    double prefillTokensPerSecond = 20000;
    double decodeTokensPerSecond = 100; // one stream alone on the server
};

struct BatchStep
{
    std::chrono::microseconds duration {};
    std::vector<std::uint64_t> decoded;  // jobs that got one more token
    std::vector<std::uint64_t> finished; // jobs that got their last token; also in decoded
};

class BatchModel
{
public:
    explicit BatchModel(BatchRates rates) : m_rates(rates) { }

    // Returns the job's number. There is no queue and no priority: jobs join the next step.
    std::uint64_t admit(std::uint64_t prefillTokens, std::uint64_t outputTokens);
    void cancel(std::uint64_t job);

    // Advances all jobs by one step. slowdown multiplies its duration.
    BatchStep step(double slowdown);

    [[nodiscard]] std::size_t runningCount() const { return m_jobs.size(); }
    // Prompt and output tokens not yet done, of all jobs.
    [[nodiscard]] std::uint64_t outstandingTokens() const;

private:
    struct Job
    {
        std::uint64_t prefillLeft = 0;
        std::uint64_t outputLeft = 0;
        std::uint64_t heldTokens = 0; // in the KV cache
    };

    std::uint64_t prefillJobs();
    [[nodiscard]] double decodeSeconds(std::size_t batchSize, std::uint64_t heldTokens) const;

    BatchRates m_rates;
    std::uint64_t m_lastJob = 0;
    std::map<std::uint64_t, Job> m_jobs; // in order of arrival
};

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_BATCHMODEL_H
