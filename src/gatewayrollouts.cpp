// Runs one RolloutController per order, with stages scaled to the order's duration.

#include "gatewayrollouts.h"

#include "stabledigest.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace cornelshed {

namespace {

using namespace std::chrono_literals;

// Lengths of the stages as fractions of the order's duration.
constexpr double provingFraction = 0.25;
constexpr double stageFraction = 0.1;
constexpr double observationFraction = 0.1;
constexpr double proposalFraction = 0.05;
// Limits of these lengths, for orders that last seconds or days.
constexpr Duration minPhaseTime = 100ms;
constexpr Duration provingTimeCap = 30s;
constexpr Duration stageTimeCap = 20s;
constexpr Duration observationTimeCap = 60s;
constexpr Duration proposalIntervalCap = 2s;
// Time reserved after the last step for the remaining answers of the old version and for writing
// the status: the longest answer time seen but at least minDrainTime, limited to a fraction of the
// order's duration.
constexpr Duration minDrainTime = 600ms;
constexpr double maxDrainFraction = 0.4;
// Assumed delay between the writing and the reading of an order: a fraction of the order's
// duration, up to a maximum.
constexpr double readDelayFraction = 0.1;
constexpr Duration maxReadDelay = 500ms;
// Routes with a smaller share of the answers do not delay steps.
constexpr double rareRouteShare = 0.15;
// Orders shorter than this are evaluated with few answers: before the time limit, only an excess of
// faults that shows within ten answers of a route can be detected. They go from proving directly to
// all traffic, since an intermediate stage would give a route too few answers for a verdict.
constexpr Duration shortOrderLimit = 2min;
constexpr double shortOrderExcess = 0.25;
constexpr double shortOrderErrorRate = 0.05;
constexpr double shortOrderAnswers = 500;
constexpr std::uint64_t shortOrderMinOldAnswers = 10;
// An answer counts as slow from this many buckets above the old version's slowest answers, which is
// twice their time: few answers of the old version are known, and new servers have no prompts in
// their caches.
constexpr std::size_t shortOrderSlowMarginBuckets = 4;
// Limits in the proving stage: share of a route's requests, and fraction of the allowed exposure.
// The rest of the exposure is reserved for a version that turns bad in a later stage.
constexpr double maxProvingShare = 0.33;
constexpr double provingExposureFraction = 0.8;
constexpr std::uint64_t minAnswersNearDeadline = 2;
// A gateway writes a status if it is still missing after this time multiplied by the gateway's
// rank, so that gateways of lower rank write first. Longer than the interval at which statuses are
// read.
constexpr Duration writeTurnInterval = 1200ms;
constexpr Duration writeRetryInterval = 1s;
// Completion waits for the old version's last requests until this long before the time limit.
constexpr Duration completionWriteMargin = 400ms;
// An attempt that was abandoned after at least this multiple of its objective counts as slow.
constexpr int abandonedSlowFactor = 2;
// Names of the versions within RolloutController.
constexpr const char *oldVersionName = "old";
constexpr const char *newVersionName = "new";
constexpr double allTraffic = 1;

Duration boundedFraction(Duration whole, double fraction, Duration maximum)
{
    const auto exact = std::chrono::duration_cast<Duration>(whole * fraction);
    return std::clamp(exact, minPhaseTime, maximum);
}

RolloutPolicy policyFor(Duration duration)
{
    RolloutPolicy policy;
    policy.rampShares = {0.5, allTraffic};
    policy.minAnswersNearDeadline = minAnswersNearDeadline;
    policy.minProvingTime = boundedFraction(duration, provingFraction, provingTimeCap);
    policy.minStageTime = boundedFraction(duration, stageFraction, stageTimeCap);
    policy.observationTime = boundedFraction(duration, observationFraction, observationTimeCap);
    policy.proposalRetryInterval = boundedFraction(duration, proposalFraction, proposalIntervalCap);
    policy.propagationTime = policy.proposalRetryInterval;
    policy.rareRouteShare = rareRouteShare;
    if (duration < shortOrderLimit) {
        policy.rampShares = {allTraffic};
        policy.minAnswersNearDeadline = 1;
        policy.verdict.answersPerRollout = shortOrderAnswers;
        policy.verdict.errorRate = shortOrderErrorRate;
        policy.verdict.failureExcess = shortOrderExcess;
        policy.verdict.slowExcess = shortOrderExcess;
        policy.verdict.minOldAnswers = shortOrderMinOldAnswers;
        policy.verdict.slowMarginBuckets = shortOrderSlowMarginBuckets;
    }
    policy.deadlineGrace = policy.proposalRetryInterval;
    return policy;
}

// Hash of the request id in [0, 1), used as a random draw. The requests to an unproven version are
// additionally limited by a count, so random deviations cannot exceed the exposure.
double unitHash(const std::string &requestId)
{
    constexpr std::uint64_t steps = 1 << 16;
    return static_cast<double>(stableDigest(requestId) % steps) / steps;
}

std::string formatEvidence(const Evidence &evidence)
{
    std::map<std::string, std::array<VersionCounts, 2>> totals; // by route; new, old
    for (const auto &[key, counts] : evidence)
        totals[key.route].at(key.newVersion ? 0 : 1).add(counts);
    std::string text;
    for (const auto &[route, total] : totals) {
        if (!text.empty())
            text += ';';
        text += route;
        for (const VersionCounts &it : total) {
            text += ':';
            text += std::to_string(it.answers);
            text += '/';
            text += std::to_string(it.failures);
        }
    }
    return text;
}

RolloutState rolloutStateFor(RolloutEnd end)
{
    switch (end) {
    case RolloutEnd::Open:
        return RolloutState::Running;
    case RolloutEnd::Done:
        return RolloutState::Completed;
    case RolloutEnd::RolledBack:
    case RolloutEnd::Infeasible:
        break;
    }
    return RolloutState::RolledBack;
}

} // namespace

