// Entry point of cornelshed-entryd: parses the command line, loads the settings and runs the
// daemon.

#include "daemonoptions.h"
#include "entrydaemon.h"
#include "entrysettings.h"
#include "eventlog.h"
#include "hostresources.h"

#include <iostream>

using namespace cornelshed;

namespace {

int reportStateChartErrors(const EntrySettings &settings)
{
    const std::vector<std::string> errors = checkStateCharts(settings.chartsDirectory);
    for (const std::string &it : errors)
        std::cerr << it << '\n';
    return static_cast<int>(errors.empty() ? DaemonExitStatus::Success
                                           : DaemonExitStatus::SettingsError);
}

int runDaemon(const EntrySettings &settings, const char *program)
{
    EventLog::initialize(program);
    EntryDaemon daemon(settings);
    if (const auto error = daemon.start()) {
        EventLog("start_failed", EventLevel::Error).field("reason", *error);
        return static_cast<int>(DaemonExitStatus::RuntimeFailure);
    }
    return static_cast<int>(daemon.run());
}

} // namespace

int main(int argc, char **argv)
{
    returnFreedMemory();
    const auto parsed = parseDaemonOptions(
            argc, argv, "cornelshed-entryd",
            "entry daemon; takes callers' requests and schedules them on backend servers.");
    if (const auto *status = std::get_if<DaemonExitStatus>(&parsed))
        return static_cast<int>(*status);
    const auto &options = std::get<DaemonOptions>(parsed);
    const auto settings = loadSettings(options, parseEntrySettings);
    if (const auto *failure = std::get_if<DaemonExitStatus>(&settings))
        return static_cast<int>(*failure);
    const int status = reportStateChartErrors(std::get<EntrySettings>(settings));
    if (status != 0 || options.checkOnly)
        return status;
    return runDaemon(std::get<EntrySettings>(settings), argv[0]);
}
