// Experiments, their registry and the summary of their figures over all seeds. An experiment yields
// one sample per figure and seed; the program runs all seeds and prints the worst and the median.

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
    NoTarget // no target; the figure is only printed
};

struct FigureSpec
{
    std::string name; // unique
    std::string unit;
    Bound bound = Bound::NoTarget;
    double target = 0;
    std::vector<std::string> baselines; // systems to compare with; the best one is printed

    bool operator==(const FigureSpec &) const = default;
};

// Value of one figure for one seed; baselines are in the order of FigureSpec::baselines.
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

    // Returns one sample for each of figures(), in that order. Called concurrently for different
    // seeds unless runsAlone().
    virtual std::vector<Sample> run(std::uint64_t seed) const = 0;

    virtual std::uint64_t seedCount() const { return 20; }

    // True if the experiment measures real time, so that its seeds must not run concurrently.
    virtual bool runsAlone() const { return false; }
};

using Experiments = std::vector<std::unique_ptr<Experiment>>;

// Returns all experiments in the order of the table of targets. rolloutChart is the state chart
// "rollout".
Experiments allExperiments(const StateChart &rolloutChart);

// One function per source file of experiments.
void addSchedulingExperiments(Experiments &experiments);
void addLoadedExperiments(Experiments &experiments);
void addFaultExperiments(Experiments &experiments);
void addReconfigurationExperiments(Experiments &experiments, const StateChart &rolloutChart);
void addDecisionCostExperiments(Experiments &experiments);

struct FigureResult
{
    FigureSpec spec;
    Sample worst;
    Sample median; // of the values; each baseline has its own median
    std::uint64_t worstSeed = 0;
    std::uint64_t medianSeed = 0;

    bool operator==(const FigureResult &) const = default;
};

// samples[n] belongs to seed n + 1. There must be at least one sample.
FigureResult summarise(const FigureSpec &spec, const std::vector<Sample> &samples);

bool meetsTarget(const FigureSpec &spec, double value);

// Returns the lines "worst" and "median" of a figure, then one line for each of its baselines.
std::string format(const FigureResult &result);

} // namespace cornelshed::measure

#endif // CORNELSHED_EXPERIMENT_H