class GatewayRollouts::Private
{
public:
    struct Rollout
    {
        Rollout(const StateChart &chart, const RolloutOrder &rolloutOrder,
                const std::string &daemon)
            : order(rolloutOrder), policy(policyFor(rolloutOrder.duration)),
              controller(chart, policy, daemon)
        { }

        RolloutOrder order;
        RolloutPolicy policy;
        RolloutController controller;
        Instant deadline {}; // the order's time limit
        Instant startedAt {};
        Duration longestAnswerTime {}; // at this gateway, of either version
        std::uint64_t requests = 0;    // at this gateway, since it read the order
        std::uint64_t exposed = 0;     // of these, sent to the new version while it was unproven
        std::optional<RolloutStatus> stored;
        std::optional<RolloutState> recordedEnd;  // last end that was read from the status row
        std::optional<RolloutState> pendingState; // to be written to the status row
        Instant pendingSince {};
        Instant writtenAt = Instant::min();
        RolloutProgress loggedProgress;
    };

    Private(StateChart rolloutChart, GatewayRolloutSettings rolloutSettings)
        : chart(std::move(rolloutChart)), settings(std::move(rolloutSettings))
    { }

    // Gateways that read the order before and after a return of the store know it by different
    // positions; the part before the last separator is the same.
    static std::string nameOf(const RolloutOrder &order)
    {
        return order.service + "/" + order.version + "#" + std::to_string(order.orderedAt.era) + "."
                + std::to_string(order.orderedAt.version);
    }

    // Returns the rollout of a peer's report.
    std::map<std::string, Rollout>::iterator findReported(const std::string &reported)
    {
        const auto exact = rollouts.find(reported);
        if (exact != rollouts.end())
            return exact;
        const auto eraEnd = [](const std::string &name) { return name.rfind('.'); };
        const auto isSameInOtherEra = [&](const std::string &name) {
            const auto separator = name.rfind('#');
            return reported.rfind('#') == separator
                    && reported.compare(0, separator, name, 0, separator) == 0
                    && reported.substr(0, eraEnd(reported)) != name.substr(0, eraEnd(name));
        };
        return std::find_if(rollouts.begin(), rollouts.end(),
                            [&](const auto &it) { return isSameInOtherEra(it.first); });
    }

