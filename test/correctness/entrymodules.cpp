// Unit tests of the modules that the entry scheduler is built from. The name of each test case
// states the property without which the scheduler would misjudge a server or a request.

#include "candidateselector.h"
#include "outlierdetector.h"
#include "placement.h"
#include "prefixindex.h"
#include "requestlifecycle.h"
#include "retrybudget.h"
#include "speedestimate.h"
#include "statechartfile.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>

using namespace cornelshed;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr Instant start {};

Usage usage(std::uint64_t prompt, std::uint64_t output, Duration firstToken, Duration total)
{
    return {prompt, output, 0, {}, firstToken, total};
}

} // namespace

TEST_CASE("the built-in request chart makes the same transitions as the chart file")
{
    const RequestLifecycle builtIn(defaultRequestChart());
    const auto file = readStateChart(CORNELSHED_SOURCE_DIR "/charts/request.toml");
    const RequestLifecycle fromFile(std::get<StateChart>(file));
    for (std::uint8_t state = 0; state < 5; ++state)
        for (std::uint8_t event = 0; event < 7; ++event)
            CHECK(builtIn.next(RequestState(state), RequestEvent(event))
                  == fromFile.next(RequestState(state), RequestEvent(event)));
    CHECK(builtIn.next(RequestState::Waiting, RequestEvent::GrantAccepted)
          == RequestState::Dispatched);
}

TEST_CASE("retries are limited to the burst and a share of the first attempts")
{
    RetryBudget budget(0.25, 2);
    CHECK(budget.tryTakeRetry());
    CHECK(budget.tryTakeRetry());
    CHECK_FALSE(budget.tryTakeRetry());
    for (int i = 0; i < 4; ++i)
        budget.firstAttempt();
    CHECK(budget.tryTakeRetry());
    CHECK_FALSE(budget.tryTakeRetry());
    for (int i = 0; i < 100; ++i)
        budget.firstAttempt();
    CHECK(budget.available() == 2);
}

TEST_CASE("service time scales with request size and falls back to the average of the server class")
{
    SpeedEstimate speeds;
    speeds.add(0, 0);
    speeds.add(1, 0);
    speeds.add(2, 1);
    // Too small for a rate sample.
    speeds.recordUsage(0, usage(10, 2, milliseconds(20), milliseconds(60)), start);
    CHECK(speeds.serviceTime(0, {1000, 100}, start) == Duration::zero());
    // 1,000 prompt tokens in 100 ms, then 100 output tokens in 1 s.
    speeds.recordUsage(0, usage(1000, 101, milliseconds(100), milliseconds(1100)), start);
    CHECK(speeds.serviceTime(0, {2000, 200}, start) == milliseconds(2200));
    CHECK(speeds.serviceTime(1, {2000, 200}, start) == milliseconds(2200));
    CHECK(speeds.serviceTime(2, {2000, 200}, start) == Duration::zero());
    speeds.recordUsage(2, usage(0, 0, {}, milliseconds(40)), start);
    CHECK(speeds.serviceTime(2, {0, 0}, start) == milliseconds(40));
}

TEST_CASE("the weight of a load report decays with age, and work sent after it is added")
{
    SpeedEstimate speeds;
    speeds.add(0, 0);
    speeds.add(1, 0);
    const LoadReport full {8, 8, 16000, 5000, 50, 8};
    const LoadReport empty {0, 0, 0, 5000, 50, 8};
    for (int i = 0; i < 50; ++i)
        speeds.recordLoadReport(1, empty, start);
    speeds.recordLoadReport(0, full, start);
    const Duration fresh = speeds.queueDelay(0, start);
    CHECK(fresh > milliseconds(1));
    CHECK(speeds.queueDelay(0, start + seconds(4)) < fresh / 4);
    CHECK(speeds.queueDelay(1, start) < fresh / 4);
    const Duration idle = speeds.queueDelay(1, start);
    for (int i = 0; i < 12; ++i)
        speeds.recordDispatch(1, {1000, 100});
    CHECK(speeds.queueDelay(1, start) > idle);
    speeds.recordLoadReport(1, empty, start);
    CHECK(speeds.queueDelay(1, start) <= idle);
}

TEST_CASE("prefix entries decay with age, follow reported hits and are removed with the server")
{
    PrefixIndex index;
    const std::vector<std::uint64_t> hashes {11, 12, 13, 14};
    const PromptPrefixes prompt {hashes, 100, 400};
    std::vector<CachedPrefix> found;
    index.recordPromptProcessed(5, prompt, 0, 0, start);
    index.lookup(prompt, start, found);
    CHECK(found == std::vector<CachedPrefix> {{5, 400}});
    const std::vector<std::uint64_t> sharesTwoPrefixes {11, 12, 99, 98};
    index.lookup({sharesTwoPrefixes, 100, 400}, start, found);
    CHECK(found == std::vector<CachedPrefix> {{5, 200}});
    index.lookup(prompt, start + minutes(5), found);
    CHECK(found == std::vector<CachedPrefix> {{5, 200}});
    for (int i = 0; i < 20; ++i)
        index.recordPromptProcessed(5, prompt, 400, 0, start);
    index.lookup(prompt, start, found);
    CHECK(found.at(0).tokens < 10);
    index.removeServer(5);
    index.lookup(prompt, start, found);
    CHECK(found.empty());
}

