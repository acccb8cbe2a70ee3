// A deployment of gateways and servers with admission agents under load, in virtual time: many
// gateways, requests of three ranks of which the least urgent hold their slots longest, and servers
// that crash and come back together. Service times, not engine steps, are modelled: what is
// measured is who gets the slots.

#ifndef CORNELSHED_LOADEDFLEET_H
#define CORNELSHED_LOADEDFLEET_H

#include "directsettings.h"
#include "types.h"

#include <array>
#include <cstdint>
#include <vector>

namespace cornelshed::measure {

constexpr std::size_t loadedRankCount = 3;

// A kind of requests; its index is its rank.
struct LoadedKind
{
    double share = 0;          // of all requests
    double serviceSeconds = 0; // mean time that a request holds a slot
    double firstEventSeconds = 0;
    double objectiveSeconds = 0; // time to the first event
};

struct LoadedScenario
{
    std::uint32_t gateways = 27;
    std::uint32_t servers = 49;
    std::uint32_t slots = 7; // of each server
    std::uint32_t zones = 3;
    double load = 1; // time of slots asked for, as a multiple of all slots
    std::array<LoadedKind, loadedRankCount> kinds {{{360.0 / 742, 0.3, 0.026, 0.5},
                                                    {246.0 / 742, 0.2, 0.017, 0.4},
                                                    {136.0 / 742, 1.3, 0.005, 0.4}}};
    Duration messageDelay = std::chrono::microseconds(500); // one way
    Duration reportInterval = std::chrono::milliseconds(270);
    Duration warmUp = std::chrono::seconds(2); // requests that arrive earlier are not counted
    Duration length = std::chrono::seconds(10);
    std::uint32_t failingServers = 18;
    Duration failAt = std::chrono::seconds(4);
    Duration failFor = std::chrono::seconds(3);
    // Time from the crash to the removal of the records. They are listed again at the return.
    Duration unlistedAfter = std::chrono::seconds(1);
};

struct LoadedRequest
{
    Instant arrival;
    std::uint32_t gateway = 0;
    std::size_t rank = 0;
    Duration service {};
};

// Returns the same requests, in order of arrival, for the same scenario and seed.
std::vector<LoadedRequest> loadedRequests(const LoadedScenario &scenario, std::uint64_t seed);

// Requests that arrived after the warm-up, and those of them whose first event came within the
// objective and that ran to their end, by rank.
struct LoadedCounts
{
    std::array<std::uint64_t, loadedRankCount> requests {};
    std::array<std::uint64_t, loadedRankCount> inTime {};
    std::uint64_t refusedConnections = 0; // attempts
    std::uint64_t maxRunning = 0;         // most requests that a server was given at once

    void record(const LoadedScenario &scenario, const LoadedRequest &request, bool servedInTime);
    double share(std::size_t rank) const;
    double share() const; // of all ranks

    bool operator==(const LoadedCounts &) const = default;
};

// Gateways with these settings, and one allocator for each server.
LoadedCounts runLoadedFleet(const LoadedScenario &scenario, const DirectSettings &settings,
                            std::uint64_t seed);

// The bound: one queue for all servers with perfect knowledge and no delays, in strict order of
// rank, then of arrival. Requests that cannot meet their objective any more take no slot.
LoadedCounts runOneQueue(const LoadedScenario &scenario, std::uint64_t seed);

} // namespace cornelshed::measure

#endif // CORNELSHED_LOADEDFLEET_H
