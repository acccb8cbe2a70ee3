// How many requests and tokens a backend server bears at once. The limit starts cold, doubles on
// success at a full window while latency allows it, grows additively once warm, and falls back to
// the cold limit when the server shows that it silently turned cold.

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

// What is on the server or granted a place on it.
struct Occupancy
{
    std::uint32_t requests = 0;
    std::uint64_t tokens = 0; // prompt and expected output

    bool operator==(const Occupancy &) const = default;
};

// Verdict on one observation against the server's warm baseline.
enum class Pace {
    Good,   // within the latency targets
    Loaded, // beyond the targets, but explained by the load
    Slow    // far beyond the warm baseline for work of this size
};

class AdaptiveLimit
{
public:
    explicit AdaptiveLimit(const AdaptiveLimitSettings &settings);

    void setMaximumConcurrency(std::uint32_t maximum);

    // A request larger than the token limit is admitted to an empty server only. A part of the
    // places is open to small requests only: a long one holds its place for a minute, in which
    // requests with a deadline of seconds would find none.
    bool admits(const Occupancy &occupancy, std::uint64_t requestTokens) const;

    // A first token or a run of tokens arrived while the server had this occupancy.
    void observed(Pace pace, const Occupancy &occupancy, Instant now);

    // A request finished in full; occupancy is that before the end.
    void succeeded(const Occupancy &occupancy, Pace pace);

    // Running requests keep a good pace at this occupancy. Ends the cold state sooner, but does not
    // grow a warm limit: long answers would raise it many times before they leave.
    void steady(const Occupancy &occupancy);

    // A request waited on the server itself for room, beside this occupancy: its memory or batch is
    // full, although the pace of what runs is good.
    void overfull(const Occupancy &beside);

    // The server failed a request.
    void failed(Instant now);

    // The server restarted or cannot be reached.
    void turnCold(Instant now);

    // Starts the present cold state's clock anew.
    void restartCold(Instant now) { m_coldSince = now; }

    // Largest request that counts as small, in tokens: half of the average place.
    std::uint64_t smallTokens() const { return m_tokens / m_concurrency / 2; }

    bool cold() const { return m_cold; }
    Instant coldSince() const { return m_coldSince; }
    std::uint32_t concurrency() const { return m_concurrency; }
    std::uint64_t tokens() const { return m_tokens; }

private:
    std::uint32_t placesForLarge() const;
    bool fullByTokens(const Occupancy &occupancy) const;
    bool full(const Occupancy &occupancy) const;
    void growCold();
    void growWarm(const Occupancy &occupancy);
    void shrink(const Occupancy &occupancy);

    AdaptiveLimitSettings m_settings;
    std::uint32_t m_concurrency = 1; // invariant: within [cold, maximum]
    std::uint64_t m_tokens = 0;      // invariant: within [cold, maximum]
    std::uint32_t m_slowInARow = 0;
    std::uint32_t m_loadedInARow = 0;
    std::uint32_t m_failedInARow = 0;
    std::uint32_t m_successesAtLimit = 0; // since the last additive step
    bool m_cold = true;
    Instant m_coldSince {}; // start of the present cold state
};

} // namespace cornelshed

#endif // CORNELSHED_ADAPTIVELIMIT_H
