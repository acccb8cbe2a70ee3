// Settings of a gateway daemon. examples/gatewayd.toml shows all keys.

#ifndef CORNELSHED_GATEWAYSETTINGS_H
#define CORNELSHED_GATEWAYSETTINGS_H

#include "tomlreader.h"
#include "types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornelshed {

// An address to listen on or to connect to, written as "IP:PORT" in the settings file.
struct SocketAddress
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const SocketAddress &) const = default;
};

// Duties of one gateway at a time: calls to the platform that only one gateway may make.
struct CloudSettings
{
    SocketAddress address; // of the platform's endpoints for these calls
    bool reportsUsage = false;
    bool scales = false;
    double callsPerSecond = 50; // that the platform takes from all gateways together

    bool operator==(const CloudSettings &) const = default;
};

struct GatewaySettings
{
    std::string name;
    std::string availabilityZone;
    SocketAddress listen;    // for requests of callers
    SocketAddress readiness; // for readiness checks of the platform's load balancer
    std::string readinessPath = "/ready";
    SocketAddress peer;              // UDP, for reports of other gateways
    std::uint16_t admissionPort = 0; // UDP, for replies of admission agents; 0: no agents in use
    std::uint16_t agentPort = 0;     // of the admission agents on the hosts of backend servers
    std::uint16_t metricsPort = 0;   // 0: metrics are not served
    SocketAddress platform;          // of the platform's row store
    std::string chartsDirectory = "charts"; // state charts; relative to the working directory

    // Bounds that the deployment guarantees. The daemons keep a safety margin below each.
    std::uint32_t keyRevocationMs = 5000; // after this time a revoked key is always refused
    std::uint32_t shutdownTimeoutMs = 8000;
    double repeatRatio = 0.2;   // retries per request in a window
    double repeatConstant = 50; // additional retries in a window, over all gateways
    std::uint32_t repeatWindowMs = 10000;
    // Token allowances of organisations apply to every window of this length.
    std::uint32_t allowanceWindowMs = 8000;
    // Use beyond an allowance, over all gateways, that is not yet counted as a violation.
    double allowanceOver = 0;     // fraction of the allowance
    double allowanceConstant = 0; // additional tokens
    // Requests of a service that all gateways together may send to a version still under
    // evaluation.
    double exposureShare = 0.1;   // fraction of the service's requests
    double exposureConstant = 50; // additional requests
    // Load that a cold backend server can handle.
    double coldOver = 1.5;   // multiple of its cold request rate
    double coldConstant = 5; // additional requests per second

    // Memory for responses that are buffered until they are complete, in KiB: of one, and of all.
    std::uint32_t answerLimitKb = 4096;
    std::uint32_t bufferedAnswersLimitKb = 32768;
    // Memory for the bodies of all requests that are received or in progress, in KiB.
    std::uint32_t requestBodiesLimitKb = 49152;

    // Scheduling under load; see DirectSettings.
    std::uint32_t initialSlotRequests = 3;
    std::uint32_t slotRequestLimit = 8;
    std::uint32_t yieldAfterMs = 0;
    double serverQueueShare = 0;
    std::uint32_t crossZoneCostMs = 4;
    bool promptCache = false;
    std::uint32_t promptCacheTokens = 262144; // that a backend server caches

    // Memory and file descriptors that the process may use; 0: those of the host.
    std::uint32_t memoryMb = 0;
    std::uint32_t maxFds = 0;

    std::uint32_t answeredLogInterval = 20; // one of every this many answered requests is logged

    std::optional<CloudSettings> cloud; // empty: no duties
    // Bounds of the duties.
    std::uint32_t leaseMs = 3000; // two holders never take turns within this time
    std::uint32_t thawMs = 300;   // calls of a resumed host are excused for this time
    double windowS = 5;           // length of a usage window
    double usageLateS = 10;       // the usage of a window is due this long after its end
    double usageTolerance = 0.05; // error of an organisation's usage that is no violation
    bool fencingRequired = false; // the platform checks the fencing token of each call

    bool operator==(const GatewaySettings &) const = default;
};

Result<GatewaySettings, TomlProblems> parseGatewaySettings(std::string_view text,
                                                           const std::string &file);

} // namespace cornelshed

#endif // CORNELSHED_GATEWAYSETTINGS_H
