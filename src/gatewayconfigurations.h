// Interface to configurations of gateways as the platform stores them; implemented by the adapter,
// which knows their form.

#ifndef CORNELSHED_GATEWAYCONFIGURATIONS_H
#define CORNELSHED_GATEWAYCONFIGURATIONS_H

#include "configurationcheck.h"
#include "routetable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cornelshed {

// Something that gateways cannot read (error), or read as if it were not there (warning).
struct DecodingProblem
{
    FindingSeverity severity = FindingSeverity::Error;
    std::string path; // in the text, such as "routes[2].prefix"; empty: the whole
    std::string reason;

    bool operator==(const DecodingProblem &) const = default;
};

struct DecodedConfiguration
{
    std::optional<RouteTableContent> content; // nullopt: gateways would not use it
    std::vector<DecodingProblem> problems;

    bool operator==(const DecodedConfiguration &) const = default;
};

// What the platform's store has of a deployment of gateways.
struct StoredConfiguration
{
    std::string text; // of the configuration; empty: none
    DeploymentFacts facts;

    bool operator==(const StoredConfiguration &) const = default;
};

class GatewayConfigurations
{
public:
    virtual ~GatewayConfigurations() = default;

    // The text is a valid JSON object.
    virtual DecodedConfiguration decode(const std::string &text) const = 0;

    // Path of an entry in the text.
    virtual std::string pathOf(ConfigurationPart part, std::size_t index) const = 0;

    // Blocks for a bounded time. The error is a reason for the operator.
    virtual Result<StoredConfiguration, std::string> read(const std::string &address,
                                                          std::uint16_t port) = 0;
};

} // namespace cornelshed

#endif // CORNELSHED_GATEWAYCONFIGURATIONS_H
