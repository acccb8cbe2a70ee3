// Rollout controller: sums the evidence of all daemons, evaluates each route and proposes the next
// step or a rollback.

#include "rollout.h"

#include <algorithm>
#include <set>

namespace cornelshed {

namespace {

constexpr Duration maxRequiredStageTime = std::chrono::minutes(30);

// A caller that leaves before the deadline gives no information about the server.
bool isInconclusive(const ReportOutcome &outcome)
{
    return !outcome.failed && outcome.inTime && outcome.usage.totalTime == Duration::zero();
}

// An attempt that was stopped at the deadline goes into the slowest bucket, because the server was
// expected to finish in time.
std::size_t slownessBucketOf(const ReportOutcome &outcome)
{
    const Usage &usage = outcome.usage;
    if (usage.totalTime == Duration::zero())
        return slownessBucketCount - 1;
    const std::uint64_t cached = std::min(usage.promptTokens, usage.cachedTokens);
    return slownessBucket(usage.promptTokens - cached, usage.outputTokens, usage.totalTime);
}

struct RouteState
{
    explicit RouteState(const VerdictSettings &settings) : verdict(settings) { }

    RouteVerdict verdict;
    VersionCounts evaluatedOld; // totals that the verdict has already observed
    VersionCounts evaluatedNew;

    std::uint64_t answers() const { return evaluatedOld.answers + evaluatedNew.answers; }

    // The old version fails at least half the time, so failures of the new one are not significant.
    bool oldVersionUnreliable() const
    {
        return evaluatedOld.answers > 0 && evaluatedOld.failures * 2 >= evaluatedOld.answers;
    }
};

// Time from the start of one of the last so many ramp steps to the last one.
Duration minRampTime(const RolloutPolicy &policy, int rampSteps)
{
    return policy.minStageTime * std::max(rampSteps - 1, 0) + policy.propagationTime;
}

} // namespace

Duration minRolloutTime(const RolloutPolicy &policy)
{
    return minRampTime(policy, static_cast<int>(policy.rampShares.size())) + policy.minProvingTime;
}

bool RolloutProgress::merge(const RolloutProgress &other)
{
    const RolloutProgress before = *this;
    if (other.end == RolloutEnd::RolledBack || end == RolloutEnd::RolledBack) {
        // Of two reasons the lexicographically smaller is kept, so that merging is commutative.
        const bool bothRolledBack = other.end == end;
        reason = bothRolledBack ? std::min(reason, other.reason)
                                : (end == RolloutEnd::RolledBack ? reason : other.reason);
        end = RolloutEnd::RolledBack;
    } else if (static_cast<int>(other.end) > static_cast<int>(end)) {
        end = other.end;
        reason = other.reason;
    }
    stage = std::max(stage, other.stage);
    return *this != before;
}

class RolloutController::Private
{
public:
    struct Rollout
    {
        RolloutPlan plan;
        RolloutProgress progress;
        std::string state; // in the state chart
        std::map<std::string, RouteState> routes;
        Instant stageStart {};
        Duration requiredStageTime {}; // before a good verdict leads to the next stage
        Instant nextProposal {};
    };

    Private(StateChart chart, const RolloutPolicy &policy, std::string daemon)
        : m_chart(std::move(chart)), m_policy(policy), m_daemon(std::move(daemon))
    { }

    std::uint32_t lastStage() const
    {
        return 1 + static_cast<std::uint32_t>(m_policy.rampShares.size());
    }

    double shareOf(const Rollout &rollout) const
    {
        if (rollout.progress.end == RolloutEnd::Done)
            return 1;
        const std::uint32_t stage = rollout.progress.stage;
        if (rollout.progress.end != RolloutEnd::Open || stage == 0)
            return 0;
        if (stage == 1)
            return rollout.plan.settings.largestUnprovenShare;
        return m_policy.rampShares[std::min(stage, lastStage()) - 2];
    }

    void applyEvent(Rollout &rollout, std::string_view event) const
    {
        if (const auto next = m_chart.next(rollout.state, event))
            rollout.state = std::string(*next);
    }

