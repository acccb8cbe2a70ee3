// Scheduling figures under load: order of shedding by tier, goodput, time to first token, wasted
// prefill and cold engines.

#include "experiment.h"
#include "system.h"

#include <algorithm>

namespace cornelshed::measure {

namespace {

constexpr std::size_t engineCount = 12;

const std::vector<SystemKind> pushBaselines {SystemKind::RoundRobin, SystemKind::Random,
                                             SystemKind::PowerOfTwoChoices, SystemKind::PushQueue};

std::vector<std::string> pushBaselineNames()
{
    std::vector<std::string> names;
    names.reserve(pushBaselines.size() + 1);
    for (const SystemKind it : pushBaselines)
        names.emplace_back(nameOf(it));
    return names;
}

// load: request rate as a multiple of the engines' capacity.
Scenario scenarioOf(const WorkloadSettings &workload, double load)
{
    Scenario scenario;
    scenario.engines = threeGenerations(engineCount);
    scenario.workload = workload;
    scenario.workload.requestsPerSecond = load * capacity(scenario.engines, workload);
    return scenario;
}

// Long answers take most of a minute, so the adaptive limits need a longer warm-up.
Scenario eveningScenario(double load)
{
    Scenario scenario = scenarioOf(evening(), load);
    scenario.warmUp = std::chrono::seconds(60);
    return scenario;
}

std::vector<Counts> runPushBaselines(const Scenario &scenario, std::uint64_t seed)
{
    std::vector<Counts> counts;
    counts.reserve(pushBaselines.size() + 1);
    for (const SystemKind it : pushBaselines)
        counts.push_back(simulate(it, scenario, seed));
    return counts;
}

template<typename Figure>
Sample sampleOf(const Counts &own, const std::vector<Counts> &others, Figure figure)
{
    Sample sample {figure(own), {}};
    for (const Counts &it : others)
        sample.baselines.push_back(figure(it));
    return sample;
}

// Bursts exceed the waiting limits, so that requests are shed.
class ShedOrder final : public Experiment
{
public:
    std::string name() const override { return "shed_order"; }

    std::vector<FigureSpec> figures() const override
    {
        return {{"shed_order_violations_one_point", "sheds", Bound::AtMost, 0, {}},
                {"shed_order_violations_across", "share", Bound::AtMost, 0.001, {}},
                {"sheds", "requests", Bound::NoTarget, 0, {}}};
    }

    std::vector<Sample> run(std::uint64_t seed) const override
    {
        WorkloadSettings workload = morning();
        workload.burstShare = 0.5;
        Scenario scenario = scenarioOf(workload, 3);
        scenario.entryLimits.waitingRequestLimit = 60;
        scenario.agentLimits.reservationLimit = 48;
        const Counts counts = simulate(SystemKind::Cornelshed, scenario, seed);
        const double sheds = static_cast<double>(counts.sheds);
        const double across = static_cast<double>(counts.globalShedInversions);
        return {{static_cast<double>(counts.localShedInversions), {}},
                {sheds == 0 ? 0 : across / sheds, {}},
                {sheds, {}}};
    }
};

// The load is 1.5 times the capacity. The top tier has 40% of it, so that it would fit alone.
class Overload final : public Experiment
{
public:
    Overload(std::string name, bool evening) : m_name(std::move(name)), m_evening(evening) { }

    std::string name() const override { return m_name; }

    std::vector<FigureSpec> figures() const override
    {
        std::vector<std::string> systems = pushBaselineNames();
        systems.emplace_back(nameOf(SystemKind::PerfectKnowledge));
        return {{m_name + "_goodput_top_tier", "share", Bound::AtLeast, 0.99, systems},
                {m_name + "_goodput_against_perfect_knowledge", "ratio", Bound::AtLeast, 0.92,
                 pushBaselineNames()},
                {m_name + "_goodput", "share", Bound::NoTarget, 0, systems}};
    }

    std::vector<Sample> run(std::uint64_t seed) const override
    {
        const Scenario scenario = m_evening ? eveningScenario(1.5) : scenarioOf(morning(), 1.5);
        const Counts own = simulate(SystemKind::Cornelshed, scenario, seed);
        const std::vector<Counts> others = runPushBaselines(scenario, seed);
        const Counts perfect = simulate(SystemKind::PerfectKnowledge, scenario, seed);
        const auto ratio = [&](const Counts &it) { return it.goodput() / perfect.goodput(); };
        std::vector<Counts> all = others;
        all.push_back(perfect);
        return {sampleOf(own, all, [](const Counts &it) { return it.goodput(0); }),
                sampleOf(own, others, ratio),
                sampleOf(own, all, [](const Counts &it) { return it.goodput(); })};
    }

private:
    std::string m_name;
    bool m_evening;
};

class LateReports final : public Experiment
{
public:
    std::string name() const override { return "late_reports"; }

