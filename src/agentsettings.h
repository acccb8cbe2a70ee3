// Settings of cornelshed-agentd, described in docs/design.md, section 13.

#ifndef CORNELSHED_AGENTSETTINGS_H
#define CORNELSHED_AGENTSETTINGS_H

#include "configuration.h"
#include "tomlreader.h"
#include "types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cornelshed {

struct AgentSettings
{
    std::string chartsDirectory;

    std::string name;
    std::string pool;
    std::string availabilityZone;
    std::string listenAddress;
    std::uint16_t entryPort = 0; // 0: the system chooses a free port
    std::uint16_t adminPort = 0; // 0: the system chooses a free port

    PoolKind serverKind = PoolKind::Engine;
    std::string serverAddress;
    std::uint16_t serverPort = 0;
    std::string serverVersion;
    std::vector<std::string> models;
    bool checksFencing = false;

    std::uint32_t frameLimitBytes = 16U << 20U;
    std::uint32_t sessionLimitCount = 1024;
    // Bytes of large frames while they arrive and of the bodies of running requests together.
    std::uint32_t requestMemoryLimitBytes = 64U << 20U;
    // Bytes of answers: of each one that is not a stream; that are held until they are sent to the
    // entry daemon, of each answer and of all together.
    std::uint32_t answerLimitBytes = 16U << 20U;
    std::uint32_t bufferedAnswersLimitBytes = 64U << 20U;
    std::uint32_t memoryMb = 0; // that the daemon may use; 0: the host's
    std::uint32_t shutdownTimeoutMs = 30000;
    std::uint32_t maximumConcurrencyCount = 64;

    bool operator==(const AgentSettings &) const = default;
};

// Returns the settings or all errors found in text. Error messages name file as the source.
Result<AgentSettings, TomlProblems> parseAgentSettings(std::string_view text,
                                                       const std::string &file);

} // namespace cornelshed

#endif // CORNELSHED_AGENTSETTINGS_H
