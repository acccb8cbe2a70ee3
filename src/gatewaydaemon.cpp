// Connects the components of a gateway.

#include "gatewaydaemon.h"

#include "adminserver.h"
#include "daemonsignals.h"
#include "deploymentwatcher.h"
#include "dutyrunner.h"
#include "dutystate.h"
#include "eventlog.h"
#include "freedmemory.h"
#include "gateway.h"
#include "handlerloop.h"
#include "hostresources.h"
#include "logwriter.h"
#include "metrics.h"
#include "peergossip.h"
#include "statechartfile.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>

namespace cornelshed {

namespace asio = boost::asio;

namespace {

using namespace std::chrono_literals;

// The bound on revoked keys is measured from the store's acknowledgement of the revocation to the
// time at which a caller sends a request. The margin covers the error of reading the clocks and
// their drift.
constexpr Duration keyRevocationMargin = 300ms;
// A gateway reports not ready when its configuration was last proven up to date longer ago than the
// bound divided by this, so that callers are moved to other gateways before their keys are refused.
constexpr std::int64_t readinessDivisor = 2;
// The load balancer checks readiness every second and removes a gateway after two failed checks.
// New connections are accepted until then.
constexpr Duration drainAnnounceTime = 2500ms;
constexpr Duration viewInterval = 250ms;
// Shorter than viewInterval, because a rollout with a short time limit lasts only a few seconds.
constexpr Duration rolloutInterval = 100ms;
// Gateways read the store in the order of their names: the first one reads without delay and
// reports the result to its peers. Each of the others delays its own read by one more step, so that
// it takes over soon after those before it have failed.
constexpr Duration storeReadDelayStep = 60ms;
constexpr std::uint32_t maxStoreReadDelaySteps = 12;
// Time between two reads of one table that peers' reports cause; only the second one has to wait.
constexpr Duration minPromptedInterval = 100ms;
constexpr Duration maxPromptedInterval = 500ms;
constexpr Duration settingsCheckInterval = 1s;
constexpr std::size_t bytesPerKb = 1024;

GatewayTrafficSettings trafficSettings(const GatewaySettings &settings, std::uint64_t incarnation)
{
    GatewayTrafficSettings result;
    result.name = settings.name;
    result.incarnation = incarnation;
    result.scheduling.availabilityZone = settings.availabilityZone;
    result.scheduling.coldOver = settings.coldOver;
    result.scheduling.coldConstant = settings.coldConstant;
    result.retryBudget = {settings.repeatRatio, settings.repeatConstant,
                          std::chrono::milliseconds(settings.repeatWindowMs)};
    result.allowanceWindow = std::chrono::milliseconds(settings.allowanceWindowMs);
    result.allowanceTolerance = {settings.allowanceOver, settings.allowanceConstant};
    const Duration revocation = std::chrono::milliseconds(settings.keyRevocationMs);
    result.keyCheckMaxProofAge =
            std::max<Duration>(revocation - keyRevocationMargin, revocation / 2);
    result.readyMaxProofAge = revocation / readinessDivisor;
    result.exposureShare = settings.exposureShare;
    result.exposureConstant = settings.exposureConstant;
    result.agentPort = settings.agentPort;
    result.scheduling.agents = settings.agentPort != 0;
    result.scheduling.initialSlotRequests = settings.initialSlotRequests;
    result.scheduling.slotRequestLimit = settings.slotRequestLimit;
    result.scheduling.yieldAfter = std::chrono::milliseconds(settings.yieldAfterMs);
    result.scheduling.serverQueueShare = settings.serverQueueShare;
    result.scheduling.crossZoneCost = std::chrono::milliseconds(settings.crossZoneCostMs);
    result.scheduling.promptCache.enabled = settings.promptCache;
    result.scheduling.promptCache.defaultCapacityTokens = settings.promptCacheTokens;
    result.answeredLogInterval = settings.answeredLogInterval;
    result.answerLimitBytes = std::size_t {settings.answerLimitKb} * bytesPerKb;
    result.bufferedAnswersLimitBytes = std::size_t {settings.bufferedAnswersLimitKb} * bytesPerKb;
    result.requestBodiesLimitBytes = std::size_t {settings.requestBodiesLimitKb} * bytesPerKb;
    HostResources resources = readHostResources();
    resources.memoryBytes = resources.memoryFor(settings.memoryMb);
    if (settings.maxFds > 0)
        resources.descriptors = settings.maxFds;
    result.memory = divideResources(resources);
    result.memory.requestBytes = result.requestBodiesLimitBytes;
    return result;
}

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

DutyRunnerSettings dutySettings(const GatewaySettings &settings, std::uint64_t incarnation)
{
    DutyRunnerSettings result;
    result.holder = settings.name;
    result.incarnation = incarnation;
    result.address = settings.cloud->address.address;
    result.port = settings.cloud->address.port;
    result.reportsUsage = settings.cloud->reportsUsage;
    result.scales = settings.cloud->scales;
    result.callsPerSecond = settings.cloud->callsPerSecond;
    result.lease = std::chrono::milliseconds(settings.leaseMs);
    result.thaw = std::chrono::milliseconds(settings.thawMs);
    result.window = fromSeconds(settings.windowS);
    result.usageLate = fromSeconds(settings.usageLateS);
    return result;
}

std::unique_ptr<DutyState> makeDutyState(const GatewaySettings &settings,
                                         const GatewayPlatform &platform)
{
    if (!settings.cloud || platform.duties == nullptr)
        return nullptr;
    return std::make_unique<DutyState>(fromSeconds(settings.windowS), DutyClocks::ofHost());
}

} // namespace

class GatewayDaemon::Private
{
public:
    Private(const GatewaySettings &gatewaySettings, std::string settingsPath,
            StateChart rolloutChart, const GatewayPlatform &adapter, const LogWriter &log)
        : settings(gatewaySettings), settingsFile(std::move(settingsPath)), platform(adapter),
          dutyState(makeDutyState(settings, platform)),
          gateway(trafficContext, platform.protocol, trafficSettings(settings, incarnation),
                  std::move(rolloutChart), metrics),
          gossip(
                  trafficContext, ownRecord(), [this] { return composeReport(); },
                  [this](const GossipReport &report) { applyReport(report); }),
          admin(trafficContext, adminHandlers("/ready")),
          readiness(trafficContext, adminHandlers(settings.readinessPath)),
          signals(trafficContext, [this] { shutDown(); }),
          freedMemory(trafficContext, [this] { return gateway.callerMemory().usedBytes(); }),
          viewTimer(trafficContext), settingsTimer(trafficContext)
    {
        metrics.gauge("cornelshed_gateway_log_lines_dropped", "Log lines dropped since the start",
                      [&log] { return static_cast<double>(log.droppedLines()); });
        metrics.gauge("cornelshed_gateway_store_era",
                      "Latest era of the store's history that was read; 0: none stated",
                      [this] { return static_cast<double>(storeEra); });
        metrics.gauge("cornelshed_gateway_caller_memory_bytes",
                      "Memory that connections, requests and responses hold",
                      [this] { return static_cast<double>(gateway.callerMemory().usedBytes()); });
        metrics.gauge("cornelshed_gateway_caller_connections", "Connections of callers", [this] {
            return static_cast<double>(gateway.callerMemory().connectionCount());
        });
        metrics.gauge(
                "cornelshed_gateway_callers_ended_for_room",
                "Connections and incomplete requests ended for lack of memory or descriptors",
                [this] { return static_cast<double>(gateway.callerMemory().closedForRoom()); });
        metrics.gauge("cornelshed_gateway_peers_heard", "Gateways heard, this one included",
                      [this] { return static_cast<double>(gossip.view().heardCount); });
    }