    void updatePlan(const std::string &name, Rollout &rollout, Instant now) const
    {
        const Duration maximum = std::max(rollout.longestAnswerTime, minDrainTime);
        const Duration drainTime =
                boundedFraction(rollout.order.duration, maxDrainFraction, maximum);
        RolloutPlan plan;
        plan.settings.name = name;
        plan.settings.pool = rollout.order.service;
        plan.settings.fromVersion = oldVersionName;
        plan.settings.toVersion = newVersionName;
        plan.settings.largestUnprovenShare = settings.exposureShare;
        plan.deadline = rollout.deadline - std::max(rollout.policy.observationTime, drainTime);
        rollout.controller.setPlans({plan}, now);
    }

    // State in the status row, if the row was written for this order. A row of an earlier era than
    // the order's may have been written for another one.
    static std::optional<RolloutState> recordedState(const Rollout &rollout)
    {
        const auto &stored = rollout.stored;
        if (!stored || stored->position.era != rollout.order.position.era
            || stored->position <= rollout.order.position
            || stored->version != rollout.order.version)
            return std::nullopt;
        return stored->state;
    }

    // Share of the service's requests that goes to the new version. A recorded end takes precedence
    // over this gateway's own conclusion, because servers are stopped according to the record.
    static double shareOf(const Rollout &rollout)
    {
        if (rollout.recordedEnd == RolloutState::Completed)
            return allTraffic;
        if (rollout.recordedEnd == RolloutState::RolledBack)
            return 0;
        return rollout.controller.shares().front().share;
    }

    static bool isEndRecorded(const Rollout &rollout)
    {
        const auto state = recordedState(rollout);
        return state && *state != RolloutState::Running;
    }

    // Adds an entry for the log if the progress has changed since the last one.
    static void recordStep(Rollout &rollout, const RolloutProgress &progress, RolloutTick &result)
    {
        if (progress == rollout.loggedProgress)
            return;
        rollout.loggedProgress = progress;
        result.steps.push_back({rollout.order.service, rollout.order.version, progress,
                                formatEvidence(rollout.controller.evidence())});
    }

    std::optional<RolloutStatus> dueWrite(Rollout &rollout, RolloutState state, Instant now) const
    {
        if (isEndRecorded(rollout) || recordedState(rollout) == state || !rollout.order.confirmed) {
            rollout.pendingState = std::nullopt;
            return std::nullopt;
        }
        if (rollout.pendingState != state) {
            rollout.pendingState = state;
            rollout.pendingSince = now;
            rollout.writtenAt = Instant::min();
        }
        const bool turnReached =
                now >= rollout.pendingSince + writeTurnInterval * std::int64_t {rankAmongHeard};
        const bool retryDue = rollout.writtenAt == Instant::min()
                || now >= rollout.writtenAt + writeRetryInterval;
        if (!turnReached || !retryDue)
            return std::nullopt;
        rollout.writtenAt = now;
        return RolloutStatus {rollout.order.service, rollout.order.version, state,
                              rollout.stored ? rollout.stored->position : StorePosition {}};
    }

    bool hasServer(const std::string &service, const std::string &version) const
    {
        const auto it = versions.find(service);
        return it != versions.end() && it->second.contains(version);
    }

    // Returns true if one more request to the unproven version stays within this gateway's share of
    // the exposure. The constant part of the share becomes available evenly over the proving time.
    bool mayExpose(const Rollout &rollout, Instant now) const
    {
        const double elapsed = std::chrono::duration<double>(now - rollout.startedAt)
                / std::chrono::duration<double>(rollout.policy.minProvingTime);
        const double constant =
                settings.exposureConstant / possiblyAliveCount * std::min(elapsed, 1.0);
        const double allowed = provingExposureFraction
                * (settings.exposureShare * static_cast<double>(rollout.requests) + constant);
        return static_cast<double>(rollout.exposed) + 1 <= allowed;
    }

