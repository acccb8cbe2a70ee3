// The main thread waits for signals and leads the shutdown; it serves nothing.

#include "entrydaemon.h"

#include "controllink.h"
#include "controlthread.h"
#include "daemonsignals.h"
#include "entryservice.h"
#include "eventlog.h"
#include "monotonicclock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace cornelshed {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds pollInterval {5};
// Time for the load balancer to see that /ready is off, before connections are refused.
constexpr std::chrono::milliseconds longestReadinessDelay {500};
constexpr std::chrono::milliseconds sessionEndDelay {20};

ControlSettings controlSettings(const EntrySettings &settings, std::uint64_t incarnation)
{
    return {settings.name,
            incarnation,
            settings.availabilityZone,
            settings.listenAddress,
            settings.peerPort,
            settings.platformAddress,
            settings.platformPort,
            settings.chartsDirectory};
}

} // namespace

class EntryDaemon::Private final : public ControlLink
{
public:
    explicit Private(const EntrySettings &settings)
        : m_settings(settings), m_incarnation(randomIncarnation()), m_timer(m_context),
          m_service(settings, m_incarnation, *this),
          m_control(controlSettings(settings, m_incarnation),
                    [this](std::shared_ptr<const ControlView> view) {
                        m_service.setView(std::move(view));
                    })
    { }

    void claim(const ClaimKey &key, RequestId request, std::uint64_t bodyDigest,
               ControlThread::ClaimCallback callback) override
    {
        m_control.claim(key, request, bodyDigest, std::move(callback));
    }

    void finishClaim(const ClaimKey &key, RequestId request, StoredAnswer answer) override
    {
        m_control.finishClaim(key, request, std::move(answer));
    }

    void releaseClaim(const ClaimKey &key, RequestId request) override
    {
        m_control.releaseClaim(key, request);
    }

    void recordOutcome(const ReportOutcome &outcome) override { m_control.recordOutcome(outcome); }

    void recordEnding(const RequestEnding &ending) override { m_control.recordEnding(ending); }

    void beginShutdown()
    {
        EventLog("shutdown_started").field("active", m_service.activeCount());
        const std::chrono::milliseconds limit(m_settings.shutdownTimeoutMs);
        m_deadline = monotonicNow() + limit;
        m_service.setReady(false);
        after(std::min(longestReadinessDelay, limit / 4), [this] {
            m_service.stopAccepting();
            pollShutdown();
        });
    }

    void pollShutdown()
    {
        const std::size_t n = m_service.activeCount();
        if (n > 0 && monotonicNow() < m_deadline) {
            after(pollInterval, [this] { pollShutdown(); });
            return;
        }
        m_status = n == 0 ? DaemonStatus::Success : DaemonStatus::ShutdownTimeout;
        m_service.closeSessions();
        after(sessionEndDelay, [this, n] {
            EventLog("shutdown_finished")
                    .field("status", static_cast<int>(m_status))
                    .field("active", n);
            m_context.stop();
        });
    }

    template<typename Function> void after(std::chrono::milliseconds delay, Function function)
    {
        m_timer.expires_after(delay);
        m_timer.async_wait([function = std::move(function)](auto ec) {
            if (!ec)
                function();
        });
    }

    EntrySettings m_settings;
    std::uint64_t m_incarnation;
    asio::io_context m_context {1};
    asio::steady_timer m_timer;
    EntryService m_service;
    ControlThread m_control; // stopped before the service, which its callbacks use
    std::unique_ptr<DaemonSignals> m_signals;
    Instant m_deadline;
    DaemonStatus m_status = DaemonStatus::Success;
};

EntryDaemon::EntryDaemon(const EntrySettings &settings) : d(std::make_unique<Private>(settings)) { }

EntryDaemon::~EntryDaemon() = default;

std::optional<std::string> EntryDaemon::start()
{
    if (auto problem = d->m_service.start())
        return problem;
    d->m_control.start();
    d->m_signals = std::make_unique<DaemonSignals>(d->m_context, [this] { d->beginShutdown(); });
    return std::nullopt;
}

DaemonStatus EntryDaemon::run()
{
    d->m_context.run();
    return d->m_status;
}

} // namespace cornelshed