    void enterStage(Rollout &rollout, Instant now) const
    {
        const std::uint32_t stage = rollout.progress.stage;
        const auto stepsLeft = static_cast<int>(lastStage() - std::min(stage, lastStage()) + 1);
        const Duration minimum = stage <= 1 ? m_policy.minProvingTime : m_policy.minStageTime;
        const Duration halfEvenSplit = (rollout.plan.deadline - now) / (2 * stepsLeft);
        rollout.stageStart = now;
        rollout.requiredStageTime =
                std::clamp(halfEvenSplit, minimum, std::max(minimum, maxRequiredStageTime));
        for (auto &[route, state] : rollout.routes)
            state.verdict.beginStage();
    }

    // Advances the state chart to match the progress. A daemon may learn of several steps at once,
    // so the progress can skip stages.
    void syncStateWithProgress(Rollout &rollout) const
    {
        if (rollout.progress.stage >= 1)
            applyEvent(rollout, "start");
        if (rollout.progress.stage >= 2)
            applyEvent(rollout, "goodness_shown");
        switch (rollout.progress.end) {
        case RolloutEnd::Open:
            break;
        case RolloutEnd::Done:
            applyEvent(rollout, "all_traffic_moved");
            break;
        case RolloutEnd::RolledBack:
            applyEvent(rollout, "badness_shown");
            break;
        case RolloutEnd::Infeasible:
            applyEvent(rollout, "deadline_infeasible");
            break;
        }
    }

    bool coversRoute(const Rollout &rollout, const std::string &route) const
    {
        const std::vector<std::string> &routes = rollout.plan.settings.routes;
        return routes.empty() || std::find(routes.begin(), routes.end(), route) != routes.end();
    }

    // Sums the counters of all daemons per route and passes the increase since the last call to the
    // route's verdict.
    void updateVerdicts(const std::string &name, Rollout &rollout)
    {
        std::map<std::string, std::pair<VersionCounts, VersionCounts>> totals;
        const EvidenceKey first {name, "", "", false};
        for (auto it = m_evidence.lower_bound(first);
             it != m_evidence.end() && it->first.rollout == name; ++it) {
            auto &[oldTotal, newTotal] = totals[it->first.route];
            (it->first.newVersion ? newTotal : oldTotal).add(it->second);
        }
        for (const auto &[route, total] : totals) {
            auto &state = rollout.routes.try_emplace(route, m_policy.verdict).first->second;
            state.verdict.observe(total.first.since(state.evaluatedOld),
                                  total.second.since(state.evaluatedNew));
            state.evaluatedOld = total.first;
            state.evaluatedNew = total.second;
        }
    }

    std::string firstBadRoute(const Rollout &rollout) const
    {
        for (const auto &[route, state] : rollout.routes) {
            if (state.verdict.verdict() == Verdict::Bad)
                return route;
        }
        return {};
    }

    // Returns true if there is evidence for every route that the plan names, or for at least one
    // route if it names none, and the test holds for each route with evidence. Rarely used routes
    // and those on which the old version is unreliable are exempt from the test.
    template<typename Test> bool allRoutesPass(const Rollout &rollout, Test test) const
    {
        for (const std::string &it : rollout.plan.settings.routes) {
            if (rollout.routes.count(it) == 0)
                return false;
        }
        std::uint64_t totalAnswers = 0;
        for (const auto &[route, state] : rollout.routes)
            totalAnswers += state.answers();
        const double minAnswers = m_policy.rareRouteShare * static_cast<double>(totalAnswers);
        return !rollout.routes.empty()
                && std::all_of(rollout.routes.begin(), rollout.routes.end(), [&](const auto &it) {
                       return static_cast<double>(it.second.answers()) < minAnswers
                               || it.second.oldVersionUnreliable() || test(it.second.verdict);
                   });
    }

    RolloutAction rollBack(const std::string &name, Rollout &rollout, const std::string &reason)
    {
        rollout.progress.merge({rollout.progress.stage, RolloutEnd::RolledBack, reason});
        syncStateWithProgress(rollout);
        return AnnounceProgress {name, rollout.progress};
    }

