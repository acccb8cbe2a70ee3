// Guards against a bad version that exceeds its exposure limit or is promoted, a good version that
// is not completed in time, an end that is recorded twice or ignored by a gateway that starts
// later, and the old version's servers being stopped while they still process requests.

#include "gatewayrollouts.h"
#include "statechartfile.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>

using namespace cornelshed;
using namespace std::chrono_literals;

namespace {

const Instant start {1h};
constexpr std::uint64_t orderRowVersion = 40;

StateChart rolloutChart()
{
    return std::get<StateChart>(readStateChart(CORNELSHED_SOURCE_DIR "/charts/rollout.toml"));
}

RolloutOrder makeOrder(Duration duration)
{
    return {"writer", "v2", duration, {1, orderRowVersion}, {1, orderRowVersion}};
}

struct VersionModel
{
    double failureShare = 0; // of its answers
    Duration responseTime = 120ms;
    Instant badSince = start; // behaves like a good version before
};

struct FleetSettings
{
    std::size_t gateways = 4;
    double requestsPerSecond = 60; // over all gateways, on two routes
    Duration duration = 12s;
    Duration oldResponseTime = 120ms; // of the old version and of a good new one
    VersionModel newVersion;
    std::uint64_t seed = 1;
    bool requestsEnd = true;                  // false: no request ever ends
    std::optional<Duration> leaderFailsAfter; // the first gateway stops after this time
};

// Simulates gateways that report to each other every 200 ms and share a status row.
class Fleet
{
public:
    explicit Fleet(const FleetSettings &fleetSettings)
        : settings(fleetSettings), m_random(fleetSettings.seed)
    {
        for (std::size_t i = 0; i < settings.gateways; ++i)
            addGateway();
    }

    GatewayRollouts &addGateway()
    {
        const std::string name = "g-" + std::to_string(gateways.size());
        gateways.push_back(
                std::make_unique<GatewayRollouts>(rolloutChart(), GatewayRolloutSettings {name}));
        BackendRecord oldServer;
        oldServer.service = "writer";
        oldServer.version = "v1";
        BackendRecord newServer = oldServer;
        newServer.version = "v2";
        gateways.back()->setBackends({oldServer, newServer});
        return *gateways.back();
    }

    void run()
    {
        for (Duration at = 0ms; at <= settings.duration; at += 10ms) {
            const Instant now = start + at;
            const std::size_t first =
                    settings.leaderFailsAfter && at >= *settings.leaderFailsAfter ? 1 : 0;
            for (std::size_t i = first; i < gateways.size(); ++i) {
                if (at % 1s == i * 10ms)
                    readRows(*gateways[i], now);
                gateways[i]->setGateways(static_cast<std::uint32_t>(settings.gateways),
                                         static_cast<std::uint32_t>(i - first));
                if (at % 200ms == i * 10ms)
                    report(i, now);
                if (at % 100ms == i * 10ms)
                    tick(*gateways[i], now);
                const double sendProbability =
                        settings.requestsPerSecond / 100 / static_cast<double>(settings.gateways);
                if (chance(sendProbability))
                    sendRequest(i, now);
            }
            endRequests(now);
        }
    }

    double allowedExposure() const { return 0.1 * requests + 50; }

    FleetSettings settings;
    std::vector<std::unique_ptr<GatewayRollouts>> gateways;
    int requests = 0;
    int exposed = 0;                // requests to the new version
    std::vector<RolloutState> ends; // in the order in which they were recorded
    Duration endedAt {};
    std::size_t oldRequestsRunningAtEnd = 0;

    void readRows(GatewayRollouts &gateway, Instant now) const
    {
        std::vector<RolloutStatus> statuses;
        if (m_status)
            statuses.push_back(*m_status);
        gateway.setOrders({makeOrder(settings.duration)}, statuses, now);
    }

private:
    struct Running
    {
        std::size_t gateway = 0;
        std::string route;
        bool isNew = false;
        Instant endsAt {};
    };

    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }

    void report(std::size_t sender, Instant now)
    {
        for (const RolloutReport &it : gateways[sender]->reports(now)) {
            for (std::size_t i = 0; i < gateways.size(); ++i) {
                if (i != sender)
                    gateways[i]->mergePeerReport(it, now);
            }
        }
    }

    void tick(GatewayRollouts &gateway, Instant now)
    {
        const RolloutTick result = gateway.tick(
                [&](const std::string &, const std::string &) { return oldRequestsRunning() == 0; },
                now);
        for (RolloutStatus it : result.writes) {
            if (it.position.version != (m_status ? m_status->position.version : 0))
                continue; // the row was written by another gateway in the meantime
            it.position = {1, m_nextRowVersion++};
            m_status = it;
            if (it.state == RolloutState::Running)
                continue;
            ends.push_back(it.state);
            endedAt = now - start;
            oldRequestsRunningAtEnd = oldRequestsRunning();
        }
    }

    std::size_t oldRequestsRunning() const
    {
        return static_cast<std::size_t>(std::count_if(m_running.begin(), m_running.end(),
                                                      [](const auto &it) { return !it.isNew; }));
    }

