// Everything in Private but the counts is touched on the strand only.

#include "entrydispatcher.h"

#include "agentsession.h"
#include "daemonsignals.h"
#include "metrics.h"
#include "monotonicclock.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cornelshed {

namespace asio = boost::asio;

namespace {

// A frame carries a whole request; its headers and the other fields need room beside the body.
constexpr std::size_t frameMarginBytes = std::size_t {256} << 10U;

EntryLimits limitsOf(const EntrySettings &settings)
{
    EntryLimits limits;
    limits.reservationCount = settings.reservationCount;
    limits.waitingRequestLimit = settings.waitingLimitCount;
    return limits;
}

std::shared_ptr<const RoutingView> emptyRouting()
{
    auto routing = std::make_shared<RoutingView>();
    routing->configuration = std::make_shared<const Configuration>();
    return routing;
}

} // namespace

class EntryDispatcher::Private final : public AgentSessionOwner,
                                       public std::enable_shared_from_this<Private>
{
public:
    Private(std::vector<asio::io_context *> contexts, const EntrySettings &settings,
            std::uint64_t entryIncarnation, ControlLink &control, Metrics &metrics)
        : m_contexts(std::move(contexts)), m_strand(asio::make_strand(*m_contexts.front())),
          m_timer(m_strand), m_control(control), m_random(randomIncarnation()),
          m_scheduler(limitsOf(settings), emptyRouting(), m_random),
          m_decisions(metrics.summary("cornelshed_entry_decision_seconds",
                                      "Time the scheduler takes for one event."))
    {
        m_sessionSettings.entryName = settings.name;
        m_sessionSettings.entryIncarnation = entryIncarnation;
        m_sessionSettings.frameLimitBytes = settings.bodyLimitBytes + frameMarginBytes;
    }

    // Runs the function at once on the strand's thread, which saves a handover. Nothing
    // that carryOut() calls may come back here; it calls sessions, which only write, and sinks,
    // which post.
    template<typename Function> void onStrand(Function function)
    {
        asio::dispatch(m_strand,
                       [self = shared_from_this(), function = std::move(function)]() mutable {
                           function(*self);
                       });
    }

    void sessionConnected(const std::shared_ptr<AgentSession> &session,
                          const Welcome &welcome) override
    {
        onStrand([session, welcome](Private &self) { self.addSession(session, welcome); });
    }

    void sessionDisconnected(const BackendServerId &backendServer) override
    {
        onStrand([backendServer](Private &self) { self.removeSession(backendServer); });
    }

    void sessionMessage(const BackendServerId &from, AgentMessage message) override
    {
        onStrand([from, message = std::move(message)](Private &self) {
            self.decide([&](Instant now) { return self.m_scheduler.handle(from, message, now); });
        });
    }

    void addSession(const std::shared_ptr<AgentSession> &session, const Welcome &welcome);
    void removeSession(const BackendServerId &backendServer);
    void setView(const std::shared_ptr<const ControlView> &view);
    void updateSessions();
    bool isConnected(const std::shared_ptr<AgentSession> &session) const;
    void sendConfiguration();
    void submit(const std::shared_ptr<const CallerRequest> &request);
    void callerGone(RequestId request);
    void carryOut(const EntryActions &actions);
    void carryOut(const SendToAgent &action);
    void carryOut(const EndRequest &action);
    void carryOut(const ReportOutcome &action);
    void armTimer();
    void stop();

    // One event of the scheduler; its actions are carried out in order.
    template<typename Event> void decide(Event event)
    {
        const Instant now = monotonicNow();
        const EntryActions actions = event(now);
        m_decisions.record(monotonicNow() - now);
        carryOut(actions);
    }

    std::uint64_t configurationVersion() const
    {
        return m_view ? m_view->routing->configuration->version : 0;
    }

    std::vector<asio::io_context *> m_contexts;
    std::size_t m_nextContext = 0;
    asio::strand<asio::io_context::executor_type> m_strand;
    asio::steady_timer m_timer;
    ControlLink &m_control;
    SeededRandom m_random;
    EntryScheduler m_scheduler;
    TimeSummary &m_decisions;
    AgentSessionSettings m_sessionSettings;
    std::shared_ptr<const ControlView> m_view; // null until the first
    std::map<AgentAddress, std::shared_ptr<AgentSession>> m_sessions;
    std::map<BackendServerId, std::shared_ptr<AgentSession>> m_connected;
    std::unordered_map<RequestId, std::shared_ptr<const CallerRequest>> m_requests;
    Instant m_armed = instantNever; // when m_timer fires
    bool m_stopped = false;
    std::atomic<std::size_t> m_requestCount {0};
    std::atomic<std::size_t> m_connectedCount {0};
};

void EntryDispatcher::Private::addSession(const std::shared_ptr<AgentSession> &session,
                                          const Welcome &welcome)
{
    m_connected[welcome.backendServer] = session;
    m_connectedCount = m_connected.size();
    if (m_view && welcome.configurationVersion < configurationVersion())
        session->send(ConfigurationNotice {configurationVersion(), *m_view->configurationText});
    decide([&](Instant now) { return m_scheduler.connected(welcome, now); });
}

void EntryDispatcher::Private::removeSession(const BackendServerId &backendServer)
{
    m_connected.erase(backendServer);
    m_connectedCount = m_connected.size();
    decide([&](Instant now) { return m_scheduler.disconnected(backendServer, now); });
}

