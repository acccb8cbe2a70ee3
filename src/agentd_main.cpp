// Entry point of cornelshed-agentd.

#include "agentdaemon.h"
#include "agentsettings.h"
#include "daemonoptions.h"
#include "eventlog.h"
#include "hostresources.h"

#include <iostream>

using namespace cornelshed;

namespace {

int checkCharts(const AgentSettings &settings)
{
    const std::vector<std::string> problems = checkStateCharts(settings.chartsDirectory);
    for (const std::string &it : problems)
        std::cerr << it << '\n';
    return static_cast<int>(problems.empty() ? DaemonExitStatus::Success
                                             : DaemonExitStatus::SettingsError);
}

int serve(const AgentSettings &settings, const char *program)
{
    EventLog::initialize(program);
    AgentDaemon daemon(settings);
    if (const auto error = daemon.listen()) {
        EventLog("start_failed", EventLevel::Error).field("reason", *error);
        return static_cast<int>(DaemonExitStatus::RuntimeFailure);
    }
    daemon.handleSignals();
    return static_cast<int>(daemon.run());
}

} // namespace

int main(int argc, char **argv)
{
    returnFreedMemory();
    const auto parsed = parseDaemonOptions(
            argc, argv, "cornelshed-agentd",
            "agent beside a backend server; queues, grants and runs the system's requests.");
    if (const auto *status = std::get_if<DaemonExitStatus>(&parsed))
        return static_cast<int>(*status);
    const auto &options = std::get<DaemonOptions>(parsed);
    const auto settings = loadSettings(options, parseAgentSettings);
    if (const auto *failure = std::get_if<DaemonExitStatus>(&settings))
        return static_cast<int>(*failure);
    const int status = checkCharts(std::get<AgentSettings>(settings));
    if (status != 0 || options.checkOnly)
        return status;
    return serve(std::get<AgentSettings>(settings), argv[0]);
}
