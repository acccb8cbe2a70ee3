// Periodic health probe of the backend server. Before first reporting an engine as reachable, it
// cancels all requests that an earlier incarnation of the agent may have left running on it.

#ifndef CORNELSHED_SERVERPROBE_H
#define CORNELSHED_SERVERPROBE_H

#include "backendclient.h"
#include "configuration.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace cornelshed {

struct ServerProbeSettings
{
    PoolKind kind = PoolKind::Engine;
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const ServerProbeSettings &) const = default;
};

class ServerProbe
{
public:
    // client must outlive the probe. onChange is called whenever the server becomes reachable or
    // unreachable; the initial state is unreachable.
    ServerProbe(boost::asio::io_context &context, const ServerProbeSettings &settings,
                BackendClient &client, std::function<void(bool reachable)> onChange);
    ~ServerProbe();
    ServerProbe(const ServerProbe &) = delete;
    ServerProbe &operator=(const ServerProbe &) = delete;

    void start();

    // Probes without waiting for the next interval. Called when the server refused a connection.
    void probeNow();

    void stop();

private:
    class Private;
    std::shared_ptr<Private> d; // shared with the handlers of the io_context
};

} // namespace cornelshed

#endif // CORNELSHED_SERVERPROBE_H
