// DeploymentWatcher must not go back to an older configuration, apply an unreadable row or publish
// a state before the list of the other gateways has been read, and must not miss changes when the
// store has discarded its change history.

#include "deploymentwatcher.h"
#include "inmemoryrowstore.h"
#include "monotonicclock.h"
#include "platformrows.h"

#include <boost/asio/io_context.hpp>

#include <doctest/doctest.h>

#include <map>

using namespace cornelshed;
using namespace cornelshed::testing;
using namespace std::chrono_literals;

namespace {

std::string configurationRow(int version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})";
}

std::string serverRow(const std::string &state, const std::string &address = "10.0.0.9:80")
{
    return R"({"service":"w","address":")" + address
            + R"(","zone":"a","version":"v1","slots":6,"state":")" + state + "\"}";
}

class Fixture
{
public:
    Fixture()
        : rows(context),
          watcher(context, rows, codec, {20ms, 20ms, 20ms, 5ms},
                  {[this](std::shared_ptr<const DeploymentState> it) { state = std::move(it); },
                   [this](RowTable table, const ReadProof &proof) { proofs[table] = proof; },
                   [this](RowTable table) { return proofs[table].sentAt; },
                   [](const char * /*outcome*/) {}, [this](std::uint64_t it) { era = it; }})
    {
        rows.set(RowTable::Orders, "config", configurationRow(3));
        rows.set(RowTable::Backends, "i-1", serverRow("ready"));
    }

    void run(Duration duration)
    {
        context.restart();
        context.run_for(duration);
    }

    std::uint64_t version() const
    {
        return state && state->routes ? state->routes->content().version : 0;
    }

    boost::asio::io_context context;
    InMemoryRowStore rows;
    PlatformRows codec;
    std::shared_ptr<const DeploymentState> state;
    std::map<RowTable, ReadProof> proofs;
    std::uint64_t era = 0; // latest one stated by the store
    DeploymentWatcher watcher;
};

} // namespace

TEST_CASE("no state is published before the list of gateways has been read")
{
    Fixture fixture;
    fixture.rows.failingTables = {RowTable::Gateways};
    fixture.watcher.start({"g", "10.0.0.1", 7600});
    fixture.run(60ms);
    CHECK(fixture.state == nullptr);
    fixture.rows.failingTables.clear();
    fixture.run(60ms);
    REQUIRE(fixture.state != nullptr);
    CHECK(fixture.version() == 3);
    CHECK(fixture.state->backends.size() == 1);
    CHECK(fixture.state->gateways.size() == 1);
}

TEST_CASE("an older configuration and unreadable rows are ignored")
{
    Fixture fixture;
    fixture.watcher.start({"g", "10.0.0.1", 7600});
    fixture.run(60ms);
    fixture.rows.set(RowTable::Orders, "config", configurationRow(9));
    fixture.run(60ms);
    CHECK(fixture.version() == 9);
    fixture.rows.set(RowTable::Orders, "config", configurationRow(5));
    fixture.rows.set(RowTable::Backends, "i-2", "{\"service\":7}");
    fixture.run(60ms);
    fixture.rows.set(RowTable::Orders, "config", "garbage");
    fixture.run(60ms);
    CHECK(fixture.version() == 9);
    CHECK(fixture.state->backends.size() == 1);
}

TEST_CASE("an evacuation row withdraws its zone until it is removed")
{
    Fixture fixture;
    fixture.watcher.start({"g", "10.0.0.1", 7600});
    fixture.rows.set(RowTable::Orders, "evacuate/zone-a", "{}");
    fixture.run(60ms);
    CHECK(fixture.state->withdrawnZones == std::set<std::string> {"zone-a"});
    fixture.rows.erase(RowTable::Orders, "evacuate/zone-a");
    fixture.run(60ms);
    CHECK(fixture.state->withdrawnZones.empty());
}

TEST_CASE("changes are not missed when the change history is lost")
{
    Fixture fixture;
    fixture.watcher.start({"g", "10.0.0.1", 7600});
    fixture.run(60ms);
    fixture.rows.set(RowTable::Backends, "i-1", serverRow("draining"));
    fixture.rows.set(RowTable::Orders, "config", configurationRow(4));
    fixture.rows.oldestReadableVersion = fixture.rows.version() + 1;
    fixture.run(60ms);
    CHECK(fixture.version() == 4);
    REQUIRE(fixture.state->backends.size() == 1);
    CHECK(fixture.state->backends[0].draining);
}

