// A whole deployment on the loopback: platform, engines and a plain service (stand-ins) with their
// agents, and entry daemons. Used by the demonstration and by the process tests.

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
    std::string binaries; // folder of the programs
    std::string source;   // folder with charts/
    std::size_t zoneCount = 3;
    std::size_t enginesPerZone = 2;
    std::size_t entryCount = 2;
    std::uint32_t hostLagMs = 300;
    std::uint32_t serviceDelayMs = 20;
    std::uint32_t shutdownTimeoutMs = 10000;
};

enum class MemberKind { Platform, Engine, Service, EngineAgent, ServiceAgent, Entry };

class Cluster
{
public:
    // Writes the settings; starts nothing.
    explicit Cluster(ClusterOptions options);
    ~Cluster(); // ends all processes that still run
    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;

    // Starts everything, accepts the first configuration and waits until it serves. All functions
    // throw std::runtime_error with the reason when a step fails or takes too long.
    void start();

    // Generates the configuration with these zones withdrawn, accepts it and waits until it is in
    // force in every entry daemon.
    void acceptWithdrawal(const std::vector<std::string> &withdrawnZones);

    [[nodiscard]] std::vector<std::string> names(MemberKind kind) const;
    [[nodiscard]] std::string zoneOf(const std::string &name) const;
    [[nodiscard]] standins::HttpEndpoint endpointOf(const std::string &name) const;
    [[nodiscard]] standins::HttpEndpoint adminOf(const std::string &name) const;

    // Sends SIGKILL and waits for the end.
    void kill(const std::string &name);

    // Sends SIGTERM; returns the exit status. Throws when the process does not end in time.
    int stop(const std::string &name);

    // Starts a process again after kill() or stop(), with the same settings and ports.
    void restart(const std::string &name);

    // Waits until every running daemon is ready and has the accepted configuration, and every pair
    // of running entry daemon and agent has a session.
    void waitUntilServing();

    // What a load balancer sees: the last poll of /ready of the entry daemon with this number.
    [[nodiscard]] bool entryReady(std::size_t number) const;

    // Stops entry daemons, then agents, then stand-ins; returns the exit statuses.
    std::map<std::string, int> stopAll();

    // Leaves settings and logs behind and returns their folder.
    std::string keepFiles();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed::demo

#endif // CORNELSHED_DEMO_CLUSTER_H
