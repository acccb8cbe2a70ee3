// Model of an inference engine with continuous batching. Each step prefills a bounded number of
// prompt tokens in order of arrival, and decodes one token of every request that is fully
// prefilled. The model has no clock: the caller waits for the duration that a step returns.

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
    double decodeTokensPerSecond = 100; // of a single stream on an idle server
};

struct BatchStep
{
    std::chrono::microseconds duration {};
    std::vector<std::uint64_t> decoded;  // numbers of the jobs that produced one more token
    std::vector<std::uint64_t> finished; // those of them that produced their last token
};

class BatchModel
{
public:
    explicit BatchModel(BatchRates rates) : m_rates(rates) { }

    // Adds a job and returns its number. The job takes part in the batch from the next step on;
    // there is neither a queue nor a priority.
    std::uint64_t admit(std::uint64_t prefillTokens, std::uint64_t outputTokens);
    void cancel(std::uint64_t jobNumber);

    // Advances all jobs by one step. The duration of the step is multiplied by slowdownFactor.
    BatchStep step(double slowdownFactor);

    [[nodiscard]] std::size_t runningCount() const { return m_jobs.size(); }
    // Prompt tokens still to prefill plus output tokens still to decode, over all jobs.
    [[nodiscard]] std::uint64_t outstandingTokens() const;

private:
    struct Job
    {
        std::uint64_t prefillTokensLeft = 0;
        std::uint64_t outputTokensLeft = 0;
        std::uint64_t kvCacheTokens = 0; // prefilled and decoded so far
    };

    // Returns the number of tokens prefilled.
    std::uint64_t prefillWaitingJobs();
    [[nodiscard]] double decodeStepSeconds(std::size_t batchSize,
                                           std::uint64_t kvCacheTokens) const;

    BatchRates m_rates;
    std::uint64_t m_lastJobNumber = 0;
    std::map<std::uint64_t, Job> m_jobs; // by number, thus in order of arrival
};

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_BATCHMODEL_H