TEST_CASE("a peer's proof postpones the next read, and readNow() reads at once")
{
    Fixture fixture;
    fixture.watcher.start({"g", "10.0.0.1", 7600});
    fixture.run(60ms);
    const int before = fixture.rows.changeReadCounts[RowTable::Orders];
    for (int i = 0; i < 10; ++i) {
        fixture.proofs[RowTable::Orders].sentAt = timeSinceBoot(); // as if reported by peers
        fixture.run(8ms);
    }
    CHECK(fixture.rows.changeReadCounts[RowTable::Orders] <= before + 2);
    fixture.rows.set(RowTable::Orders, "config", configurationRow(8));
    fixture.proofs[RowTable::Orders].sentAt = timeSinceBoot() + 1h;
    fixture.watcher.readChangesNow(RowTable::Orders);
    fixture.run(5ms);
    CHECK(fixture.version() == 8);
}

TEST_CASE("a snapshot read after a removal is no proof for peers that have not read the removal")
{
    Fixture early;
    early.rows.set(RowTable::Backends, "i-2", serverRow("ready"));
    early.watcher.start({"g", "10.0.0.1", 7600});
    early.run(60ms);
    const StorePosition appliedBefore = early.proofs[RowTable::Backends].appliedUpTo;

    Fixture late;
    late.rows.set(RowTable::Backends, "i-2", serverRow("ready"));
    for (const RowTable it : {RowTable::Backends, RowTable::Orders})
        late.rows.erase(it, it == RowTable::Backends ? "i-2" : "evacuate/zone-a");
    REQUIRE(late.rows.version() > appliedBefore.version);
    late.watcher.start({"h", "10.0.0.2", 7600});
    late.run(60ms);
    CHECK(late.proofs[RowTable::Backends].lastChange > appliedBefore);
    CHECK(late.proofs[RowTable::Orders].lastChange > appliedBefore);
}

TEST_CASE("a removal in the grace period after an outage is a change that peers must read")
{
    Fixture fixture;
    fixture.watcher.start({"g", "10.0.0.1", 7600});
    fixture.run(60ms);
    fixture.rows.failingTables = {RowTable::Orders, RowTable::Backends, RowTable::Gateways};
    fixture.run(1700ms); // the store counts as lost after 1.5 s
    fixture.rows.failingTables.clear();
    fixture.run(60ms);
    fixture.rows.erase(RowTable::Backends, "i-1");
    fixture.run(60ms);
    CHECK(fixture.state->backends.size() == 1); // kept for the grace period
    CHECK(fixture.proofs[RowTable::Backends].lastChange.version == fixture.rows.version());
}

// Guards against a server that left and is still used because this gateway, whose peers read the
// store for it, took its first failed call for an outage.
TEST_CASE("rows that disappear while this gateway alone is cut off from the store are dropped at "
          "once")
{
    const auto allTables = {RowTable::Orders, RowTable::Backends, RowTable::Gateways};
    Fixture fixture;
    fixture.watcher.start({"g", "10.0.0.1", 7600});
    fixture.run(60ms);
    REQUIRE(fixture.state->backends.size() == 1);
    for (int i = 0; i < 200; ++i) {
        for (const RowTable it : allTables)
            fixture.proofs[it].sentAt = timeSinceBoot(); // as if reported by peers
        fixture.run(8ms);
    }
    fixture.rows.failingTables = allTables;
    fixture.run(100ms); // calls fail
    fixture.rows.erase(RowTable::Backends, "i-1");
    fixture.rows.failingTables.clear();
    fixture.run(60ms);
    CHECK(fixture.state->backends.empty());
}

TEST_CASE("gateways that a snapshot no longer lists are dropped after the change history was lost")
{
    Fixture fixture;
    fixture.rows.set(RowTable::Gateways, "other", fixture.codec.encodeGateway({"other", "::1", 7}));
    fixture.watcher.start({"self", "127.0.0.1", 9});
    fixture.run(60ms);
    REQUIRE(fixture.state);
    CHECK(fixture.state->gateways.size() == 2);
    fixture.rows.erase(RowTable::Gateways, "other");
    fixture.rows.oldestReadableVersion = fixture.rows.version();
    fixture.run(60ms);
    REQUIRE(fixture.state->gateways.size() == 1);
    CHECK(fixture.state->gateways[0].name == "self");
}

TEST_CASE("a restarted gateway whose row is still in the store does not write it again")
{
    Fixture fixture;
    const GatewayRecord self {"self", "127.0.0.1", 9};
    fixture.rows.set(RowTable::Gateways, "self", fixture.codec.encodeGateway(self));
    const auto version = fixture.rows.version();
    fixture.watcher.start(self);
    fixture.run(60ms);
    CHECK(fixture.rows.version() == version);
    fixture.rows.erase(RowTable::Gateways, "self");
    fixture.run(60ms);
    CHECK(fixture.rows.version() > version + 1); // written again, as it was removed
}

