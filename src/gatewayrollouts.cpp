// One RolloutController for each order, with stages that fit its duration.

#include "gatewayrollouts.h"

#include "stabledigest.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace cornelshed {

namespace {

using namespace std::chrono_literals;

// Stages as parts of the order's duration.
constexpr double provingPart = 0.25;
constexpr double stagePart = 0.1;
constexpr double watchPart = 0.1;
constexpr double proposalPart = 0.05;
// Limits of those parts, for orders of seconds and of days.
constexpr Duration leastPart = 100ms;
constexpr Duration longestProving = 30s;
constexpr Duration longestStage = 20s;
constexpr Duration longestWatch = 60s;
constexpr Duration longestProposal = 2s;
// Left after the last step for the old version's last answers, by the longest one seen, and for the
// write; of the order's duration, at most this part.
constexpr Duration leastLastAnswers = 600ms;
constexpr double lastAnswersPart = 0.4;
// An order may have stood for this part of its duration, or time, before it was read.
constexpr double readLagPart = 0.1;
constexpr Duration longestReadLag = 500ms;
// Routes with a smaller share of the answers do not hold up the steps.
constexpr double rareRouteShare = 0.15;
// An order shorter than this is judged by few answers: only an excess of faults that shows in ten
// answers of a route is found before its time limit. It takes no step between proving and all
// traffic, in which a route would get too few answers to tell anything.
constexpr Duration shortOrder = 2min;
constexpr double shortOrderExcess = 0.25;
constexpr double shortOrderErrorRate = 0.05;
constexpr double shortOrderAnswers = 500;
constexpr std::uint64_t shortOrderOldAnswers = 10;
// Classes of slowness beyond the old version's slowest answers, of which few are known: twice the
// time. New servers have no prompts in their caches.
constexpr std::size_t shortOrderSlowMargin = 4;
// While proving, at most this share of a route's requests, and this part of the allowed exposure;
// the rest is for a version that turns bad in a later stage.
constexpr double provingShare = 0.33;
constexpr double provingExposure = 0.8;
constexpr std::uint64_t answersToLean = 2;
// Each gateway in turn writes a status that is still missing after this time for each one before.
constexpr Duration writeTurn = 1200ms; // longer than the interval at which statuses are read
constexpr Duration writeInterval = 1s;
// The old version's last requests are waited for until this long before the time limit.
constexpr Duration lastWrite = 400ms;
// An attempt that was given up after this multiple of its objective tells that the server is slow.
constexpr int slowObjectives = 2;
// Versions as the controller knows them.
constexpr const char *oldName = "old";
constexpr const char *newName = "new";
constexpr double allTraffic = 1;

Duration partOf(Duration whole, double part, Duration longest)
{
    const auto exact = std::chrono::duration_cast<Duration>(whole * part);
    return std::clamp(exact, leastPart, longest);
}

RolloutPolicy policyFor(Duration duration)
{
    RolloutPolicy policy;
    policy.rampShares = {0.5, allTraffic};
    policy.answersToLean = answersToLean;
    policy.leastProvingTime = partOf(duration, provingPart, longestProving);
    policy.leastStageTime = partOf(duration, stagePart, longestStage);
    policy.watchTime = partOf(duration, watchPart, longestWatch);
    policy.proposalInterval = partOf(duration, proposalPart, longestProposal);
    policy.tellTime = policy.proposalInterval;
    policy.rareRouteShare = rareRouteShare;
    if (duration < shortOrder) {
        policy.rampShares = {allTraffic};
        policy.answersToLean = 1;
        policy.verdict.answersPerRollout = shortOrderAnswers;
        policy.verdict.errorRate = shortOrderErrorRate;
        policy.verdict.failureExcess = shortOrderExcess;
        policy.verdict.slowExcess = shortOrderExcess;
        policy.verdict.oldAnswersNeeded = shortOrderOldAnswers;
        policy.verdict.slowMargin = shortOrderSlowMargin;
    }
    policy.deadlineGrace = policy.proposalInterval;
    return policy;
}

// In [0, 1). What an unproven version gets is bounded by a count, so that chance does no harm.
double drawOf(const std::string &requestId)
{
    constexpr std::uint64_t steps = 1 << 16;
    return static_cast<double>(stableDigest(requestId) % steps) / steps;
}

std::string evidenceText(const Evidence &evidence)
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

RolloutState stateOf(RolloutEnd end)
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
        Rollout(const StateChart &chart, const RolloutOrder &given, const std::string &daemon)
            : order(given), policy(policyFor(given.duration)), controller(chart, policy, daemon)
        { }

