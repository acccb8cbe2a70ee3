// Tracks the requests running on one backend server. Classifies their latency against the server's
// baseline, detects stalls, and decides whether the server can take one more request.

#ifndef CORNELSHED_SERVERLOADTRACKER_H
#define CORNELSHED_SERVERLOADTRACKER_H

#include "adaptivelimit.h"
#include "agentscheduler.h"
#include "serverrates.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace cornelshed {

struct RequestSize
{
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0; // expected number

    bool operator==(const RequestSize &) const = default;
};

// Load that is committed by live grants whose requests have not been dispatched yet.
struct GrantedLoad
{
    Occupancy occupancy;
    std::uint64_t promptTokens = 0;

    bool operator==(const GrantedLoad &) const = default;
};

struct RunningRequest
{
    SessionId session = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0; // expected number
    Instant grantedAt;
    Instant startedAt;
    bool orphaned = false; // its session is closed, so nobody receives the answer

    // Progress.
    std::uint64_t promptTokensAhead = 0; // unprocessed when it started, including its own
    Occupancy occupancyAtStart;          // excluding this request
    std::uint32_t peakBatchSize = 0;     // most requests running at once, including this one
    std::optional<Instant> firstTokenAt;
    std::uint64_t producedTokens = 0;
    std::uint64_t tokensWithinTarget = 0; // within the latency target since the count was reset
    bool everSlow = false;                // at least one observation was LatencyClass::Slow
    LatencyClass latestLatencyClass = LatencyClass::WithinTarget; // of the latest observation

    // Window over which the time per token is measured.
    Instant windowStart;
    std::uint64_t windowTokens = 0;
    std::uint64_t windowPromptTokens = 0; // of other requests, processed or pending in the window
};

struct ServiceEstimate
{
    Duration firstToken {}; // 0 while unknown
    Duration total {};

    bool operator==(const ServiceEstimate &) const = default;
};

class ServerLoadTracker
{
public:
    explicit ServerLoadTracker(const AgentLimits &limits);

    // True if the server can take one more request besides the running and granted ones. Prompts
    // are processed in turn, so no further request is admitted while the pending prompts take more
    // than a quarter of the target for the time to first token.
    bool admits(const GrantedLoad &granted, const RequestSize &size, Instant now) const;

    // True if the request is expected to occupy its slot for a few seconds only.
    bool isShort(const RequestSize &size) const;

    void start(RequestId request, const RunningRequest &running);
    RunningRequest *find(RequestId request);
    void recordFirstToken(RequestId request, Instant now);
    void recordTokens(RequestId request, std::uint64_t count, Instant now);

    // Removes the completed request. Returns the usage with the times filled in as observed here.
    Usage finish(RequestId request, Usage usage, Instant now);

    // Removes the failed request.
    void fail(RequestId request, bool serverFault, Instant now);

    // Returns to the cold limit, for example because the server restarted or is unreachable.
    void resetToCold(Instant now) { m_limit.resetToCold(now); }

    void setMaximumConcurrency(std::uint32_t maximum) { m_limit.setMaximumConcurrency(maximum); }

    // Estimates the latency of a request that started now, from the observed rates and the load.
    ServiceEstimate estimate(std::uint64_t promptTokens, std::uint64_t outputTokens) const;

    // Returns the running requests of a session, in no particular order.
    std::vector<RequestId> requestsOfSession(SessionId session) const;

    // True if the server is stalled, or was stalled and has not shown its usual speed since. A
    // stall is a time without progress that the baseline and the load do not explain. While this is
    // true, a request is only admitted to an empty server.
    bool stallSuspected(Instant now) const { return m_stallSuspected || stalled(now); }

    std::size_t size() const { return m_running.size(); }
    Occupancy occupancy() const;
    LoadReport load() const;
    const AdaptiveLimit &limit() const { return m_limit; }

private:
    std::uint32_t batchSize() const { return static_cast<std::uint32_t>(m_running.size()); }
    bool stalled(Instant now) const;
    void recordProgress(Instant now);
    void updateUsualGap(Duration gap);
    void evaluateFirstToken(RunningRequest &running, Instant now);
    LatencyClass classifyFirstToken(const RunningRequest &running, Duration time) const;
    LatencyClass classifyTokenInterval(Duration perToken, Duration allowance) const;
    LatencyClass classifyBaseline() const;
    void countTokensWithinTarget(RunningRequest &running, LatencyClass latencyClass);
    void closeWindow(RunningRequest &running, Instant now);
    void updatePrefillRate(const RunningRequest &running, const Usage &usage);
    LatencyClass evaluateWholeAnswer(const RunningRequest &running, Duration total);
    void recordLatencyOf(RunningRequest &running, LatencyClass latencyClass, Instant now);
    void clearStallSuspicion(Instant since);
    void resetBaselineIfStuck(Instant now);
    void remove(RequestId request, Instant now);

    AgentLimits m_limits;
    AdaptiveLimit m_limit;
    ServerRates m_rates;
    std::unordered_map<RequestId, RunningRequest> m_running;
    std::uint64_t m_runningTokens = 0;       // prompt and expected output tokens of all requests
    std::uint64_t m_pendingPromptTokens = 0; // of requests without a first token
    Instant m_lastProgressAt;                // last token or end, or start on an empty server
    std::uint32_t m_prefillingCount = 0;     // requests without a first token
    std::uint32_t m_startsSinceProgress = 0;
    bool m_promptsSinceProgress = false; // prompts were pending since the last progress
    Duration m_usualGap {}; // decaying maximum of normal gaps while prompts were processed
    bool m_stallSuspected = false;
    Duration m_suspectedGap {}; // the gap in progress that raised the suspicion
    Instant m_suspectedSince;
};

} // namespace cornelshed

#endif // CORNELSHED_SERVERLOADTRACKER_H
