// Entry daemon: combines the data plane (EntryService) and the control thread, and handles signals
// and graceful shutdown.

#ifndef CORNELSHED_ENTRYDAEMON_H
#define CORNELSHED_ENTRYDAEMON_H

#include "daemonoptions.h"
#include "entrysettings.h"

#include <memory>
#include <optional>
#include <string>

namespace cornelshed {

class EntryDaemon
{
public:
    explicit EntryDaemon(const EntrySettings &settings);
    ~EntryDaemon();
    EntryDaemon(const EntryDaemon &) = delete;
    EntryDaemon &operator=(const EntryDaemon &) = delete;

    // Opens the ports and starts serving. Returns an error message on failure.
    std::optional<std::string> start();

    // Blocks until a termination signal arrives, then performs the graceful shutdown.
    DaemonExitStatus run();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_ENTRYDAEMON_H
