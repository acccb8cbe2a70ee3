// Guards against requests that run twice, are answered with another's or a truncated answer, are
// falsely reported as not run, or vanish without a report when a process is killed under load. The
// platform is not killed: it is outside of the system, and its table is durable.
//
// CORNELSHED_KILL_MOMENTS sets the number of kills (8 by default), CORNELSHED_KILL_SEED the seed:
//     CORNELSHED_KILL_MOMENTS=200 build/test_error_killedprocess

#include "loadedcluster.h"

#include <doctest/doctest.h>

#include <array>
#include <cstdlib>
#include <random>

using namespace cornelshed::demo;
using cornelshed::load::Outcome;

namespace {

constexpr std::array<MemberKind, 5> victimKinds {MemberKind::EngineAgent, MemberKind::Entry,
                                                 MemberKind::Engine, MemberKind::ServiceAgent,
                                                 MemberKind::Service};

std::uint64_t parameter(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

std::string chooseVictim(const Cluster &cluster, MemberKind kind, std::mt19937_64 &random)
{
    const std::vector<std::string> names = cluster.names(kind);
    return names[std::uniform_int_distribution<std::size_t>(0, names.size() - 1)(random)];
}

} // namespace

TEST_CASE("kill -9 of any process under load breaks no promise to callers")
{
    const std::uint64_t momentCount = parameter("CORNELSHED_KILL_MOMENTS", 8);
    const std::uint64_t seed = parameter("CORNELSHED_KILL_SEED", 1);
    std::mt19937_64 random(seed);
    ClusterOptions options;
    options.binaries = CORNELSHED_BINARY_DIR;
    options.source = CORNELSHED_SOURCE_DIR;
    options.zoneCount = 3;
    options.enginesPerZone = 1;
    options.serviceDelayMs = 100; // some orders run whenever a process dies
    // Longer than all moments together take; the rest is not sent.
    auto day = clusterDay(seed, 60.0 + 4.0 * static_cast<double>(momentCount), 60);
    day.orderShare = 0.3;
    day.startHour = 17; // long requests, so that many run when a process dies
    LoadedCluster loaded(options, cornelshed::load::generateDay(day));
    Cluster &cluster = loaded.cluster();
    for (std::uint64_t n = 0; n < momentCount; ++n) {
        const std::uint64_t pause = std::uniform_int_distribution<std::uint64_t>(5, 25)(random);
        loaded.waitForEnded(loaded.endedCount() + pause);
        const std::string victim = chooseVictim(cluster, victimKinds[n % 5], random);
        INFO("moment " << n << " kills " << victim);
        cluster.kill(victim);
        // Requests meet the gap before the process is back.
        loaded.waitForEnded(loaded.endedCount() + 5);
        cluster.restart(victim);
        cluster.waitUntilServing();
    }
    const cornelshed::load::Tally tally = loaded.finish(false);
    MESSAGE(tally.toTable());
    CHECK(tally.audited);
    CHECK(tally.violationCount() == 0);
    CHECK(tally.total(Outcome::InTime) > 0);
    CHECK(tally.total(Outcome::Rejected) == 0);
    for (const auto &it : cluster.stopAll()) {
        INFO(it.first);
        CHECK(it.second == 0);
    }
}
