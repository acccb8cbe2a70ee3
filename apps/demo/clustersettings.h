// Contents of the settings files, the answers file and the host list of a cluster.

#ifndef CORNELSHED_DEMO_CLUSTERSETTINGS_H
#define CORNELSHED_DEMO_CLUSTERSETTINGS_H

#include "cluster.h"

#include <array>
#include <string>
#include <vector>

namespace cornelshed::demo {

struct ClusterMember
{
    std::string name;
    MemberKind kind = MemberKind::Platform;
    std::string zone;
    std::string pool;
    std::string server;          // agents: name of the backend server
    std::uint16_t port = 0;      // for requests, or for sessions of entry daemons at an agent
    std::uint16_t adminPort = 0; // agents and entry daemons
    std::uint16_t peerPort = 0;  // entry daemons
};

// Speed of the engines of a pool.
struct EngineSpeed
{
    const char *pool;
    std::uint32_t prefillTokensPerSecond;
    std::uint32_t decodeTokensPerSecond;
};

// One pool for each of three simulated hardware generations.
constexpr std::array<EngineSpeed, 3> engineSpeeds {{{"writers-fast", 40000, 500},
                                                    {"writers-middle", 20000, 250},
                                                    {"writers-slow", 10000, 125}}};

constexpr const char *servicePool = "ledger";
constexpr const char *modelName = "loom";

// zone-a, zone-b and so on.
std::string zoneName(std::size_t number);
// Answers from which "cornelshed generate" makes the configuration.
std::string answersText(const ClusterOptions &options,
                        const std::vector<std::string> &withdrawnZones);
std::string agentSettingsText(const ClusterOptions &options, const ClusterMember &agent,
                              const ClusterMember &server);
std::string entrySettingsText(const ClusterOptions &options, const ClusterMember &entry,
                              const ClusterMember &platform);

// Body of POST /hosts/set that lists the agents and entry daemons among the members.
std::string hostListText(const std::vector<ClusterMember> &members);

} // namespace cornelshed::demo

#endif // CORNELSHED_DEMO_CLUSTERSETTINGS_H
