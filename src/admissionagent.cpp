// Receives requests for slots from gateways, sends grants, and frees slots whose lease has expired.

#include "admissionagent.h"

#include "adminserver.h"
#include "admissionsocket.h"
#include "configurationsections.h"
#include "daemonsignals.h"
#include "eventlog.h"
#include "handlerloop.h"
#include "logthrottle.h"
#include "metrics.h"
#include "monotonicclock.h"
#include "settingsvalues.h"
#include "slotallocator.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace cornelshed {

namespace asio = boost::asio;

namespace {

using namespace std::chrono_literals;

// While requests wait, the allocator is checked at this interval, as a request can become due
// without a message: when a lease expires, or when a cold backend server's rate limit permits
// another start.
constexpr Duration allocatorCheckInterval = 20ms;
// Gateways without a message for this time are removed when the next new gateway appears.
constexpr Duration gatewayRetention = 60s;
// Gateways that are remembered. Beyond this many, those that were heard once are forgotten first,
// because anyone can send datagrams with invented identifiers.
constexpr std::size_t gatewayLimit = 512;

} // namespace

Result<AdmissionAgentSettings, TomlProblems> parseAdmissionAgentSettings(std::string_view text,
                                                                         const std::string &file)
{
    TomlProblems problems;
    TomlDocument document = TomlDocument::parse(text, file, problems);
    if (!problems.empty())
        return problems;
    AdmissionAgentSettings settings;
    TomlSection section = document.root().table("agent");
    settings.name = detail::readName(section, "name");
    settings.address = detail::readAddress(section, "address");
    settings.port = detail::readPort(section, "port", 1);
    settings.metricsPort = static_cast<std::uint16_t>(section.integer("metrics_port", 0, 65535, 0));
    document.reportUnknownKeys();
    if (!problems.empty())
        return problems;
    return settings;
}

class AdmissionAgent::Private
{
public:
    using Endpoint = detail::AdmissionSocket::Endpoint;

    struct Gateway
    {
        Endpoint endpoint;
        Instant lastMessageAt {};
        bool heardAgain = false;
    };

    explicit Private(const AdmissionAgentSettings &agentSettings)
        : settings(agentSettings), allocator(monotonicNow()),
          socket(std::make_shared<detail::AdmissionSocket>(
                  context,
                  [this](const AdmissionMessage &message, const Endpoint &sender) {
                      handle(message, sender);
                  })),
          admin(context, {[this] { return metrics.text(); }, [] { return true; }}),
          signals(context, [this] { context.stop(); }), timer(context),
          grantCounter(metrics.counter("cornelshed_admission_grants_total", "Slots granted")),
          slotRequestCounter(
                  metrics.counter("cornelshed_admission_asks_total", "Asks for a slot received"))
    {
        metrics.gauge("cornelshed_admission_held", "Slots held",
                      [this] { return static_cast<double>(allocator.held()); });
        metrics.gauge("cornelshed_admission_waiting", "Asks that wait",
                      [this] { return static_cast<double>(allocator.waiting()); });
    }

    void handle(const AdmissionMessage &message, const Endpoint &sender)
    {
        const Instant now = monotonicNow();
        if (const auto *request = std::get_if<SlotRequest>(&message)) {
            slotRequestCounter.add();
            trackGateway(request->key.gateway, sender, now);
            allocator.requestSlot(*request, now);
            sendGrants(now);
            if (allocator.isQueued(request->key))
                socket->send(SlotQueued {request->key, allocator.ahead(request->key),
                                         allocator.isServerDown()},
                             sender);
            return;
        }
        if (const auto *release = std::get_if<SlotRelease>(&message)) {
            allocator.release(release->key, release->unused);
            if (release->serverDown)
                allocator.serverRefused(release->key, now);
            else if (!release->unused)
                allocator.serverResponded(release->key);
        } else if (const auto *renewal = std::get_if<SlotRenewal>(&message)) {
            trackGateway(renewal->gateway, sender, now);
            allocator.renew(renewal->gateway, renewal->sequences, now);
            socket->send(AgentPresent {renewal->gateway}, sender);
        }
        sendGrants(now);
    }

    void trackGateway(std::uint64_t gateway, const Endpoint &sender, Instant now)
    {
        const auto [it, added] = gateways.try_emplace(gateway);
        it->second = {sender, now, !added};
        if (!added)
            return;
        if (const auto more = gatewayLog.admit(now))
            EventLog("gateway_heard")
                    .field("address", sender.address().to_string())
                    .field("more", *more);
        std::erase_if(gateways, [&](const auto &other) {
            return other.second.lastMessageAt + gatewayRetention <= now;
        });
        if (gateways.size() <= gatewayLimit)
            return;
        const auto least = [](const auto &a, const auto &b) {
            return std::pair(a.second.heardAgain, a.second.lastMessageAt)
                    < std::pair(b.second.heardAgain, b.second.lastMessageAt);
        };
        gateways.erase(std::min_element(gateways.begin(), gateways.end(), least));
    }

    // Sends the grants that are due.
    void sendGrants(Instant now)
    {
        for (const SlotKey &key : allocator.advance(now)) {
            const auto gateway = gateways.find(key.gateway);
            if (gateway == gateways.end())
                continue;
            grantCounter.add();
            socket->send(SlotGranted {key}, gateway->second.endpoint);
        }
        if (allocator.waiting() > 0 && !allocatorCheckScheduled)
            scheduleAllocatorCheck();
    }

    void scheduleAllocatorCheck()
    {
        allocatorCheckScheduled = true;
        timer.expires_after(allocatorCheckInterval);
        timer.async_wait([this](auto ec) {
            allocatorCheckScheduled = false;
            if (!ec)
                sendGrants(monotonicNow());
        });
    }

    AdmissionAgentSettings settings;
    asio::io_context context;
    Metrics metrics;
    SlotAllocator allocator;
    std::shared_ptr<detail::AdmissionSocket> socket;
    AdminServer admin;
    DaemonSignals signals;
    asio::steady_timer timer;
    Counter &grantCounter;
    Counter &slotRequestCounter;
    std::map<std::uint64_t, Gateway> gateways; // by incarnation
    LogThrottle gatewayLog {5, 60};
    bool allocatorCheckScheduled = false;
};

AdmissionAgent::AdmissionAgent(const AdmissionAgentSettings &settings)
    : d(std::make_unique<Private>(settings))
{ }

AdmissionAgent::~AdmissionAgent() = default;

std::optional<std::string> AdmissionAgent::start()
{
    if (auto problem = d->socket->open(d->settings.address, d->settings.port))
        return problem;
    if (d->settings.metricsPort != 0) {
        if (auto problem = d->admin.listen(d->settings.address, d->settings.metricsPort))
            return problem;
    }
    EventLog("started")
            .field("agent", d->settings.name)
            .field("address", d->settings.address)
            .field("port", d->settings.port);
    return std::nullopt;
}

DaemonExitStatus AdmissionAgent::run()
{
    runHandlers(d->context, "main");
    d->socket->close();
    EventLog("stopped").field("agent", d->settings.name);
    return DaemonExitStatus::Success;
}

} // namespace cornelshed