    GatewayRecord ownRecord() const
    {
        return {settings.name, settings.peer.address, settings.peer.port};
    }

    AdminHandlers adminHandlers(const std::string &readyPath)
    {
        return {[this] { return metrics.text(); }, [this] { return gateway.ready(); }, readyPath};
    }

    GossipReport composeReport()
    {
        GossipReport report = gateway.composeReport();
        if (dutyState)
            report.duties = dutyState->composeReport();
        return report;
    }

    void applyReport(const GossipReport &report)
    {
        readChangedTables(gateway.applyPeerReport(report));
        if (dutyState && report.duties)
            dutyState->applyReport(report.incarnation, *report.duties);
    }

    // Called before the control thread runs.
    void startDuties()
    {
        if (!dutyState)
            return;
        duties = std::make_unique<DutyRunner>(controlContext, *store, *platform.duties, *dutyState,
                                              dutySettings(settings, incarnation), metrics);
        gateway.setUsageCounter(
                [this](const std::string &organisation) { dutyState->countRequest(organisation); });
        duties->start();
    }

    void addOrganisations(const DeploymentState &state)
    {
        if (!dutyState || !state.routes)
            return;
        std::vector<std::string> names;
        for (const Organisation &it : state.routes->content().organisations)
            names.push_back(it.name);
        dutyState->addOrganisations(names);
    }

