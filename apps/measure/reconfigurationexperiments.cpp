// Figures of changes in operation: rollouts of versions, withdrawal of availability zones, and
// distribution of accepted configurations.

#include "experiment.h"
#include "propagationmodel.h"
#include "rolloutmodel.h"
#include "system.h"

#include <algorithm>

namespace cornelshed::measure {

namespace {

double asNumber(bool value)
{
    return value ? 1 : 0;
}

RolloutModelResult runRollout(const StateChart &chart, VersionBehaviour behaviour,
                              RolloutDriver driver, std::uint64_t seed)
{
    RolloutModelSettings settings;
    settings.behaviour = behaviour;
    settings.driver = driver;
    settings.seed = seed;
    return runRolloutModel(chart, settings);
}

// Runs 100 rollouts per seed, because one per seed (20 in all) can't show a share of 99%.
class GoodVersions final : public Experiment
{
public:
    explicit GoodVersions(StateChart chart) : m_chart(std::move(chart)) { }

    std::string name() const override { return "rollout_good_versions"; }

    std::vector<FigureSpec> figures() const override
    {
        return {{"rollout_good_done_by_deadline",
                 "share",
                 Bound::AtLeast,
                 0.99,
                 {"fixed_schedule"}},
                {"rollout_good_rolled_back", "share", Bound::AtMost, 0.01, {"fixed_schedule"}}};
    }

    std::vector<Sample> run(std::uint64_t seed) const override
    {
        constexpr std::uint64_t rollouts = 100;
        double done[2] = {0, 0};
        double rolledBack[2] = {0, 0};
        for (std::uint64_t n = 0; n < rollouts; ++n) {
            for (const RolloutDriver driver :
                 {RolloutDriver::Sequential, RolloutDriver::FixedSchedule}) {
                const auto result =
                        runRollout(m_chart, VersionBehaviour::Good, driver, seed * 1000 + n);
                const auto index = static_cast<std::size_t>(driver);
                done[index] += asNumber(result.done) / rollouts;
                rolledBack[index] += asNumber(result.rolledBack) / rollouts;
            }
        }
        return {{done[0], {done[1]}}, {rolledBack[0], {rolledBack[1]}}};
    }

private:
    StateChart m_chart;
};

class BadVersions final : public Experiment
{
public:
    BadVersions(StateChart chart, const std::string &kind, VersionBehaviour behaviour)
        : m_chart(std::move(chart)), m_prefix("rollout_" + kind), m_behaviour(behaviour)
    { }

    std::string name() const override { return m_prefix; }

    std::vector<FigureSpec> figures() const override
    {
        const std::vector<std::string> baseline {"fixed_schedule"};
        return {{m_prefix + "_rolled_back", "share", Bound::AtLeast, 1, baseline},
                {m_prefix + "_requests_until_shown", "share", Bound::AtMost, 0.05, baseline},
                {m_prefix + "_requests_2s_after", "requests", Bound::AtMost, 0, baseline}};
    }

    std::vector<Sample> run(std::uint64_t seed) const override
    {
        const auto own = runRollout(m_chart, m_behaviour, RolloutDriver::Sequential, seed);
        const auto fixed = runRollout(m_chart, m_behaviour, RolloutDriver::FixedSchedule, seed);
        const auto late = [](const RolloutModelResult &it) {
            return static_cast<double>(it.requestsAfterRollback);
        };
        return {{asNumber(own.rolledBack), {asNumber(fixed.rolledBack)}},
                {own.badRequestShare, {fixed.badRequestShare}},
                {late(own), {late(fixed)}}};
    }

private:
    StateChart m_chart;
    std::string m_prefix;
    VersionBehaviour m_behaviour;
};

// Withdraws one of three availability zones at 30 s and returns it with new hosts at 60 s.
class ZoneWithdrawal final : public Experiment
{
public:
    std::string name() const override { return "zone_moves"; }

    std::vector<FigureSpec> figures() const override
    {
        return {{"zone_move_goodput_top_tier", "share", Bound::AtLeast, 0.995, {}},
                {"zone_move_goodput", "share", Bound::NoTarget, 0, {}},
                {"zone_withdrawn_starts_after_3s", "requests", Bound::AtMost, 0, {}},
                {"zone_move_unknown", "requests", Bound::AtMost, 0, {}}};
    }

