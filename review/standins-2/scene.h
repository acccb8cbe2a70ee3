// A small deployment on loopback addresses: the store, gateways and admission agents as separate
// processes with the settings that the deploy file's templates give, and the caller's side.

#ifndef CORNELSHED_REVIEW_SCENE_H
#define CORNELSHED_REVIEW_SCENE_H

#include "net.h"
#include "runner.h"
#include "store.h"

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

namespace review {

// Ports are the same on all machines, which differ by their loopback addresses.
struct Ports
{
    std::uint16_t front;
    std::uint16_t ready;
    std::uint16_t store;
    std::uint16_t peer;
    std::uint16_t agent;
    std::uint16_t metrics;
    std::uint16_t app;

    static Ports free();
};

class Process
{
public:
    Process(std::string program, std::string settingsFile, std::string logFile);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void start();
    void kill(); // and waits for its end

private:
    std::string m_program;
    std::string m_settingsFile;
    std::string m_logFile;
    pid_t m_pid = -1;
};

struct SceneSettings
{
    std::size_t gateways = 2;
    std::size_t agents = 0;         // beside the runners with the addresses sideIp(0), ...
    std::string program = "target"; // folder of the daemons
    std::size_t memoryMb = 110;
};

class Scene
{
public:
    Scene(SceneSettings settings, const std::string &recordFile);
    ~Scene();
    Scene(const Scene &) = delete;
    Scene &operator=(const Scene &) = delete;

    Record &record() { return m_record; }
    Store &store() { return *m_store; }
    const Ports &ports() const { return m_ports; }
    static std::string gatewayIp(std::size_t index);
    static std::string sideIp(std::size_t index);
    Address front(std::size_t gateway) const
    {
        return {gatewayIp(m_removedGateways + gateway), m_ports.front};
    }
    Process &gateway(std::size_t index) { return *m_gateways[index]; }
    void addGateway();          // on a new machine, at a new address
    void removeOldestGateway(); // for good

    // The next runners have the addresses sideIp(first), sideIp(first + 1), ...
    void useSidesFrom(std::size_t first) { m_nextSide = first; }
    Runner &addRunner(const std::string &service, Runner::Handler handler,
                      const std::string &version = "v1");
    // Writes the configuration and starts the processes. Returns whether all gateways are ready in
    // time.
    bool start(const std::string &configuration);
    bool waitReady(std::int64_t timeoutMs);

private:
    std::string gatewaySettings(std::size_t index) const;
    std::string agentSettings(std::size_t index) const;
    std::string writeFile(const std::string &name, const std::string &text) const;

    SceneSettings m_settings;
    Record m_record;
    Ports m_ports;
    std::string m_folder; // temporary
    std::size_t m_nextSide = 0;
    std::unique_ptr<Store> m_store;
    std::vector<std::unique_ptr<Runner>> m_runners;
    std::vector<std::unique_ptr<Process>> m_gateways; // the oldest one first
    std::size_t m_removedGateways = 0;
    std::vector<std::unique_ptr<Process>> m_agents;
};

// Whether the case plays its disruption: not with TROUBLE=0.
bool hasTrouble();

// Whether TROUBLE has this value, which plays the disruption in a form that the system withstands.
bool isControl(const std::string &name);

} // namespace review

#endif // CORNELSHED_REVIEW_SCENE_H
