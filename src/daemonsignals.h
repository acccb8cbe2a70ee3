// Signal handling of the daemons. The first SIGTERM or SIGINT starts a graceful shutdown, a second
// one ends the process immediately. SIGHUP is only logged.

#ifndef CORNELSHED_DAEMONSIGNALS_H
#define CORNELSHED_DAEMONSIGNALS_H

#include <cstdint>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace cornelshed {

class DaemonSignals
{
public:
    // shutdown is called on a thread that runs the io_context, at the first SIGTERM or SIGINT.
    DaemonSignals(boost::asio::io_context &context, std::function<void()> shutdown);
    ~DaemonSignals();
    DaemonSignals(const DaemonSignals &) = delete;
    DaemonSignals &operator=(const DaemonSignals &) = delete;

private:
    class Private;
    std::shared_ptr<Private> d; // shared with the pending wait for a signal
};

// Returns an unpredictable number that identifies one run of a process, so that peers can tell a
// restarted process from the earlier one.
std::uint64_t randomIncarnation();

} // namespace cornelshed

#endif // CORNELSHED_DAEMONSIGNALS_H