    std::vector<Sample> run(std::uint64_t seed) const override
    {
        Scenario scenario;
        scenario.engines = threeGenerations(12);
        scenario.workload = morning();
        scenario.workload.requestsPerSecond = 0.6 * capacity(scenario.engines, scenario.workload);
        scenario.workload.length = std::chrono::seconds(90);
        // Each zone has four engines. Without this rotation they would be of one generation,
        // because zones and generations both alternate with period 3. With it, each zone has two.
        std::rotate(scenario.engines.begin() + 3, scenario.engines.begin() + 4,
                    scenario.engines.begin() + 6);
        scenario.zoneCount = 3;
        scenario.zoneChanges = {{std::chrono::seconds(30), 1, true},
                                {std::chrono::seconds(60), 1, false}};
        const Counts counts = simulate(SystemKind::Cornelshed, scenario, seed);
        return {{counts.goodput(0), {}},
                {counts.goodput(), {}},
                {static_cast<double>(counts.withdrawnStarts), {}},
                {static_cast<double>(counts.unknown), {}}};
    }
};

// Ten configuration changes while 20% of the peer messages are lost, 20% of the calls to the
// platform fail, and a daemon crashes every two seconds on average.
class ConfigurationDistribution final : public Experiment
{
public:
    explicit ConfigurationDistribution(std::size_t daemons)
        : m_daemons(daemons), m_prefix("configuration_" + std::to_string(daemons) + "_daemons")
    { }

    std::string name() const override { return m_prefix; }

    std::vector<FigureSpec> figures() const override
    {
        return {{m_prefix + "_slowest", "s", Bound::AtMost, 4, {}},
                {m_prefix + "_went_back", "daemons", Bound::AtMost, 0, {}},
                {m_prefix + "_head_reads", "1/s", Bound::NoTarget, 0, {}},
                {m_prefix + "_bytes_per_daemon", "bytes/s", Bound::NoTarget, 0, {}}};
    }

    std::vector<Sample> run(std::uint64_t seed) const override
    {
        PropagationFaults faults;
        faults.lostPercent = 20;
        faults.duplicatedPercent = 5;
        faults.failedReadPercent = 20;
        faults.meanCrashInterval = std::chrono::seconds(2);
        PropagationModel model(m_daemons, faults, seed);
        model.runFor(std::chrono::seconds(5));
        const std::uint64_t reads = model.reads();
        const std::uint64_t bytes = model.bytesSent();
        Duration slowest {};
        for (std::uint64_t version = 1; version <= changes; ++version) {
            model.accept();
            slowest = std::max(slowest, timeUntilInstalled(model, version));
        }
        const double seconds = std::chrono::duration<double>(period).count() * changes;
        const auto rate = [&](std::uint64_t n) { return static_cast<double>(n) / seconds; };
        return {{std::chrono::duration<double>(slowest).count(), {}},
                {asNumber(model.versionDecreased()), {}},
                {rate(model.reads() - reads), {}},
                {rate(model.bytesSent() - bytes) / static_cast<double>(m_daemons), {}}};
    }

private:
    // Runs for one period; returns the time until every daemon had installed the version.
    static Duration timeUntilInstalled(PropagationModel &model, std::uint64_t version)
    {
        constexpr Duration step = std::chrono::milliseconds(50);
        Duration installedAfter {};
        for (Duration time {}; time < period; time += step) {
            if (model.countOutdatedDaemons(version) > 0)
                installedAfter = time + step;
            model.runFor(step);
        }
        return installedAfter;
    }

    static constexpr std::uint64_t changes = 10;
    static constexpr Duration period = std::chrono::seconds(8);

    std::size_t m_daemons;
    std::string m_prefix;
};

} // namespace

void addReconfigurationExperiments(Experiments &experiments, const StateChart &rolloutChart)
{
    for (const std::size_t it : {2U, 50U, 380U})
        experiments.push_back(std::make_unique<ConfigurationDistribution>(it));
    experiments.push_back(std::make_unique<GoodVersions>(rolloutChart));
    const std::pair<const char *, VersionBehaviour> bad[] = {
            {"fails_at_once", VersionBehaviour::FailsAtOnce},
            {"slow_at_once", VersionBehaviour::SlowAtOnce},
            {"fails_later", VersionBehaviour::FailsLater},
            {"fails_under_load", VersionBehaviour::FailsUnderLoad},
            {"fails_on_one_route", VersionBehaviour::FailsOneRoute},
            {"turns_cold", VersionBehaviour::TurnsCold}};
    for (const auto &[kind, behaviour] : bad)
        experiments.push_back(std::make_unique<BadVersions>(rolloutChart, kind, behaviour));
    experiments.push_back(std::make_unique<ZoneWithdrawal>());
}

} // namespace cornelshed::measure
