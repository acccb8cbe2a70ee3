// Daemon that runs beside a backend server and grants its slots to gateways: serves a SlotAllocator
// over a UDP socket.

#ifndef CORNELSHED_ADMISSIONAGENT_H
#define CORNELSHED_ADMISSIONAGENT_H

#include "daemonoptions.h"
#include "tomlreader.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cornelshed {

struct AdmissionAgentSettings
{
    std::string name;
    std::string address; // IP address of the host that it shares with the backend server
    std::uint16_t port = 0;
    std::uint16_t metricsPort = 0; // 0: no metrics server

    bool operator==(const AdmissionAgentSettings &) const = default;
};

Result<AdmissionAgentSettings, TomlProblems> parseAdmissionAgentSettings(std::string_view text,
                                                                         const std::string &file);

class AdmissionAgent
{
public:
    explicit AdmissionAgent(const AdmissionAgentSettings &settings);
    ~AdmissionAgent();
    AdmissionAgent(const AdmissionAgent &) = delete;
    AdmissionAgent &operator=(const AdmissionAgent &) = delete;

    // Opens the sockets. Returns an error message on failure.
    std::optional<std::string> start();

    // Serves until the process receives a termination signal.
    DaemonExitStatus run();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_ADMISSIONAGENT_H
