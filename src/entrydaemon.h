// Entry daemon: the traffic side, the control thread, signals and shutdown.

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

    // Opens the ports and starts serving. Returns what went wrong, if anything.
    std::optional<std::string> start();

    // Waits for a signal and carries out the graceful shutdown.
    DaemonStatus run();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_ENTRYDAEMON_H
