// Guards against a planned stop that interrupts requests: while daemons are stopped with SIGTERM
// and started again under load, no request may end broken, unknown or lost.

#include "loadedcluster.h"

#include <doctest/doctest.h>

using namespace cornelshed::demo;
using cornelshed::load::Outcome;

TEST_CASE("SIGTERM to each kind of daemon under load interrupts no request")
{
    ClusterOptions options;
    options.binaryFolder = CORNELSHED_BINARY_DIR;
    options.sourceFolder = CORNELSHED_SOURCE_DIR;
    options.enginesPerZone = 1;
    options.shutdownTimeoutMs = 30000;
    // The low rate and the long deadline keep requests from missing their deadline on a busy
    // machine: a request that exceeds its deadline while it runs also ends as unknown.
    auto day = clusterDayOptions(3, 120, 35);
    day.deadlineMs = 30000;
    day.orderShare = 0.2;
    day.startHour = 17; // mostly long requests, so that many run when a daemon is stopped
    LoadedCluster loaded(options, cornelshed::load::generateDay(day));
    Cluster &cluster = loaded.cluster();
    for (const MemberKind kind :
         {MemberKind::Entry, MemberKind::EngineAgent, MemberKind::ServiceAgent}) {
        const std::string name = cluster.memberNames(kind).front();
        INFO(name);
        loaded.waitForEnded(loaded.endedCount() + 40);
        CHECK(cluster.stop(name) == 0);
        loaded.waitForEnded(loaded.endedCount() + 20);
        cluster.restart(name);
        cluster.waitUntilServing();
    }
    const cornelshed::load::Tally tally = loaded.finish(false);
    MESSAGE(tally.toTable());
    CHECK(tally.violationCount() == 0);
    CHECK(tally.total(Outcome::Broken) == 0);
    CHECK(tally.total(Outcome::Unknown) == 0);
    CHECK(tally.total(Outcome::ServerError) == 0);
    CHECK(tally.total(Outcome::Rejected) == 0);
    CHECK(tally.total(Outcome::InTime) > 0);
    for (const auto &it : cluster.stopAll()) {
        INFO(it.first);
        CHECK(it.second == 0);
    }
}
