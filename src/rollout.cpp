// Rollout controller: sums the evidence of all daemons, judges each route, and proposes steps.

#include "rollout.h"

#include <algorithm>
#include <set>

namespace cornelshed {

namespace {

constexpr Duration mostStageTime = std::chrono::minutes(30);

// A caller that leaves in time says nothing about the server.
bool tellsNothing(const ReportOutcome &outcome)
{
    return !outcome.failed && outcome.inTime && outcome.usage.totalTime == Duration::zero();
}

// An attempt that was stopped at the deadline counts as slow as can be, because the server was
// expected to finish in time.
std::size_t slownessOf(const ReportOutcome &outcome)
{
    const Usage &usage = outcome.usage;
    if (usage.totalTime == Duration::zero())
        return slownessClassCount - 1;
    const std::uint64_t cached = std::min(usage.promptTokens, usage.cachedTokens);
    return slownessClass(usage.promptTokens - cached, usage.outputTokens, usage.totalTime);
}

struct RouteState
{
    explicit RouteState(const VerdictSettings &settings) : verdict(settings) { }

    RouteVerdict verdict;
    VersionCounts seenOld; // totals already fed to the verdict
    VersionCounts seenNew;

    std::uint64_t answers() const { return seenOld.answers + seenNew.answers; }

    // The old version fails so often that nothing is told by the new one's failures.
    bool alwaysFailed() const
    {
        return seenOld.answers > 0 && seenOld.failures * 2 >= seenOld.answers;
    }
};

} // namespace

bool RolloutProgress::merge(const RolloutProgress &other)
{
    const RolloutProgress before = *this;
    if (other.end == RolloutEnd::RolledBack || end == RolloutEnd::RolledBack) {
        // Of two reasons the lesser text is kept, so that the order of merging does not matter.
        const bool both = other.end == end;
        reason = both ? std::min(reason, other.reason)
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
        std::string state; // of the chart
        std::map<std::string, RouteState> routes;
        Instant stageSince {};
        Duration stageTime {}; // least time in this stage
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

    void follow(Rollout &rollout, std::string_view event) const
    {
        if (const auto next = m_chart.next(rollout.state, event))
            rollout.state = std::string(*next);
    }

    void enterStage(Rollout &rollout, Instant now) const
    {
        const std::uint32_t stage = rollout.progress.stage;
        const auto stepsLeft = static_cast<int>(lastStage() - std::min(stage, lastStage()) + 1);
        const Duration least = stage <= 1 ? m_policy.leastProvingTime : m_policy.leastStageTime;
        const Duration even = (rollout.plan.deadline - now) / (2 * stepsLeft);
        rollout.stageSince = now;
        rollout.stageTime = std::clamp(even, least, std::max(least, mostStageTime));
        for (auto &[route, state] : rollout.routes)
            state.verdict.beginStage();
    }

    // Brings the chart's state up to the progress. Each step may be skipped, when a daemon hears of
    // several at once.
    void followProgress(Rollout &rollout) const
    {
        if (rollout.progress.stage >= 1)
            follow(rollout, "start");
        if (rollout.progress.stage >= 2)
            follow(rollout, "goodness_shown");
        switch (rollout.progress.end) {
        case RolloutEnd::Open:
            break;
        case RolloutEnd::Done:
            follow(rollout, "all_traffic_moved");
            break;
        case RolloutEnd::RolledBack:
            follow(rollout, "badness_shown");
            break;
        case RolloutEnd::Infeasible:
            follow(rollout, "deadline_infeasible");
            break;
        }
    }

    bool applies(const Rollout &rollout, const std::string &route) const
    {
        const std::vector<std::string> &routes = rollout.plan.settings.routes;
        return routes.empty() || std::find(routes.begin(), routes.end(), route) != routes.end();
    }

    // Sums the counters of all daemons for each route and feeds the growth to the route's test.
    void judge(const std::string &name, Rollout &rollout)
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
            state.verdict.observe(total.first.since(state.seenOld),
                                  total.second.since(state.seenNew));
            state.seenOld = total.first;
            state.seenNew = total.second;
        }
    }

    std::string badRoute(const Rollout &rollout) const
    {
        for (const auto &[route, state] : rollout.routes) {
            if (state.verdict.verdict() == Verdict::Bad)
                return route;
        }
        return {};
    }

    // True if the test holds for every route that the plan names; a plan without routes needs at
    // least one.
    template<typename Test> bool allRoutes(const Rollout &rollout, Test test) const
    {
        for (const std::string &it : rollout.plan.settings.routes) {
            if (rollout.routes.count(it) == 0)
                return false;
        }
        std::uint64_t all = 0;
        for (const auto &[route, state] : rollout.routes)
            all += state.answers();
        const double few = m_policy.rareRouteShare * static_cast<double>(all);
        return !rollout.routes.empty()
                && std::all_of(rollout.routes.begin(), rollout.routes.end(), [&](const auto &it) {
                       return static_cast<double>(it.second.answers()) < few
                               || it.second.alwaysFailed() || test(it.second.verdict);
                   });
    }

