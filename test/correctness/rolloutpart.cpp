// Guards against a rollout that stops when the daemon holding its lease fails, a rollback that is
// delayed while the table is down, and operators who are notified twice or never.

#include "rolloutpart.h"
#include "burnpart.h"
#include "burnreport.h"
#include "faketable.h"
#include "rolloutrecords.h"
#include "statechartfile.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>
#include <chrono>

using namespace cornelshed;
using cornelshed::testing::FakeControlPartHost;
using cornelshed::testing::FakeTable;

namespace {

StateChart loadChart(const std::string &name)
{
    return std::get<StateChart>(readStateChart(CORNELSHED_SOURCE_DIR "/charts/" + name + ".toml"));
}

std::shared_ptr<const Configuration> configuration(std::chrono::seconds deadline)
{
    const auto epoch = std::chrono::duration_cast<std::chrono::seconds>(
            std::chrono::system_clock::now().time_since_epoch());
    auto result = std::make_shared<Configuration>();
    result->version = 1;
    result->rollouts = {
            {"r1", "writers", "v1", "v2", {"/v1/completions"}, (epoch + deadline).count(), 0.05}};
    return result;
}

// The rollout parts of two entry daemons that share one table.
class EntryPair
{
public:
    EntryPair()
    {
        for (std::size_t n = 0; n < 2; ++n) {
            hosts[n].peerNames = {"entry-" + std::to_string(1 - n)};
            hosts[n].deliver = [this, n](const std::string &, const std::string &payload) {
                if (alive[1 - n])
                    parts[1 - n]->messageReceived("entry", payload, hosts[1 - n].time);
            };
            RolloutPartSettings settings;
            settings.entryName = "entry-" + std::to_string(n);
            settings.entryIncarnation = n + 1;
            parts[n] =
                    makeRolloutPart(hosts[n], settings, loadChart("rollout"), loadChart("lease"));
            parts[n]->configurationInstalled(configuration(std::chrono::minutes(10)),
                                             hosts[n].time);
        }
    }

    // Advances the clock and records answers of both versions. If newVersionFails, all answers of
    // the new version at the first daemon are failures; the second daemon sees no failures itself
    // and has to learn of them from the first.
    void run(Duration duration, bool newVersionFails)
    {
        const Instant end = hosts[0].time + duration;
        while (hosts[0].time < end) {
            for (std::size_t n = 0; n < 2; ++n) {
                hosts[n].time += std::chrono::milliseconds(100);
                if (!alive[n])
                    continue;
                recordAnswers(n, newVersionFails && n == 0);
                parts[n]->wake(hosts[n].time);
            }
        }
    }

    RoutingView::VersionShare share(std::size_t n) const
    {
        RoutingView view;
        parts[n]->addToView(view);
        return view.versionShares.at(0);
    }

    FakeTable table;
    std::array<FakeControlPartHost, 2> hosts {FakeControlPartHost(table, 1),
                                              FakeControlPartHost(table, 2)};
    std::array<std::unique_ptr<ControlPart>, 2> parts;
    std::array<bool, 2> alive {true, true};

private:
    void recordAnswers(std::size_t n, bool newVersionFails)
    {
        ReportOutcome outcome;
        outcome.route = "/v1/completions";
        outcome.usage.promptTokens = 100;
        outcome.usage.outputTokens = 100;
        outcome.usage.totalTime = std::chrono::seconds(2);
        outcome.inTime = true;
        for (const char *version : {"v1", "v2"}) {
            outcome.version = version;
            outcome.failed = newVersionFails && outcome.version == "v2";
            if (outcome.version == "v1" || share(n).share > 0)
                parts[n]->outcomeRecorded(outcome, hosts[n].time);
        }
    }
};

// Printable ASCII, as names in a configuration are; JSON text must be UTF-8.
std::string arbitraryPrintableText()
{
    return *rc::gen::container<std::string>(rc::gen::inRange<char>(' ', 127));
}

Evidence arbitraryEvidence()
{
    Evidence evidence;
    const int count = *rc::gen::inRange(0, 4);
    for (int n = 0; n < count; ++n) {
        VersionCounts counts;
        counts.failures = *rc::gen::inRange<std::uint64_t>(0, 50);
        counts.answers = counts.failures + *rc::gen::inRange<std::uint64_t>(0, 1000);
        counts.slowness[*rc::gen::inRange<std::size_t>(0, slownessBucketCount)] = 3;
        evidence[{arbitraryPrintableText(), "entry-1", "/a", n % 2 == 0}] = counts;
    }
    return evidence;
}

} // namespace

