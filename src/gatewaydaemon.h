// The gateway process: a control thread that reads the platform's store, a traffic thread that
// serves callers, and their shutdown and reload. The platform's languages come in from outside.

#ifndef CORNELSHED_GATEWAYDAEMON_H
#define CORNELSHED_GATEWAYDAEMON_H

#include "daemonoptions.h"
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

// What a platform's adapter provides. Must outlive the daemon.
struct GatewayPlatform
{
    const IngressProtocol &protocol;
    const RowCodec &rows;
    // Called once; the store runs on the given context.
    std::function<std::unique_ptr<RowStore>(boost::asio::io_context &, const GatewaySettings &)>
            openStore;
};

class LogWriter;

class GatewayDaemon
{
public:
    // settingsFile is read again when it changes. log must outlive the daemon.
    GatewayDaemon(const GatewaySettings &settings, const std::string &settingsFile,
                  StateChart rolloutChart, const GatewayPlatform &platform, const LogWriter &log);
    ~GatewayDaemon();
    GatewayDaemon(const GatewayDaemon &) = delete;
    GatewayDaemon &operator=(const GatewayDaemon &) = delete;

    // Returns what went wrong, if anything.
    std::optional<std::string> start();

    // Serves until a signal ends the daemon.
    DaemonStatus run();

private:
    class Private;
    std::unique_ptr<Private> d;
};

// main() of a gateway program: options, settings, and the daemon.
int gatewayMain(int argc, const char *const *argv, const std::string &program,
                const GatewayPlatform &platform);

} // namespace cornelshed

#endif // CORNELSHED_GATEWAYDAEMON_H
