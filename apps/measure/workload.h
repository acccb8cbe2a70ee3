// Seeded workloads: requests with their arrival times, sizes, tiers, organisations and prefixes.

#ifndef CORNELSHED_WORKLOAD_H
#define CORNELSHED_WORKLOAD_H

#include "enginemodel.h"
#include "types.h"

#include <string>
#include <vector>

namespace cornelshed::measure {

struct SimulatedRequest
{
    EngineJob job; // its request id is set when it is submitted
    std::uint64_t expectedOutputTokens = 0;
    TierRank tier = 0;
    std::string organisation;
    Instant arrival;
    Duration deadline {}; // from the arrival

    bool operator==(const SimulatedRequest &) const = default;
};

using Workload = std::vector<SimulatedRequest>; // ordered by arrival

struct WorkloadSettings
{
    double shortShare = 0.97;      // of requests; the others are a hundred times longer
    double sharedPrefixShare = 0;  // of requests that begin with one of a few long prefixes
    std::uint32_t prefixCount = 0; // different shared prefixes
    std::uint64_t prefixTokens = 0;
    double burstShare = 0.2; // of requests that arrive in bursts
    double tierShares[3] = {0.4, 0.35, 0.25};
    Duration length = std::chrono::seconds(60);
    double requestsPerSecond = 10;

    bool operator==(const WorkloadSettings &) const = default;
};

// The two peaks of a day.
WorkloadSettings morning(); // short questions, few long requests
WorkloadSettings evening(); // long requests with shared prefixes

Workload generate(const WorkloadSettings &settings, std::uint64_t seed);

// Engines of three generations of speed, in turn.
std::vector<EngineSettings> threeGenerations(std::size_t count);

// Requests per second of this workload's mix that the engines complete with steps within 27 ms.
// Shared prefixes count as cached.
double capacity(const std::vector<EngineSettings> &engines, const WorkloadSettings &settings);

} // namespace cornelshed::measure

#endif // CORNELSHED_WORKLOAD_H
