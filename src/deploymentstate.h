// Immutable snapshot of the deployment: routes, withdrawn zones, rollouts, backend servers and
// gateways. Built on the control thread and read by the traffic thread.

#ifndef CORNELSHED_DEPLOYMENTSTATE_H
#define CORNELSHED_DEPLOYMENTSTATE_H

#include "backendrecord.h"
#include "routetable.h"
#include "rowstore.h"
#include "types.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cornelshed {

// A whole prompt that is kept from backend servers.
struct QuarantineAge
{
    std::uint64_t digest = 0; // of its content
    Duration age {};          // since the beginning of the quarantine
    Duration length {};

    auto operator<=>(const QuarantineAge &) const = default;
};

struct DeploymentState
{
    std::shared_ptr<const RouteTable> routes; // null until a configuration has been read
    std::set<std::string> withdrawnZones;
    std::vector<RolloutOrder> rollouts;
    // Empty if they have not been read in the present era of the store.
    std::optional<std::vector<RolloutStatus>> rolloutStatuses;
    std::vector<BackendRecord> backends;
    std::vector<GatewayRecord> gateways;
    // As read when this gateway started; null before that.
    std::shared_ptr<const std::vector<QuarantineAge>> quarantine;
    Instant quarantineReadAt {};
};

} // namespace cornelshed

#endif // CORNELSHED_DEPLOYMENTSTATE_H
