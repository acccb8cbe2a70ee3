// Random workloads from a seed: requests with arrival times, sizes, tiers, organisations and shared
// prompt prefixes.

#ifndef CORNELSHED_WORKLOAD_H
#define CORNELSHED_WORKLOAD_H

#include "enginemodel.h"
#include "types.h"

#include <string>
#include <vector>

namespace cornelshed::measure {

struct SimulatedRequest
{
    EngineJob job; // the request id is set when the job starts
    std::uint64_t expectedOutputTokens = 0;
    TierRank tier = 0;
    std::string organisation;
    Instant arrival;
    Duration deadline {}; // relative to the arrival

    bool operator==(const SimulatedRequest &) const = default;
};

using Workload = std::vector<SimulatedRequest>; // ordered by arrival

struct WorkloadSettings
{
    double shortShare = 0.97;      // of requests; the others are about 70 times longer
    double sharedPrefixShare = 0;  // of requests whose prompt begins with a shared prefix
    std::uint32_t prefixCount = 0; // number of different shared prefixes
    std::uint64_t prefixTokens = 0;
    double burstShare = 0.2; // of requests that arrive in bursts of several at once
    double tierShares[3] = {0.4, 0.35, 0.25};
    Duration length = std::chrono::seconds(60);
    double requestsPerSecond = 10;

    bool operator==(const WorkloadSettings &) const = default;
};

// The two daily load peaks.
WorkloadSettings morning(); // short questions, few long requests
WorkloadSettings evening(); // long requests with shared prefixes

// Returns the same workload for the same settings and seed.
Workload generate(const WorkloadSettings &settings, std::uint64_t seed);

// Returns engines of three hardware generations, alternating: fast, medium, slow.
std::vector<EngineSettings> threeGenerations(std::size_t count);

// Requests per second of this request mix that the engines can complete while their steps stay
// within 27 ms. Assumes that shared prefixes are cached.
double capacity(const std::vector<EngineSettings> &engines, const WorkloadSettings &settings);

} // namespace cornelshed::measure

#endif // CORNELSHED_WORKLOAD_H
