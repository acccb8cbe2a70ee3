// Guards against a bad version that keeps receiving requests, a good version that is rolled back or
// misses its deadline, and merges of progress whose result depends on their order.

#include "rollout.h"
#include "rolloutmodel.h"
#include "statechartfile.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cornelshed;

namespace {

StateChart rolloutChart()
{
    return std::get<StateChart>(readStateChart(CORNELSHED_SOURCE_DIR "/charts/rollout.toml"));
}

RolloutModelResult run(VersionBehaviour behaviour, std::uint64_t seed)
{
    RolloutModelSettings settings;
    settings.behaviour = behaviour;
    settings.seed = seed;
    return runRolloutModel(rolloutChart(), settings);
}

RolloutProgress arbitraryProgress()
{
    RolloutProgress progress;
    progress.stage = *rc::gen::inRange<std::uint32_t>(0, 5);
    progress.end = static_cast<RolloutEnd>(*rc::gen::inRange(0, 4));
    progress.reason = *rc::gen::element<std::string>("", "slow", "failing");
    return progress;
}

} // namespace

TEST_CASE("a good version is fully rolled out by its deadline")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const RolloutModelResult result = run(VersionBehaviour::Good, seed);
        CHECK(result.done);
        CHECK_FALSE(result.rolledBack);
    }
}

TEST_CASE("each kind of bad version is rolled back and gets no request 2 s later")
{
    for (const VersionBehaviour behaviour :
         {VersionBehaviour::FailsAtOnce, VersionBehaviour::SlowAtOnce, VersionBehaviour::FailsLater,
          VersionBehaviour::FailsUnderLoad, VersionBehaviour::FailsOneRoute,
          VersionBehaviour::TurnsCold}) {
        const RolloutModelResult result = run(behaviour, 7);
        CAPTURE(static_cast<int>(behaviour));
        CHECK(result.rolledBack);
        CHECK(result.requestsAfterRollback == 0);
        CHECK(result.badRequestShare <= 0.05);
    }
}

TEST_CASE("a long error-free history does not delay the verdict on a version that starts to fail")
{
    RouteVerdict verdict {VerdictSettings {}};
    VersionCounts oldGood;
    oldGood.answers = 1000;
    oldGood.slowness[20] = 1000;
    VersionCounts newGood = oldGood;
    newGood.answers = 5000;
    newGood.slowness[20] = 5000;
    verdict.observe(oldGood, newGood);
    CHECK(verdict.verdict() == Verdict::Good);
    VersionCounts failing;
    failing.answers = 20;
    failing.failures = 20;
    verdict.observe({}, failing);
    CHECK(verdict.verdict() == Verdict::Bad);
}

TEST_CASE("a rollback needs neither the lease nor the table")
{
    RolloutController controller(rolloutChart(), RolloutPolicy {}, "entry-1");
    RolloutPlan plan;
    plan.settings = {"r1", "writers", "v1", "v2", {"/v1/completions"}, 0, 0.05};
    plan.deadline = Instant(std::chrono::hours(1));
    const Instant now {std::chrono::minutes(1)};
    controller.setPlans({plan}, now);
    controller.mergeProgress("r1", {1, RolloutEnd::Open, ""}, now);
    CHECK(controller.shares().front().share == doctest::Approx(0.05));
    ReportOutcome outcome;
    outcome.route = "/v1/completions";
    outcome.version = "v2";
    outcome.failed = true;
    std::size_t actions = 0;
    for (int n = 0; n < 20 && actions == 0; ++n) {
        controller.recordOutcome(outcome);
        actions = controller.tick(now, false, 0).size();
    }
    CHECK(actions == 1);
    CHECK(controller.shares().front().share == 0);
    CHECK(controller.shares().front().rolledBack);
    CHECK(controller.state("r1") == "taken_back");
}

TEST_CASE("a daemon without the lease proposes no step forward")
{
    RolloutController controller(rolloutChart(), RolloutPolicy {}, "entry-1");
    RolloutPlan plan;
    plan.settings = {"r1", "writers", "v1", "v2", {}, 0, 0.05};
    plan.deadline = Instant(std::chrono::hours(1));
    controller.setPlans({plan}, Instant {});
    CHECK(controller.tick(Instant(std::chrono::seconds(1)), false, 0).empty());
    const auto actions = controller.tick(Instant(std::chrono::seconds(2)), true, 9);
    REQUIRE(actions.size() == 1);
    CHECK(std::get<WriteProgress>(actions[0])
          == WriteProgress {"r1", {1, RolloutEnd::Open, ""}, 9});
}

TEST_CASE("a plan that cannot meet its deadline is reported as infeasible at once")
{
    RolloutController controller(rolloutChart(), RolloutPolicy {}, "entry-1");
    RolloutPlan plan;
    plan.settings = {"r1", "writers", "v1", "v2", {}, 0, 0.05};
    plan.deadline = Instant(std::chrono::seconds(40));
    controller.setPlans({plan}, Instant {});
    const auto actions = controller.tick(Instant {}, true, 1);
    REQUIRE(actions.size() == 1);
    CHECK(std::get<WriteProgress>(actions[0]).progress.end == RolloutEnd::Infeasible);
}

TEST_CASE("property: merging progress is commutative and idempotent")
{
    CHECK(rc::check([] {
        const RolloutProgress a = arbitraryProgress();
        const RolloutProgress b = arbitraryProgress();
        RolloutProgress ab = a;
        ab.merge(b);
        RolloutProgress ba = b;
        ba.merge(a);
        RC_ASSERT(ab.stage == ba.stage);
        RC_ASSERT(ab.end == ba.end);
        if (ab.end == RolloutEnd::RolledBack)
            RC_ASSERT(ab.reason == ba.reason);
        RC_ASSERT(!ab.merge(b));
        RC_ASSERT(ab.end == RolloutEnd::RolledBack || a.end != RolloutEnd::RolledBack);
    }));
}