    std::vector<FigureSpec> figures() const override
    {
        return {{"late_reports_goodput", "share", Bound::AtLeast, 0.995, pushBaselineNames()},
                {"late_reports_first_token_p95", "s", Bound::AtMost, 0.48, pushBaselineNames()}};
    }

    std::vector<Sample> run(std::uint64_t seed) const override
    {
        Scenario scenario = scenarioOf(morning(), 0.8);
        scenario.loadReportAge = std::chrono::seconds(2);
        const Counts own = simulate(SystemKind::Cornelshed, scenario, seed);
        const std::vector<Counts> others = runPushBaselines(scenario, seed);
        return {sampleOf(own, others, [](const Counts &it) { return it.goodput(); }),
                sampleOf(own, others, [](const Counts &it) { return it.firstTokenP95Seconds; })};
    }
};

class WastedPrefill final : public Experiment
{
public:
    std::string name() const override { return "wasted_prefill"; }

    std::vector<FigureSpec> figures() const override
    {
        return {{"wasted_prefill", "share", Bound::AtMost, 0.05, pushBaselineNames()},
                {"wasted_prefill_against_best_baseline", "ratio", Bound::AtMost, 0.5, {}},
                {"wasted_prefill_late_part", "share", Bound::NoTarget, 0, pushBaselineNames()}};
    }

    std::vector<Sample> run(std::uint64_t seed) const override
    {
        const Scenario scenario = eveningScenario(0.8);
        const Counts own = simulate(SystemKind::Cornelshed, scenario, seed);
        const std::vector<Counts> others = runPushBaselines(scenario, seed);
        const auto wasted = [](const Counts &it) { return it.wastedShare(); };
        const auto late = [](const Counts &it) { return it.latePrefillShare(); };
        const Sample sample = sampleOf(own, others, wasted);
        const double best = *std::min_element(sample.baselines.begin(), sample.baselines.end());
        return {sample, {sample.value / best, {}}, sampleOf(own, others, late)};
    }
};

class ColdEngines final : public Experiment
{
public:
    std::string name() const override { return "cold_engines"; }

    std::vector<FigureSpec> figures() const override
    {
        return {{"cold_overload_after_silent_turn", "requests", Bound::AtMost, 0,
                 pushBaselineNames()},
                {"cold_overload_new_engines", "requests", Bound::AtMost, 0, pushBaselineNames()},
                {"cold_goodput_after_silent_turn", "share", Bound::NoTarget, 0,
                 pushBaselineNames()}};
    }

    std::vector<Sample> run(std::uint64_t seed) const override
    {
        Scenario silent = scenarioOf(morning(), 0.6);
        silent.silentColdInterval = std::chrono::seconds(5);
        Scenario fresh = scenarioOf(morning(), 0.6);
        fresh.enginesStartCold = true;
        fresh.workload.length = std::chrono::seconds(30);
        const auto overload = [](const Counts &it) { return static_cast<double>(it.coldOverload); };
        const auto goodput = [](const Counts &it) { return it.goodput(); };
        const Counts own = simulate(SystemKind::Cornelshed, silent, seed);
        const std::vector<Counts> others = runPushBaselines(silent, seed);
        return {sampleOf(own, others, overload),
                sampleOf(simulate(SystemKind::Cornelshed, fresh, seed),
                         runPushBaselines(fresh, seed), overload),
                sampleOf(own, others, goodput)};
    }
};

} // namespace

void addSchedulingExperiments(Experiments &experiments)
{
    experiments.push_back(std::make_unique<ShedOrder>());
    experiments.push_back(std::make_unique<Overload>("overload_morning", false));
    experiments.push_back(std::make_unique<Overload>("overload_evening", true));
    experiments.push_back(std::make_unique<LateReports>());
    experiments.push_back(std::make_unique<WastedPrefill>());
    experiments.push_back(std::make_unique<ColdEngines>());
}

} // namespace cornelshed::measure