TEST_CASE("many rows change at once: peers' reports cause few reads")
{
    Fixture fixture;
    fixture.watcher.start({"self", "127.0.0.1", 9});
    fixture.run(60ms);
    fixture.watcher.setReadPacing(10s, 100ms);
    fixture.run(60ms);
    const int before = fixture.rows.changeReadCounts[RowTable::Backends];
    for (int i = 0; i < 50; ++i) {
        fixture.rows.set(RowTable::Backends, "i-" + std::to_string(i),
                         serverRow("ready", "10.0.0.9:" + std::to_string(100 + i)));
        fixture.watcher.readChangesNow(RowTable::Backends);
        fixture.run(5ms);
    }
    fixture.run(150ms);
    const int reads = fixture.rows.changeReadCounts[RowTable::Backends] - before;
    CHECK(reads >= 2);
    CHECK(reads <= 5);
    CHECK(fixture.state->backends.size() >= 50);
}

TEST_CASE("readNow() does not shorten the retry delay while the store rejects calls")
{
    Fixture fixture;
    fixture.watcher.start({"g", "10.0.0.1", 7600});
    fixture.run(60ms);
    fixture.rows.failingTables = {RowTable::Orders};
    fixture.run(60ms);
    const int before = fixture.rows.changeReadCounts[RowTable::Orders];
    for (int i = 0; i < 100; ++i) {
        fixture.watcher.readChangesNow(RowTable::Orders);
        fixture.run(1ms);
    }
    // The retry interval of this fixture is 5 ms and doubles up to twice.
    CHECK(fixture.rows.changeReadCounts[RowTable::Orders] <= before + 8);
    fixture.rows.failingTables.clear();
    fixture.rows.set(RowTable::Orders, "config", configurationRow(12));
    fixture.run(60ms);
    CHECK(fixture.version() == 12);
}

TEST_CASE("a rollout status is written conditionally and read back; other rows are ignored")
{
    Fixture fixture;
    fixture.watcher.start({"g", "10.0.0.1", 7600});
    fixture.run(60ms);
    CHECK_FALSE(fixture.state->rolloutStatuses);
    CHECK(fixture.rows.changeReadCounts[RowTable::Statuses] == 0);
    fixture.rows.set(RowTable::Statuses, "other", "{}");
    fixture.rows.set(RowTable::Orders, "rollout/w", R"({"service":"w","to":"v2","duration_s":5})");
    const std::uint64_t orderVersion = fixture.rows.version();
    fixture.run(60ms);
    REQUIRE(fixture.state->rollouts.size() == 1);
    CHECK(fixture.state->rollouts[0].position.version == orderVersion);
    REQUIRE(fixture.state->rolloutStatuses);
    CHECK(fixture.state->rolloutStatuses->empty());

    RolloutStatus status {"w", "v2", RolloutState::Completed, {}};
    fixture.watcher.writeStatus(status);
    fixture.run(60ms);
    REQUIRE(fixture.state->rolloutStatuses->size() == 1);
    CHECK(fixture.state->rolloutStatuses->front().state == RolloutState::Completed);
    CHECK(fixture.state->rolloutStatuses->front().position.version > orderVersion);
    // A gateway that assumes that the row does not exist yet must not overwrite it.
    status.state = RolloutState::RolledBack;
    fixture.watcher.writeStatus(status);
    fixture.run(60ms);
    CHECK(fixture.state->rolloutStatuses->front().state == RolloutState::Completed);
}

TEST_CASE("heartbeats of backend servers are not changes that peers must read")
{
    Fixture fixture;
    fixture.watcher.start({"g", "10.0.0.1", 7600});
    fixture.run(60ms);
    const StorePosition change = fixture.proofs[RowTable::Backends].lastChange;
    fixture.rows.set(RowTable::Backends, "i-1", serverRow("ready"));
    fixture.run(60ms);
    CHECK(fixture.proofs[RowTable::Backends].lastChange == change);
    CHECK(fixture.proofs[RowTable::Backends].appliedUpTo.version == fixture.rows.version());
    fixture.rows.set(RowTable::Backends, "i-1", serverRow("draining"));
    fixture.run(60ms);
    CHECK(fixture.proofs[RowTable::Backends].lastChange.version == fixture.rows.version());
}
