// Rollouts of new versions, as one entry daemon sees them. Each daemon holds the share of the new
// version by itself. Evidence consists of counters that only grow, so that peers may exchange it in
// any order and twice. Rolling back is final and needs neither lease nor table; a step forward is
// written to the table by the holder of the lease and becomes effective when it is read or told.
//
// Example:
//     RolloutController controller(charts, settings, "entry-1");
//     controller.setPlans(plans, now);
//     controller.recordOutcome(outcome);
//     for (const RolloutAction &it : controller.tick(now, lease.held(now), lease.fencing()))
//         carryOut(it);

#ifndef CORNELSHED_ROLLOUT_H
#define CORNELSHED_ROLLOUT_H

#include "configuration.h"
#include "entryscheduler.h"
#include "rolloutverdict.h"
#include "statechart.h"
#include "types.h"

#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cornelshed {

struct RolloutPlan
{
    RolloutSettings settings;
    Instant deadline; // on this daemon's clock

    bool operator==(const RolloutPlan &) const = default;
};

struct RolloutPolicy
{
    VerdictSettings verdict;
    std::vector<double> rampShares {0.25, 0.5, 1.0}; // of the routes' requests, after proving
    Duration leastProvingTime = std::chrono::seconds(30);
    Duration leastStageTime = std::chrono::seconds(20);
    Duration watchTime =
            std::chrono::seconds(60); // after the last step, before the rollout is done
    std::uint64_t answersToLean = 20; // per route, for a step near the deadline without a verdict
    // Routes with a smaller share of the answers do not hold up the steps; a fault on them counts.
    double rareRouteShare = 0;
    // Daemons that do not hold the lease wait this long after the deadline before they roll back,
    // so that a last step that is still being told is not mistaken for a missed deadline.
    Duration deadlineGrace = std::chrono::seconds(15);
    // The last step is planned this long before the deadline: it has to be written and told first.
    Duration tellTime = std::chrono::seconds(5);
    // A proposed step is repeated after this time if it did not become effective.
    Duration proposalInterval = std::chrono::seconds(2);

    bool operator==(const RolloutPolicy &) const = default;
};

enum class RolloutEnd { Open, Done, RolledBack, Infeasible };

// What all daemons agree on in time; merging is commutative, associative and idempotent. Being
// rolled back prevails over everything, then the larger stage.
struct RolloutProgress
{
    std::uint32_t stage = 0; // 0: not started, 1: proving, then the ramp shares in turn
    RolloutEnd end = RolloutEnd::Open;
    std::string reason; // of the end, for operators

    bool operator==(const RolloutProgress &) const = default;

    // Returns true if the merge changed anything.
    bool merge(const RolloutProgress &other);
};

// Evidence key: counters of one daemon for one version on one route of one rollout.
struct EvidenceKey
{
    std::string rollout;
    std::string daemon; // name and incarnation
    std::string route;
    bool newVersion = false;

    auto operator<=>(const EvidenceKey &) const = default;
};

using Evidence = std::map<EvidenceKey, VersionCounts>;

// Write the progress to row rollout/<name>, conditional on the row version last read. The caller
// checks the lease again right before it sends the write.
struct WriteProgress
{
    std::string rollout;
    RolloutProgress progress;
    std::uint64_t fencing = 0;

    bool operator==(const WriteProgress &) const = default;
};

// Tell peers at once (a roll-back must be in force within 2 s) and record it for the operators.
struct AnnounceProgress
{
    std::string rollout;
    RolloutProgress progress;

    bool operator==(const AnnounceProgress &) const = default;
};

using RolloutAction = std::variant<WriteProgress, AnnounceProgress>;

class RolloutController
{
public:
    // chart is the state chart "rollout"; daemon names this daemon's incarnation.
    RolloutController(StateChart chart, const RolloutPolicy &policy, std::string daemon);
    ~RolloutController();
    RolloutController(RolloutController &&) noexcept;
    RolloutController &operator=(RolloutController &&) noexcept;

    // Plans of the configuration in force; a plan that is missing is forgotten.
    void setPlans(const std::vector<RolloutPlan> &plans, Instant now);

    // An ended attempt at this daemon.
    void recordOutcome(const ReportOutcome &outcome);

    // Own counters, and all that are known, own included; both may be sent to peers, which merge
    // them in any order.
    Evidence localEvidence() const;
    const Evidence &evidence() const;
    void mergeEvidence(const Evidence &evidence);

    // Progress read from the table or heard from a peer.
    void mergeProgress(const std::string &rollout, const RolloutProgress &progress, Instant now);

    std::vector<RolloutAction> tick(Instant now, bool leaseHeld, std::uint64_t fencing);

    // For RoutingView: one entry for each plan.
    std::vector<RoutingView::VersionShare> shares() const;

    std::map<std::string, RolloutProgress> progress() const;

    // State of the chart for a plan; empty for an unknown name.
    std::string state(const std::string &rollout) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_ROLLOUT_H
