// Guards against a planned stop that interrupts requests: none may end broken, unknown or lost
// while daemons are stopped and started again under load.

#include "loadedcluster.h"

#include <doctest/doctest.h>

using namespace cornelshed::demo;
using cornelshed::load::Outcome;

TEST_CASE("SIGTERM to each kind of daemon under load interrupts no request")
{
    ClusterOptions options;
    options.binaries = CORNELSHED_BINARY_DIR;
    options.source = CORNELSHED_SOURCE_DIR;
    options.enginesPerZone = 1;
    options.shutdownTimeoutMs = 30000;
    // Rate and deadline leave room, so that no deadline passes on a busy machine: a request that
    // ran out of time would end as unknown too.
    auto day = clusterDay(3, 120, 35);
    day.deadlineMs = 30000;
    day.orderShare = 0.2;
    day.startHour = 17; // long requests, so that many run when a daemon is stopped
    LoadedCluster loaded(options, cornelshed::load::generateDay(day));
    Cluster &cluster = loaded.cluster();
    for (const MemberKind kind :
         {MemberKind::Entry, MemberKind::EngineAgent, MemberKind::ServiceAgent}) {
        const std::string name = cluster.names(kind).front();
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
