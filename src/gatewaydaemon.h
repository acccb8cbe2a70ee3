// The gateway process: a control thread that reads the platform's store and a traffic thread that
// serves callers, with graceful shutdown and reload of the settings. The platform's protocol and
// row format are supplied by the caller.

#ifndef CORNELSHED_GATEWAYDAEMON_H
#define CORNELSHED_GATEWAYDAEMON_H

#include "daemonoptions.h"
#include "dutycalls.h"
#include "gatewaysettings.h"
#include "ingressprotocol.h"
#include "rowstore.h"
#include "statechart.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace boost::asio {
class io_context;
}

namespace cornelshed {

// Adapter to a platform. Must outlive the daemon.
struct GatewayPlatform
{
    const IngressProtocol &protocol;
    const RowCodec &rows;
    // Called once. The store runs its callbacks on the given context.
    std::function<std::unique_ptr<RowStore>(boost::asio::io_context &, const GatewaySettings &)>
            openStore;
    // Null: the platform has no calls for duties of one gateway at a time.
    const DutyCodec *duties = nullptr;
};

class LogWriter;

class GatewayDaemon
{
public:
    // settingsFile is the path of the file that the settings were read from; the daemon reloads it
    // when its content changes. log must outlive the daemon.
    GatewayDaemon(const GatewaySettings &settings, const std::string &settingsFile,
                  StateChart rolloutChart, const GatewayPlatform &platform, const LogWriter &log);
    ~GatewayDaemon();
    GatewayDaemon(const GatewayDaemon &) = delete;
    GatewayDaemon &operator=(const GatewayDaemon &) = delete;

    // Opens all sockets and starts reading the store. Returns the error message on failure.
    std::optional<std::string> start();

    // Serves until shutdown is requested by a signal.
    DaemonExitStatus run();

private:
    class Private;
    std::unique_ptr<Private> d;
};

// Implements main() of a gateway program: parses options and settings, then runs the daemon.
int gatewayMain(int argc, const char *const *argv, const std::string &program,
                const GatewayPlatform &platform);

} // namespace cornelshed

#endif // CORNELSHED_GATEWAYDAEMON_H