    RolloutAction rollBack(const std::string &name, Rollout &rollout, const std::string &reason)
    {
        rollout.progress.merge({rollout.progress.stage, RolloutEnd::RolledBack, reason});
        followProgress(rollout);
        return AnnounceProgress {name, rollout.progress};
    }

    // Time the remaining steps need at least, from the present stage on.
    Duration leastTimeLeft(const Rollout &rollout) const
    {
        const std::uint32_t stage = rollout.progress.stage;
        const int ramps = static_cast<int>(lastStage() - std::max<std::uint32_t>(stage, 1));
        const Duration ramping =
                m_policy.leastStageTime * std::max(ramps - 1, 0) + m_policy.tellTime;
        return stage == 0 ? ramping + m_policy.leastProvingTime : ramping;
    }

    // The progress that the lease holder should write now, if any.
    std::optional<RolloutProgress> nextStep(const Rollout &rollout, Instant now) const
    {
        const RolloutProgress &progress = rollout.progress;
        RolloutProgress next = progress;
        next.stage = progress.stage + 1;
        if (progress.stage == 0) {
            if (now + leastTimeLeft(rollout) <= rollout.plan.deadline)
                return next;
            return RolloutProgress {0, RolloutEnd::Infeasible,
                                    "the deadline is too near for proving and ramping up"};
        }
        if (progress.stage == lastStage()) {
            if (now < rollout.stageSince + m_policy.watchTime)
                return std::nullopt;
            return RolloutProgress {progress.stage, RolloutEnd::Done, "all traffic moved"};
        }
        const bool good = allRoutes(
                rollout, [](const RouteVerdict &it) { return it.verdict() == Verdict::Good; });
        if (good && now >= rollout.stageSince + rollout.stageTime)
            return next;
        if (now + leastTimeLeft(rollout) < rollout.plan.deadline)
            return std::nullopt;
        return lastChance(rollout, next, now);
    }

    // No time is left to wait for a verdict: step if the evidence leans to good, else roll back.
    std::optional<RolloutProgress> lastChance(const Rollout &rollout, const RolloutProgress &next,
                                              Instant now) const
    {
        const Duration least =
                rollout.progress.stage == 1 ? m_policy.leastProvingTime : m_policy.leastStageTime;
        if (now < rollout.stageSince + least && now < rollout.plan.deadline - m_policy.tellTime)
            return std::nullopt;
        const bool leans = allRoutes(rollout, [&](const RouteVerdict &it) {
            return it.leansGood(m_policy.answersToLean);
        });
        if (leans)
            return next;
        return RolloutProgress {rollout.progress.stage, RolloutEnd::RolledBack,
                                "not enough evidence before the deadline"};
    }

    void tickOne(const std::string &name, Rollout &rollout, Instant now, bool leaseHeld,
                 std::uint64_t fencing, std::vector<RolloutAction> &actions)
    {
        if (rollout.progress.end != RolloutEnd::Open)
            return;
        judge(name, rollout);
        const std::string route = badRoute(rollout);
        if (!route.empty()) {
            actions.push_back(rollBack(name, rollout, "version is bad on route " + route));
            return;
        }
        const bool moved = rollout.progress.stage == lastStage();
        const Instant end =
                rollout.plan.deadline + (leaseHeld ? Duration {} : m_policy.deadlineGrace);
        if (!moved && rollout.progress.stage > 0 && now >= end) {
            actions.push_back(rollBack(name, rollout, "deadline missed"));
            return;
        }
        if (!leaseHeld || now < rollout.nextProposal)
            return;
        if (const auto step = nextStep(rollout, now)) {
            rollout.nextProposal = now + m_policy.proposalInterval;
            actions.emplace_back(WriteProgress {name, *step, fencing});
        }
    }

    StateChart m_chart;
    RolloutPolicy m_policy;
    std::string m_daemon;
    std::map<std::string, Rollout> m_rollouts;
    Evidence m_evidence; // of all daemons, own included; counters only grow
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
        if (!covered || !d->applies(rollout, outcome.route) || tellsNothing(outcome))
            continue;
        VersionCounts &counts = d->m_evidence[{name, d->m_daemon, outcome.route, isNew}];
        ++counts.answers;
        if (outcome.failed) {
            ++counts.failures;
            continue;
        }
        ++counts.slowness[slownessOf(outcome)];
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
    d->followProgress(it->second);
}

std::vector<RolloutAction> RolloutController::tick(Instant now, bool leaseHeld,
                                                   std::uint64_t fencing)
{
    std::vector<RolloutAction> actions;
    for (auto &[name, rollout] : d->m_rollouts)
        d->tickOne(name, rollout, now, leaseHeld, fencing, actions);
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
