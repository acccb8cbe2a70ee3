// Rollouts as executed by a gateway: selects the version for each request, collects evidence from
// the answers, and determines which statuses to write. RolloutController provides the verdicts and
// the stages. Gateways exchange evidence and progress in their reports. The status row is written
// conditionally on its last version and is authoritative for how a rollout ended. If the store
// loses it by returning from an older copy, the gateways that have read it write it again once the
// order has been written again.
//
// While a version is unproven, each gateway counts the requests that it sends to it against its own
// share of the exposure allowed for the deployment, so that the total stays within the limit.

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
    // Exposure limit of an unproven version over all gateways: a share of its service's requests,
    // plus a constant number of requests.
    double exposureShare = 0.1;
    double exposureConstant = 50;

    bool operator==(const GatewayRolloutSettings &) const = default;
};

// Report on one rollout that a gateway sends to its peers.
struct RolloutReport
{
    std::string rollout;
    Duration remaining {}; // until the order's time limit
    RolloutProgress progress;
    Evidence evidence; // collected by the sender itself

    bool operator==(const RolloutReport &) const = default;
};

// Outcome of an attempt at a backend server. A stream is recorded twice, so that evidence is not
// delayed until the end of long streams: at its first event, as answered in the time until then,
// and at its end with firstEventRecorded set, where only a fault counts.
struct VersionOutcome
{
    std::string service;
    std::string version;
    std::string route;
    AttemptReport report;
    Duration objective {}; // for the response time of the route
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    bool firstEventRecorded = false;

    bool operator==(const VersionOutcome &) const = default;
};

// A change of a rollout's progress, for the event log.
struct RolloutStep
{
    std::string service;
    std::string version;
    RolloutProgress progress;
    // For each route, answers and failures of the new version, then of the old one.
    std::string evidence;

    bool operator==(const RolloutStep &) const = default;
};

struct RolloutTick
{
    std::vector<RolloutStatus> writes; // position: that of the row which each write requires
    std::vector<RolloutStep> steps;
};

class GatewayRollouts
{
public:
    // chart: the state chart "rollout".
    GatewayRollouts(StateChart chart, const GatewayRolloutSettings &settings);
    ~GatewayRollouts();
    GatewayRollouts(const GatewayRollouts &) = delete;
    GatewayRollouts &operator=(const GatewayRollouts &) = delete;

    // Sets the current orders and statuses. statuses is empty if they have not been read yet; until
    // then, this gateway takes no step.
    void setOrders(const std::vector<RolloutOrder> &orders,
                   const std::optional<std::vector<RolloutStatus>> &statuses, Instant now);
    void setBackends(const std::vector<BackendRecord> &backends);

    // possiblyAliveCount: number of gateways that may be alive. rankAmongHeard: rank of this
    // gateway among those from which reports are received; the gateway of rank 0 takes the steps.
    void setGateways(std::uint32_t possiblyAliveCount, std::uint32_t rankAmongHeard);

    // Returns the version for a request. Any version may serve it if the service has no rollout. A
    // first attempt is assigned by a hash of the request's id; a retry gets the new version only if
    // that has all traffic. isRetry: the request was offered to a backend server before.
    VersionConstraint choose(const std::string &service, const std::string &requestId, bool isRetry,
                             Instant now);

    void recordOutcome(const VersionOutcome &outcome);

    std::vector<RolloutReport> reports(Instant now) const;
    void mergePeerReport(const RolloutReport &report, Instant now);

    // otherVersionsIdle: returns true if no gateway has a request running on a version of the
    // service other than the given one.
    RolloutTick tick(const std::function<bool(const std::string &service,
                                              const std::string &version)> &otherVersionsIdle,
                     Instant now);

    bool active() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_GATEWAYROLLOUTS_H
