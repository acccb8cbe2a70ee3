// Command line of the daemons (--help, --version, --settings FILE, --check), their exit statuses,
// and the reading of the files that they need at start.

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

// Exit statuses of the daemons. The help text in daemonoptions.cpp lists them too.
enum class DaemonExitStatus {
    Success = 0,         // settings checked, or shut down gracefully
    RuntimeFailure = 1,  // could not listen, or failed while running
    UsageError = 2,      // invalid command line
    SettingsError = 3,   // invalid settings or state charts
    ShutdownTimeout = 4, // requests were still running after shutdown_timeout_ms
    ForcedExit = 5       // a second signal ended the process at once
};

struct DaemonOptions
{
    std::string settingsFile;
    bool checkOnly = false; // validate the settings and the state charts, then exit

    bool operator==(const DaemonOptions &) const = default;
};

// Parses the command line. If the process has to exit, because the help or the version was
// requested or the command line is invalid, prints the text and returns the exit status.
// description is one sentence for the help text.
Result<DaemonOptions, DaemonExitStatus> parseDaemonOptions(int argc, const char *const *argv,
                                                           const std::string &program,
                                                           const std::string &description);

// Returns the content of a file, or std::nullopt if it cannot be opened.
std::optional<std::string> readTextFile(const std::string &path);

// Reads and parses the settings file. On failure, prints all problems to the standard error and
// returns the exit status.
template<typename Settings>
Result<Settings, DaemonExitStatus>
loadSettings(const DaemonOptions &options,
             Result<Settings, TomlProblems> (*parse)(std::string_view, const std::string &))
{
    const auto text = readTextFile(options.settingsFile);
    if (!text) {
        std::cerr << options.settingsFile << ": cannot read the settings file\n";
        return DaemonExitStatus::SettingsError;
    }
    auto settings = parse(*text, options.settingsFile);
    if (const auto *problems = std::get_if<TomlProblems>(&settings)) {
        for (const TomlProblem &it : *problems)
            std::cerr << it.toString() << '\n';
        return DaemonExitStatus::SettingsError;
    }
    return std::get<Settings>(std::move(settings));
}

// Reads and validates the state charts that the daemons interpret. Returns one message for each
// problem, so an empty list if all are valid.
std::vector<std::string> checkStateCharts(const std::string &directory);

} // namespace cornelshed

#endif // CORNELSHED_DAEMONOPTIONS_H
