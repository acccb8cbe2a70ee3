// Program cornelshed-load: sends a generated or recorded day of traffic and prints the outcomes.

#include "day.h"
#include "ledgers.h"
#include "loadrun.h"
#include "tally.h"

#include <docopt/docopt.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace cornelshed::load;

const char usage[] = R"(Sends a day of traffic to entry daemons and counts the outcomes per tier.

Usage:
  cornelshed-load [options] (--entry HOST:PORT)... [--organisation SPEC]... [--ledger URL]...
  cornelshed-load (-h | --help)

Options:
  --entry HOST:PORT      Entry daemon; requests go to each in turn.
  --organisation SPEC    Organisation of the generated day, NAME:TIER:WEIGHT; with none, two large
                         and three small ones.
  --ledger URL           Stand-in whose ledger is read at the end; give all, or duplicates and false
                         "not run" cannot be counted.
  --seed N               Seed of the generated day [default: 1].
  --seconds N            Length that the generated day is compressed into [default: 20].
  --rate N               Mean requests a second of the generated day [default: 50].
  --deadline-ms N        Deadline of the generated requests [default: 5000].
  --shortest-prompt N    Shortest prompt, tokens; the longest is a hundredfold [default: 16].
  --shortest-output N    Shortest answer, tokens; the longest is a hundredfold [default: 2].
  --order-share X        Share of orders to the plain service [default: 0.1].
  --order-path PATH      Path of the plain service [default: /orders].
  --replay FILE          Send a recorded day instead of a generated one.
  --record FILE          Write the day that is sent as a recording.
  --compression X        Divide planned times by this [default: 1].
  --model NAME           Model to ask for [default: loom].
  --run-name NAME        Prefix of the markers; must differ between runs against the same stand-ins
                         [default: L].
  --open-limit N         Requests open at once; more are counted as unsent [default: 4000].
  --json                 Print JSON instead of a table.
  -h --help              Show this text.

Exit status: 0, or 1 when a request ran twice, got another's or a truncated answer, was lost without
a report or falsely reported as not run, or 2 for a wrong command line or file.
)";

using Arguments = std::map<std::string, docopt::value>;

std::string readFile(const std::string &name)
{
    std::ifstream in(name);
    if (!in)
        throw std::invalid_argument(name + ": cannot be read");
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

DayOrganisation parseOrganisation(const std::string &spec)
{
    std::istringstream in(spec);
    DayOrganisation organisation;
    std::string weight;
    std::getline(in, organisation.name, ':');
    std::getline(in, organisation.tier, ':');
    std::getline(in, weight);
    organisation.weight = std::stod(weight);
    return organisation;
}

std::vector<DayOrganisation> readOrganisations(const Arguments &arguments)
{
    std::vector<DayOrganisation> organisations;
    for (const std::string &it : arguments.at("--organisation").asStringList())
        organisations.push_back(parseOrganisation(it));
    if (organisations.empty())
        organisations = {{"large-1", "gold", 5},
                         {"large-2", "silver", 5},
                         {"small-1", "gold", 1},
                         {"small-2", "silver", 1},
                         {"small-3", "bronze", 1}};
    return organisations;
}

// Throws std::invalid_argument when the value of the option does not start with a number.
double numberOption(const Arguments &arguments, const char *name)
{
    return std::stod(arguments.at(name).asString());
}

Day readOrGenerateDay(const Arguments &arguments)
{
    if (arguments.at("--replay").isString())
        return parseDay(readFile(arguments.at("--replay").asString()));
    DayOptions options;
    options.seed = static_cast<std::uint64_t>(arguments.at("--seed").asLong());
    const double milliseconds = numberOption(arguments, "--seconds") * 1000;
    options.length = std::chrono::milliseconds(static_cast<std::int64_t>(milliseconds));
    options.meanRequestsPerSecond = numberOption(arguments, "--rate");
    options.deadlineMs = static_cast<std::uint32_t>(numberOption(arguments, "--deadline-ms"));
    options.shortestPromptTokens =
            static_cast<std::uint32_t>(numberOption(arguments, "--shortest-prompt"));
    options.shortestOutputTokens =
            static_cast<std::uint32_t>(numberOption(arguments, "--shortest-output"));
    options.orderShare = numberOption(arguments, "--order-share");
    options.orderPath = arguments.at("--order-path").asString();
    options.organisations = readOrganisations(arguments);
    return generateDay(options);
}

LoadOptions loadOptions(const Arguments &arguments)
{
    LoadOptions options;
    for (const std::string &it : arguments.at("--entry").asStringList())
        options.entries.push_back(parseEndpoint(it));
    options.model = arguments.at("--model").asString();
    options.markerPrefix = arguments.at("--run-name").asString();
    options.compression = numberOption(arguments, "--compression");
    options.openRequestLimit = static_cast<std::uint32_t>(numberOption(arguments, "--open-limit"));
    return options;
}

int run(const Arguments &arguments)
{
    const Day day = readOrGenerateDay(arguments);
    if (arguments.at("--record").isString())
        std::ofstream(arguments.at("--record").asString()) << formatDay(day);
    std::vector<cornelshed::standins::HttpEndpoint> ledgers;
    for (const std::string &it : arguments.at("--ledger").asStringList())
        ledgers.push_back(parseEndpoint(it));
    LoadRun load(day, loadOptions(arguments));
    const std::vector<RequestRecord> records = load.run();
    Tally tally = countRecords(records);
    if (!ledgers.empty())
        auditRecords(tally, records, fetchLedgers(ledgers));
    std::cout << (arguments.at("--json").asBool() ? tally.toJson() + "\n" : tally.toTable());
    return tally.violationCount() == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    const Arguments arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    try {
        return run(arguments);
    } catch (const std::exception &error) {
        std::cerr << "cornelshed-load: " << error.what() << '\n';
        return 2;
    }
}