TEST_CASE("a rollout of a good version completes and operators are notified once")
{
    EntryPair pair;
    pair.run(std::chrono::minutes(11), false);
    CHECK(pair.share(0).share == 1);
    CHECK(pair.share(1).share == 1);
    REQUIRE(pair.table.rows.count("event/rollout/r1") == 1);
    CHECK(pair.table.rows["event/rollout/r1"].value.find("\"done\"") != std::string::npos);
}

TEST_CASE("another entry daemon continues the rollout when the lease holder fails")
{
    EntryPair pair;
    pair.run(std::chrono::seconds(20), false);
    pair.alive[0] = false;
    pair.run(std::chrono::minutes(11), false);
    CHECK(pair.share(1).share == 1);
}

TEST_CASE("a rollback takes effect at both daemons within 2 s while the table is down")
{
    EntryPair pair;
    pair.run(std::chrono::seconds(20), false);
    REQUIRE(pair.share(0).share > 0);
    REQUIRE(pair.share(1).share > 0);
    pair.table.down = true;
    const auto rolledBack = [&](std::size_t n) { return pair.share(n).rolledBack; };
    for (int n = 0; n < 100 && !rolledBack(0); ++n)
        pair.run(std::chrono::milliseconds(100), true);
    REQUIRE(rolledBack(0));
    pair.run(std::chrono::seconds(2), true);
    CHECK(rolledBack(1));
    CHECK(pair.table.rows.count("event/rollout/r1") == 0);
    pair.table.down = false;
    pair.run(std::chrono::seconds(10), false);
    CHECK(pair.table.rows["rollout/r1"].value.find("rolled_back") != std::string::npos);
    const std::uint64_t version = pair.table.rows.at("event/rollout/r1").version;
    pair.run(std::chrono::seconds(60), false);
    CHECK(pair.table.rows.at("event/rollout/r1").version == version);
}

TEST_CASE("the fencing number of a lease does not change while its holder renews it")
{
    EntryPair pair;
    pair.run(std::chrono::minutes(2), false);
    const TableRow row = pair.table.rows.at("lease/moves");
    const auto lease = parseLeaseRow(row.value, row.version);
    REQUIRE(lease.has_value());
    CHECK(lease->fencing == 1);
    CHECK(lease->renewals >= 30);
}

TEST_CASE("a rollout does not advance while the table is down, and reading settles lost answers")
{
    EntryPair pair;
    pair.table.down = true;
    pair.run(std::chrono::minutes(1), false);
    CHECK(pair.share(0).share == 0);
    pair.table.down = false;
    pair.table.failAfterCommit = true;
    pair.run(std::chrono::minutes(1), false);
    // The writes take effect although their answers are lost; the daemons see them when they read
    // the rows.
    CHECK(pair.share(0).share == doctest::Approx(0.05));
}

TEST_CASE("formatted rollout messages parse to the same values, and malformed ones are rejected")
{
    CHECK(rc::check([] {
        RolloutGossip gossip;
        gossip.progress["r1"] = {*rc::gen::inRange<std::uint32_t>(0, 5), RolloutEnd::RolledBack,
                                 arbitraryPrintableText()};
        gossip.evidence = arbitraryEvidence();
        RC_ASSERT(parseGossip(formatGossip(gossip)) == gossip);
        const std::string text = formatGossip(gossip);
        const auto truncated = text.substr(0, *rc::gen::inRange<std::size_t>(0, text.size()));
        RC_ASSERT(!parseGossip(truncated).has_value());
    }));
    CHECK_FALSE(parseProgress(R"({"stage":-1,"end":"open","reason":""})").has_value());
    CHECK_FALSE(parseProgress(R"({"stage":1,"end":"ajar","reason":""})").has_value());
}

TEST_CASE("ended requests are counted in the burn row under the names of their tiers")
{
    FakeTable table;
    FakeControlPartHost host(table, 1);
    const auto part = makeBurnPart(host, "entry-1");
    auto settings = std::make_shared<Configuration>();
    settings->tiers = {{"gold", 0, 0}};
    part->configurationInstalled(settings, host.time);
    part->requestEnded({"shop", 0, true}, host.time);
    part->requestEnded({"shop", 0, false}, host.time);
    part->wake(host.time + std::chrono::minutes(1));
    const auto lines = parseBurnRow(table.rows.at("burn/entry-1").value);
    REQUIRE(lines.has_value());
    CAPTURE(table.rows.at("burn/entry-1").value);
    REQUIRE(lines->size() == 4);
    CHECK(lines->front() == BurnLine {300, "gold", "shop", 1, 1});
}
