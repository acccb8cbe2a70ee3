// Experiments and their registry. An experiment yields one sample for each of its figures and each
// seed; the program runs all seeds and prints the worst and the median.

#ifndef CORNELSHED_EXPERIMENT_H
#define CORNELSHED_EXPERIMENT_H

#include "statechart.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cornelshed::measure {

enum class Bound {
    AtMost,
    AtLeast,
    Stated // no target, the figure is only told
};

struct FigureSpec
{
    std::string name; // unique
    std::string unit;
    Bound bound = Bound::Stated;
    double target = 0;
    std::vector<std::string> baselines; // systems that it is compared with, the best is printed

    bool operator==(const FigureSpec &) const = default;
};

// One figure at one seed; baselines in the order of the specification.
struct Sample
{
    double value = 0;
    std::vector<double> baselines;

    bool operator==(const Sample &) const = default;
};

class Experiment
{
public:
    virtual ~Experiment() = default;

    virtual std::string name() const = 0;
    virtual std::vector<FigureSpec> figures() const = 0;

    // One sample for each figure. Called from several threads at once, for different seeds.
    virtual std::vector<Sample> run(std::uint64_t seed) const = 0;

    virtual std::uint64_t seedCount() const { return 20; }

    // True if it measures real time and must run alone.
    virtual bool alone() const { return false; }
};

using Experiments = std::vector<std::unique_ptr<Experiment>>;

// All experiments, in the order of the table of targets. rolloutChart is the state chart "rollout".
Experiments allExperiments(const StateChart &rolloutChart);

// Each file of experiments adds its own.
void addSchedulingExperiments(Experiments &experiments);
void addFaultExperiments(Experiments &experiments);
void addMoveExperiments(Experiments &experiments, const StateChart &rolloutChart);
void addDecisionCostExperiments(Experiments &experiments);

struct FigureResult
{
    FigureSpec spec;
    Sample worst;
    Sample median; // of the values, and of each baseline
    std::uint64_t worstSeed = 0;
    std::uint64_t medianSeed = 0;

    bool operator==(const FigureResult &) const = default;
};

// samples[n] belongs to seed n + 1 and must not be empty.
FigureResult summarise(const FigureSpec &spec, const std::vector<Sample> &samples);

bool meetsTarget(const FigureSpec &spec, double value);

// The two lines of a figure, and one line for each baseline if there are several.
std::string format(const FigureResult &result);

} // namespace cornelshed::measure

#endif // CORNELSHED_EXPERIMENT_H
