// Signal handling of the daemons with boost::asio::signal_set.

#include "daemonsignals.h"

#include "daemonoptions.h"
#include "eventlog.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdlib>
#include <random>
#include <utility>

namespace cornelshed {

class DaemonSignals::Private : public std::enable_shared_from_this<Private>
{
public:
    Private(boost::asio::io_context &context, std::function<void()> shutdown)
        : m_signals(context, SIGTERM, SIGINT, SIGHUP), m_shutdown(std::move(shutdown))
    { }

    void waitForSignal()
    {
        m_signals.async_wait([self = shared_from_this()](auto ec, int signal) {
            if (!ec)
                self->handleSignal(signal);
        });
    }

    void handleSignal(int signal)
    {
        if (signal == SIGHUP) {
            // SIGHUP does not trigger a reload: daemons that reload a file watch the file itself,
            // because it may change without a signal.
            EventLog("signal").field("number", signal);
            waitForSignal();
            return;
        }
        EventLog("signal")
                .field("number", signal)
                .field("repeated", m_shutdownRequested ? "yes" : "no");
        if (m_shutdownRequested)
            std::_Exit(static_cast<int>(DaemonExitStatus::ForcedExit));
        m_shutdownRequested = true;
        m_shutdown();
        waitForSignal();
    }

    boost::asio::signal_set m_signals;
    std::function<void()> m_shutdown;
    bool m_shutdownRequested = false;
};

DaemonSignals::DaemonSignals(boost::asio::io_context &context, std::function<void()> shutdown)
    : d(std::make_shared<Private>(context, std::move(shutdown)))
{
    d->waitForSignal();
}

DaemonSignals::~DaemonSignals()
{
    d->m_signals.cancel();
}

std::uint64_t randomIncarnation()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace cornelshed
