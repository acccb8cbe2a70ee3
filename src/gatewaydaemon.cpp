// Wires the parts of a gateway together.

#include "gatewaydaemon.h"

#include "adminserver.h"
#include "daemonsignals.h"
#include "deploymentwatcher.h"
#include "eventlog.h"
#include "gateway.h"
#include "logwriter.h"
#include "metrics.h"
#include "peergossip.h"
#include "statechartfile.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <iostream>
#include <thread>

namespace cornelshed {

namespace asio = boost::asio;

namespace {

using namespace std::chrono_literals;

// The bound on revoked keys counts from the store's acknowledgement to the caller's sending; the
// margin covers the difference of reading the clock and of its rate.
constexpr Duration keyMargin = 300ms;
// Callers move away from a gateway without a fresh configuration after half of that bound.
constexpr std::int64_t readyShare = 2;
// The balancer asks every second and takes a daemon out after two misses; until then, new
// connections are accepted.
constexpr Duration announceTime = 2500ms;
constexpr Duration viewInterval = 250ms;
constexpr Duration rolloutInterval = 100ms; // short orders last a few seconds
// The first gateway in the common order reads the store; each next one leaves it this much time to
// tell, so that it takes over soon after the first ones are gone.
constexpr Duration readDelay = 60ms;
constexpr std::uint32_t readDelaySteps = 6;
constexpr Duration fileCheckInterval = 1s;

GatewayTraffic trafficSettings(const GatewaySettings &settings, std::uint64_t incarnation)
{
    GatewayTraffic traffic;
    traffic.name = settings.name;
    traffic.incarnation = incarnation;
    traffic.scheduling.availabilityZone = settings.availabilityZone;
    traffic.scheduling.coldOver = settings.coldOver;
    traffic.scheduling.coldConstant = settings.coldConstant;
    traffic.repeats = {settings.repeatRatio, settings.repeatConstant,
                       std::chrono::milliseconds(settings.repeatWindowMs)};
    traffic.allowanceWindow = std::chrono::milliseconds(settings.allowanceWindowMs);
    traffic.allowanceTolerance = {settings.allowanceOver, settings.allowanceConstant};
    const Duration revocation = std::chrono::milliseconds(settings.keyRevocationMs);
    traffic.keyProofLimit = std::max<Duration>(revocation - keyMargin, revocation / 2);
    traffic.readyProofLimit = revocation / readyShare;
    traffic.exposureShare = settings.exposureShare;
    traffic.exposureConstant = settings.exposureConstant;
    traffic.agentPort = settings.agentPort;
    traffic.scheduling.agents = settings.agentPort != 0;
    traffic.answeredLogInterval = settings.answeredLogInterval;
    return traffic;
}

} // namespace

class GatewayDaemon::Private
{
public:
    Private(const GatewaySettings &given, std::string file, StateChart rolloutChart,
            const GatewayPlatform &adapter, const LogWriter &log)
        : settings(given), settingsFile(std::move(file)), platform(adapter),
          gateway(traffic, platform.protocol, trafficSettings(settings, incarnation),
                  std::move(rolloutChart), metrics),
          gossip(
                  traffic, self(), [this] { return gateway.composeReport(); },
                  [this](const GossipReport &report, std::optional<Duration> echoedSentAt) {
                      readMissing(gateway.peerReported(report, echoedSentAt));
                  }),
          admin(traffic, adminHandlers("/ready")),
          readiness(traffic, adminHandlers(settings.readinessPath)),
          signals(traffic, [this] { shutDown(); }), viewTimer(traffic), fileTimer(traffic)
    {
        metrics.gauge("cornelshed_gateway_log_lines_dropped", "Log lines dropped since the start",
                      [&log] { return static_cast<double>(log.dropped()); });
        metrics.gauge("cornelshed_gateway_peers_heard", "Gateways heard, this one included",
                      [this] { return static_cast<double>(gossip.view().heard); });
    }

    GatewayRecord self() const
    {
        return {settings.name, settings.peer.address, settings.peer.port};
    }

    AdminHandlers adminHandlers(const std::string &readyPath)
    {
        return {[this] { return metrics.text(); }, [this] { return gateway.ready(); }, readyPath};
    }