    // Minimum time that the remaining steps take, from the current stage on.
    Duration minRemainingTime(const Rollout &rollout) const
    {
        const std::uint32_t stage = rollout.progress.stage;
        return stage == 0 ? minRolloutTime(m_policy)
                          : minRampTime(m_policy, static_cast<int>(lastStage() - stage));
    }

    // Returns the progress that the lease holder should write now, if any.
    std::optional<RolloutProgress> nextStep(const Rollout &rollout, Instant now) const
    {
        const RolloutProgress &progress = rollout.progress;
        RolloutProgress next = progress;
        next.stage = progress.stage + 1;
        if (progress.stage == 0) {
            if (now + minRemainingTime(rollout) <= rollout.plan.deadline)
                return next;
            return RolloutProgress {0, RolloutEnd::Infeasible,
                                    "the deadline is too near for proving and ramping up"};
        }
        if (progress.stage == lastStage()) {
            if (now < rollout.stageStart + m_policy.observationTime)
                return std::nullopt;
            return RolloutProgress {progress.stage, RolloutEnd::Done, "all traffic moved"};
        }
        const bool good = allRoutesPass(
                rollout, [](const RouteVerdict &it) { return it.verdict() == Verdict::Good; });
        if (good && now >= rollout.stageStart + rollout.requiredStageTime)
            return next;
        if (now + minRemainingTime(rollout) < rollout.plan.deadline)
            return std::nullopt;
        return decideAtDeadline(rollout, next, now);
    }

    // Called when there is no time left to wait for a verdict. Steps forward if the evidence
    // favours the new version, and rolls back otherwise.
    std::optional<RolloutProgress> decideAtDeadline(const Rollout &rollout,
                                                    const RolloutProgress &next, Instant now) const
    {
        const Duration minimum =
                rollout.progress.stage == 1 ? m_policy.minProvingTime : m_policy.minStageTime;
        if (now < rollout.stageStart + minimum
            && now < rollout.plan.deadline - m_policy.propagationTime)
            return std::nullopt;
        const bool favourable = allRoutesPass(rollout, [&](const RouteVerdict &it) {
            return it.favoursNewVersion(m_policy.minAnswersNearDeadline);
        });
        if (favourable)
            return next;
        return RolloutProgress {rollout.progress.stage, RolloutEnd::RolledBack,
                                "not enough evidence before the deadline"};
    }

    void tickRollout(const std::string &name, Rollout &rollout, Instant now, bool leaseHeld,
                     std::uint64_t fencing, std::vector<RolloutAction> &actions)
    {
        if (rollout.progress.end != RolloutEnd::Open)
            return;
        updateVerdicts(name, rollout);
        const std::string route = firstBadRoute(rollout);
        if (!route.empty()) {
            actions.push_back(rollBack(name, rollout, "version is bad on route " + route));
            return;
        }
        const bool atLastStage = rollout.progress.stage == lastStage();
        const Instant rollbackTime =
                rollout.plan.deadline + (leaseHeld ? Duration {} : m_policy.deadlineGrace);
        if (!atLastStage && rollout.progress.stage > 0 && now >= rollbackTime) {
            actions.push_back(rollBack(name, rollout, "deadline missed"));
            return;
        }
        if (!leaseHeld || now < rollout.nextProposal)
            return;
        if (const auto step = nextStep(rollout, now)) {
            rollout.nextProposal = now + m_policy.proposalRetryInterval;
            actions.emplace_back(WriteProgress {name, *step, fencing});
        }
    }

