// Rollouts of new versions, as seen by one entry daemon. Each daemon applies the new version's
// share of requests on its own. Evidence consists of monotonic counters, so peers may exchange it
// in any order and more than once. A rollback is final and needs neither the lease nor the
// platform's table. A step forward is written to the table by the lease holder and takes effect at
// a daemon once it reads the row or receives the step from a peer.
//
// Example:
//     RolloutController controller(chart, policy, "entry-1");
//     controller.setPlans(plans, now);
//     controller.recordOutcome(outcome);
//     for (const RolloutAction &it : controller.tick(now, lease.held(now), lease.fencing()))
//         perform(it);

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
    Instant deadline; // on this daemon's monotonic clock

    bool operator==(const RolloutPlan &) const = default;
};

struct RolloutPolicy
{
    VerdictSettings verdict;
    // Shares of the routes' requests in the ramp stages, which follow the proving stage.
    std::vector<double> rampShares {0.25, 0.5, 1.0};
    Duration minProvingTime = std::chrono::seconds(30);
    Duration minStageTime = std::chrono::seconds(20);
    // Time between the last step and completion of the rollout, in which it can still be rolled
    // back.
    Duration observationTime = std::chrono::seconds(60);
    // Answers per route required for a step that is taken near the deadline without a verdict.
    std::uint64_t minAnswersNearDeadline = 20;
    // Routes with a smaller share of the answers do not delay steps, but a bad verdict on them
    // still rolls the version back.
    double rareRouteShare = 0;
    // Daemons that do not hold the lease wait this long after the deadline before they roll back,
    // so that a last step that has not reached them yet is not mistaken for a missed deadline.
    Duration deadlineGrace = std::chrono::seconds(15);
    // Time for writing the last step and propagating it to all daemons; the step is planned this
    // long before the deadline.
    Duration propagationTime = std::chrono::seconds(5);
    // A proposed step is proposed again after this time if it has not taken effect.
    Duration proposalRetryInterval = std::chrono::seconds(2);

    bool operator==(const RolloutPolicy &) const = default;
};

// Least time from the start of a rollout until all traffic has moved. With a deadline that is
// nearer it is not started.
Duration minRolloutTime(const RolloutPolicy &policy);

enum class RolloutEnd { Open, Done, RolledBack, Infeasible };

// Replicated state of a rollout. All daemons converge to the same value, since merging is
// commutative, associative and idempotent. RolledBack overrides every other end; otherwise the
// later enumerator of RolloutEnd wins. Of two stages, the larger one wins.
struct RolloutProgress
{
    std::uint32_t stage = 0; // 0: not started, 1: proving, 2 and up: ramp shares in order
    RolloutEnd end = RolloutEnd::Open;
    std::string reason; // why the rollout ended, for operators

    bool operator==(const RolloutProgress &) const = default;

    // Returns true if the merge changed this state.
    bool merge(const RolloutProgress &other);
};

// Identifies the counters of one daemon for one version on one route of one rollout.
struct EvidenceKey
{
    std::string rollout;
    std::string daemon; // name and incarnation
    std::string route;
    bool newVersion = false;

    auto operator<=>(const EvidenceKey &) const = default;
};

using Evidence = std::map<EvidenceKey, VersionCounts>;

// Requests a write of the progress to the row rollout/<name>, conditional on the row version that
// was last read. The caller must check the lease again right before it sends the write.
struct WriteProgress
{
    std::string rollout;
    RolloutProgress progress;
    std::uint64_t fencing = 0;

    bool operator==(const WriteProgress &) const = default;
};

// Requests that the progress be sent to all peers immediately and recorded for the operators. A
// rollback must be in force at all daemons within 2 s.
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
    // chart: the state chart "rollout"; daemon: name and incarnation of this daemon.
    RolloutController(StateChart chart, const RolloutPolicy &policy, std::string daemon);
    ~RolloutController();
    RolloutController(RolloutController &&) noexcept;
    RolloutController &operator=(RolloutController &&) noexcept;

    // Replaces the plans by those of the current configuration. State and evidence of rollouts that
    // are no longer listed are discarded.
    void setPlans(const std::vector<RolloutPlan> &plans, Instant now);

    // Counts an attempt that ended at this daemon.
    void recordOutcome(const ReportOutcome &outcome);

    // Counters of this daemon only, and of all known daemons including this one. Both may be sent
    // to peers, which may merge them in any order.
    Evidence localEvidence() const;
    const Evidence &evidence() const;
    void mergeEvidence(const Evidence &evidence);

    // Merges progress that was read from the table or received from a peer.
    void mergeProgress(const std::string &rollout, const RolloutProgress &progress, Instant now);

    // Evaluates the evidence of all open rollouts and returns the actions that are due. fencing:
    // the fencing token of the lease.
    std::vector<RolloutAction> tick(Instant now, bool leaseHeld, std::uint64_t fencing);

    // Entries for RoutingView, one per plan.
    std::vector<RoutingView::VersionShare> shares() const;

    std::map<std::string, RolloutProgress> progress() const;

    // State of the rollout in the state chart; empty for an unknown name.
    std::string state(const std::string &rollout) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_ROLLOUT_H
