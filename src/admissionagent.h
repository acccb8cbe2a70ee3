// The admission agent of one backend server: a SlotLedger behind a datagram socket.

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
    std::string address; // IP address of the host, which is also the backend server's
    std::uint16_t port = 0;
    std::uint16_t metricsPort = 0; // 0: none

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

    // Returns what went wrong, if anything.
    std::optional<std::string> start();

    // Serves until a signal ends the agent.
    DaemonStatus run();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_ADMISSIONAGENT_H
