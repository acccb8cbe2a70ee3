// Guards against faults when a process is killed under load: requests that run twice, get another
// request's answer or a truncated one, are falsely reported as not run, or are lost without a
// report. The platform is not killed, because it is not part of the system and its table is
// durable.
//
// CORNELSHED_KILL_MOMENTS sets the number of kills (default 8), CORNELSHED_KILL_SEED the seed of
// the load and of the choice of processes (default 1):
//     CORNELSHED_KILL_MOMENTS=200 build/test_error_killedprocess

#include "loadedcluster.h"

#include <doctest/doctest.h>

#include <array>
#include <cstdlib>
#include <random>

using namespace cornelshed::demo;
using cornelshed::load::Outcome;

namespace {

constexpr std::array<MemberKind, 5> killedKinds {MemberKind::EngineAgent, MemberKind::Entry,
                                                 MemberKind::Engine, MemberKind::ServiceAgent,
                                                 MemberKind::Service};

std::uint64_t environmentNumber(const char *name, std::uint64_t defaultValue)
{
    const char *text = std::getenv(name);
    return text == nullptr ? defaultValue : std::strtoull(text, nullptr, 10);
}

std::string chooseProcess(const Cluster &cluster, MemberKind kind, std::mt19937_64 &random)
{
    const std::vector<std::string> names = cluster.memberNames(kind);
    return names[std::uniform_int_distribution<std::size_t>(0, names.size() - 1)(random)];
}

} // namespace

TEST_CASE("kill -9 of any process but the platform under load breaks no guarantee to callers")
{
    const std::uint64_t killCount = environmentNumber("CORNELSHED_KILL_MOMENTS", 8);
    const std::uint64_t seed = environmentNumber("CORNELSHED_KILL_SEED", 1);
    std::mt19937_64 random(seed);
    ClusterOptions options;
    options.binaryFolder = CORNELSHED_BINARY_DIR;
    options.sourceFolder = CORNELSHED_SOURCE_DIR;
    options.zoneCount = 3;
    options.enginesPerZone = 1;
    options.serviceDelayMs = 100; // long enough that some orders run whenever a process is killed
    // The day is longer than all kills and restarts take; the rest of it is not sent.
    auto day = clusterDayOptions(seed, 60.0 + 4.0 * static_cast<double>(killCount), 60);
    day.orderShare = 0.3;
    day.startHour = 17; // mostly long requests, so that many run when a process is killed
    LoadedCluster loaded(options, cornelshed::load::generateDay(day));
    Cluster &cluster = loaded.cluster();
    for (std::uint64_t n = 0; n < killCount; ++n) {
        const std::uint64_t requestsBeforeKill =
                std::uniform_int_distribution<std::uint64_t>(5, 25)(random);
        loaded.waitForEnded(loaded.endedCount() + requestsBeforeKill);
        const std::string killed = chooseProcess(cluster, killedKinds[n % 5], random);
        INFO("kill " << n << " of " << killed);
        cluster.kill(killed);
        // Some requests end while the process is absent.
        loaded.waitForEnded(loaded.endedCount() + 5);
        cluster.restart(killed);
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
