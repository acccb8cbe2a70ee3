// An engine is probed with GET /load. A plain service has no such endpoint and is probed by opening
// a TCP connection.

#include "serverprobe.h"

#include "eventlog.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <utility>

namespace cornelshed {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds probeInterval {1000};
// Shorter than probeInterval, so that an engine that starts at the same time as its agent is
// detected soon.
constexpr std::chrono::milliseconds unreachableProbeInterval {200};
// A single failed probe of a busy server must not mark it unreachable, because a server that
// becomes reachable again counts as cold and starts with a reduced concurrency.
constexpr int failuresUntilUnreachable = 2;
constexpr std::uint32_t okStatus = 200;

} // namespace

class ServerProbe::Private : public std::enable_shared_from_this<Private>
{
public:
    Private(asio::io_context &context, ServerProbeSettings settings, BackendClient &client,
            std::function<void(bool)> onChange)
        : m_settings(std::move(settings)), m_client(client), m_onChange(std::move(onChange)),
          m_timer(context), m_socket(context),
          m_staleRequestsCancelled(m_settings.kind == PoolKind::Service)
    { }

    void probe()
    {
        if (m_stopped || m_probing)
            return;
        m_probing = true;
        if (m_settings.kind == PoolKind::Service) {
            connect();
            return;
        }
        auto done = [self = shared_from_this()](std::uint32_t status) {
            self->handleProbeResult(status == okStatus);
        };
        if (m_staleRequestsCancelled)
            m_client.get("/load", done);
        else
            m_client.post("/control/cancel_all", "{}", done);
    }

    void connect()
    {
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(m_settings.address),
                                               m_settings.port);
        m_timer.expires_after(probeInterval);
        m_timer.async_wait([self = shared_from_this()](auto ec) {
            boost::system::error_code ignored;
            if (!ec)
                self->m_socket.close(ignored);
        });
        m_socket.async_connect(endpoint, [self = shared_from_this()](auto ec) {
            boost::system::error_code ignored;
            self->m_timer.cancel();
            self->m_socket.close(ignored);
            self->handleProbeResult(!ec);
        });
    }

    void handleProbeResult(bool success)
    {
        m_probing = false;
        if (m_stopped)
            return;
        m_staleRequestsCancelled = m_staleRequestsCancelled || success;
        m_failures = success ? 0 : m_failures + 1;
        if (success && !m_reachable)
            setReachable(true);
        else if (m_reachable && m_failures >= failuresUntilUnreachable)
            setReachable(false);
        m_timer.expires_after(success ? probeInterval : unreachableProbeInterval);
        m_timer.async_wait([self = shared_from_this()](auto ec) {
            if (!ec)
                self->probe();
        });
    }

    void setReachable(bool reachable)
    {
        m_reachable = reachable;
        EventLog("server_reachable", reachable ? EventLevel::Info : EventLevel::Warning)
                .field("reachable", reachable ? "yes" : "no");
        m_onChange(reachable);
    }

    ServerProbeSettings m_settings;
    BackendClient &m_client;
    std::function<void(bool)> m_onChange;
    asio::steady_timer m_timer;
    asio::ip::tcp::socket m_socket;
    bool m_staleRequestsCancelled; // requests of earlier incarnations of the agent were cancelled
    bool m_reachable = false;
    bool m_probing = false;
    bool m_stopped = false;
    int m_failures = 0;
};

ServerProbe::ServerProbe(asio::io_context &context, const ServerProbeSettings &settings,
                         BackendClient &client, std::function<void(bool)> onChange)
    : d(std::make_shared<Private>(context, settings, client, std::move(onChange)))
{ }

ServerProbe::~ServerProbe()
{
    stop();
}

void ServerProbe::start()
{
    d->probe();
}

void ServerProbe::probeNow()
{
    if (!d->m_probing)
        d->m_timer.cancel();
    d->probe();
}

void ServerProbe::stop()
{
    d->m_stopped = true;
    d->m_timer.cancel();
    boost::system::error_code ec;
    d->m_socket.close(ec);
}

} // namespace cornelshed
