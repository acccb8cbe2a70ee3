// The main thread only waits for signals and drives the graceful shutdown; requests are served by
// the threads of EntryService.

#include "entrydaemon.h"

#include "controllink.h"
#include "controlthread.h"
#include "daemonsignals.h"
#include "entryservice.h"
#include "eventlog.h"
#include "freedmemory.h"
#include "handlerloop.h"
#include "monotonicclock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace cornelshed {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds shutdownPollInterval {5};
// Time for the load balancer to notice that /ready reports not ready before new connections are
// refused.
constexpr std::chrono::milliseconds maximumReadinessDelay {500};
constexpr std::chrono::milliseconds sessionCloseDelay {20};

ControlSettings makeControlSettings(const EntrySettings &settings, std::uint64_t incarnation)
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
          m_freedMemory(m_context, [this] { return m_service.usedMemoryBytes(); }),
          m_control(makeControlSettings(settings, m_incarnation),
                    [this](std::shared_ptr<const ControlView> view) {
                        m_service.setView(std::move(view));
                    })
    { }

    void claim(const ClaimKey &key, RequestId request, std::uint64_t bodyDigest,
               ControlThread::ClaimCallback callback) override
    {
        m_control.claim(key, request, bodyDigest, std::move(callback));
    }

    void finishClaim(const ClaimKey &key, RequestId request, StoredResponse answer) override
    {
        m_control.finishClaim(key, request, std::move(answer));
    }

    void releaseClaim(const ClaimKey &key, RequestId request) override
    {
        m_control.releaseClaim(key, request);
    }

    void recordOutcome(const ReportOutcome &outcome) override { m_control.recordOutcome(outcome); }

    void recordEndedRequest(const EndedRequest &ending) override
    {
        m_control.recordEndedRequest(ending);
    }

    void beginShutdown()
    {
        EventLog("shutdown_started").field("active", m_service.activeCount());
        const std::chrono::milliseconds timeout(m_settings.shutdownTimeoutMs);
        m_deadline = monotonicNow() + timeout;
        m_service.setReady(false);
        runAfter(std::min(maximumReadinessDelay, timeout / 4), [this] {
            m_service.stopAccepting();
            pollShutdown();
        });
    }

    void pollShutdown()
    {
        const std::size_t active = m_service.activeCount();
        if (active > 0 && monotonicNow() < m_deadline) {
            runAfter(shutdownPollInterval, [this] { pollShutdown(); });
            return;
        }
        m_status = active == 0 ? DaemonExitStatus::Success : DaemonExitStatus::ShutdownTimeout;
        m_service.closeSessions();
        runAfter(sessionCloseDelay, [this, active] {
            EventLog("shutdown_finished")
                    .field("status", static_cast<int>(m_status))
                    .field("active", active);
            m_context.stop();
        });
    }

    template<typename Function> void runAfter(std::chrono::milliseconds delay, Function function)
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
    detail::FreedMemoryReturn m_freedMemory;
    ControlThread m_control; // destroyed before m_service, which its callbacks use
    std::unique_ptr<DaemonSignals> m_signals;
    Instant m_deadline;
    DaemonExitStatus m_status = DaemonExitStatus::Success;
};

EntryDaemon::EntryDaemon(const EntrySettings &settings) : d(std::make_unique<Private>(settings)) { }

EntryDaemon::~EntryDaemon() = default;

std::optional<std::string> EntryDaemon::start()
{
    if (auto error = d->m_service.start())
        return error;
    d->m_control.start();
    d->m_freedMemory.start();
    d->m_signals = std::make_unique<DaemonSignals>(d->m_context, [this] { d->beginShutdown(); });
    return std::nullopt;
}

DaemonExitStatus EntryDaemon::run()
{
    runHandlers(d->m_context, "main");
    return d->m_status;
}

} // namespace cornelshed