    StateChart m_chart;
    RolloutPolicy m_policy;
    std::string m_daemon;
    std::map<std::string, Rollout> m_rollouts;
    Evidence m_evidence; // of all daemons including this one; counters never decrease
};

RolloutController::RolloutController(StateChart chart, const RolloutPolicy &policy,
                                     std::string daemon)
    : d(std::make_unique<Private>(std::move(chart), policy, std::move(daemon)))
{ }

RolloutController::~RolloutController() = default;
RolloutController::RolloutController(RolloutController &&) noexcept = default;
RolloutController &RolloutController::operator=(RolloutController &&) noexcept = default;

void RolloutController::setPlans(const std::vector<RolloutPlan> &plans, Instant now)
{
    std::set<std::string> names;
    for (const RolloutPlan &it : plans) {
        names.insert(it.settings.name);
        auto [position, added] = d->m_rollouts.try_emplace(it.settings.name);
        position->second.plan = it;
        if (added) {
            position->second.state = d->m_chart.initial();
            d->enterStage(position->second, now);
        }
    }
    std::erase_if(d->m_rollouts, [&](const auto &it) { return names.count(it.first) == 0; });
    std::erase_if(d->m_evidence,
                  [&](const auto &it) { return names.count(it.first.rollout) == 0; });
}

void RolloutController::recordOutcome(const ReportOutcome &outcome)
{
    for (const auto &[name, rollout] : d->m_rollouts) {
        const RolloutSettings &settings = rollout.plan.settings;
        const bool isNew = outcome.version == settings.toVersion;
        const bool covered = isNew || outcome.version == settings.fromVersion;
        if (!covered || !d->coversRoute(rollout, outcome.route) || isInconclusive(outcome))
            continue;
        VersionCounts &counts = d->m_evidence[{name, d->m_daemon, outcome.route, isNew}];
        ++counts.answers;
        if (outcome.failed) {
            ++counts.failures;
            continue;
        }
        ++counts.slowness[slownessBucketOf(outcome)];
    }
}

Evidence RolloutController::localEvidence() const
{
    Evidence own;
    for (const auto &[key, counts] : d->m_evidence) {
        if (key.daemon == d->m_daemon)
            own.emplace(key, counts);
    }
    return own;
}

const Evidence &RolloutController::evidence() const
{
    return d->m_evidence;
}

void RolloutController::mergeEvidence(const Evidence &evidence)
{
    for (const auto &[key, counts] : evidence) {
        if (key.daemon != d->m_daemon && d->m_rollouts.count(key.rollout) != 0)
            d->m_evidence[key].merge(counts);
    }
}

void RolloutController::mergeProgress(const std::string &rollout, const RolloutProgress &progress,
                                      Instant now)
{
    const auto it = d->m_rollouts.find(rollout);
    if (it == d->m_rollouts.end())
        return;
    const std::uint32_t before = it->second.progress.stage;
    if (!it->second.progress.merge(progress))
        return;
    if (it->second.progress.stage != before)
        d->enterStage(it->second, now);
    d->syncStateWithProgress(it->second);
}

std::vector<RolloutAction> RolloutController::tick(Instant now, bool leaseHeld,
                                                   std::uint64_t fencing)
{
    std::vector<RolloutAction> actions;
    for (auto &[name, rollout] : d->m_rollouts)
        d->tickRollout(name, rollout, now, leaseHeld, fencing, actions);
    return actions;
}

std::vector<RoutingView::VersionShare> RolloutController::shares() const
{
    std::vector<RoutingView::VersionShare> result;
    for (const auto &[name, rollout] : d->m_rollouts) {
        const RolloutSettings &settings = rollout.plan.settings;
        const bool rolledBack = rollout.progress.end == RolloutEnd::RolledBack;
        result.push_back({name, settings.pool, settings.fromVersion, settings.toVersion,
                          settings.routes, d->shareOf(rollout), rolledBack});
    }
    return result;
}

std::map<std::string, RolloutProgress> RolloutController::progress() const
{
    std::map<std::string, RolloutProgress> result;
    for (const auto &[name, rollout] : d->m_rollouts)
        result.emplace(name, rollout.progress);
    return result;
}

std::string RolloutController::state(const std::string &rollout) const
{
    const auto it = d->m_rollouts.find(rollout);
    return it == d->m_rollouts.end() ? std::string() : it->second.state;
}

} // namespace cornelshed
