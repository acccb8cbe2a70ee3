// Signal handling of the daemons.

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

    void wait()
    {
        m_signals.async_wait([self = shared_from_this()](auto ec, int signal) {
            if (!ec)
                self->handle(signal);
        });
    }

    void handle(int signal)
    {
        if (signal == SIGHUP) {
            // Daemons that reload watch the file itself, which may change without a signal.
            EventLog("signal").field("number", signal);
            wait();
            return;
        }
        EventLog("signal").field("number", signal).field("repeated", m_seen ? "yes" : "no");
        if (m_seen)
            std::_Exit(static_cast<int>(DaemonStatus::ForcedExit));
        m_seen = true;
        m_shutdown();
        wait();
    }

    boost::asio::signal_set m_signals;
    std::function<void()> m_shutdown;
    bool m_seen = false;
};

DaemonSignals::DaemonSignals(boost::asio::io_context &context, std::function<void()> shutdown)
    : d(std::make_shared<Private>(context, std::move(shutdown)))
{
    d->wait();
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
