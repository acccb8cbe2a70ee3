// Main function of cornelshed-admitd, the admission agent beside a backend server.

#include "admissionagent.h"
#include "eventlog.h"
#include "logwriter.h"

#include <iostream>

using namespace cornelshed;

int main(int argc, char **argv)
{
    const auto parsed = parseDaemonOptions(
            argc, argv, "cornelshed-admitd",
            "admission agent; grants the slots of one backend server to gateways.");
    if (const auto *status = std::get_if<DaemonExitStatus>(&parsed))
        return static_cast<int>(*status);
    const auto &options = std::get<DaemonOptions>(parsed);
    const auto settings = loadSettings(options, parseAdmissionAgentSettings);
    if (const auto *failure = std::get_if<DaemonExitStatus>(&settings))
        return static_cast<int>(*failure);
    if (options.checkOnly)
        return static_cast<int>(DaemonExitStatus::Success);
    LogWriter log;
    log.install();
    AdmissionAgent agent(std::get<AdmissionAgentSettings>(settings));
    if (const auto problem = agent.start()) {
        EventLog("start_failed", EventLevel::Error).field("reason", *problem);
        return static_cast<int>(DaemonExitStatus::RuntimeFailure);
    }
    return static_cast<int>(agent.run());
}
