// Correctness figures over many random fault schedules.

#include "experiment.h"
#include "faultsystem.h"

namespace cornelshed::measure {

namespace {

// 10,000 schedules with the default of 20 seeds.
constexpr std::uint64_t schedulesPerSeed = 500;

class FaultSchedules final : public Experiment
{
public:
    std::string name() const override { return "fault_schedules"; }

    std::vector<FigureSpec> figures() const override
    {
        return {{"fault_requests_run_twice", "requests", Bound::AtMost, 0, {}},
                {"fault_false_not_run", "requests", Bound::AtMost, 0, {}},
                {"fault_wrong_answers", "requests", Bound::AtMost, 0, {}},
                {"fault_requests_without_one_ending", "requests", Bound::AtMost, 0, {}},
                {"fault_answered", "share", Bound::NoTarget, 0, {}},
                {"fault_not_run", "share", Bound::NoTarget, 0, {}},
                {"fault_unknown", "share", Bound::NoTarget, 0, {}}};
    }

    std::vector<Sample> run(std::uint64_t seed) const override
    {
        FaultCounts counts;
        for (std::uint64_t n = 0; n < schedulesPerSeed; ++n)
            counts += runFaultSchedule(seed * schedulesPerSeed + n);
        const auto asDouble = [](std::uint64_t n) { return static_cast<double>(n); };
        const double requests = asDouble(counts.requests);
        return {{asDouble(counts.runTwice), {}},
                {asDouble(counts.falseNotRun), {}},
                {asDouble(counts.wrongAnswers), {}},
                {asDouble(counts.withoutEnding + counts.severalEndings), {}},
                {asDouble(counts.answered) / requests, {}},
                {asDouble(counts.notRun) / requests, {}},
                {asDouble(counts.unknown) / requests, {}}};
    }
};

} // namespace

void addFaultExperiments(Experiments &experiments)
{
    experiments.push_back(std::make_unique<FaultSchedules>());
}

} // namespace cornelshed::measure
