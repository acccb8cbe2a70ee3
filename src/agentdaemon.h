// The agent of one backend server: the only path by which the system's work reaches that server.
// It runs on the thread that calls run().

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

    // Opens the ports. Returns what went wrong, if anything.
    std::optional<std::string> listen();

    // Makes SIGTERM and SIGINT start a graceful shutdown, and a second one end the process at once.
    void handleSignals();

    // Serves until a shutdown is complete.
    DaemonStatus run();

    // Safe from any thread.
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
