// Probes an engine with GET /load and a plain service, which has no path for it, by connecting.

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

constexpr std::chrono::milliseconds interval {1000};
// An engine that starts beside its agent is found soon.
constexpr std::chrono::milliseconds unreachableInterval {200};
// One lost probe of a busy server must not make it cold.
constexpr int failuresUntilUnreachable = 2;
constexpr std::uint32_t okStatus = 200;

} // namespace

class ServerProbe::Private : public std::enable_shared_from_this<Private>
{
public:
    Private(asio::io_context &context, ServerProbeSettings settings, BackendClient &client,
            std::function<void(bool)> changed)
        : m_settings(std::move(settings)), m_client(client), m_changed(std::move(changed)),
          m_timer(context), m_socket(context), m_cleared(m_settings.kind == PoolKind::Service)
    { }

    void probe()
    {
        if (m_stopped || m_underWay)
            return;
        m_underWay = true;
        if (m_settings.kind == PoolKind::Service) {
            connect();
            return;
        }
        auto done = [self = shared_from_this()](std::uint32_t status) {
            self->handle(status == okStatus);
        };
        if (m_cleared)
            m_client.get("/load", done);
        else
            m_client.post("/control/cancel_all", "{}", done);
    }

    void connect()
    {
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(m_settings.address),
                                               m_settings.port);
        m_timer.expires_after(interval);
        m_timer.async_wait([self = shared_from_this()](auto ec) {
            boost::system::error_code ignored;
            if (!ec)
                self->m_socket.close(ignored);
        });
        m_socket.async_connect(endpoint, [self = shared_from_this()](auto ec) {
            boost::system::error_code ignored;
            self->m_timer.cancel();
            self->m_socket.close(ignored);
            self->handle(!ec);
        });
    }

    void handle(bool success)
    {
        m_underWay = false;
        if (m_stopped)
            return;
        m_cleared = m_cleared || success;
        m_failures = success ? 0 : m_failures + 1;
        if (success && !m_reachable)
            change(true);
        else if (m_reachable && m_failures >= failuresUntilUnreachable)
            change(false);
        m_timer.expires_after(success ? interval : unreachableInterval);
        m_timer.async_wait([self = shared_from_this()](auto ec) {
            if (!ec)
                self->probe();
        });
    }

    void change(bool reachable)
    {
        m_reachable = reachable;
        EventLog("server_reachable", reachable ? EventLevel::Info : EventLevel::Warning)
                .field("reachable", reachable ? "yes" : "no");
        m_changed(reachable);
    }

    ServerProbeSettings m_settings;
    BackendClient &m_client;
    std::function<void(bool)> m_changed;
    asio::steady_timer m_timer;
    asio::ip::tcp::socket m_socket;
    bool m_cleared; // work left over by an earlier incarnation was cancelled
    bool m_reachable = false;
    bool m_underWay = false;
    bool m_stopped = false;
    int m_failures = 0;
};

ServerProbe::ServerProbe(asio::io_context &context, const ServerProbeSettings &settings,
                         BackendClient &client, std::function<void(bool)> changed)
    : d(std::make_shared<Private>(context, settings, client, std::move(changed)))
{ }

ServerProbe::~ServerProbe()
{
    stop();
}

void ServerProbe::start()
{
    d->probe();
}

void ServerProbe::suspect()
{
    if (!d->m_underWay)
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