TEST_CASE("placement prefers an early finish and a cached prefix, and rejects late servers")
{
    SpeedEstimate speeds;
    std::vector<ServerSlot> slots {0, 1, 2};
    for (const ServerSlot slot : slots) {
        speeds.add(slot, slot);
        speeds.recordLoadReport(slot, {0, 0, 0, 1000, slot == 1 ? 100.0 : 25.0, 4}, start);
    }
    CandidateSet candidates;
    candidates.add(slots);
    PlacementQuery query {&candidates, {}, {}, &speeds, 1000, 100, seconds(60), 1, start};
    SeededRandom random(1);
    std::vector<PlacementChoice> choices;
    ScoredPlacement policy;
    CHECK(policy.choose(query, random, choices) == 3);
    CHECK(choices.at(0).slot == 1);
    query.promptTokens = 20000; // 20 s of prefill without the cached prefix
    const std::vector<CachedPrefix> cached {{2, 20000}};
    query.cached = cached;
    policy.choose(query, random, choices);
    CHECK(choices.at(0).slot == 2);
    query.available = seconds(3);
    CHECK(policy.choose(query, random, choices) == 3);
    CHECK(choices.empty());
    const std::vector<ServerSlot> excluded {0, 1, 2};
    query.excluded = excluded;
    CHECK(policy.choose(query, random, choices) == 0);
}

TEST_CASE("scored placement spreads the choices of daemons with the same load reports")
{
    SpeedEstimate speeds;
    std::vector<ServerSlot> slots(100);
    std::iota(slots.begin(), slots.end(), 0);
    for (const ServerSlot slot : slots) {
        speeds.add(slot, 0);
        speeds.recordLoadReport(slot, {0, 0, 0, 1000, 50, 4}, start);
    }
    CandidateSet candidates;
    candidates.add(slots);
    const PlacementQuery query {&candidates, {}, {}, &speeds, 100, 100, seconds(60), 1, start};
    std::vector<int> choiceCounts(slots.size());
    for (std::uint64_t daemon = 0; daemon < 380; ++daemon) {
        SeededRandom random(daemon);
        std::vector<PlacementChoice> choices;
        ScoredPlacement().choose(query, random, choices);
        ++choiceCounts[choices.at(0).slot];
    }
    // 3.8 on average; 16 is far more than random variation explains.
    CHECK(*std::max_element(choiceCounts.begin(), choiceCounts.end()) < 16);
}

TEST_CASE("baseline policies choose distinct servers and respect exclusions")
{
    SpeedEstimate speeds;
    std::vector<ServerSlot> slots {0, 1, 2, 3};
    for (const ServerSlot slot : slots) {
        speeds.add(slot, 0);
        speeds.recordLoadReport(slot, {slot, 0, 0, 0, 0, 4}, start);
    }
    CandidateSet candidates;
    candidates.add(slots);
    const std::vector<ServerSlot> excluded {1};
    const PlacementQuery query {&candidates, {}, excluded, &speeds, 1, 1, seconds(1), 3, start};
    SeededRandom random(1);
    std::vector<PlacementChoice> choices;
    RoundRobinPlacement roundRobin;
    RandomPlacement randomPolicy;
    PowerOfTwoChoicesPlacement powerOfTwoChoices;
    for (PlacementPolicy *policy : std::initializer_list<PlacementPolicy *> {
                 &roundRobin, &randomPolicy, &powerOfTwoChoices}) {
        CHECK(policy->choose(query, random, choices) == 3);
        const auto sum = [](std::uint32_t n, const PlacementChoice &it) { return n + it.slot; };
        CHECK(std::accumulate(choices.begin(), choices.end(), 0U, sum) == 5); // 0, 2 and 3
    }
}

