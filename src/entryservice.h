// Data plane of an entry daemon: caller connections, the dispatcher and the agent sessions, running
// on a dedicated thread pool.

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

    // Stops the threads; requests that are still active are dropped without a response.
    ~EntryService();
    EntryService(const EntryService &) = delete;
    EntryService &operator=(const EntryService &) = delete;

    // Opens the ports and starts the threads. Returns an error message on failure.
    std::optional<std::string> start();

    // Thread-safe.
    void setView(std::shared_ptr<const ControlView> view);

    // Steps of a graceful shutdown, to be called in this order; all are thread-safe.
    void setReady(bool ready);       // /ready also requires a configuration
    void stopAccepting();            // rejects new connections and requests
    std::size_t activeCount() const; // 0 once all requests have been answered
    void closeSessions();

    std::uint16_t callerPort() const;
    std::uint16_t adminPort() const;
    std::size_t connectedAgentCount() const;
    bool ready() const;
    std::size_t usedMemoryBytes() const; // of the memory for callers

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_ENTRYSERVICE_H
