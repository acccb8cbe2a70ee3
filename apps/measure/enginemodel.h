// Model of a language-model inference engine in virtual time: continuous batching with chunked
// prefill, a prefix cache in the memory that running requests leave free, no priorities, a cold
// state, and faults. It simulates neither a cluster nor hardware; speeds are settings per engine
// generation.

#ifndef CORNELSHED_ENGINEMODEL_H
#define CORNELSHED_ENGINEMODEL_H

#include "eventqueue.h"
#include "messages.h"
#include "types.h"

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace cornelshed::measure {

struct EngineSettings
{
    double prefillTokensPerSecond = 24000;
    // Time of a step: base, plus the parts per decoding request and per 1000 tokens of context in
    // memory, plus the time of the prefill chunk.
    Duration stepBase = std::chrono::milliseconds(9);
    Duration stepPerRequest = std::chrono::microseconds(250);
    Duration stepPerThousandTokens = std::chrono::microseconds(40);
    std::uint64_t prefillChunkTokens = 512;
    std::uint64_t memoryTokens = 400000; // for contexts of running requests and cached prefixes
    std::uint32_t maximumBatch = 64;

    double coldSlowdown = 6;                             // factor on every step
    std::uint32_t coldConcurrency = 2;                   // requests that a cold engine can handle
    std::uint32_t warmUpAnswers = 8;                     // answers after which the engine is warm
    Duration coldOverloadTime = std::chrono::seconds(2); // until it fails the excess requests

    bool operator==(const EngineSettings &) const = default;
};

struct EngineJob
{
    RequestId request;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0; // number of tokens that the engine generates, at least 1
    std::vector<std::uint64_t> prefixHashes; // shortest prefix first
    std::uint32_t prefixTokensPerHash = 0;

    bool operator==(const EngineJob &) const = default;
};

class EngineListener
{
public:
    virtual ~EngineListener() = default;
    virtual void engineTokens(RequestId request, std::uint64_t count, bool first) = 0;
    virtual void engineFinished(RequestId request, const Usage &usage) = 0;
    // computedTokens: prompt tokens that were computed before the failure.
    virtual void engineFailed(RequestId request, FailReason reason,
                              std::uint64_t computedTokens) = 0;
};

class EngineModel
{
public:
    // events and listener must outlive the model.
    EngineModel(const EngineSettings &settings, EventQueue &events, EngineListener &listener);

    void start(const EngineJob &job);
    void cancel(RequestId request); // reports FailReason::Cancelled if the engine has the request
    void setSlowdown(double factor) { m_slowdown = factor; }
    void turnCold();
    void crash(); // drops all requests without notifying the listener, and turns cold

    bool cold() const { return m_cold; }
    std::uint32_t running() const { return static_cast<std::uint32_t>(m_batch.size()); }
    std::uint32_t waiting() const { return static_cast<std::uint32_t>(m_waiting.size()); }
    std::uint64_t contextTokens() const { return m_contextTokens; }
    std::uint64_t pendingPrefill() const;

    // Length of the job's longest cached prefix, in tokens.
    std::uint64_t cachedTokens(const EngineJob &job) const;
    // True if no request waits and one more would fit the batch within the step time target.
    bool hasFreeSlot() const
    {
        return running() < batchWithinStepTarget(m_settings) && m_waiting.empty();
    }

    static Duration stepTime(const EngineSettings &settings, std::uint32_t batch,
                             std::uint64_t contextTokens);
    // Largest batch with contexts of averageContext tokens whose step is within the step time
    // target of 27 ms.
    static std::uint32_t batchWithinStepTarget(const EngineSettings &settings,
                                               std::uint64_t averageContext = 500);

private:
    struct Job
    {
        EngineJob job;
        Instant startedAt;
        Instant firstTokenAt;
        std::uint64_t cached = 0;
        std::uint64_t computed = 0; // prompt tokens, without the cached ones
        std::uint64_t produced = 0;
        bool exceedsColdConcurrency = false; // arrived at a cold engine beyond coldConcurrency
    };

    void admit();
    void scheduleStep();
    void step(std::uint64_t epoch);
    bool advance(Job &job, std::uint64_t &budget);
    void finish(const Job &job);
    void touchPrefixes(const EngineJob &job);
    void evict();
    void failOverload(RequestId request, std::uint64_t epoch);
    Job *find(RequestId request);
    void fail(RequestId request, FailReason reason);
    void remove(RequestId request);

    EngineSettings m_settings;
    EventQueue &m_events;
    EngineListener &m_listener;
    std::deque<Job> m_waiting;
    std::vector<Job> m_batch;
    std::uint64_t m_contextTokens = 0;
    double m_slowdown = 1;
    bool m_cold = false;
    std::uint32_t m_warmUpAnswersLeft = 0;
    bool m_stepping = false;
    std::uint64_t m_stepChunk = 0; // prompt tokens of the scheduled step
    std::uint64_t m_epoch = 0;     // incremented by each crash; events of older epochs are ignored

    std::list<std::uint64_t> m_cacheOrder; // least recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_cache;
    std::uint32_t m_cacheBlockTokens = 0;
};

} // namespace cornelshed::measure

#endif // CORNELSHED_ENGINEMODEL_H