    std::optional<std::string> start()
    {
        fileText = readTextFile(settingsFile).value_or(std::string());
        store = platform.openStore(control, settings);
        watcher = std::make_unique<DeploymentWatcher>(control, *store, platform.rows,
                                                      WatcherSettings {}, watcherEvents());
        if (auto problem = gossip.start())
            return problem;
        if (auto problem = gateway.listen(settings.listen.address, settings.listen.port))
            return problem;
        if (settings.admissionPort != 0) {
            if (auto problem = gateway.openAdmission(settings.peer.address, settings.admissionPort))
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
        gateway.onRolloutStatus([this](const RolloutStatus &status) {
            asio::post(control, [this, status] { watcher->writeStatus(status); });
        });
        watcher->start(self());
        updateView();
        checkFile();
        return std::nullopt;
    }

    WatcherEvents watcherEvents()
    {
        // Posted in order, so that a proof never arrives before the state that it proves.
        return {[this](std::shared_ptr<const DeploymentState> state) {
                    asio::post(traffic, [this, state = std::move(state)] {
                        gossip.setListed(state->gateways);
                        gateway.applyState(state);
                    });
                },
                [this](RowTable table, const ReadProof &proof) {
                    asio::post(traffic, [this, table, proof] { gateway.tableRead(table, proof); });
                },
                [this](RowTable table) { return gateway.provenAt(table); },
                [this](const char *outcome) {
                    metrics.counter(std::string("cornelshed_gateway_store_reads_total{outcome=\"")
                                            + outcome + "\"}",
                                    "Calls of the store by their outcome")
                            .add();
                }};
    }

    // Changes that peers know and that are not applied here.
    void readMissing(const std::vector<RowTable> &tables)
    {
        for (const RowTable table : tables)
            asio::post(control, [this, table] { watcher->readNow(table); });
    }

    void updateView()
    {
        const GossipView view = gossip.view();
        gateway.setView(view);
        const bool rollouts = gateway.tickRollouts();
        const Duration delay = readDelay * std::min(view.place, readDelaySteps);
        asio::post(control, [this, delay] { watcher->setDelay(delay); });
        viewTimer.expires_after(rollouts ? rolloutInterval : viewInterval);
        viewTimer.async_wait([this](auto ec) {
            if (!ec)
                updateView();
        });
    }

    // The file may change without a signal.
    void checkFile()
    {
        const auto text = readTextFile(settingsFile);
        if (text && *text != fileText) {
            fileText = *text;
            reload(*text);
        }
        fileTimer.expires_after(fileCheckInterval);
        fileTimer.async_wait([this](auto ec) {
            if (!ec)
                checkFile();
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
        gateway.drain(std::min<Duration>(announceTime, limit / 3), limit,
                      [this] { traffic.stop(); });
        gossip.sendNow();
    }

    DaemonStatus run()
    {
        auto work = asio::make_work_guard(control);
        std::thread controlThread([this] { control.run(); });
        traffic.run();
        control.stop();
        controlThread.join();
        watcher = nullptr;
        EventLog("stopped").field("gateway", settings.name);
        return DaemonStatus::Success;
    }

    GatewaySettings settings;
    std::string settingsFile;
    std::string fileText;
    GatewayPlatform platform;
    const std::uint64_t incarnation = randomIncarnation();
    Metrics metrics;
    asio::io_context control;
    asio::io_context traffic;
    Gateway gateway;
    PeerGossip gossip;
    AdminServer admin;
    AdminServer readiness;
    DaemonSignals signals;
    asio::steady_timer viewTimer;
    asio::steady_timer fileTimer;
    std::unique_ptr<RowStore> store;
    std::unique_ptr<DeploymentWatcher> watcher;
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

DaemonStatus GatewayDaemon::run()
{
    return d->run();
}

int gatewayMain(int argc, const char *const *argv, const std::string &program,
                const GatewayPlatform &platform)
{
    const auto parsed = parseDaemonOptions(
            argc, argv, program, "gateway; schedules requests directly on backend servers.");
    if (const auto *status = std::get_if<DaemonStatus>(&parsed))
        return static_cast<int>(*status);
    const auto &options = std::get<DaemonOptions>(parsed);
    const auto settings = loadSettings(options, parseGatewaySettings);
    if (const auto *failure = std::get_if<DaemonStatus>(&settings))
        return static_cast<int>(*failure);
    const auto &given = std::get<GatewaySettings>(settings);
    auto chart = readStateChart(given.chartsDirectory + "/rollout.toml");
    if (const auto *error = std::get_if<StateChartError>(&chart)) {
        for (const std::string &it : error->problems)
            std::cerr << it << '\n';
        return static_cast<int>(DaemonStatus::SettingsError);
    }
    if (options.checkOnly)
        return static_cast<int>(DaemonStatus::Success);
    LogWriter log;
    log.install();
    GatewayDaemon daemon(given, options.settingsFile, std::move(std::get<StateChart>(chart)),
                         platform, log);
    if (const auto problem = daemon.start()) {
        EventLog("start_failed", EventLevel::Error).field("reason", *problem);
        return static_cast<int>(DaemonStatus::RuntimeFailure);
    }
    return static_cast<int>(daemon.run());
}

} // namespace cornelshed
