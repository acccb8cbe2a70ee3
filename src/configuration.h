// The accepted configuration as an immutable value. It is generated from the operator's answers to
// the configuration questionnaire. Every process uses exactly one version at a time, and version
// numbers only increase.

#ifndef CORNELSHED_CONFIGURATION_H
#define CORNELSHED_CONFIGURATION_H

#include "types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cornelshed {

struct TierSettings
{
    std::string name;
    TierRank rank = 0;       // unique; 0 is served first
    double minimumShare = 0; // share of grants guaranteed against starvation, in [0, 1)

    bool operator==(const TierSettings &) const = default;
};

struct OrganisationSettings
{
    std::string name;
    std::string tier;
    std::uint32_t weight = 1; // relative share among the organisations of the tier

    bool operator==(const OrganisationSettings &) const = default;
};

enum class AvailabilityZoneState { Serving, Withdrawn };

struct AvailabilityZoneSettings
{
    std::string name;
    std::string region;
    AvailabilityZoneState state = AvailabilityZoneState::Serving;

    bool operator==(const AvailabilityZoneSettings &) const = default;
};

enum class PoolKind { Engine, Service };

// A group of backend servers of the same kind. The platform's host list names the pool of each
// host.
struct PoolSettings
{
    std::string name;
    PoolKind kind = PoolKind::Engine;
    std::string generation;                // hardware generation
    std::vector<std::string> models;       // empty for plain services
    bool checksFencing = false;            // servers refuse commands with an old fencing number
    std::uint32_t maximumConcurrency = 64; // upper bound of the adaptive limit, requests

    bool operator==(const PoolSettings &) const = default;
};

struct RouteSettings
{
    std::string path; // unique
    std::vector<std::string> pools;
    bool idempotent = true; // if false, requests need an idempotency key and a claim
    std::uint32_t defaultDeadlineMs = 30000;
    std::uint32_t maximumDeadlineMs = 300000;

    bool operator==(const RouteSettings &) const = default;
};

struct RolloutSettings
{
    std::string name; // unique over the lifetime of the deployment
    std::string pool;
    std::string fromVersion;
    std::string toVersion;
    std::vector<std::string> routes; // empty means all routes of the pool
    std::int64_t deadlineEpochSeconds = 0;
    // Largest share of the routes' requests sent to the new version before it is proven, in (0, 1).
    double largestUnprovenShare = 0.05;

    bool operator==(const RolloutSettings &) const = default;
};

struct Configuration
{
    std::uint64_t version = 0; // 0 until a configuration is accepted
    std::string deployment;
    std::vector<TierSettings> tiers; // ordered by rank
    std::vector<OrganisationSettings> organisations;
    std::vector<AvailabilityZoneSettings> availabilityZones;
    std::vector<PoolSettings> pools;
    std::vector<RouteSettings> routes;
    std::vector<RolloutSettings> rollouts;

    bool operator==(const Configuration &) const = default;
};

} // namespace cornelshed

#endif // CORNELSHED_CONFIGURATION_H
