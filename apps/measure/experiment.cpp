// Summarises figures over seeds and formats the printed lines.

#include "experiment.h"

#include <algorithm>
#include <cstdio>
#include <numeric>

namespace cornelshed::measure {

namespace {

std::string formatNumber(double value)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "%.6g", value);
    return buf;
}

// True if a is worse than b; without a target, larger values count as worse.
bool isWorse(Bound bound, double a, double b)
{
    return bound == Bound::AtLeast ? a < b : a > b;
}

double bestBaseline(const FigureSpec &spec, const Sample &sample)
{
    double best = sample.baselines.front();
    for (const double it : sample.baselines) {
        if (isWorse(spec.bound, best, it))
            best = it;
    }
    return best;
}

// Lower median for an even number of values.
double medianOf(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[(values.size() - 1) / 2];
}

std::string figureLine(const FigureSpec &spec, const std::string &statistic, const Sample &sample,
                       std::uint64_t seed)
{
    std::string text = "measure name=" + spec.name + "." + statistic;
    text += " value=" + formatNumber(sample.value) + " unit=" + spec.unit;
    text += " target=" + (spec.bound == Bound::NoTarget ? "stated" : formatNumber(spec.target));
    text += " baseline="
            + (sample.baselines.empty() ? std::string("none")
                                        : formatNumber(bestBaseline(spec, sample)));
    text += " seed=" + std::to_string(seed);
    text += std::string(" pass=") + (meetsTarget(spec, sample.value) ? "yes" : "no");
    return text + "\n";
}

} // namespace

Experiments allExperiments(const StateChart &rolloutChart)
{
    Experiments experiments;
    addSchedulingExperiments(experiments);
    addLoadedExperiments(experiments);
    addFaultExperiments(experiments);
    addReconfigurationExperiments(experiments, rolloutChart);
    addDecisionCostExperiments(experiments);
    return experiments;
}

bool meetsTarget(const FigureSpec &spec, double value)
{
    return spec.bound == Bound::NoTarget || !isWorse(spec.bound, value, spec.target);
}

FigureResult summarise(const FigureSpec &spec, const std::vector<Sample> &samples)
{
    std::vector<std::size_t> order(samples.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return isWorse(spec.bound, samples[a].value, samples[b].value);
    });
    const std::size_t worst = order.front();
    const std::size_t median = order[order.size() / 2];
    FigureResult result {spec, samples[worst], samples[median], worst + 1, median + 1};
    for (std::size_t n = 0; n < result.median.baselines.size(); ++n) {
        std::vector<double> values;
        values.reserve(samples.size());
        for (const Sample &it : samples)
            values.push_back(it.baselines[n]);
        result.median.baselines[n] = medianOf(std::move(values));
    }
    return result;
}

std::string format(const FigureResult &result)
{
    std::string text = figureLine(result.spec, "worst", result.worst, result.worstSeed);
    text += figureLine(result.spec, "median", result.median, result.medianSeed);
    for (std::size_t n = 0; n < result.spec.baselines.size(); ++n) {
        text += "baseline name=" + result.spec.name + " system=" + result.spec.baselines[n];
        text += " at_worst=" + formatNumber(result.worst.baselines[n]);
        text += " median=" + formatNumber(result.median.baselines[n]) + "\n";
    }
    return text;
}

} // namespace cornelshed::measure
