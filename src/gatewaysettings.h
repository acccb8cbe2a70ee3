// Settings of a gateway (examples/gatewayd.toml).

#ifndef CORNELSHED_GATEWAYSETTINGS_H
#define CORNELSHED_GATEWAYSETTINGS_H

#include "tomlreader.h"
#include "types.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cornelshed {

// Where a server listens; written as "IP:PORT".
struct SocketAddress
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const SocketAddress &) const = default;
};

struct GatewaySettings
{
    std::string name;
    std::string availabilityZone;
    SocketAddress listen;    // callers
    SocketAddress readiness; // the platform's balancer
    std::string readinessPath = "/ready";
    SocketAddress peer;              // reports of other gateways, UDP
    std::uint16_t admissionPort = 0; // of this gateway, for answers of agents; 0: no agents
    std::uint16_t agentPort = 0;     // of admission agents on backend servers' hosts
    std::uint16_t metricsPort = 0;   // 0: none
    SocketAddress platform;
    std::string chartsDirectory = "charts"; // state charts; relative to the working directory

    // Bounds that the deployment promises; the daemons keep a margin below each.
    std::uint32_t keyRevocationMs = 5000; // a revoked key is refused after this
    std::uint32_t shutdownTimeoutMs = 8000;
    double repeatRatio = 0.2; // further attempts for each request
    double repeatConstant = 50;
    std::uint32_t repeatWindowMs = 10000;
    std::uint32_t allowanceWindowMs = 8000; // allowances of organisations hold in each window
    double allowanceOver = 0;               // share beyond an allowance that counts as a violation
    double allowanceConstant = 0;           // and tokens beyond that
    double exposureShare = 0.1;             // of a service's requests, to an unproven version
    double exposureConstant = 50;           // and requests beyond that
    double coldOver = 1.5;                  // a cold server bears this multiple of its rate
    double coldConstant = 5;

    std::uint32_t answeredLogInterval = 20; // one of so many answered requests is logged

    bool operator==(const GatewaySettings &) const = default;
};

Result<GatewaySettings, TomlProblems> parseGatewaySettings(std::string_view text,
                                                           const std::string &file);

} // namespace cornelshed

#endif // CORNELSHED_GATEWAYSETTINGS_H
