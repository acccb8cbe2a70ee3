// Findings about a valid configuration that will probably not do what its operator wants: entries
// that can never match, limits that contradict each other, and what does not fit the servers that
// are there. Both kinds of configuration are checked: that of the entry daemons (Configuration) and
// that of the gateways (RouteTableContent). Errors of form are reported by the parsers.
//
// Keys of callers never appear in a finding.

#ifndef CORNELSHED_CONFIGURATIONCHECK_H
#define CORNELSHED_CONFIGURATIONCHECK_H

#include "configuration.h"
#include "routetable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cornelshed {

enum class FindingSeverity : std::uint8_t {
    Error,  // requests, an entry or a whole part will not work as written
    Warning // works, but is probably not what was meant
};

enum class ConfigurationPart : std::uint8_t {
    Whole,
    Tiers,
    Organisations,
    AvailabilityZones,
    Pools,
    Routes,
    Rollouts,
    Services,
    Limits
};

struct ConfigurationFinding
{
    FindingSeverity severity = FindingSeverity::Error;
    std::string rule; // stable name for scripts, such as "route_shadowed"
    ConfigurationPart part = ConfigurationPart::Whole;
    std::size_t index = 0; // of the entry in the part, in the order of the file
    std::string text;

    bool operator==(const ConfigurationFinding &) const = default;
};

using ConfigurationFindings = std::vector<ConfigurationFinding>;

// A backend server as listed by the platform.
struct ListedServer
{
    std::string group; // its pool or service
    std::string availabilityZone;
    bool leaving = false;

    bool operator==(const ListedServer &) const = default;
};

// What is known beside the configuration. Checks that need a missing fact are left out.
struct DeploymentFacts
{
    std::optional<std::vector<ListedServer>> servers;
    std::vector<std::string> withdrawnZones; // by orders beside the configuration
    std::optional<std::int64_t> nowEpochSeconds;
    std::vector<std::string> rolloutsInForce; // names in the version in force
    // What one server carries, from a measurement; used for allowances.
    std::optional<double> requestsPerServerSecond;
    std::optional<double> tokensPerServerSecond;

    bool operator==(const DeploymentFacts &) const = default;
};

// Findings are ordered by part, entry and rule.
ConfigurationFindings checkConfiguration(const Configuration &configuration,
                                         const DeploymentFacts &facts);
ConfigurationFindings checkRouteTable(const RouteTableContent &content,
                                      const DeploymentFacts &facts);

} // namespace cornelshed

#endif // CORNELSHED_CONFIGURATIONCHECK_H
