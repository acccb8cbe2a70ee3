// Adaptive limit on the concurrent requests and outstanding tokens of one backend server. It starts
// at the cold limit, doubles on each success at full occupancy while latency is within the targets,
// and grows additively once warm. It returns to the cold limit when the latency shows that the
// server has become cold without reporting it.

#ifndef CORNELSHED_ADAPTIVELIMIT_H
#define CORNELSHED_ADAPTIVELIMIT_H

#include "types.h"

#include <cstdint>

namespace cornelshed {

struct AdaptiveLimitSettings
{
    std::uint32_t coldConcurrency = 1;
    std::uint32_t maximumConcurrency = 64;
    std::uint64_t coldTokens = 8000;
    std::uint64_t maximumTokens = 400000;

    bool operator==(const AdaptiveLimitSettings &) const = default;
};

// Requests that run on the server or hold a grant for it, and their tokens.
struct Occupancy
{
    std::uint32_t requests = 0;
    std::uint64_t tokens = 0; // prompt tokens plus expected output tokens

    bool operator==(const Occupancy &) const = default;
};

// Classification of one latency observation. Ordered from best to worst.
enum class LatencyClass {
    WithinTarget,
    AboveTarget, // above the latency target, but explained by the load
    Slow         // far above the server's warm baseline for work of this size
};

class AdaptiveLimit
{
public:
    explicit AdaptiveLimit(const AdaptiveLimitSettings &settings);

    void setMaximumConcurrency(std::uint32_t maximum);

    // True if one more request fits in addition to the given occupancy. A request larger than the
    // token limit is admitted only to an empty server. Part of the concurrency is reserved for
    // short requests: a long one can hold its slot for a minute, and requests with deadlines of a
    // few seconds would otherwise find no free slot in that time.
    bool admits(const Occupancy &occupancy, std::uint64_t requestTokens, bool isShort) const;

    // Records the latency of a first token, of a window of further tokens, or of a whole answer of
    // a plain service, observed at this occupancy.
    void recordLatency(LatencyClass latencyClass, const Occupancy &occupancy, Instant now);

    // Records the completion of a request; occupancy still includes it.
    void recordSuccess(const Occupancy &occupancy, LatencyClass latencyClass);

    // Records that running requests stayed within the latency targets for a while at this
    // occupancy. Doubles a cold limit without waiting for a completion. Does not raise a warm
    // limit, as one long answer would raise it many times before it completes.
    void recordSustainedLoad(const Occupancy &occupancy);

    // Records that a request had to wait on the server itself although the requests running beside
    // it stayed within the latency targets: the server's memory or batch is full. occupancyBefore
    // excludes the waiting request.
    void recordServerQueueing(const Occupancy &occupancyBefore);

    // Records a request that failed through a fault of the server.
    void recordFailure(Instant now);

    // Returns to the cold limit, for example because the server restarted or is unreachable.
    void resetToCold(Instant now);

    // Restarts the time from which coldSince() counts.
    void restartColdPeriod(Instant now) { m_coldSince = now; }

    bool cold() const { return m_cold; }
    Instant coldSince() const { return m_coldSince; }
    std::uint32_t concurrency() const { return m_concurrency; }
    std::uint64_t tokens() const { return m_tokens; }

private:
    std::uint32_t longRequestLimit() const;
    bool fullByTokens(const Occupancy &occupancy) const;
    bool full(const Occupancy &occupancy) const;
    void growCold();
    void growWarm(const Occupancy &occupancy);
    void shrink(const Occupancy &occupancy);

    AdaptiveLimitSettings m_settings;
    std::uint32_t m_concurrency = 1; // invariant: within [cold, maximum]
    std::uint64_t m_tokens = 0;      // invariant: within [cold, maximum]
    std::uint32_t m_consecutiveSlow = 0;
    std::uint32_t m_consecutiveAboveTarget = 0;
    std::uint32_t m_consecutiveFailures = 0;
    std::uint32_t m_successesAtFullOccupancy = 0; // since the last additive increase
    bool m_cold = true;
    Instant m_coldSince {}; // start of the current cold period
};

} // namespace cornelshed

#endif // CORNELSHED_ADAPTIVELIMIT_H