void EntryDispatcher::Private::setView(const std::shared_ptr<const ControlView> &view)
{
    const std::uint64_t before = configurationVersion();
    if (m_stopped || view->routing->configuration->version < before)
        return;
    m_view = view;
    updateSessions();
    if (configurationVersion() > before)
        sendConfiguration();
    decide([&](Instant now) { return m_scheduler.setView(view->routing, now); });
}

// The host list lags: an agent that it no longer names may still finish what runs there.
void EntryDispatcher::Private::updateSessions()
{
    std::map<AgentAddress, std::shared_ptr<AgentSession>> kept;
    for (const AgentAddress &it : m_view->agents) {
        auto node = m_sessions.extract(it);
        if (!node.empty()) {
            node.mapped()->setRetired(false);
            kept.insert(std::move(node));
            continue;
        }
        asio::io_context &context = *m_contexts[m_nextContext++ % m_contexts.size()];
        auto session = std::make_shared<AgentSession>(context, it, m_sessionSettings, *this);
        session->start(configurationVersion());
        kept[it] = std::move(session);
    }
    for (const auto &[address, session] : m_sessions) {
        session->setRetired(true);
        // A session without a connection has nothing left to do.
        if (isConnected(session))
            kept[address] = session;
        else
            session->stop();
    }
    m_sessions = std::move(kept);
}

bool EntryDispatcher::Private::isConnected(const std::shared_ptr<AgentSession> &session) const
{
    return std::any_of(m_connected.begin(), m_connected.end(),
                       [&](const auto &it) { return it.second == session; });
}

void EntryDispatcher::Private::sendConfiguration()
{
    const ConfigurationNotice notice {configurationVersion(), *m_view->configurationText};
    for (const auto &[id, session] : m_connected)
        session->send(notice);
}

void EntryDispatcher::Private::submit(const std::shared_ptr<const CallerRequest> &request)
{
    m_requests[request->arrival.request] = request;
    m_requestCount = m_requests.size();
    decide([&](Instant now) { return m_scheduler.submit(request->arrival, now); });
}

void EntryDispatcher::Private::callerGone(RequestId request)
{
    if (m_requests.contains(request))
        decide([&](Instant now) { return m_scheduler.callerGone(request, now); });
}

void EntryDispatcher::Private::carryOut(const EntryActions &actions)
{
    for (const EntryAction &it : actions)
        std::visit([this](const auto &action) { carryOut(action); }, it);
    armTimer();
}

void EntryDispatcher::Private::carryOut(const SendToAgent &action)
{
    const auto session = m_connected.find(action.backendServer);
    if (session == m_connected.end())
        return;
    const auto *dispatch = std::get_if<Dispatch>(&action.message);
    if (dispatch == nullptr) {
        session->second->send(action.message);
        return;
    }
    const auto request = m_requests.find(dispatch->request);
    if (request != m_requests.end())
        session->second->dispatch(*dispatch, request->second);
}

void EntryDispatcher::Private::carryOut(const EndRequest &action)
{
    const auto it = m_requests.find(action.request);
    if (it == m_requests.end())
        return;
    it->second->sink->ended(action.request, action.ending);
    const auto *notRun = std::get_if<NotRun>(&action.ending);
    if (notRun == nullptr || notRun->reason != NotRunReason::CallerGone) {
        const RequestArrival &arrival = it->second->arrival;
        m_control.recordEnding({arrival.organisation, arrival.tier,
                                std::holds_alternative<Answered>(action.ending)});
    }
    m_requests.erase(it);
    m_requestCount = m_requests.size();
}

void EntryDispatcher::Private::carryOut(const ReportOutcome &action)
{
    m_control.recordOutcome(action);
}

void EntryDispatcher::Private::armTimer()
{
    const Instant wake = m_scheduler.nextWake();
    if (wake >= m_armed || m_stopped)
        return;
    m_armed = wake;
    m_timer.expires_at(toSteadyTime(wake, monotonicNow()));
    m_timer.async_wait([self = shared_from_this()](auto ec) {
        if (ec || self->m_stopped)
            return;
        self->m_armed = instantNever;
        self->decide([&](Instant now) { return self->m_scheduler.tick(now); });
    });
}

void EntryDispatcher::Private::stop()
{
    m_stopped = true;
    m_timer.cancel();
    for (const auto &[address, session] : m_sessions)
        session->stop();
}

EntryDispatcher::EntryDispatcher(std::vector<asio::io_context *> contexts,
                                 const EntrySettings &settings, std::uint64_t entryIncarnation,
                                 ControlLink &control, Metrics &metrics)
    : d(std::make_shared<Private>(std::move(contexts), settings, entryIncarnation, control,
                                  metrics))
{ }

EntryDispatcher::~EntryDispatcher() = default;

void EntryDispatcher::setView(std::shared_ptr<const ControlView> view)
{
    d->onStrand([view = std::move(view)](Private &self) { self.setView(view); });
}

void EntryDispatcher::submit(std::shared_ptr<const CallerRequest> request)
{
    d->onStrand([request = std::move(request)](Private &self) { self.submit(request); });
}

void EntryDispatcher::callerGone(RequestId request)
{
    d->onStrand([request](Private &self) { self.callerGone(request); });
}

void EntryDispatcher::beginShutdown()
{
    d->onStrand([](Private &self) { self.m_scheduler.beginShutdown(); });
}

void EntryDispatcher::stop()
{
    d->onStrand([](Private &self) { self.stop(); });
}

std::size_t EntryDispatcher::requestCount() const
{
    return d->m_requestCount;
}

std::size_t EntryDispatcher::connectedCount() const
{
    return d->m_connectedCount;
}

} // namespace cornelshed
