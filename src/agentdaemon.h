// The agent of one backend server. All requests of the system reach that server through the agent.
// Runs on the thread that calls run().

#ifndef CORNELSHED_AGENTDAEMON_H
#define CORNELSHED_AGENTDAEMON_H

#include "agentsettings.h"
#include "daemonoptions.h"
#include "types.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace cornelshed {

class AgentDaemon
{
public:
    explicit AgentDaemon(const AgentSettings &settings);
    ~AgentDaemon();
    AgentDaemon(const AgentDaemon &) = delete;
    AgentDaemon &operator=(const AgentDaemon &) = delete;

    // Opens the listening ports. Returns an error message on failure.
    std::optional<std::string> listen();

    // Handles SIGTERM and SIGINT: the first signal starts a graceful shutdown, a second one ends
    // the process immediately.
    void handleSignals();

    // Serves requests until a shutdown is complete.
    DaemonExitStatus run();

    // May be called from any thread.
    void requestShutdown();

    std::uint16_t entryPort() const;
    std::uint16_t adminPort() const;
    const BackendServerId &backendServer() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_AGENTDAEMON_H