TEST_CASE("a failing or slow server is ejected, probed with one request and readmitted")
{
    for (const bool slow : {false, true}) {
        OutlierDetector detector;
        for (ServerSlot slot = 0; slot < 4; ++slot)
            detector.add(slot, 0);
        const AttemptResult good {false, 100, 100, seconds(1), false};
        // A request with 20 times as many tokens may take longer without making the server an
        // outlier.
        const AttemptResult large {false, 2000, 2000, seconds(20), false};
        const AttemptResult bad {!slow, 100, 100, seconds(10), false};
        for (int i = 0; i < 30; ++i) {
            for (ServerSlot slot = 0; slot < 3; ++slot)
                detector.record(slot, slot == 0 ? large : good, start);
            detector.record(3, bad, start);
        }
        CHECK(detector.state(0) == OutlierState::Admitted);
        CHECK(detector.state(1) == OutlierState::Admitted);
        REQUIRE(detector.state(3) == OutlierState::Ejected);
        std::vector<ServerSlot> changed;
        detector.expire(detector.nextExpiry(), changed);
        CHECK(changed == std::vector<ServerSlot> {3});
        CHECK(detector.nextExpiry() == instantNever);
        detector.probeStarted(3);
        CHECK(detector.state(3) == OutlierState::ProbeRunning);
        detector.record(3, good, start); // not the probe: sent before the ejection
        CHECK(detector.state(3) == OutlierState::ProbeRunning);
        detector.record(3, {false, 100, 100, seconds(1), true}, start);
        CHECK(detector.state(3) == OutlierState::Admitted);
    }
}

TEST_CASE("the number of ejected servers stays within the configured share of their group")
{
    OutlierDetector detector;
    for (ServerSlot slot = 0; slot < 6; ++slot)
        detector.add(slot, 0);
    for (int i = 0; i < 20; ++i)
        for (ServerSlot slot = 0; slot < 6; ++slot)
            detector.record(slot, {true, 0, 0, {}, false}, start);
    int ejected = 0;
    for (ServerSlot slot = 0; slot < 6; ++slot)
        ejected += detector.state(slot) == OutlierState::Ejected ? 1 : 0;
    CHECK(ejected == 2);
}

TEST_CASE("a new version gets its share with fallback to the old one, and nothing after a rollback")
{
    ServerDirectory directory;
    for (std::uint64_t i = 0; i < 2; ++i)
        directory.add({{"s" + std::to_string(i), 1}, "p", "z", i == 0 ? "v1" : "v2", {"m"}, 0, {}});
    auto configuration = std::make_shared<Configuration>();
    configuration->routes = {{"/r", {"p"}}, {"/other", {"p"}}};
    RoutingView view {configuration, {}, {{"rollout", "p", "v1", "v2", {"/r"}, 0.05, false}}};
    CandidateSelector selector(directory);
    selector.setView(std::make_shared<RoutingView>(view));
    CandidateSet candidates;
    const auto newVersionCount = [&](const char *route) {
        int n = 0;
        for (int i = 0; i < 1000; ++i) {
            selector.collect({route, "m", i / 1000.0}, candidates);
            for (std::size_t j = 0; j < candidates.size(); ++j)
                n += candidates.at(j) == 1 ? 1 : 0;
        }
        return n;
    };
    CHECK(newVersionCount("/r") == 50);
    CHECK(newVersionCount("/other") == 1000); // not in the rollout: both versions serve it
    view.versionShares[0].rolledBack = true;
    selector.setView(std::make_shared<RoutingView>(view));
    CHECK(newVersionCount("/r") == 0);
    view.versionShares[0] = {"rollout", "p", "v1", "v2", {}, 0.5, false};
    selector.setView(std::make_shared<RoutingView>(view));
    directory.setBlock(1, ServerBlock::Leaving, true);
    CHECK(selector.collect({"/r", "m", 0.1}, candidates) == VersionRank::Fallback);
    CHECK(selector.collect({"/r", "m", 0.9}, candidates) == VersionRank::Selected);
    directory.setBlock(0, ServerBlock::Leaving, true);
    directory.setBlock(1, ServerBlock::Leaving, false);
    CHECK(selector.collect({"/r", "m", 0.9}, candidates) == VersionRank::Forbidden);
}

TEST_CASE("consistent hashing of prefixes does not depend on the order in which servers connect")
{
    std::vector<std::string> assignedServers;
    for (const bool reversed : {false, true}) {
        ServerDirectory directory;
        for (int i = 0; i < 50; ++i) {
            const std::string name = "s" + std::to_string(reversed ? 49 - i : i);
            directory.add({{name, 1}, "p", "z", "v", {}, 0, {}});
        }
        CandidateSet candidates;
        candidates.add(directory.lists("p", "")->front().slots);
        for (std::uint64_t key = 1; key <= 20; ++key)
            assignedServers.push_back(
                    directory.at(directory.consistentHashOwner(candidates, key)).id.name);
    }
    CHECK(std::equal(assignedServers.begin(), assignedServers.begin() + 20,
                     assignedServers.begin() + 20));
    std::sort(assignedServers.begin(), assignedServers.end());
    assignedServers.erase(std::unique(assignedServers.begin(), assignedServers.end()),
                          assignedServers.end());
    CHECK(assignedServers.size() > 5); // keys are spread over the servers
}
