// Program cornelshed-demo: runs the demonstration with the options of the command line.

#include "demorun.h"

#include <docopt/docopt.h>

#include <iostream>

namespace {

const char usage[] =
        R"(Runs a whole deployment on the loopback, injects failures and counts the outcomes.

Usage:
  cornelshed-demo --binaries DIR --source DIR [--seed N] [--seconds N] [--rate N]
  cornelshed-demo (-h | --help)

Options:
  --binaries DIR   Folder of the programs.
  --source DIR     Folder with charts/.
  --seed N         Seed of the load [default: 1].
  --seconds N      Length of the load [default: 20].
  --rate N         Mean requests a second [default: 60].
  -h --help        Show this text.

Exit status: 0, or 1 when a request ran twice, got another's or a truncated answer, was lost without
a report or falsely reported as not run, when a withdrawn zone got new work, or when a process did
not end gracefully, or 2 when a step failed.
)";

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    cornelshed::demo::DemoOptions options;
    options.cluster.binaryFolder = arguments.at("--binaries").asString();
    options.cluster.sourceFolder = arguments.at("--source").asString();
    options.seed = static_cast<std::uint64_t>(arguments.at("--seed").asLong());
    options.seconds = std::stod(arguments.at("--seconds").asString());
    options.requestsPerSecond = std::stod(arguments.at("--rate").asString());
    try {
        return cornelshed::demo::runDemo(options, std::cout) == 0 ? 0 : 1;
    } catch (const std::exception &error) {
        std::cerr << "cornelshed-demo: " << error.what() << '\n';
        return 2;
    }
}