        RolloutOrder order;
        RolloutPolicy policy;
        RolloutController controller;
        Instant deadline {}; // the order's time limit
        Instant startedAt {};
        Duration longestAnswer {};  // seen here, of either version
        std::uint64_t requests = 0; // own, since the order was seen
        std::uint64_t exposed = 0;  // of them to the new version while it was unproven
        std::optional<RolloutStatus> stored;
        std::optional<RolloutState> wanted; // to be stored
        Instant wantedSince {};
        Instant writtenAt = Instant::min();
        RolloutProgress logged;
    };

    Private(StateChart given, GatewayRolloutSettings givenSettings)
        : chart(std::move(given)), settings(std::move(givenSettings))
    { }

    static std::string nameOf(const RolloutOrder &order)
    {
        return order.service + "#" + std::to_string(order.rowVersion);
    }

    void plan(const std::string &name, Rollout &rollout, Instant now) const
    {
        const Duration wanted = std::max(rollout.longestAnswer, leastLastAnswers);
        const Duration spare = partOf(rollout.order.duration, lastAnswersPart, wanted);
        RolloutPlan made;
        made.settings.name = name;
        made.settings.pool = rollout.order.service;
        made.settings.fromVersion = oldName;
        made.settings.toVersion = newName;
        made.settings.largestUnprovenShare = settings.exposureShare;
        made.deadline = rollout.deadline - std::max(rollout.policy.watchTime, spare);
        rollout.controller.setPlans({made}, now);
    }

    // What the status row says, if it was written for this order.
    static std::optional<RolloutState> recorded(const Rollout &rollout)
    {
        const auto &stored = rollout.stored;
        if (!stored || stored->rowVersion <= rollout.order.rowVersion
            || stored->version != rollout.order.version)
            return std::nullopt;
        return stored->state;
    }

    // Of the service's requests to the new version. A recorded end holds against what was concluded
    // here: the versions' servers stop by it.
    static double shareOf(const Rollout &rollout)
    {
        const auto state = recorded(rollout);
        if (state == RolloutState::Completed)
            return allTraffic;
        if (state == RolloutState::RolledBack)
            return 0;
        return rollout.controller.shares().front().share;
    }

    static bool hasRecordedEnd(const Rollout &rollout)
    {
        const auto state = recorded(rollout);
        return state && *state != RolloutState::Running;
    }

    // For the log, once for each step.
    static void noteStep(Rollout &rollout, const RolloutProgress &progress, RolloutTick &result)
    {
        if (progress == rollout.logged)
            return;
        rollout.logged = progress;
        result.steps.push_back({rollout.order.service, rollout.order.version, progress,
                                evidenceText(rollout.controller.evidence())});
    }

    std::optional<RolloutStatus> dueWrite(Rollout &rollout, RolloutState state, Instant now) const
    {
        if (hasRecordedEnd(rollout) || recorded(rollout) == state) {
            rollout.wanted = std::nullopt;
            return std::nullopt;
        }
        if (rollout.wanted != state) {
            rollout.wanted = state;
            rollout.wantedSince = now;
            rollout.writtenAt = Instant::min();
        }
        const bool turn = now >= rollout.wantedSince + writeTurn * std::int64_t {heardPlace};
        const bool again =
                rollout.writtenAt == Instant::min() || now >= rollout.writtenAt + writeInterval;
        if (!turn || !again)
            return std::nullopt;
        rollout.writtenAt = now;
        return RolloutStatus {rollout.order.service, rollout.order.version, state,
                              rollout.stored ? rollout.stored->rowVersion : 0};
    }

    bool listed(const std::string &service, const std::string &version) const
    {
        const auto it = versions.find(service);
        return it != versions.end() && it->second.contains(version);
    }

    // While the version is unproven: whether one more request keeps within this gateway's share of
    // the exposure, which is let out over the proving time.
    bool mayExpose(const Rollout &rollout, Instant now) const
    {
        const double elapsed = std::chrono::duration<double>(now - rollout.startedAt)
                / std::chrono::duration<double>(rollout.policy.leastProvingTime);
        const double constant = settings.exposureConstant / mayBeAlive * std::min(elapsed, 1.0);
        const double allowed = provingExposure
                * (settings.exposureShare * static_cast<double>(rollout.requests) + constant);
        return static_cast<double>(rollout.exposed) + 1 <= allowed;
    }

    StateChart chart;
    GatewayRolloutSettings settings;
    std::map<std::string, Rollout> rollouts;               // by name
    std::map<std::string, std::set<std::string>> versions; // of usable servers, by service
    bool statusesKnown = false;
    std::uint32_t mayBeAlive = 1;
    std::uint32_t heardPlace = 0;
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
            rollout.deadline =
                    now + order.duration - partOf(order.duration, readLagPart, longestReadLag);
            d->plan(name, rollout, now);
        }
        if (!statuses)
            continue;
        rollout.stored = std::nullopt;
        for (const RolloutStatus &status : *statuses) {
            if (status.service == order.service)
                rollout.stored = status;
        }
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

