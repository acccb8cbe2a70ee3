// Runs an agent daemon inside the test process, on its own thread and on free loopback ports.

#ifndef CORNELSHED_TEST_AGENTRUNNER_H
#define CORNELSHED_TEST_AGENTRUNNER_H

#include "agentdaemon.h"

#include <cstdint>
#include <future>
#include <stdexcept>

namespace cornelshed::testing {

inline AgentSettings agentSettings(std::uint16_t serverPort, PoolKind kind = PoolKind::Engine)
{
    AgentSettings settings;
    settings.name = "a1";
    settings.pool = kind == PoolKind::Engine ? "engines" : "services";
    settings.availabilityZone = "z1";
    settings.listenAddress = "127.0.0.1";
    settings.serverKind = kind;
    settings.serverAddress = "127.0.0.1";
    settings.serverPort = serverPort;
    settings.serverVersion = "v1";
    if (kind == PoolKind::Engine)
        settings.models = {"writer"};
    return settings;
}

// The constructor throws if the daemon cannot listen; the destructor shuts the daemon down.
class AgentRunner
{
public:
    explicit AgentRunner(const AgentSettings &settings) : m_daemon(settings)
    {
        if (const auto problem = m_daemon.listen())
            throw std::runtime_error(*problem);
        m_status = std::async(std::launch::async, [this] { return m_daemon.run(); });
    }

    ~AgentRunner()
    {
        if (m_status.valid())
            shutDown();
    }

    AgentRunner(const AgentRunner &) = delete;
    AgentRunner &operator=(const AgentRunner &) = delete;

    AgentDaemon &daemon() { return m_daemon; }

    DaemonExitStatus shutDown()
    {
        m_daemon.requestShutdown();
        return m_status.get();
    }

private:
    AgentDaemon m_daemon;
    std::future<DaemonExitStatus> m_status;
};

} // namespace cornelshed::testing

#endif // CORNELSHED_TEST_AGENTRUNNER_H
