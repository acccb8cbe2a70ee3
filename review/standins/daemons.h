// Starts the project's daemons as separate processes, with the commands and templates of the deploy
// folder, and ends them.

#ifndef REVIEW_DAEMONS_H
#define REVIEW_DAEMONS_H

#include "record.h"

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

namespace review {

// A folder for settings and logs that is removed at the end.
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    const std::string &path() const { return m_path; }

private:
    std::string m_path;
};

// One daemon. If its process ends, it is started again after a short delay, as on the platform.
class Daemon
{
public:
    // arguments: as in the deploy file. memoryLimitKb: the process is killed beyond it; 0: none.
    Daemon(std::string name, std::string program, std::string settingsFile, std::string logFile,
           Record &record, std::uint64_t memoryLimitKb = 0);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    // Sends SIGTERM, as the platform does for a planned stop.
    void terminate();

    unsigned ownEnds() const { return m_ownEnds; } // by itself, or by the limit of memory
    std::uint64_t peakMemoryKb() const { return m_peakMemoryKb; }

private:
    void supervise();
    bool start();
    void checkMemory();

    const std::string m_name;
    const std::string m_program;
    const std::string m_settingsFile;
    const std::string m_logFile;
    Record &m_record;
    const std::uint64_t m_memoryLimitKb;
    std::atomic<pid_t> m_process {-1};
    std::atomic<bool> m_isTerminating {false}; // the next end of the process is planned
    std::atomic<bool> m_stopped {false};
    std::atomic<unsigned> m_ownEnds {0};
    std::atomic<std::uint64_t> m_peakMemoryKb {0};
    std::thread m_thread;
};

// What the platform's template engine fills into deploy/gatewayd.toml.
struct GatewayPlaces
{
    std::string name;
    std::string address;
    std::uint16_t frontPort = 0;
    std::uint16_t readyPort = 0;
    std::uint16_t peerPort = 0;
    std::uint16_t agentPort = 0;
    std::uint16_t metricsPort = 0;
    std::uint16_t storePort = 0;
};

void writeGatewaySettings(const std::string &file, const GatewayPlaces &places);
void writeAgentSettings(const std::string &file, const std::string &name,
                        const std::string &address, std::uint16_t port);

// Waits until the gateway reports that it is ready.
bool waitUntilReady(const GatewayPlaces &places, std::chrono::milliseconds limit);

} // namespace review

#endif // REVIEW_DAEMONS_H
