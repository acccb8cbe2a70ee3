// Rollouts as a gateway carries them out: which version a request goes to, what its answers show,
// and what is written about the rollout. The verdict and the stages are RolloutController's; the
// gateways tell each other evidence and progress in their reports, and the status row, written on
// condition of its last version, settles how a rollout ended.
//
// While a version is unproven, each gateway counts what it sends there against its share of the
// exposure that a deployment allows, so that the sum holds.

#ifndef CORNELSHED_GATEWAYROLLOUTS_H
#define CORNELSHED_GATEWAYROLLOUTS_H

#include "directscheduler.h"
#include "rollout.h"
#include "rowstore.h"
#include "statechart.h"
#include "types.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cornelshed {

struct GatewayRolloutSettings
{
    std::string daemon; // name and incarnation
    // What an unproven version may get of its service's requests, over all gateways.
    double exposureShare = 0.1;
    double exposureConstant = 50; // and requests beyond that

    bool operator==(const GatewayRolloutSettings &) const = default;
};

// What a gateway tells its peers about one rollout.
struct RolloutReport
{
    std::string rollout;
    Duration remaining {}; // until the order's time limit
    RolloutProgress progress;
    Evidence evidence; // the sender's own

    bool operator==(const RolloutReport &) const = default;
};

// An answer of a backend server, or its absence. A stream is told twice: at its first event, as
// answered in that time, and at its end with begun, where only a fault counts. Thus the evidence
// does not wait for the end of long streams.
struct VersionOutcome
{
    std::string service;
    std::string version;
    std::string route;
    AttemptReport report;
    Duration objective {}; // of the route
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    bool begun = false;

    bool operator==(const VersionOutcome &) const = default;
};

// A step that was taken, for the log.
struct RolloutStep
{
    std::string service;
    std::string version;
    RolloutProgress progress;
    std::string evidence; // by route: answers and failures of the new version, then of the old one

    bool operator==(const RolloutStep &) const = default;
};

struct RolloutTick
{
    std::vector<RolloutStatus> writes; // rowVersion: the version that the row must have
    std::vector<RolloutStep> steps;
};

class GatewayRollouts
{
public:
    // chart is the state chart "rollout".
    GatewayRollouts(StateChart chart, const GatewayRolloutSettings &settings);
    ~GatewayRollouts();
    GatewayRollouts(const GatewayRollouts &) = delete;
    GatewayRollouts &operator=(const GatewayRollouts &) = delete;

    // Orders in force, and the statuses; absent ones were not read yet, and no step is taken.
    void setOrders(const std::vector<RolloutOrder> &orders,
                   const std::optional<std::vector<RolloutStatus>> &statuses, Instant now);
    void setBackends(const std::vector<BackendRecord> &backends);

    // Gateways that may be alive, and this one's place among those that are heard: the first one
    // takes the steps.
    void setDaemons(std::uint32_t mayBeAlive, std::uint32_t heardPlace);

    // The version for a request, by its id; any if the service has no rollout. repeat: it was
    // offered before.
    VersionChoice choose(const std::string &service, const std::string &requestId, bool repeat,
                         Instant now);

    void recordOutcome(const VersionOutcome &outcome);

    std::vector<RolloutReport> reports(Instant now) const;
    void peerReport(const RolloutReport &report, Instant now);

    // idleOutside: whether no request runs on the service's other versions, at any gateway.
    RolloutTick tick(const std::function<bool(const std::string &service,
                                              const std::string &version)> &idleOutside,
                     Instant now);

    bool active() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_GATEWAYROLLOUTS_H
