// Command line of the daemons: --help, --version, --settings FILE, --check.

#ifndef CORNELSHED_DAEMONOPTIONS_H
#define CORNELSHED_DAEMONOPTIONS_H

#include "tomlreader.h"
#include "types.h"

#include <iostream>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelshed {

// Exit statuses of the daemons, as shown by --help.
enum class DaemonStatus {
    Success = 0,         // checked, or shut down gracefully
    RuntimeFailure = 1,  // could not listen, or failed while running
    UsageError = 2,      // wrong command line
    SettingsError = 3,   // settings or state charts are not valid
    ShutdownTimeout = 4, // requests still ran at the end of shutdown_timeout_ms
    ForcedExit = 5       // a second signal ended the process at once
};

struct DaemonOptions
{
    std::string settingsFile;
    bool checkOnly = false;

    bool operator==(const DaemonOptions &) const = default;
};

// Returns the options, or the status to exit with after help, version or an error was printed.
// purpose is one sentence for the help text.
Result<DaemonOptions, DaemonStatus> parseDaemonOptions(int argc, const char *const *argv,
                                                       const std::string &program,
                                                       const std::string &purpose);

// Reads a whole file; nothing if it cannot be read.
std::optional<std::string> readTextFile(const std::string &path);

// Reads and parses the settings file; problems are printed, and the status to exit with is
// returned.
template<typename Settings>
Result<Settings, DaemonStatus>
loadSettings(const DaemonOptions &options,
             Result<Settings, TomlProblems> (*parse)(std::string_view, const std::string &))
{
    const auto text = readTextFile(options.settingsFile);
    if (!text) {
        std::cerr << options.settingsFile << ": cannot be read\n";
        return DaemonStatus::SettingsError;
    }
    auto settings = parse(*text, options.settingsFile);
    if (const auto *problems = std::get_if<TomlProblems>(&settings)) {
        for (const TomlProblem &it : *problems)
            std::cerr << it.toString() << '\n';
        return DaemonStatus::SettingsError;
    }
    return std::get<Settings>(std::move(settings));
}

// Reads and checks the state charts that daemons interpret; returns the problems.
std::vector<std::string> checkStateCharts(const std::string &directory);

} // namespace cornelshed

#endif // CORNELSHED_DAEMONOPTIONS_H