    void sendRequest(std::size_t gateway, Instant now)
    {
        const std::string id = std::to_string(m_random());
        const VersionConstraint choice = gateways[gateway]->choose("writer", id, false, now);
        const bool isNew = choice.allows("v2") && !choice.allows("v1");
        ++requests;
        exposed += isNew ? 1 : 0;
        const bool bad = isNew && now >= settings.newVersion.badSince;
        const Duration responseTime =
                bad ? settings.newVersion.responseTime : settings.oldResponseTime;
        m_running.push_back({gateway, chance(0.5) ? "long" : "short", isNew, now + responseTime});
    }

    void endRequests(Instant now)
    {
        std::erase_if(m_running, [&](const Running &it) {
            if (!settings.requestsEnd || now < it.endsAt)
                return false;
            const bool bad = it.isNew && now >= settings.newVersion.badSince;
            const bool fails = bad && chance(settings.newVersion.failureShare);
            AttemptReport attempt {fails ? AttemptOutcome::Failed : AttemptOutcome::Answered,
                                   bad ? settings.newVersion.responseTime : Duration(120ms),
                                   {}};
            gateways[it.gateway]->recordOutcome(
                    {"writer", it.isNew ? "v2" : "v1", it.route, attempt, 300ms, 0, 0, false});
            return true;
        });
    }

    std::mt19937_64 m_random;
    std::vector<Running> m_running;
    std::optional<RolloutStatus> m_status;
    std::uint64_t m_nextRowVersion = orderRowVersion + 1;
};

using Ends = std::vector<RolloutState>;

} // namespace

TEST_CASE("a good version is completed once, in time, and after the old one's requests have ended")
{
    for (const Duration duration : {5s, 12s, 60s}) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            FleetSettings settings;
            settings.duration = duration;
            settings.seed = seed;
            Fleet fleet(settings);
            fleet.run();
            CAPTURE(duration / 1s);
            CAPTURE(seed);
            CHECK(fleet.ends == Ends {RolloutState::Completed});
            CHECK(fleet.oldRequestsRunningAtEnd == 0);
        }
    }
}

TEST_CASE("completion waits for long answers of the old version before its servers may stop")
{
    FleetSettings settings;
    settings.oldResponseTime = 2500ms; // longer than the observation time of the last stage
    Fleet fleet(settings);
    fleet.run();
    CHECK(fleet.ends == Ends {RolloutState::Completed});
    CHECK(fleet.oldRequestsRunningAtEnd == 0);
}

TEST_CASE("a bad version is rolled back once and stays within its exposure limit")
{
    std::vector<VersionModel> models {{0.4, 120ms, start},
                                      {0, 600ms, start},
                                      {0.5, 120ms, start + 2s}, // turns bad
                                      {1, 120ms, start}};
    for (const VersionModel &model : models) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            FleetSettings settings;
            settings.newVersion = model;
            settings.seed = seed;
            Fleet fleet(settings);
            fleet.run();
            CAPTURE(model.failureShare);
            CAPTURE(seed);
            CHECK(fleet.ends == Ends {RolloutState::RolledBack});
            CHECK(fleet.exposed <= fleet.allowedExposure());
        }
    }
}

TEST_CASE("property: an unproven version stays within its exposure limit for any traffic and size")
{
    CHECK(rc::check([] {
        FleetSettings settings;
        settings.gateways = *rc::gen::inRange<std::size_t>(1, 10);
        settings.requestsPerSecond = *rc::gen::inRange(5, 400);
        settings.duration = std::chrono::seconds(*rc::gen::inRange(3, 15));
        settings.seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
        settings.requestsEnd = false;
        Fleet fleet(settings);
        fleet.run();
        RC_ASSERT(fleet.exposed <= fleet.allowedExposure());
        RC_ASSERT(fleet.ends.size() <= 1);
    }));
}

TEST_CASE("if the gateway that takes the steps fails, the next one continues the rollout")
{
    FleetSettings settings;
    settings.leaderFailsAfter = 2s;
    Fleet fleet(settings);
    fleet.run();
    CHECK(fleet.ends == Ends {RolloutState::Completed});
}

TEST_CASE("a gateway that starts after the end applies the recorded state")
{
    FleetSettings bad;
    bad.newVersion.failureShare = 1;
    Fleet rolledBack(bad);
    rolledBack.run();
    REQUIRE(rolledBack.ends == Ends {RolloutState::RolledBack});
    GatewayRollouts &late = rolledBack.addGateway();
    const Instant now = start + bad.duration;
    const RolloutOrder order = makeOrder(bad.duration);
    late.setOrders({order}, std::nullopt, now); // the status has not been read yet
    CHECK_FALSE(late.choose("writer", "r", false, now).allows("v2"));
    rolledBack.readRows(late, now);
    for (int i = 0; i < 100; ++i)
        CHECK_FALSE(late.choose("writer", std::to_string(i), false, now).allows("v2"));

    Fleet completed(FleetSettings {});
    completed.run();
    REQUIRE(completed.ends == Ends {RolloutState::Completed});
    GatewayRollouts &joined = completed.addGateway();
    completed.readRows(joined, now);
    CHECK_FALSE(joined.choose("writer", "r", false, now).allows("v1"));
    CHECK(joined.choose("other", "r", false, now) == VersionConstraint {});
}

