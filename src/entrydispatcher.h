// Runs the entry daemon's scheduler on a single strand, so that all scheduling decisions of the
// daemon are made in one place, and executes the resulting actions. Public members are thread-safe.

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
    // The scheduler runs on the first context; agent sessions are distributed over all of them.
    // Each context must be run by exactly one thread. control and metrics must outlive the threads.
    EntryDispatcher(std::vector<boost::asio::io_context *> contexts, const EntrySettings &settings,
                    std::uint64_t entryIncarnation, ControlLink &control, Metrics &metrics);
    ~EntryDispatcher();
    EntryDispatcher(const EntryDispatcher &) = delete;
    EntryDispatcher &operator=(const EntryDispatcher &) = delete;

    void setView(std::shared_ptr<const ControlView> view);

    // Calls ended() of the request's sink exactly once, unless the daemon exits first.
    void submit(std::shared_ptr<const CallerRequest> request);
    void callerDisconnected(RequestId request);
    void answerOverLimit(RequestId request, bool serverFault);

    // Rejects new requests; requests that are waiting or running continue.
    void beginShutdown();

    // Closes the agent sessions.
    void stop();

    // Number of requests that have not ended.
    std::size_t requestCount() const;
    std::size_t connectedAgentCount() const;

private:
    class Private;
    std::shared_ptr<Private> d; // also held by pending handlers
};

} // namespace cornelshed

#endif // CORNELSHED_ENTRYDISPATCHER_H
