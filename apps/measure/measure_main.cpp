// cornelshed-measure: runs the experiments over many seeds and prints the worst and the median of
// each figure.

#include "experiment.h"
#include "statechartfile.h"

#include <docopt/docopt.h>

#include <atomic>
#include <iostream>
#include <thread>

using namespace cornelshed::measure;

namespace {

const char usage[] = R"(Virtual-time experiments over the decision library.

Usage:
  cornelshed-measure [--threads N] [--seeds N] [--only TEXT] [--charts DIR]
  cornelshed-measure --list [--charts DIR]
  cornelshed-measure (--help | --version)

Options:
  --threads N  Threads that run seeds in parallel [default: 8].
  --seeds N    Seeds of each experiment; 0 means each experiment's own number [default: 0].
  --only TEXT  Run only the experiments whose name contains this text [default: ].
  --charts DIR  Folder of the state charts [default: charts].
  --list       Print the names of the experiments.
  --help       Print this text.
  --version    Print the version.
)";

using Samples = std::vector<std::vector<Sample>>; // [seed - 1][figure]

// Runs seeds until none is left; several threads share the counter.
void runSeeds(const Experiment &experiment, std::atomic<std::uint64_t> &next, Samples &samples)
{
    for (std::uint64_t n = next++; n < samples.size(); n = next++)
        samples[n] = experiment.run(n + 1);
}

Samples runExperiment(const Experiment &experiment, std::uint64_t seeds, unsigned threadCount)
{
    Samples samples(seeds == 0 ? experiment.seedCount() : seeds);
    std::atomic<std::uint64_t> next = 0;
    std::vector<std::thread> threads;
    for (unsigned n = 1; n < threadCount && !experiment.runsAlone(); ++n)
        threads.emplace_back([&] { runSeeds(experiment, next, samples); });
    runSeeds(experiment, next, samples);
    for (std::thread &it : threads)
        it.join();
    return samples;
}

void print(const Experiment &experiment, const Samples &samples)
{
    const std::vector<FigureSpec> specs = experiment.figures();
    for (std::size_t figure = 0; figure < specs.size(); ++figure) {
        std::vector<Sample> figureSamples;
        for (const std::vector<Sample> &it : samples)
            figureSamples.push_back(it[figure]);
        std::cout << format(summarise(specs[figure], figureSamples)) << std::flush;
    }
}

} // namespace

int main(int argc, char *argv[])
{
    const auto options = docopt::docopt(usage, {argv + 1, argv + argc}, true,
                                        "cornelshed-measure " CORNELSHED_VERSION);
    const auto threads = static_cast<unsigned>(options.at("--threads").asLong());
    const auto seeds = static_cast<std::uint64_t>(options.at("--seeds").asLong());
    const std::string nameFilter = options.at("--only").asString();
    const auto chart =
            cornelshed::readStateChart(options.at("--charts").asString() + "/rollout.toml");
    if (const auto *error = std::get_if<cornelshed::StateChartError>(&chart)) {
        std::cerr << error->problems.front() << '\n';
        return 1;
    }
    for (const auto &it : allExperiments(std::get<cornelshed::StateChart>(chart))) {
        if (it->name().find(nameFilter) == std::string::npos)
            continue;
        if (options.at("--list").asBool())
            std::cout << it->name() << '\n';
        else
            print(*it, runExperiment(*it, seeds, threads));
    }
    return 0;
}
