// Runs a complete deployment as processes on the loopback interface: stand-ins for the platform,
// the engines and a plain service, an agent for each engine and for the service, and entry daemons.
// Used by the demonstration and by the process tests.

#ifndef CORNELSHED_DEMO_CLUSTER_H
#define CORNELSHED_DEMO_CLUSTER_H

#include "httpclient.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cornelshed::demo {

struct ClusterOptions
{
    std::string binaryFolder; // folder with the programs
    std::string sourceFolder; // folder with charts/
    std::size_t zoneCount = 3;
    std::size_t enginesPerZone = 2;
    std::size_t entryCount = 2;
    std::uint32_t hostLagMs = 300;           // age of the host list that the platform returns
    std::uint32_t serviceDelayMs = 20;       // time that the plain service takes for a request
    std::uint32_t shutdownTimeoutMs = 10000; // of agents and entry daemons
    // Further lines of the section "limits" of their settings.
    std::string entryLimitsText;
    std::string agentLimitsText;
};

enum class MemberKind { Platform, Engine, Service, EngineAgent, ServiceAgent, Entry };

// Unless stated otherwise, functions throw std::runtime_error with the reason when a step fails or
// takes too long.
class Cluster
{
public:
    // Writes the settings files and starts no process.
    explicit Cluster(ClusterOptions options);
    ~Cluster(); // kills all processes that still run
    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;

    // Starts all processes, accepts the first configuration and waits until all entry daemons serve
    // requests under it.
    void start();

    // Generates and accepts a configuration in which these availability zones are withdrawn, and
    // waits until every running entry daemon applies it.
    void acceptWithdrawal(const std::vector<std::string> &withdrawnZones);

    [[nodiscard]] std::vector<std::string> memberNames(MemberKind kind) const;
    [[nodiscard]] std::string zoneOf(const std::string &name) const;
    [[nodiscard]] standins::HttpEndpoint endpointOf(const std::string &name) const;
    [[nodiscard]] std::uint16_t peerPortOf(const std::string &name) const; // of an entry daemon
    [[nodiscard]] standins::HttpEndpoint adminEndpointOf(const std::string &name) const;

    // Process id; valid while the process runs.
    [[nodiscard]] int processId(const std::string &name) const;
    [[nodiscard]] bool isRunning(const std::string &name);

    // Sends SIGKILL and waits until the process has ended.
    void kill(const std::string &name);

    // Sends SIGTERM, waits until the process has ended and returns its status as
    // ChildProcess::waitForExit() does.
    int stop(const std::string &name);

    // Starts a process again after kill() or stop() with the same settings and ports, and waits
    // until it listens.
    void restart(const std::string &name);

    // Waits until every running daemon is ready and has the accepted configuration, and each
    // running entry daemon has a session with each running agent.
    void waitUntilServing();

    // Result of the last poll of /ready at the entry daemon with this index, as a load balancer
    // would see it. Thread-safe.
    [[nodiscard]] bool entryReady(std::size_t number) const;

    // Stops all running processes with SIGTERM: entry daemons, then agents, then stand-ins. Returns
    // the status of each as stop() does, by name.
    std::map<std::string, int> stopAll();

    // Keeps the folder with settings and logs beyond the destruction of the cluster and returns its
    // path.
    std::string keepFiles();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed::demo

#endif // CORNELSHED_DEMO_CLUSTER_H
