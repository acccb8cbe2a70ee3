// Carries out the actions of the agent's scheduler: messages to entry daemons, requests to the
// backend server, cancellations. Everything runs on a single thread, so no locks are needed.

#include "agentdaemon.h"

#include "adminserver.h"
#include "agentmemory.h"
#include "agentrun.h"
#include "agentscheduler.h"
#include "agentserver.h"
#include "answerbudget.h"
#include "backendclient.h"
#include "configurationfile.h"
#include "daemonsignals.h"
#include "eventlog.h"
#include "freedmemory.h"
#include "handlerloop.h"
#include "hostresources.h"
#include "httpheaders.h"
#include "memorypool.h"
#include "metrics.h"
#include "monotonicclock.h"
#include "serverprobe.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <unordered_map>
#include <utility>

namespace cornelshed {

namespace asio = boost::asio;

namespace {

// Added to the time limit of requests. The entry daemon cancels at the deadline, so the limit only
// ends requests whose cancellation was lost with the session.
constexpr Duration deadlineMargin = std::chrono::seconds(5);
constexpr Duration maxRequestTimeout = std::chrono::hours(1);
// Time in which entry daemons can read the remaining data and close their sessions; one that hangs
// must not delay the exit.
constexpr std::chrono::milliseconds sessionCloseTimeout {500};
constexpr std::chrono::milliseconds shutdownPollInterval {5};
// Room in the write queue of a session for the messages that are not parts of answers, and for the
// frames around those that are.
constexpr std::size_t controlMessagesMarginBytes = std::size_t {64} << 20U;

// What a run costs besides its body: headers, connection and buffers.
constexpr std::size_t runBytes = std::size_t {8} << 10U;
// A session with its buffer of input; its receive buffer is at most this large.
constexpr std::size_t sessionBytes = std::size_t {24} << 10U;
constexpr std::size_t maxReceiveBufferBytes = std::size_t {64} << 10U;

struct RunningRequest
{
    std::shared_ptr<AgentRun> run;
    std::shared_ptr<BackendExchange> exchange;
    std::shared_ptr<void> bodyRoom;
};

Welcome makeIdentity(const AgentSettings &settings)
{
    Welcome identity;
    identity.backendServer = {settings.name, randomIncarnation()};
    identity.pool = settings.pool;
    identity.availabilityZone = settings.availabilityZone;
    identity.version = settings.serverVersion;
    identity.models = settings.models;
    return identity;
}

PoolDivision divisionFor(const AgentSettings &settings)
{
    return divideMemory(readHostResources().memoryFor(settings.memoryMb), sessionBytes,
                        maxReceiveBufferBytes);
}

AgentServerLimits serverLimits(const AgentSettings &settings, const PoolDivision &division)
{
    AgentServerLimits limits;
    limits.frameLimitBytes = settings.frameLimitBytes;
    limits.sessionLimitCount =
            std::min<std::size_t>(settings.sessionLimitCount, division.connectionLimit);
    limits.writeQueueLimitBytes = settings.bufferedAnswersLimitBytes + controlMessagesMarginBytes;
    limits.receiveBufferBytes = division.receiveBufferBytes;
    return limits;
}

// A frame and the body that it carries must fit beside the part for small requests.
std::size_t requestLimit(const AgentSettings &settings, const PoolDivision &division)
{
    return std::min<std::size_t>(
            settings.requestMemoryLimitBytes,
            std::max(division.requestBytes, std::size_t {settings.frameLimitBytes} / 7 * 16 + 16));
}

AgentLimits makeLimits(const AgentSettings &settings)
{
    AgentLimits limits;
    limits.maximumConcurrency = settings.maximumConcurrencyCount;
    return limits;
}

} // namespace

class AgentDaemon::Private final : public AgentRunOwner
{
public:
    explicit Private(const AgentSettings &settings);

    void start();
    void beginShutdown();
    void pollShutdown();
    void pollSessionClose();

