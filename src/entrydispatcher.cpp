// Implementation of EntryDispatcher. All members of Private except the two atomic counters are
// accessed only on the strand.

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

// A frame carries a complete request: allowance for the headers and other fields besides the body.
constexpr std::size_t frameMarginBytes = std::size_t {256} << 10U;

EntryLimits schedulerLimits(const EntrySettings &settings)
{
    EntryLimits limits;
    limits.reservationCount = settings.reservationCount;
    limits.waitingRequestLimit = settings.waitingLimitCount;
    return limits;
}

std::shared_ptr<const RoutingView> emptyRoutingView()
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
          m_scheduler(schedulerLimits(settings), emptyRoutingView(), m_random),
          m_decisionTime(metrics.summary("cornelshed_entry_decision_seconds",
                                         "Time the scheduler takes for one event."))
    {
        m_sessionSettings.entryName = settings.name;
        m_sessionSettings.entryIncarnation = entryIncarnation;
        m_sessionSettings.frameLimitBytes = settings.bodyLimitBytes + frameMarginBytes;
    }

    // Runs the function immediately if the caller is already on the strand, which avoids a handover
    // to another thread. Code called by carryOut() must therefore not call this function: agent
    // sessions only write to their connection, and ResponseSink::ended() posts to another executor.
    template<typename Function> void runOnStrand(Function function)
    {
        asio::dispatch(m_strand,
                       [self = shared_from_this(), function = std::move(function)]() mutable {
                           function(*self);
                       });
    }

    void sessionConnected(const std::shared_ptr<AgentSession> &session,
                          const Welcome &welcome) override
    {
        runOnStrand([session, welcome](Private &self) { self.addSession(session, welcome); });
    }

    void sessionDisconnected(const BackendServerId &backendServer) override
    {
        runOnStrand([backendServer](Private &self) { self.removeSession(backendServer); });
    }

    void sessionMessage(const BackendServerId &from, AgentMessage message) override
    {
        runOnStrand([from, message = std::move(message)](Private &self) {
            self.processEvent(
                    [&](Instant now) { return self.m_scheduler.handle(from, message, now); });
        });
    }

    void addSession(const std::shared_ptr<AgentSession> &session, const Welcome &welcome);
    void removeSession(const BackendServerId &backendServer);
    void setView(const std::shared_ptr<const ControlView> &view);
    void updateSessions();
    bool isConnected(const std::shared_ptr<AgentSession> &session) const;
    void sendConfiguration();
    void submit(const std::shared_ptr<const CallerRequest> &request);
    void callerDisconnected(RequestId request);
    void answerOverLimit(RequestId request, bool serverFault);
    void carryOut(const EntryActions &actions);
    void carryOut(const SendToAgent &action);
    void carryOut(const EndRequest &action);
    void carryOut(const ReportOutcome &action);
    void armTimer();
    void stop();

    // Passes one event to the scheduler and carries out the resulting actions in order.
    template<typename Event> void processEvent(Event event)
    {
        const Instant now = monotonicNow();
        const EntryActions actions = event(now);
        m_decisionTime.record(monotonicNow() - now);
        carryOut(actions);
    }

    std::uint64_t configurationVersion() const
    {
        return m_view ? m_view->routing->configuration->version : 0;
    }

    ConfigurationNotice configurationNotice() const
    {
        return {configurationVersion(), *m_view->configurationText,
                m_view->configurationReplacesText};
    }

    std::vector<asio::io_context *> m_contexts;
    std::size_t m_nextContext = 0;
    asio::strand<asio::io_context::executor_type> m_strand;
    asio::steady_timer m_timer;
    ControlLink &m_control;
    SeededRandom m_random;
    EntryScheduler m_scheduler;
    DurationSummary &m_decisionTime;
    AgentSessionSettings m_sessionSettings;
    std::shared_ptr<const ControlView> m_view; // null until the first setView()
    std::map<AgentAddress, std::shared_ptr<AgentSession>> m_sessions;
    std::map<BackendServerId, std::shared_ptr<AgentSession>> m_connectedSessions;
    std::unordered_map<RequestId, std::shared_ptr<const CallerRequest>> m_requests;
    Instant m_timerExpiry = instantNever; // instantNever: m_timer is not set
    bool m_stopped = false;
    std::atomic<std::size_t> m_requestCount {0};
    std::atomic<std::size_t> m_connectedAgentCount {0};
};

void EntryDispatcher::Private::addSession(const std::shared_ptr<AgentSession> &session,
                                          const Welcome &welcome)
{
    m_connectedSessions[welcome.backendServer] = session;
    m_connectedAgentCount = m_connectedSessions.size();
    // An agent that was not connected when a text was replaced may hold the earlier one.
    if (m_view
        && (welcome.configurationVersion < configurationVersion()
            || (m_view->configurationReplacesText
                && welcome.configurationVersion == configurationVersion())))
        session->send(configurationNotice());
    processEvent([&](Instant now) { return m_scheduler.connected(welcome, now); });
}