    StateChart chart;
    GatewayRolloutSettings settings;
    std::map<std::string, Rollout> rollouts; // by name
    // Versions of the servers that are not draining, by service.
    std::map<std::string, std::set<std::string>> versions;
    bool statusesKnown = false;
    std::uint32_t possiblyAliveCount = 1;
    std::uint32_t rankAmongHeard = 0;
};

GatewayRollouts::GatewayRollouts(StateChart chart, const GatewayRolloutSettings &settings)
    : d(std::make_unique<Private>(std::move(chart), settings))
{ }

GatewayRollouts::~GatewayRollouts() = default;

void GatewayRollouts::setOrders(const std::vector<RolloutOrder> &orders,
                                const std::optional<std::vector<RolloutStatus>> &statuses,
                                Instant now)
{
    std::set<std::string> names;
    for (const RolloutOrder &order : orders) {
        const std::string name = Private::nameOf(order);
        names.insert(name);
        const auto [it, added] = d->rollouts.try_emplace(name, d->chart, order, d->settings.daemon);
        Private::Rollout &rollout = it->second;
        if (added) {
            rollout.startedAt = now;
            rollout.deadline = now + order.duration
                    - boundedFraction(order.duration, readDelayFraction, maxReadDelay);
            d->updatePlan(name, rollout, now);
        }
        rollout.order = order;
        if (!statuses)
            continue;
        rollout.stored = std::nullopt;
        for (const RolloutStatus &status : *statuses) {
            if (status.service == order.service)
                rollout.stored = status;
        }
        if (Private::isEndRecorded(rollout))
            rollout.recordedEnd = Private::recordedState(rollout);
    }
    d->statusesKnown = statuses.has_value();
    std::erase_if(d->rollouts, [&](const auto &it) { return !names.contains(it.first); });
}

void GatewayRollouts::setBackends(const std::vector<BackendRecord> &backends)
{
    d->versions.clear();
    for (const BackendRecord &it : backends) {
        if (!it.draining)
            d->versions[it.service].insert(it.version);
    }
}

void GatewayRollouts::setGateways(std::uint32_t possiblyAliveCount, std::uint32_t rankAmongHeard)
{
    d->possiblyAliveCount = std::max(possiblyAliveCount, 1U);
    d->rankAmongHeard = rankAmongHeard;
}

VersionConstraint GatewayRollouts::choose(const std::string &service, const std::string &requestId,
                                          bool isRetry, Instant now)
{
    for (auto &[name, rollout] : d->rollouts) {
        if (rollout.order.service != service)
            continue;
        const std::string &version = rollout.order.version;
        const double share = Private::shareOf(rollout);
        const std::uint32_t stage = rollout.controller.progress().at(name).stage;
        if (!isRetry)
            ++rollout.requests;
        bool takesNew = share >= allTraffic;
        if (!isRetry && share > 0 && !takesNew) {
            const bool proving = stage == 1;
            const bool drawn = unitHash(requestId) < (proving ? maxProvingShare : share);
            takesNew = drawn && (!proving || d->mayExpose(rollout, now));
        }
        if (!d->hasServer(service, version))
            return {version, true};
        if (takesNew && stage == 1)
            ++rollout.exposed;
        return {version, !takesNew};
    }
    return {};
}