void GatewayRollouts::setDaemons(std::uint32_t mayBeAlive, std::uint32_t heardPlace)
{
    d->mayBeAlive = std::max(mayBeAlive, 1U);
    d->heardPlace = heardPlace;
}

VersionChoice GatewayRollouts::choose(const std::string &service, const std::string &requestId,
                                      bool repeat, Instant now)
{
    for (auto &[name, rollout] : d->rollouts) {
        if (rollout.order.service != service)
            continue;
        const std::string &version = rollout.order.version;
        const double share = Private::shareOf(rollout);
        const std::uint32_t stage = rollout.controller.progress().at(name).stage;
        if (!repeat)
            ++rollout.requests;
        bool takesNew = share >= allTraffic;
        if (!repeat && share > 0 && !takesNew) {
            const bool proving = stage == 1;
            const bool drawn = drawOf(requestId) < (proving ? provingShare : share);
            takesNew = drawn && (!proving || d->mayExpose(rollout, now));
        }
        if (!d->listed(service, version))
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
            rollout.longestAnswer = std::max(rollout.longestAnswer, report.total);
    }
    if (report.outcome == AttemptOutcome::NotRun || report.outcome == AttemptOutcome::Misdirected
        || report.outcome == AttemptOutcome::NeverSent
        || (abandoned && report.total < outcome.objective * slowObjectives)
        || (outcome.begun && (answered || abandoned)))
        return;
    for (auto &[name, rollout] : d->rollouts) {
        if (rollout.order.service != outcome.service)
            continue;
        ReportOutcome told;
        told.version = outcome.version == rollout.order.version ? newName : oldName;
        told.route = outcome.route;
        told.failed = !abandoned && !answered;
        told.inTime = false;
        told.usage.promptTokens = outcome.promptTokens;
        told.usage.outputTokens = outcome.outputTokens;
        // No time at all counts as slow as can be.
        told.usage.totalTime = abandoned ? Duration::zero() : std::max<Duration>(report.total, 1us);
        rollout.controller.recordOutcome(told);
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

void GatewayRollouts::peerReport(const RolloutReport &report, Instant now)
{
    const auto it = d->rollouts.find(report.rollout);
    if (it == d->rollouts.end())
        return;
    Private::Rollout &rollout = it->second;
    // A gateway that started lately saw the order late.
    if (now + report.remaining < rollout.deadline) {
        rollout.deadline = now + report.remaining;
        d->plan(report.rollout, rollout, now);
    }
    rollout.controller.mergeEvidence(report.evidence);
    rollout.controller.mergeProgress(report.rollout, report.progress, now);
}

RolloutTick GatewayRollouts::tick(
        const std::function<bool(const std::string &service, const std::string &version)>
                &idleOutside,
        Instant now)
{
    RolloutTick result;
    for (auto &[name, rollout] : d->rollouts) {
        const RolloutOrder &order = rollout.order;
        d->plan(name, rollout, now);
        const bool leads = d->statusesKnown && d->heardPlace == 0;
        if (Private::hasRecordedEnd(rollout)) {
            const bool completed = Private::recorded(rollout) == RolloutState::Completed;
            Private::noteStep(rollout,
                              {rollout.controller.progress().at(name).stage,
                               completed ? RolloutEnd::Done : RolloutEnd::RolledBack, "recorded"},
                              result);
            continue;
        }
        for (const RolloutAction &action : rollout.controller.tick(now, leads, 1)) {
            const auto *step = std::get_if<WriteProgress>(&action);
            if (step == nullptr)
                continue; // a roll-back, which the controller has taken in
            const bool last = step->progress.end == RolloutEnd::Done;
            // The old version's servers stop as soon as the row says that it is done.
            if (last && now < rollout.deadline - lastWrite
                && !idleOutside(order.service, order.version))
                continue;
            rollout.controller.mergeProgress(name, step->progress, now);
        }
        const RolloutProgress progress = rollout.controller.progress().at(name);
        Private::noteStep(rollout, progress, result);
        const bool begun = progress.stage > 0 || progress.end != RolloutEnd::Open;
        if (!d->statusesKnown || !begun)
            continue;
        if (const auto write = d->dueWrite(rollout, stateOf(progress.end), now))
            result.writes.push_back(*write);
    }
    return result;
}

bool GatewayRollouts::active() const
{
    return !d->rollouts.empty();
}

} // namespace cornelshed
