// Traffic side of an entry daemon: callers' connections, the dispatcher and the sessions to agents,
// on a pool of threads of its own.

#ifndef CORNELSHED_ENTRYSERVICE_H
#define CORNELSHED_ENTRYSERVICE_H

#include "controllink.h"
#include "controlthread.h"
#include "entrysettings.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace cornelshed {

class EntryService
{
public:
    // control must outlive the service.
    EntryService(const EntrySettings &settings, std::uint64_t entryIncarnation,
                 ControlLink &control);

    // Stops the threads; requests that still run are dropped.
    ~EntryService();
    EntryService(const EntryService &) = delete;
    EntryService &operator=(const EntryService &) = delete;

    // Opens the ports and starts the threads. Returns what went wrong, if anything.
    std::optional<std::string> start();

    // Safe from any thread.
    void setView(std::shared_ptr<const ControlView> view);

    // Shutdown takes these steps, in this order; each is safe from any thread.
    void setReady(bool ready);       // /ready also needs a configuration
    void stopAccepting();            // no new connections or requests
    std::size_t activeCount() const; // requests received and not answered
    void closeSessions();

    std::uint16_t callerPort() const;
    std::uint16_t adminPort() const;
    std::size_t connectedAgentCount() const;
    bool ready() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_ENTRYSERVICE_H
