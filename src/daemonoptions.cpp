// Command line parsing with docopt, whose grammar is the help text itself.

#include "daemonoptions.h"

#include "statechartfile.h"

#include <docopt/docopt.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace cornelshed {

namespace {

std::string usageText(const std::string &program, const std::string &description)
{
    return program + " - " + description + R"(

Usage:
  )" + program
            + R"( --settings FILE [--check]
  )" + program
            + R"( --help
  )" + program
            + R"( --version

Options:
  --settings FILE  Settings file (TOML).
  --check          Check the settings and the state charts, print all problems, and exit.
  --help           Show this text.
  --version        Show the version.

Signals:
  SIGTERM, SIGINT  Graceful shutdown; a second signal ends the process at once.

Exit status:
  0  checked, or shut down gracefully
  1  could not listen, or failed while running
  2  wrong command line
  3  settings or state charts are not valid
  4  requests still ran at the end of shutdown_timeout_ms
  5  ended at once by a second signal
)";
}

} // namespace

Result<DaemonOptions, DaemonExitStatus> parseDaemonOptions(int argc, const char *const *argv,
                                                           const std::string &program,
                                                           const std::string &description)
{
    const std::string usage = usageText(program, description);
    try {
        auto arguments = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, true);
        return DaemonOptions {arguments["--settings"].asString(), arguments["--check"].asBool()};
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        return DaemonExitStatus::Success;
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << program << ' ' << CORNELSHED_VERSION << '\n';
        return DaemonExitStatus::Success;
    } catch (const std::exception &error) {
        std::cerr << program << ": " << error.what() << "\n\n" << usage;
        return DaemonExitStatus::UsageError;
    }
}

std::optional<std::string> readTextFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    std::ostringstream content;
    content << file.rdbuf();
    return std::move(content).str();
}

std::vector<std::string> checkStateCharts(const std::string &directory)
{
    std::vector<std::string> problems;
    for (const char *it : {"request", "backend_server", "rollout", "availability_zone", "lease"}) {
        const auto chart = readStateChart(directory + "/" + it + ".toml");
        if (const auto *error = std::get_if<StateChartError>(&chart))
            problems.insert(problems.end(), error->problems.begin(), error->problems.end());
    }
    return problems;
}

} // namespace cornelshed