void GatewayRollouts::recordOutcome(const VersionOutcome &outcome)
{
    const AttemptReport &report = outcome.report;
    const bool abandoned = report.outcome == AttemptOutcome::Abandoned;
    const bool answered = report.outcome == AttemptOutcome::Answered;
    for (auto &[name, rollout] : d->rollouts) {
        if (answered && rollout.order.service == outcome.service)
            rollout.longestAnswerTime = std::max(rollout.longestAnswerTime, report.total);
    }
    if (report.outcome == AttemptOutcome::NotRun || report.outcome == AttemptOutcome::Misdirected
        || report.outcome == AttemptOutcome::NeverSent
        || (abandoned && report.total < outcome.objective * abandonedSlowFactor)
        || (outcome.firstEventRecorded && (answered || abandoned)))
        return;
    for (auto &[name, rollout] : d->rollouts) {
        if (rollout.order.service != outcome.service)
            continue;
        ReportOutcome attempt;
        attempt.version =
                outcome.version == rollout.order.version ? newVersionName : oldVersionName;
        attempt.route = outcome.route;
        attempt.failed = !abandoned && !answered;
        attempt.inTime = false;
        attempt.usage.promptTokens = outcome.promptTokens;
        attempt.usage.outputTokens = outcome.outputTokens;
        // The controller counts a time of zero in the slowest bucket.
        attempt.usage.totalTime =
                abandoned ? Duration::zero() : std::max<Duration>(report.total, 1us);
        rollout.controller.recordOutcome(attempt);
    }
}

std::vector<RolloutReport> GatewayRollouts::reports(Instant now) const
{
    std::vector<RolloutReport> result;
    for (const auto &[name, rollout] : d->rollouts) {
        result.push_back({name, rollout.deadline - now, rollout.controller.progress().at(name),
                          rollout.controller.localEvidence()});
    }
    return result;
}

void GatewayRollouts::mergePeerReport(const RolloutReport &report, Instant now)
{
    const auto it = d->findReported(report.rollout);
    if (it == d->rollouts.end())
        return;
    const std::string &name = it->first;
    Private::Rollout &rollout = it->second;
    // A gateway that started recently read the order late, so the earliest deadline applies.
    if (now + report.remaining < rollout.deadline) {
        rollout.deadline = now + report.remaining;
        d->updatePlan(name, rollout, now);
    }
    Evidence evidence;
    for (const auto &[key, counts] : report.evidence)
        evidence[{name, key.daemon, key.route, key.newVersion}] = counts;
    rollout.controller.mergeEvidence(evidence);
    rollout.controller.mergeProgress(name, report.progress, now);
}

RolloutTick GatewayRollouts::tick(
        const std::function<bool(const std::string &service, const std::string &version)>
                &otherVersionsIdle,
        Instant now)
{
    RolloutTick result;
    for (auto &[name, rollout] : d->rollouts) {
        const RolloutOrder &order = rollout.order;
        d->updatePlan(name, rollout, now);
        const bool isLeader = d->statusesKnown && d->rankAmongHeard == 0;
        if (rollout.recordedEnd) {
            const bool completed = rollout.recordedEnd == RolloutState::Completed;
            Private::recordStep(rollout,
                                {rollout.controller.progress().at(name).stage,
                                 completed ? RolloutEnd::Done : RolloutEnd::RolledBack, "recorded"},
                                result);
            // The row may have been lost by a return of the store.
            if (d->statusesKnown) {
                if (const auto write = d->dueWrite(rollout, *rollout.recordedEnd, now))
                    result.writes.push_back(*write);
            }
            continue;
        }
        for (const RolloutAction &action : rollout.controller.tick(now, isLeader, 1)) {
            const auto *step = std::get_if<WriteProgress>(&action);
            if (step == nullptr)
                continue; // a rollback, which the controller has already applied
            const bool completes = step->progress.end == RolloutEnd::Done;
            // The old version's servers stop as soon as the row says that the rollout is completed.
            if (completes && now < rollout.deadline - completionWriteMargin
                && !otherVersionsIdle(order.service, order.version))
                continue;
            rollout.controller.mergeProgress(name, step->progress, now);
        }
        const RolloutProgress progress = rollout.controller.progress().at(name);
        Private::recordStep(rollout, progress, result);
        const bool started = progress.stage > 0 || progress.end != RolloutEnd::Open;
        if (!d->statusesKnown || !started)
            continue;
        if (const auto write = d->dueWrite(rollout, rolloutStateFor(progress.end), now))
            result.writes.push_back(*write);
    }
    return result;
}

bool GatewayRollouts::active() const
{
    return !d->rollouts.empty();
}

} // namespace cornelshed