    void sendToEntry(SessionId session, const AgentMessage &message) override;
    void sendToEntry(SessionId session, const AgentMessage &message,
                     std::shared_ptr<AnswerShare> share, std::size_t size) override;
    void abandonResponse(RequestId request) override;
    void runFirstToken(RequestId request) override;
    void runTokens(RequestId request, std::uint64_t count) override;
    void runFinished(RequestId request, const Usage &usage) override;
    void runFailed(RequestId request, FailReason reason, bool notRun) override;

    void handleMessage(SessionId session, EntryMessage message);
    void installConfiguration(const ConfigurationNotice &notice);
    void carryOut(const AgentActions &actions);
    void carryOut(const SendToEntry &action);
    void carryOut(const StartOnServer &action);
    void carryOut(const CancelOnServer &action);
    void cancelOnEngine(const AgentRun &run, std::function<void(std::uint32_t status)> done);
    BackendRequest backendRequest(const Dispatch &dispatch) const;
    void setReachable(bool reachable);
    void armTimer();
    void addMetrics();
    AgentServerCallbacks serverCallbacks();

    AgentSettings m_settings;
    PoolDivision m_division;
    std::shared_ptr<MemoryPool> m_pool;
    std::shared_ptr<AnswerBudget> m_answerBudget;
    asio::io_context m_context {1}; // declared before the members that use it
    Metrics m_metrics;
    std::shared_ptr<AgentMemory> m_memory;
    Welcome m_identity;
    AgentScheduler m_scheduler;
    BackendClient m_client;
    ServerProbe m_probe;
    AgentServer m_server;
    AdminServer m_admin;
    detail::FreedMemoryReturn m_freedMemory;
    asio::steady_timer m_timer;
    asio::steady_timer m_shutdownTimer;
    std::unique_ptr<DaemonSignals> m_signals;
    // Invariant: no exchange has ended.
    std::unordered_map<RequestId, RunningRequest> m_runningRequests;
    Instant m_timerExpiry = instantNever; // time for which m_timer is set
    Instant m_shutdownDeadline = instantNever;
    std::uint64_t m_configurationVersion = 0;
    std::string m_configurationText; // of the installed configuration
    std::atomic<bool> m_reachable {false};
    bool m_shuttingDown = false;
    DaemonExitStatus m_status = DaemonExitStatus::Success;
    Counter &m_started;
    Counter &m_finished;
    Counter &m_failed;
    Counter &m_notRun;
    Counter &m_tokens;
    DurationSummary &m_firstTokenTime;
};

AgentDaemon::Private::Private(const AgentSettings &settings)
    : m_settings(settings), m_division(divisionFor(settings)),
      m_pool(std::make_shared<MemoryPool>(m_division.totalBytes)),
      m_answerBudget(std::make_shared<AnswerBudget>(
              AnswerLimits {settings.answerLimitBytes, settings.bufferedAnswersLimitBytes},
              m_pool)),
      m_memory(std::make_shared<AgentMemory>(requestLimit(settings, m_division),
                                             sessionBytes + m_division.receiveBufferBytes, m_pool,
                                             m_metrics)),
      m_identity(makeIdentity(settings)), m_scheduler(makeLimits(settings), m_identity, {}),
      m_client(m_context, settings.serverAddress, settings.serverPort),
      m_probe(m_context, {settings.serverKind, settings.serverAddress, settings.serverPort},
              m_client, [this](bool reachable) { setReachable(reachable); }),
      m_server(m_context, serverLimits(settings, m_division), m_memory, serverCallbacks()),
      m_admin(m_context,
              {[this] { return m_metrics.text(); },
               [this] { return m_reachable && !m_shuttingDown; }}),
      m_freedMemory(m_context, [this] { return m_pool->usedBytes(); }), m_timer(m_context),
      m_shutdownTimer(m_context),
      m_started(m_metrics.counter("cornelshed_agent_requests_started_total",
                                  "Requests sent to the backend server.")),
      m_finished(m_metrics.counter("cornelshed_agent_requests_finished_total",
                                   "Requests answered completely.")),
      m_failed(m_metrics.counter("cornelshed_agent_requests_failed_total",
                                 "Requests that failed after they may have run.")),
      m_notRun(m_metrics.counter("cornelshed_agent_requests_not_run_total",
                                 "Requests that never reached the backend server.")),
      m_tokens(m_metrics.counter("cornelshed_agent_stream_tokens_total",
                                 "Token events passed on in streams.")),
      m_firstTokenTime(m_metrics.summary("cornelshed_agent_first_token_seconds",
                                         "Start on the server to first token of streams."))
{
    addMetrics();
}

AgentServerCallbacks AgentDaemon::Private::serverCallbacks()
{
    AgentServerCallbacks callbacks;
    callbacks.sessionOpened = [this](SessionId session, const Hello &hello) {
        carryOut(m_scheduler.sessionOpened(session, hello, monotonicNow()));
    };
    callbacks.sessionClosed = [this](SessionId session) {
        carryOut(m_scheduler.sessionClosed(session, monotonicNow()));
    };
    callbacks.messageReceived = [this](SessionId session, EntryMessage message) {
        handleMessage(session, std::move(message));
    };
    return callbacks;
}

// The admin server evaluates the gauges on the same thread, so they need no synchronization.
void AgentDaemon::Private::addMetrics()
{
    m_metrics.gauge("cornelshed_agent_running", "Requests on the backend server.",
                    [this] { return static_cast<double>(m_scheduler.load().running); });
    m_metrics.gauge("cornelshed_agent_waiting", "Reservations queued.",
                    [this] { return static_cast<double>(m_scheduler.load().waiting); });
    m_metrics.gauge("cornelshed_agent_concurrency_limit", "Requests the server bears.",
                    [this] { return static_cast<double>(m_scheduler.load().concurrencyLimit); });
    m_metrics.gauge("cornelshed_agent_buffered_answer_bytes",
                    "Bytes of answers that are not sent to entry daemons yet.",
                    [this] { return static_cast<double>(m_answerBudget->heldBytes()); });
    m_metrics.gauge("cornelshed_agent_memory_bytes",
                    "Bytes that sessions, requests and answers hold of the memory for them.",
                    [this] { return static_cast<double>(m_pool->usedBytes()); });
    m_metrics.gauge("cornelshed_agent_memory_limit_bytes", "The memory for them.",
                    [this] { return static_cast<double>(m_pool->totalBytes()); });
    m_metrics.gauge("cornelshed_agent_sessions", "Sessions of entry daemons.",
                    [this] { return static_cast<double>(m_server.sessionCount()); });
    m_metrics.gauge("cornelshed_agent_configuration_version", "Configuration in force.",
                    [this] { return static_cast<double>(m_configurationVersion); });
}

// The server counts as unreachable, and nothing is granted, until the probe has cancelled the
// requests that an earlier incarnation left running.
void AgentDaemon::Private::start()
{
    carryOut(m_scheduler.serverReachable(false, monotonicNow()));
    m_probe.start();
    m_freedMemory.start();
    EventLog("agent_started")
            .field("name", m_settings.name)
            .field("incarnation", m_identity.backendServer.incarnation)
            .field("entry_port", m_server.port())
            .field("admin_port", m_admin.port());
}

void AgentDaemon::Private::setReachable(bool reachable)
{
    m_reachable = reachable;
    carryOut(m_scheduler.serverReachable(reachable, monotonicNow()));
}

void AgentDaemon::Private::handleMessage(SessionId session, EntryMessage message)
{
    if (const auto *notice = std::get_if<ConfigurationNotice>(&message))
        installConfiguration(*notice);
    else
        carryOut(m_scheduler.handle(session, message, monotonicNow()));
}

// Only a newer version is installed, or another text of the same version that the head row names,
// so that a delayed notice cannot restore an old configuration.
void AgentDaemon::Private::installConfiguration(const ConfigurationNotice &notice)
{
    const bool isOtherText = notice.replacesText && notice.version == m_configurationVersion
            && notice.text != m_configurationText;
    if (notice.version <= m_configurationVersion && !isOtherText)
        return;
    Result<Configuration, TomlProblems> parsed = parseConfiguration(notice.text, "configuration");
    if (const auto *problems = std::get_if<TomlProblems>(&parsed)) {
        EventLog("configuration_refused", EventLevel::Error)
                .field("version", notice.version)
                .field("reason", problems->front().toString());
        return;
    }
    auto &configuration = std::get<Configuration>(parsed);
    configuration.version = notice.version;
    m_configurationVersion = notice.version;
    m_configurationText = notice.text;
    EventLog("configuration_installed").field("version", notice.version);
    carryOut(m_scheduler.setConfiguration(configuration, monotonicNow()));
}

void AgentDaemon::Private::carryOut(const AgentActions &actions)
{
    for (const AgentAction &it : actions)
        std::visit([this](const auto &action) { carryOut(action); }, it);
    armTimer();
}

void AgentDaemon::Private::carryOut(const SendToEntry &action)
{
    const auto *welcome = std::get_if<Welcome>(&action.message);
    if (welcome == nullptr) {
        m_server.send(action.session, action.message);
        return;
    }
    Welcome current = *welcome;
    current.configurationVersion = m_configurationVersion;
    m_server.send(action.session, current);
}

void AgentDaemon::Private::carryOut(const StartOnServer &action)
{
    const RequestId request = action.dispatch.request;
    auto bodyRoom = m_memory->holdBody(action.dispatch.body.size() + runBytes);
    if (!bodyRoom) {
        // Posted, because the scheduler's actions are being carried out.
        asio::post(m_context, [this, request] {
            m_notRun.add();
            carryOut(m_scheduler.serverFailed(request, FailReason::Draining, true, monotonicNow()));
        });
        return;
    }
    m_started.add();
    auto run = std::make_shared<AgentRun>(action.session, action.dispatch, *this, m_answerBudget);
    auto exchange = m_client.start(backendRequest(action.dispatch), run);
    m_runningRequests[request] = {std::move(run), std::move(exchange), std::move(bodyRoom)};
}

BackendRequest AgentDaemon::Private::backendRequest(const Dispatch &dispatch) const
{
    BackendRequest request;
    request.method = dispatch.method;
    request.path = dispatch.path;
    request.headers = endToEndHeaders(dispatch.headers);
    request.body = dispatch.body;
    request.timeLimit = std::clamp(dispatch.remaining, Duration(0), maxRequestTimeout);
    request.timeLimit += deadlineMargin;
    request.echoHeaderName = requestIdHeader;
    if (const std::string *id = findHeader(dispatch.headers, requestIdHeader))
        request.echoHeaderValue = *id;
    request.echoOptional = true;
    return request;
}

// A plain service does not support cancellation: the request occupies a concurrency slot until
// it ends, and its response is discarded.
void AgentDaemon::Private::carryOut(const CancelOnServer &action)
{
    const auto it = m_runningRequests.find(action.request);
    if (it == m_runningRequests.end())
        return;
    it->second.run->cancel();
    if (m_settings.serverKind == PoolKind::Service)
        return;
    cancelOnEngine(*it->second.run,
                   [exchange = it->second.exchange](std::uint32_t) { exchange->abandon(); });
}

void AgentDaemon::Private::cancelOnEngine(const AgentRun &run,
                                          std::function<void(std::uint32_t status)> done)
{
    const std::string json = "{\"request_id\":\"" + run.serverRequestId() + "\"}";
    m_client.post("/control/cancel", json, std::move(done));
}

void AgentDaemon::Private::sendToEntry(SessionId session, const AgentMessage &message)
{
    m_server.send(session, message);
}

void AgentDaemon::Private::sendToEntry(SessionId session, const AgentMessage &message,
                                       std::shared_ptr<AnswerShare> share, std::size_t size)
{
    m_server.send(session, message, std::move(share), size);
}

// An engine is told as well: it may not notice the close before it has generated all tokens.
void AgentDaemon::Private::abandonResponse(RequestId request)
{
    const auto it = m_runningRequests.find(request);
    if (it == m_runningRequests.end())
        return;
    it->second.exchange->abandon();
    if (m_settings.serverKind == PoolKind::Engine)
        cancelOnEngine(*it->second.run, [](std::uint32_t) {});
}

void AgentDaemon::Private::runFirstToken(RequestId request)
{
    carryOut(m_scheduler.firstToken(request, monotonicNow()));
}

void AgentDaemon::Private::runTokens(RequestId request, std::uint64_t count)
{
    m_tokens.add(count);
    carryOut(m_scheduler.tokens(request, count, monotonicNow()));
}

void AgentDaemon::Private::runFinished(RequestId request, const Usage &usage)
{
    m_finished.add();
    if (usage.firstTokenTime.count() > 0)
        m_firstTokenTime.record(usage.firstTokenTime);
    m_runningRequests.erase(request);
    carryOut(m_scheduler.serverFinished(request, usage, monotonicNow()));
}

void AgentDaemon::Private::runFailed(RequestId request, FailReason reason, bool notRun)
{
    (notRun ? m_notRun : m_failed).add();
    m_runningRequests.erase(request);
    if (reason == FailReason::EngineUnreachable)
        m_probe.probeNow();
    carryOut(m_scheduler.serverFailed(request, reason, notRun, monotonicNow()));
}

void AgentDaemon::Private::armTimer()
{
    const Instant wake = m_scheduler.nextWakeTime();
    if (wake >= m_timerExpiry)
        return;
    m_timerExpiry = wake;
    m_timer.expires_at(toSteadyTime(wake, monotonicNow()));
    m_timer.async_wait([this](auto ec) {
        if (ec)
            return;
        m_timerExpiry = instantNever;
        carryOut(m_scheduler.tick(monotonicNow()));
    });
}

void AgentDaemon::Private::beginShutdown()
{
    if (m_shuttingDown)
        return;
    m_shuttingDown = true;
    EventLog("shutdown_started").field("running", m_scheduler.load().running);
    m_shutdownDeadline = monotonicNow() + std::chrono::milliseconds(m_settings.shutdownTimeoutMs);
    m_server.stopAccepting();
    carryOut(m_scheduler.beginShutdown(monotonicNow()));
    pollShutdown();
}

void AgentDaemon::Private::pollShutdown()
{
    const bool timedOut = monotonicNow() >= m_shutdownDeadline;
    if (m_scheduler.idle() || timedOut) {
        m_status =
                m_scheduler.idle() ? DaemonExitStatus::Success : DaemonExitStatus::ShutdownTimeout;
        m_shutdownDeadline = monotonicNow() + sessionCloseTimeout;
        m_server.finishAll();
        pollSessionClose();
        return;
    }
    m_shutdownTimer.expires_after(shutdownPollInterval);
    m_shutdownTimer.async_wait([this](auto) { pollShutdown(); });
}

void AgentDaemon::Private::pollSessionClose()
{
    if (m_server.sessionCount() == 0 || monotonicNow() >= m_shutdownDeadline) {
        EventLog("shutdown_finished").field("status", static_cast<int>(m_status));
        m_probe.stop();
        m_context.stop();
        return;
    }
    m_shutdownTimer.expires_after(shutdownPollInterval);
    m_shutdownTimer.async_wait([this](auto) { pollSessionClose(); });
}

AgentDaemon::AgentDaemon(const AgentSettings &settings) : d(std::make_unique<Private>(settings)) { }

AgentDaemon::~AgentDaemon() = default;

std::optional<std::string> AgentDaemon::listen()
{
    if (auto error = d->m_server.listen(d->m_settings.listenAddress, d->m_settings.entryPort))
        return error;
    return d->m_admin.listen(d->m_settings.listenAddress, d->m_settings.adminPort);
}

void AgentDaemon::handleSignals()
{
    d->m_signals = std::make_unique<DaemonSignals>(d->m_context, [this] { d->beginShutdown(); });
}

DaemonExitStatus AgentDaemon::run()
{
    d->start();
    runHandlers(d->m_context, "main");
    return d->m_status;
}

void AgentDaemon::requestShutdown()
{
    asio::post(d->m_context, [this] { d->beginShutdown(); });
}

std::uint16_t AgentDaemon::entryPort() const
{
    return d->m_server.port();
}

std::uint16_t AgentDaemon::adminPort() const
{
    return d->m_admin.port();
}

const BackendServerId &AgentDaemon::backendServer() const
{
    return d->m_identity.backendServer;
}

} // namespace cornelshed
