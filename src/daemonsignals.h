// Signals of a daemon: the first starts a graceful shutdown, the second ends the process at once.

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
    // shutdown is called on the io_context at the first SIGTERM or SIGINT.
    DaemonSignals(boost::asio::io_context &context, std::function<void()> shutdown);
    ~DaemonSignals();
    DaemonSignals(const DaemonSignals &) = delete;
    DaemonSignals &operator=(const DaemonSignals &) = delete;

private:
    class Private;
    std::shared_ptr<Private> d; // shared with the handlers of the io_context
};

// Unpredictable 64 bits; names one life of a process.
std::uint64_t randomIncarnation();

} // namespace cornelshed

#endif // CORNELSHED_DAEMONSIGNALS_H