    std::optional<std::string> start()
    {
        settingsText = readTextFile(settingsFile).value_or(std::string());
        store = platform.openStore(controlContext, settings);
        watcher = std::make_unique<DeploymentWatcher>(controlContext, *store, platform.rows,
                                                      WatcherSettings {}, watcherEvents());
        if (auto problem = gossip.start())
            return problem;
        if (auto problem = gateway.listen(settings.listen.address, settings.listen.port))
            return problem;
        if (settings.admissionPort != 0) {
            if (auto problem =
                        gateway.openAdmissionSocket(settings.peer.address, settings.admissionPort))
                return problem;
        }
        if (auto problem = readiness.listen(settings.readiness.address, settings.readiness.port))
            return problem;
        if (settings.metricsPort != 0) {
            if (auto problem = admin.listen(settings.listen.address, settings.metricsPort))
                return problem;
        }
        EventLog("started")
                .field("gateway", settings.name)
                .field("zone", settings.availabilityZone)
                .field("version", CORNELSHED_VERSION)
                .field("incarnation", incarnation);
        gateway.setRolloutStatusWriter([this](const RolloutStatus &status) {
            asio::post(controlContext, [this, status] { watcher->writeStatus(status); });
        });
        gateway.setQuarantineWriter([this](const std::vector<QuarantineAge> &prompts) {
            asio::post(controlContext, [this, prompts] { watcher->writeQuarantine(prompts); });
        });
        watcher->start(ownRecord());
        startDuties();
        updateView();
        reloadIfChanged();
        freedMemory.start();
        return std::nullopt;
    }

    WatcherEvents watcherEvents()
    {
        // Events are posted in order, so that a freshness proof never arrives before the state
        // whose freshness it proves.
        return {[this](std::shared_ptr<const DeploymentState> state) {
                    addOrganisations(*state);
                    asio::post(trafficContext, [this, state = std::move(state)] {
                        gossip.setRegisteredGateways(state->gateways);
                        gateway.applyState(state, gossip.view());
                    });
                },
                [this](RowTable table, const ReadProof &proof) {
                    asio::post(trafficContext,
                               [this, table, proof] { gateway.recordTableRead(table, proof); });
                },
                [this](RowTable table) { return gateway.provenAt(table); },
                [this](const char *outcome) {
                    metrics.counter(std::string("cornelshed_gateway_store_reads_total{outcome=\"")
                                            + outcome + "\"}",
                                    "Calls of the store by their outcome")
                            .add();
                },
                [this](std::uint64_t era) {
                    storeEra = era;
                    if (duties)
                        duties->storeEraRead(era);
                }};
    }

    // Reads the tables in which a peer has reported changes that are not applied here.
    void readChangedTables(const std::vector<RowTable> &tables)
    {
        for (const RowTable table : tables)
            asio::post(controlContext, [this, table] { watcher->readChangesNow(table); });
    }

    void updateView()
    {
        const GossipView view = gossip.view();
        gateway.setView(view);
        if (dutyState)
            dutyState->setView(view.heardCount, view.rankAmongHeard);
        const bool rollouts = gateway.tickRollouts();
        const Duration delay =
                storeReadDelayStep * std::min(view.rankAmongHeard, maxStoreReadDelaySteps);
        // In a large fleet, a change that all read at once is a burst of calls.
        const Duration promptedInterval =
                std::clamp<Duration>(view.interval / 2, minPromptedInterval, maxPromptedInterval);
        asio::post(controlContext, [this, delay, promptedInterval] {
            watcher->setReadPacing(delay, promptedInterval);
        });
        viewTimer.expires_after(rollouts ? rolloutInterval : viewInterval);
        viewTimer.async_wait([this](auto ec) {
            if (!ec)
                updateView();
        });
    }

    // The settings file may change without a signal to this process, so its content is polled.
    void reloadIfChanged()
    {
        const auto text = readTextFile(settingsFile);
        if (text && *text != settingsText) {
            settingsText = *text;
            reload(*text);
        }
        settingsTimer.expires_after(settingsCheckInterval);
        settingsTimer.async_wait([this](auto ec) {
            if (!ec)
                reloadIfChanged();
        });
    }

