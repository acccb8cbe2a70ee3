// The subcommand that checks a configuration before it is sent, or the one in force.

#ifndef CORNELSHED_CHECKCOMMAND_H
#define CORNELSHED_CHECKCOMMAND_H

#include "checkreport.h"
#include "gatewayconfigurations.h"
#include "operatorcommands.h"

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>

namespace cornelshed {

struct CheckOptions
{
    std::string configurationPath;            // empty: check the configuration in force
    std::optional<PlatformEndpoint> platform; // of entry daemons
    std::optional<PlatformEndpoint> store;    // of gateways
    // What one server carries; see DeploymentFacts.
    std::optional<double> requestsPerServerSecond;
    std::optional<double> tokensPerServerSecond;
    std::int64_t nowEpochSeconds = 0;
    bool json = false;
};

class CheckCommand
{
public:
    CheckCommand(std::ostream &output, GatewayConfigurations &gateways)
        : m_output(output), m_gateways(gateways)
    { }

    // Success without findings, also if the text differs from the configuration in force. The
    // findings of a file are printed even if the platform cannot be reached.
    ExitStatus run(const CheckOptions &options);

private:
    std::ostream &m_output;
    GatewayConfigurations &m_gateways;
};

} // namespace cornelshed

#endif // CORNELSHED_CHECKCOMMAND_H
