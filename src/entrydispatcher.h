// Runs the entry daemon's scheduler on one strand, so that the daemon is a single decision point,
// and carries out what it decides. Public members are safe from any thread.

#ifndef CORNELSHED_ENTRYDISPATCHER_H
#define CORNELSHED_ENTRYDISPATCHER_H

#include "callerrequest.h"
#include "controllink.h"
#include "controlthread.h"
#include "entrysettings.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace cornelshed {

class Metrics;

class EntryDispatcher
{
public:
    // The scheduler runs on the first context; sessions are spread over all of them. Each context
    // must have one thread; control and metrics must outlive the threads.
    EntryDispatcher(std::vector<boost::asio::io_context *> contexts, const EntrySettings &settings,
                    std::uint64_t entryIncarnation, ControlLink &control, Metrics &metrics);
    ~EntryDispatcher();
    EntryDispatcher(const EntryDispatcher &) = delete;
    EntryDispatcher &operator=(const EntryDispatcher &) = delete;

    void setView(std::shared_ptr<const ControlView> view);

    // The request's sink is told its ending exactly once, unless the daemon ends first.
    void submit(std::shared_ptr<const CallerRequest> request);
    void callerGone(RequestId request);

    // Refuses what arrives from now on; what waits or runs goes on.
    void beginShutdown();

    // Closes the sessions to agents.
    void stop();

    // Requests that have not ended.
    std::size_t requestCount() const;
    std::size_t connectedCount() const;

private:
    class Private;
    std::shared_ptr<Private> d; // shared with the handlers of the io_context
};

} // namespace cornelshed

#endif // CORNELSHED_ENTRYDISPATCHER_H
