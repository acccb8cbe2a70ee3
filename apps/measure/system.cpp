// Runs one scenario on one system under the virtual clock.

#include "system.h"

namespace cornelshed::measure {

namespace {

// Simulated time after the last arrival, so that all requests end: longer than the longest deadline
// (150 s).
constexpr Duration drainTime = std::chrono::seconds(160);

// Gives the workload its own random sequence, so that all systems see the same workload for a seed.
constexpr std::uint64_t workloadSeedMask = 0x5eed;

void scheduleArrivals(Run &run, System &system)
{
    for (std::size_t n = 0; n < run.workload.size(); ++n)
        run.events.at(run.workload[n].arrival, [&system, n] { system.submit(n); });
}

void scheduleColdPeriods(Run &run)
{
    if (run.scenario.enginesStartCold) {
        for (std::size_t n = 0; n < run.fleet.size(); ++n)
            run.fleet.turnCold(n);
    }
    const Duration interval = run.scenario.silentColdInterval;
    if (interval == Duration::zero())
        return;
    SeededRandom random(run.seed + 1);
    const Instant end(run.scenario.workload.length);
    for (Instant t(run.scenario.warmUp + interval / 2); t < end; t += interval) {
        const std::size_t engine = random.below(run.fleet.size());
        run.events.at(t, [&run, engine] { run.fleet.turnCold(engine); });
    }
}

// All combinations; the best one by goodput is the reference.
constexpr ReferencePolicy referencePolicies[] = {
        {false, false}, {false, true}, {true, false}, {true, true}};

template<typename Make> Counts runOnce(const Scenario &scenario, std::uint64_t seed, Make make)
{
    Run run(scenario, seed);
    const std::unique_ptr<System> system = make(run);
    run.fleet.setListener(system.get());
    scheduleArrivals(run, *system);
    scheduleColdPeriods(run);
    run.events.runUntil(Instant(scenario.workload.length + drainTime));
    Counts counts = run.recorder.counts();
    // The system is not told of a silent cold turn, so three starts beyond the engine's concurrency
    // are allowed each time.
    counts.coldOverload = run.fleet.coldOverload(scenario.enginesStartCold ? 0 : 3);
    system->addSystemCounts(counts);
    return counts;
}

} // namespace

const char *nameOf(SystemKind kind)
{
    switch (kind) {
    case SystemKind::Cornelshed:
        return "cornelshed";
    case SystemKind::RoundRobin:
        return "round_robin";
    case SystemKind::Random:
        return "random";
    case SystemKind::PowerOfTwoChoices:
        return "least_of_two";
    case SystemKind::PushQueue:
        return "push_queue";
    case SystemKind::PerfectKnowledge:
        return "perfect_knowledge";
    }
    return "";
}

Run::Run(const Scenario &scenario, std::uint64_t seed)
    : scenario(scenario), seed(seed), random(seed),
      workload(generate(scenario.workload, seed ^ workloadSeedMask)),
      recorder(workload, scenario.warmUp), fleet(scenario.engines, events, recorder)
{ }

Counts simulate(SystemKind kind, const Scenario &scenario, std::uint64_t seed)
{
    const auto make = [kind](Run &run) -> std::unique_ptr<System> {
        if (kind == SystemKind::Cornelshed)
            return makeCornelshed(run);
        return makeBaseline(run, kind);
    };
    if (kind != SystemKind::PerfectKnowledge)
        return runOnce(scenario, seed, make);
    Counts best;
    for (const ReferencePolicy &policy : referencePolicies) {
        const Counts counts =
                runOnce(scenario, seed, [&](Run &run) { return makeReference(run, policy); });
        if (counts.goodput() > best.goodput())
            best = counts;
    }
    return best;
}

} // namespace cornelshed::measure