    void reload(const std::string &text)
    {
        const auto parsed = parseGatewaySettings(text, settingsFile);
        if (const auto *problems = std::get_if<TomlProblems>(&parsed)) {
            EventLog("reload_rejected", EventLevel::Warning)
                    .field("problem", problems->front().toString());
            return;
        }
        const auto &changed = std::get<GatewaySettings>(parsed);
        EventLog("reloaded").field("changed", changed != settings ? "yes" : "no");
        gateway.reload(trafficSettings(changed, incarnation));
    }

    void shutDown()
    {
        EventLog("shutdown_started").field("limit_ms", settings.shutdownTimeoutMs);
        const Duration limit = std::chrono::milliseconds(settings.shutdownTimeoutMs);
        gateway.drain(std::min<Duration>(drainAnnounceTime, limit / 3), limit, [this] {
            gossip.sendNow(); // with the last counts of usage
            trafficContext.stop();
        });
        if (duties)
            asio::post(controlContext, [this] { duties->stop(); });
        gossip.sendNow();
    }

    DaemonExitStatus run()
    {
        auto workGuard = asio::make_work_guard(controlContext);
        std::thread controlThread([this] { runHandlers(controlContext, "control"); });
        runHandlers(trafficContext, "traffic");
        controlContext.stop();
        controlThread.join();
        duties = nullptr;
        watcher = nullptr;
        EventLog("stopped").field("gateway", settings.name);
        return DaemonExitStatus::Success;
    }

    GatewaySettings settings;
    std::string settingsFile;
    std::string settingsText;
    GatewayPlatform platform;
    const std::uint64_t incarnation = randomIncarnation();
    Metrics metrics;
    std::atomic<std::uint64_t> storeEra {0}; // latest one stated by the store
    asio::io_context controlContext;
    asio::io_context trafficContext;
    std::unique_ptr<DutyState> dutyState; // null: no duties
    Gateway gateway;
    PeerGossip gossip;
    AdminServer admin;
    AdminServer readiness;
    DaemonSignals signals;
    detail::FreedMemoryReturn freedMemory;
    asio::steady_timer viewTimer;
    asio::steady_timer settingsTimer;
    std::unique_ptr<RowStore> store;
    std::unique_ptr<DeploymentWatcher> watcher;
    std::unique_ptr<DutyRunner> duties; // null: none
};

GatewayDaemon::GatewayDaemon(const GatewaySettings &settings, const std::string &settingsFile,
                             StateChart rolloutChart, const GatewayPlatform &platform,
                             const LogWriter &log)
    : d(std::make_unique<Private>(settings, settingsFile, std::move(rolloutChart), platform, log))
{ }

GatewayDaemon::~GatewayDaemon() = default;

std::optional<std::string> GatewayDaemon::start()
{
    return d->start();
}

DaemonExitStatus GatewayDaemon::run()
{
    return d->run();
}

int gatewayMain(int argc, const char *const *argv, const std::string &program,
                const GatewayPlatform &platform)
{
    const auto parsed = parseDaemonOptions(
            argc, argv, program, "gateway; schedules requests directly on backend servers.");
    if (const auto *status = std::get_if<DaemonExitStatus>(&parsed))
        return static_cast<int>(*status);
    const auto &options = std::get<DaemonOptions>(parsed);
    const auto settings = loadSettings(options, parseGatewaySettings);
    if (const auto *failure = std::get_if<DaemonExitStatus>(&settings))
        return static_cast<int>(*failure);
    const auto &gatewaySettings = std::get<GatewaySettings>(settings);
    auto chart = readStateChart(gatewaySettings.chartsDirectory + "/rollout.toml");
    if (const auto *error = std::get_if<StateChartError>(&chart)) {
        for (const std::string &it : error->problems)
            std::cerr << it << '\n';
        return static_cast<int>(DaemonExitStatus::SettingsError);
    }
    if (options.checkOnly)
        return static_cast<int>(DaemonExitStatus::Success);
    returnFreedMemory();
    LogWriter log;
    log.install();
    GatewayDaemon daemon(gatewaySettings, options.settingsFile,
                         std::move(std::get<StateChart>(chart)), platform, log);
    if (const auto problem = daemon.start()) {
        EventLog("start_failed", EventLevel::Error).field("reason", *problem);
        return static_cast<int>(DaemonExitStatus::RuntimeFailure);
    }
    return static_cast<int>(daemon.run());
}

} // namespace cornelshed