TEST_CASE("a recorded end overrides the gateway's own verdict and is never overwritten")
{
    const Duration duration = 12s;
    const RolloutOrder order = makeOrder(duration);
    for (const RolloutState recorded : {RolloutState::Completed, RolloutState::RolledBack}) {
        const bool completed = recorded == RolloutState::Completed;
        GatewayRollouts gateway(rolloutChart(), GatewayRolloutSettings {"g"});
        BackendRecord oldServer;
        oldServer.service = "writer";
        oldServer.version = "v1";
        BackendRecord newServer = oldServer;
        newServer.version = "v2";
        gateway.setBackends({oldServer, newServer});
        gateway.setOrders({order}, std::vector<RolloutStatus> {}, start);
        // A peer reports the opposite of the recorded end.
        const RolloutEnd reported = completed ? RolloutEnd::RolledBack : RolloutEnd::Done;
        gateway.mergePeerReport({"writer/v2#1.40", 10s, {2, reported, "told"}, {}}, start + 1s);
        const RolloutStatus row {"writer", "v2", recorded, {1, orderRowVersion + 5}};
        gateway.setOrders({order}, std::vector<RolloutStatus> {row}, start + 1s);
        for (Duration at = 1s; at < duration; at += 100ms) {
            const auto idle = [](const std::string &, const std::string &) { return true; };
            CHECK(gateway.tick(idle, start + at).writes.empty());
        }
        const VersionConstraint choice = gateway.choose("writer", "r", false, start + duration);
        CHECK(choice.allows("v2") == completed);
        CHECK(choice.allows("v1") == !completed);
    }
}

// Guards against an end that is lost or taken back when the store returns from a copy without it.
TEST_CASE("an end that the store has lost holds, and is written again once the order is")
{
    const Duration duration = 12s;
    const auto idle = [](const std::string &, const std::string &) { return true; };
    GatewayRollouts gateway(rolloutChart(), GatewayRolloutSettings {"g"});
    BackendRecord newServer; // the old ones have stopped
    newServer.service = "writer";
    newServer.version = "v2";
    gateway.setBackends({newServer});
    RolloutOrder order = makeOrder(duration);
    RolloutStatus row {"writer", "v2", RolloutState::Completed, {1, orderRowVersion + 5}};
    gateway.setOrders({order}, std::vector {row}, start);
    order.confirmed = false;
    const auto completes = [&](Instant now) {
        return !gateway.choose("writer", "r", false, now).allows("v1");
    };
    gateway.setOrders({order}, std::nullopt, start + 1s);
    CHECK(gateway.tick(idle, start + 1s).writes.empty());
    CHECK(completes(start + 1s));
    gateway.setOrders({order}, std::vector<RolloutStatus> {}, start + 2s);
    CHECK(gateway.tick(idle, start + 2s).writes.empty());
    CHECK(completes(start + 2s));
    order.confirmed = true;
    order.position = {2, 30};
    row = {"writer", "v2", RolloutState::Running, {2, 20}}; // of the copy
    gateway.setOrders({order}, std::vector {row}, start + 3s);
    row.state = RolloutState::Completed;
    CHECK(gateway.tick(idle, start + 3s).writes == std::vector {row});
    CHECK(completes(start + 3s));
    row.position = {2, 31};
    gateway.setOrders({order}, std::vector {row}, start + 5s);
    CHECK(gateway.tick(idle, start + 5s).writes.empty());
}

// Guards against a rollout of which gateways that start after a return know nothing.
TEST_CASE("gateways that read an order before and after a return take it for the same")
{
    GatewayRollouts before(rolloutChart(), GatewayRolloutSettings {"a"});
    GatewayRollouts after(rolloutChart(), GatewayRolloutSettings {"b"});
    RolloutOrder order = makeOrder(12s);
    order.position = {2, 3};
    before.setOrders({order}, std::vector<RolloutStatus> {}, start);
    before.mergePeerReport({"writer/v2#1.40", 8s, {2, RolloutEnd::Open, ""}, {}}, start);
    order.orderedAt = order.position;
    after.setOrders({order}, std::vector<RolloutStatus> {}, start);
    after.mergePeerReport(before.reports(start).front(), start);
    REQUIRE(after.reports(start).size() == 1);
    CHECK(after.reports(start)[0].progress.stage == 2);
    CHECK(after.reports(start)[0].remaining == 8s);
    // An order of the same era that is not known here is another one.
    after.mergePeerReport({"writer/v2#2.9", 1s, {0, RolloutEnd::RolledBack, ""}, {}}, start);
    CHECK(after.reports(start)[0].progress.end == RolloutEnd::Open);
}