void EntryDispatcher::Private::removeSession(const BackendServerId &backendServer)
{
    m_connectedSessions.erase(backendServer);
    m_connectedAgentCount = m_connectedSessions.size();
    processEvent([&](Instant now) { return m_scheduler.disconnected(backendServer, now); });
}

void EntryDispatcher::Private::setView(const std::shared_ptr<const ControlView> &view)
{
    const std::uint64_t before = configurationVersion();
    const auto textBefore = m_view ? m_view->configurationText : nullptr;
    if (m_stopped || view->routing->configuration->version < before)
        return;
    m_view = view;
    updateSessions();
    if (configurationVersion() > before
        || (view->configurationReplacesText && view->configurationText != textBefore))
        sendConfiguration();
    processEvent([&](Instant now) { return m_scheduler.setView(view->routing, now); });
}

// A connected session is kept open after its agent has disappeared from the host list: the list
// lags, and the agent may still finish the requests running there.
void EntryDispatcher::Private::updateSessions()
{
    std::map<AgentAddress, std::shared_ptr<AgentSession>> currentSessions;
    for (const AgentAddress &it : m_view->agents) {
        auto node = m_sessions.extract(it);
        if (!node.empty()) {
            node.mapped()->setRetired(false);
            currentSessions.insert(std::move(node));
            continue;
        }
        asio::io_context &context = *m_contexts[m_nextContext++ % m_contexts.size()];
        auto session = std::make_shared<AgentSession>(context, it, m_sessionSettings, *this);
        session->start(configurationVersion());
        currentSessions[it] = std::move(session);
    }
    for (const auto &[address, session] : m_sessions) {
        session->setRetired(true);
        // A retired session does not reconnect, so without a connection it is of no further use.
        if (isConnected(session))
            currentSessions[address] = session;
        else
            session->stop();
    }
    m_sessions = std::move(currentSessions);
}

bool EntryDispatcher::Private::isConnected(const std::shared_ptr<AgentSession> &session) const
{
    return std::any_of(m_connectedSessions.begin(), m_connectedSessions.end(),
                       [&](const auto &it) { return it.second == session; });
}

void EntryDispatcher::Private::sendConfiguration()
{
    const ConfigurationNotice notice = configurationNotice();
    for (const auto &[id, session] : m_connectedSessions)
        session->send(notice);
}

void EntryDispatcher::Private::submit(const std::shared_ptr<const CallerRequest> &request)
{
    m_requests[request->arrival.request] = request;
    m_requestCount = m_requests.size();
    processEvent([&](Instant now) { return m_scheduler.submit(request->arrival, now); });
}

void EntryDispatcher::Private::callerDisconnected(RequestId request)
{
    if (m_requests.contains(request))
        processEvent([&](Instant now) { return m_scheduler.callerDisconnected(request, now); });
}

void EntryDispatcher::Private::answerOverLimit(RequestId request, bool serverFault)
{
    if (m_requests.contains(request))
        processEvent([&](Instant now) {
            return m_scheduler.answerOverLimit(request, serverFault, now);
        });
}

void EntryDispatcher::Private::carryOut(const EntryActions &actions)
{
    for (const EntryAction &it : actions)
        std::visit([this](const auto &action) { carryOut(action); }, it);
    armTimer();
}

void EntryDispatcher::Private::carryOut(const SendToAgent &action)
{
    const auto session = m_connectedSessions.find(action.backendServer);
    if (session == m_connectedSessions.end())
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
        m_control.recordEndedRequest({arrival.organisation, arrival.tier,
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
    const Instant wake = m_scheduler.nextWakeTime();
    if (wake >= m_timerExpiry || m_stopped)
        return;
    m_timerExpiry = wake;
    m_timer.expires_at(toSteadyTime(wake, monotonicNow()));
    m_timer.async_wait([self = shared_from_this()](auto ec) {
        if (ec || self->m_stopped)
            return;
        self->m_timerExpiry = instantNever;
        self->processEvent([&](Instant now) { return self->m_scheduler.tick(now); });
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
    d->runOnStrand([view = std::move(view)](Private &self) { self.setView(view); });
}

void EntryDispatcher::submit(std::shared_ptr<const CallerRequest> request)
{
    d->runOnStrand([request = std::move(request)](Private &self) { self.submit(request); });
}

void EntryDispatcher::callerDisconnected(RequestId request)
{
    d->runOnStrand([request](Private &self) { self.callerDisconnected(request); });
}

void EntryDispatcher::answerOverLimit(RequestId request, bool serverFault)
{
    d->runOnStrand(
            [request, serverFault](Private &self) { self.answerOverLimit(request, serverFault); });
}

void EntryDispatcher::beginShutdown()
{
    d->runOnStrand([](Private &self) { self.m_scheduler.beginShutdown(); });
}

void EntryDispatcher::stop()
{
    d->runOnStrand([](Private &self) { self.stop(); });
}

std::size_t EntryDispatcher::requestCount() const
{
    return d->m_requestCount;
}

std::size_t EntryDispatcher::connectedAgentCount() const
{
    return d->m_connectedAgentCount;
}

} // namespace cornelshed
