// Guards against retries of requests that must not run twice, refusals that wrongly state that a
// request has not run, streams with missing or duplicate events, registry rows of servers that no
// longer run, and tables that are considered fresh without a proof.

#include "attemptpolicy.h"
#include "backendregistry.h"
#include "eventsplitter.h"
#include "freshness.h"
#include "peerconfigurations.h"
#include "routetable.h"
#include "windowedretrybudget.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>

using namespace cornelshed;
using namespace std::chrono_literals;

namespace {

const Instant start {1h};

constexpr AttemptEnd allEnds[] = {AttemptEnd::Success, AttemptEnd::RanAndFailed, AttemptEnd::NotRun,
                                  AttemptEnd::MayHaveRun};

BackendRecord makeRecord(const std::string &id, std::int64_t startedAtMs = 0)
{
    BackendRecord result;
    result.id = id;
    result.service = "writer";
    result.address = "10.0.0.1";
    result.port = 80;
    result.startedAtMs = startedAtMs;
    return result;
}

std::vector<std::string> idsOf(const BackendRegistry &registry)
{
    std::vector<std::string> ids;
    for (const BackendRecord &it : registry.list())
        ids.push_back(it.id);
    return ids;
}

using Ids = std::vector<std::string>;

} // namespace

TEST_CASE("property: a request that may have run is neither retried against the rules nor reported "
          "as not run")
{
    CHECK(rc::check([] {
        AttemptHistory history;
        history.retryable = *rc::gen::arbitrary<bool>();
        history.attemptLimit = *rc::gen::inRange<std::uint32_t>(1, 4);
        history.answerStarted = *rc::gen::arbitrary<bool>();
        for (int i = 0; i < 12; ++i) {
            const AttemptEnd end = allEnds[*rc::gen::inRange(0, 4)];
            (end == AttemptEnd::NotRun ? history.refused : history.ran) += 1;
            const NextSteps steps = afterAttempt(end, history);
            for (const NextStep step : {steps.preferred, steps.withoutRetry}) {
                if (step == NextStep::Retry) {
                    RC_ASSERT(history.ran == 0U || history.retryable);
                    RC_ASSERT(history.ran < history.attemptLimit);
                    RC_ASSERT(history.refused <= refusedAttemptLimit);
                }
                if (step == NextStep::ReportNotRun)
                    RC_ASSERT(history.ran == 0U);
                if (history.answerStarted && end != AttemptEnd::Success)
                    RC_ASSERT(step == NextStep::AbortResponse || step == NextStep::Retry);
            }
            RC_ASSERT(steps.withoutRetry != NextStep::Retry);
        }
    }));
}

TEST_CASE("only answers authenticated by the backend server count as success")
{
    BackendReply authenticReply;
    authenticReply.authenticated = true;
    CHECK(classifyAnswer(200, authenticReply) == AttemptEnd::Success);
    CHECK(classifyAnswer(200, {}) == AttemptEnd::MayHaveRun);
    CHECK(classifyAnswer(500, authenticReply) == AttemptEnd::RanAndFailed);
    // A status that means "not run" to callers, while the backend server does not state it.
    CHECK(classifyAnswer(503, authenticReply) == AttemptEnd::MayHaveRun);
    BackendReply encoded = authenticReply;
    encoded.encoded = true;
    CHECK(classifyAnswer(200, encoded) == AttemptEnd::MayHaveRun);
    BackendReply refused;
    refused.notRun = true;
    CHECK(classifyAnswer(503, refused) == AttemptEnd::NotRun);
}

TEST_CASE("property: events do not depend on how the stream is divided into reads")
{
    const std::string stream =
            "id: 1\ndata: a\n\nid: 2\ndata: bb\n\ndata: no id\n\nid: 3\ndata: c\n\n";
    CHECK(rc::check([&] {
        EventSplitter splitter;
        std::string output;
        std::size_t at = 0;
        while (at < stream.size()) {
            const std::size_t n = *rc::gen::inRange<std::size_t>(1, 12);
            output += splitter.append(std::string_view(stream).substr(at, n));
            at += n;
        }
        RC_ASSERT(output == stream);
        RC_ASSERT(splitter.lastId() == std::optional<std::uint64_t>(3));
        RC_ASSERT(!splitter.malformed());
        RC_ASSERT(!splitter.pending());
    }));
}

TEST_CASE("a resumed stream drops events that the caller has, and a gap is detected")
{
    EventSplitter resumed(2);
    CHECK(resumed.append("id: 2\n\nid: 3\n\n") == "id: 3\n\n");
    CHECK_FALSE(resumed.malformed());
    EventSplitter gap(2);
    CHECK(gap.append("id: 4\n\n").empty());
    CHECK(gap.malformed());
    EventSplitter incomplete;
    CHECK(incomplete.append("id: 1\ndata: x").empty());
    CHECK(incomplete.pending());
}

TEST_CASE("the longest prefix among the host's routes matches; letter case and port of the host "
          "are ignored")
{
    RouteTableContent content;
    content.version = 3;
    DirectRoute wide;
    wide.name = "wide";
    wide.host = "Example.Org";
    wide.prefix = "/a/";
    DirectRoute narrow = wide;
    narrow.name = "narrow";
    narrow.prefix = "/a/b/";
    content.routes = {wide, narrow};
    content.organisations = {{"acme", {"key-1"}}};
    const RouteTable table(content);
    REQUIRE(table.find("example.org:8080", "/a/b/c") != nullptr);
    CHECK(table.find("example.org", "/a/b/c")->name == "narrow");
    CHECK(table.find("example.org", "/a/x")->name == "wide");
    CHECK(table.find("example.org", "/ab") == nullptr);
    CHECK(table.find("other.org", "/a/x") == nullptr);
    CHECK(table.organisationOf("key-1")->name == "acme");
    CHECK(table.organisationOf("key-2") == nullptr);
}

TEST_CASE("property: retries of all daemons stay within the limit in every window")
{
    CHECK(rc::check([] {
        const auto daemons = *rc::gen::inRange<std::uint32_t>(1, 8);
        const WindowedRetryBudgetSettings settings {0.2, 50, 10s};
        std::vector<WindowedRetryBudget> budgets(daemons, WindowedRetryBudget(settings));
        std::deque<Instant> firstAttempts;
        std::deque<Instant> retries;
        for (int i = 0; i < 3000; ++i) {
            const Instant now = start + i * 10ms;
            auto &budget = budgets[*rc::gen::inRange<std::size_t>(0, daemons)];
            if (*rc::gen::inRange(0, 3) == 0) {
                budget.firstAttempt(now);
                firstAttempts.push_back(now);
            }
            if (budget.tryTakeRetry(daemons, now))
                retries.push_back(now);
            while (!firstAttempts.empty() && firstAttempts.front() + 10s <= now)
                firstAttempts.pop_front();
            while (!retries.empty() && retries.front() + 10s <= now)
                retries.pop_front();
            RC_ASSERT(static_cast<double>(retries.size())
                      <= 0.2 * static_cast<double>(firstAttempts.size()) + 50);
        }
    }));
}

TEST_CASE("rows that expired during an outage are kept until servers could register again")
{
    BackendRegistry registry(2s);
    registry.put(makeRecord("a"), {1, 1}, start);
    registry.storeLost();
    registry.storeRecovered(start);
    CHECK_FALSE(registry.removed("a", {1, 9}, start));
    CHECK(idsOf(registry) == Ids {"a"});
    CHECK(registry.expire(start + 3s));
    CHECK(idsOf(registry).empty());
}

TEST_CASE("rows that disappear without an outage, or after draining, are removed at once")
{
    BackendRegistry registry(2s);
    registry.put(makeRecord("a"), {1, 1}, start);
    CHECK(registry.removed("a", {1, 9}, start));
    CHECK(idsOf(registry).empty());
    auto drainingRecord = makeRecord("b");
    drainingRecord.draining = true;
    registry.put(drainingRecord, {1, 2}, start);
    registry.storeLost();
    registry.storeRecovered(start);
    CHECK(registry.removed("b", {1, 9}, start));
}

TEST_CASE("after a power loss, of several rows with the same address, that of the server that "
          "started last counts")
{
    BackendRegistry registry(2s);
    registry.put(makeRecord("new", 2000), {1, 1}, start);
    registry.put(makeRecord("old", 1000), {1, 2}, start);
    CHECK(idsOf(registry) == Ids {"new"});
    // Without start times, the row that first appeared last counts.
    BackendRegistry withoutStartTimes(2s);
    withoutStartTimes.put(makeRecord("old"), {1, 1}, start);
    withoutStartTimes.put(makeRecord("new"), {1, 5}, start);
    withoutStartTimes.put(makeRecord("old"), {1, 9}, start);
    CHECK(idsOf(withoutStartTimes) == Ids {"new"});
}

// Guards against requests to servers that have left, after the store has returned from a copy in
// which they are ready.
TEST_CASE("a return takes back no departure before the row is written again")
{
    const auto serverOf = [](const std::string &id, std::int64_t startedAtMs) {
        BackendRecord record = makeRecord(id, startedAtMs);
        record.address = id; // each has its own
        return record;
    };
    BackendRegistry registry(2s);
    BackendRecord draining = serverOf("draining", 1000);
    draining.draining = true;
    registry.put(serverOf("left", 1000), {1, 1}, start);
    registry.put(draining, {1, 2}, start);
    registry.put(serverOf("lost", 1000), {1, 3}, start);
    CHECK(registry.removed("left", {1, 4}, start));
    registry.storeReturned(start);
    const std::vector<std::pair<BackendRecord, StorePosition>> copy {
            {serverOf("left", 1000), {2, 1}}, {serverOf("draining", 1000), {2, 2}}};
    for (int n = 0; n < 2; ++n) { // the table may be read more than once
        registry.replaceAll(copy, {2, 2}, start + 100ms);
        CHECK(idsOf(registry) == Ids {"draining", "lost"});
        for (const BackendRecord &it : registry.list())
            CHECK(it.draining == (it.id == "draining"));
    }
    CHECK(registry.put(draining, {2, 3}, start + 1s) == false);
    // Another run of the process under the same id, and a row that is written again.
    CHECK(registry.put(serverOf("draining", 2000), {2, 4}, start + 1s));
    CHECK(registry.put(serverOf("left", 1000), {2, 5}, start + 1s));
    CHECK(registry.expire(start + 3s));
    CHECK(idsOf(registry) == Ids {"draining", "left"});
    for (const BackendRecord &it : registry.list())
        CHECK_FALSE(it.draining);
}

TEST_CASE("a peer's proof needs all its changes applied, and counts from the store's time")
{
    FreshnessTracker tracker;
    CHECK(tracker.recordPeerRead(RowTable::Orders, {{1, 5}, 61s}, 2s) == ProofUse::None);
    tracker.recordOwnRead(RowTable::Orders, {1s, {1, 5}, {1, 7}, 60s});
    CHECK(tracker.recordPeerRead(RowTable::Orders, {{1, 8}, 61s}, 2s) == ProofUse::Behind);
    CHECK(tracker.provenAt(RowTable::Orders) == std::optional<Duration>(1s));
    CHECK(tracker.recordPeerRead(RowTable::Orders, {{1, 7}, 60900ms}, 2s) == ProofUse::Extended);
    // Less the resolution of the store's clock and the drift of 900 ms.
    CHECK(tracker.provenAt(RowTable::Orders) == std::optional<Duration>(1898100us));
    CHECK(tracker.recordPeerRead(RowTable::Orders, {{1, 7}, 60500ms}, 2s) == ProofUse::None);
    CHECK_FALSE(tracker.provenAt(RowTable::Backends).has_value());
    CHECK(tracker.share()[0] == std::optional(SharedProof {{1, 5}, 60900ms}));
    CHECK_FALSE(tracker.share()[1].has_value());
}

TEST_CASE("a store whose clock jumps forward proves nothing until this daemon has read it again")
{
    FreshnessTracker tracker;
    tracker.recordOwnRead(RowTable::Orders, {1s, {1, 5}, {1, 5}, 60s});
    CHECK(tracker.recordPeerRead(RowTable::Orders, {{1, 5}, 300s}, 2s) == ProofUse::None);
    CHECK(tracker.provenAt(RowTable::Orders) == std::optional<Duration>(1s));
    tracker.recordOwnRead(RowTable::Orders, {3s, {1, 5}, {1, 5}, 301s});
    CHECK(tracker.recordPeerRead(RowTable::Orders, {{1, 5}, 302s}, 5s) == ProofUse::Extended);
}

TEST_CASE("proofs of an earlier era extend nothing, and a later era that only a peer names is "
          "refuted "
          "by the store")
{
    FreshnessTracker tracker;
    tracker.recordOwnRead(RowTable::Orders, {1s, {1, 50}, {1, 50}, 60s});
    // A peer has read after a return; versions have not caught up with those of before.
    CHECK(tracker.recordPeerRead(RowTable::Orders, {{2, 40}, 61s}, 2s) == ProofUse::Behind);
    CHECK(tracker.recordPeerRead(RowTable::Orders, {{1, 50}, 61s}, 2s) == ProofUse::EarlierEra);
    CHECK(tracker.provenAt(RowTable::Orders) == std::optional<Duration>(1s));
    tracker.recordOwnRead(RowTable::Orders, {1500ms, {1, 50}, {1, 50}, 60500ms}); // sent before
    CHECK(tracker.recordPeerRead(RowTable::Orders, {{1, 50}, 61s}, 2s) == ProofUse::EarlierEra);
    tracker.recordOwnRead(RowTable::Orders, {3s, {1, 50}, {1, 50}, 62s});
    CHECK(tracker.recordPeerRead(RowTable::Orders, {{1, 50}, 62900ms}, 4s) == ProofUse::Extended);
    tracker.recordOwnRead(RowTable::Orders, {5s, {2, 41}, {2, 41}, 64s});
    CHECK(tracker.share()[0] == std::optional(SharedProof {{2, 41}, 64s}));
    tracker.recordOwnRead(RowTable::Orders, {6s, {1, 52}, {1, 52}, 65s}); // a late response
    CHECK(tracker.provenAt(RowTable::Orders) == std::optional<Duration>(5s));
    CHECK(tracker.recordPeerRead(RowTable::Orders, {{2, 41}, 65s}, 7s) == ProofUse::Extended);
}

// Guards against a proof for a copy that lacks a change, after a store that states no era has gone
// back to earlier versions.
TEST_CASE("a read of an earlier version takes back what was applied")
{
    FreshnessTracker tracker;
    tracker.recordOwnRead(RowTable::Orders, {1s, {0, 30}, {0, 30}, 60s});
    tracker.recordOwnRead(RowTable::Orders, {2s, {0, 28}, {0, 28}, 61s});
    // A peer has read a change that was given a lost version again.
    CHECK(tracker.recordPeerRead(RowTable::Orders, {{0, 29}, 61900ms}, 3s) == ProofUse::Behind);
}

// Guards against keys that are accepted after operators took them away in a configuration that the
// store has lost and that no gateway had read.
TEST_CASE("reads confirm nothing until operators could write again what a return has lost")
{
    FreshnessTracker tracker(2s);
    tracker.recordOwnRead(RowTable::Orders, {1s, {1, 5}, {1, 5}, 60s});
    CHECK(tracker.confirmedAt(RowTable::Orders) == std::optional<Duration>(1s));
    CHECK_FALSE(tracker.lastReturn(1s).has_value());
    tracker.recordOwnRead(RowTable::Orders, {4s, {2, 3}, {2, 3}, 63s});
    tracker.recordOwnRead(RowTable::Orders, {5s, {2, 3}, {2, 3}, 64s});
    CHECK(tracker.recordPeerRead(RowTable::Orders, {{2, 3}, 64900ms}, 6s) == ProofUse::Extended);
    CHECK(tracker.provenAt(RowTable::Orders).value() > 5s);
    CHECK(tracker.confirmedAt(RowTable::Orders) == std::optional<Duration>(1s));
    CHECK(tracker.lastReturn(6s) == std::optional(StoreReturn {2, 2s}));
    // A daemon that starts does not know of the return before a peer tells it.
    FreshnessTracker started(2s);
    started.recordOwnRead(RowTable::Orders, {15s, {2, 3}, {2, 3}, 65s});
    CHECK(started.confirmedAt(RowTable::Orders).has_value());
    started.recordPeerReturn({1, 1s}, 15100ms); // of an earlier era
    CHECK(started.confirmedAt(RowTable::Orders).has_value());
    started.recordPeerReturn({2, 1s}, 15100ms);
    CHECK_FALSE(started.confirmedAt(RowTable::Orders).has_value());
    started.recordPeerReturn({2, 0s}, 15200ms); // the first to notice it is the nearest
    for (FreshnessTracker *it : {&tracker, &started}) {
        const Duration at = it == &tracker ? 6100ms : 16100ms;
        it->recordOwnRead(RowTable::Orders, {at, {2, 4}, {2, 4}, 66s});
        CHECK(it->confirmedAt(RowTable::Orders) == std::optional(at));
    }
}

// Guards against a gateway that starts after a return and admits requests by the copy's older
// configuration, and against a wrong version that keeps gateways out of service for good.
TEST_CASE("a configuration is not the newest while peers have a newer one that the store lacks")
{
    PeerConfigurations started;
    started.recordRead(8, 1s);
    CHECK(started.outdates(8, true, 1010ms)); // before the first report of a peer
    CHECK_FALSE(PeerConfigurations(started).outdates(8, false, 1010ms));
    CHECK_FALSE(PeerConfigurations(started).outdates(8, true, 1310ms)); // peers are gone
    started.recordPeer(11, 1020ms);
    CHECK(started.outdates(8, true, 1030ms));
    started.recordRead(8, 1100ms);
    CHECK(started.outdates(8, true, 5s));
    CHECK_FALSE(started.outdates(11, true, 5s)); // once it is written again
    CHECK(started.outdates(8, true, 11s));
    CHECK_FALSE(started.outdates(8, true, 11200ms)); // it is given up

    // While all goes well, a newer version is only about to be read.
    PeerConfigurations running;
    running.recordPeer(8, 1s);
    CHECK_FALSE(running.outdates(8, true, 2s));
    running.recordPeer(9, 3s);
    running.recordRead(8, 2990ms); // sent before
    CHECK_FALSE(running.outdates(8, true, 3100ms));
    // Cut off from the store for longer than the limit, then reading a copy.
    running.recordRead(8, 20s);
    CHECK(running.outdates(8, true, 20s));
    CHECK_FALSE(running.outdates(8, true, 30100ms));
}

TEST_CASE("property: no daemon considers its copy fresh at a time when it lacked a change, also if "
          "the store returns from older copies")
{
    CHECK(rc::check([] {
        constexpr std::size_t daemons = 4;
        std::vector<FreshnessTracker> trackers(daemons);
        std::vector<Duration> bootOffsets; // of each daemon's clock
        for (std::size_t n = 0; n < daemons; ++n)
            bootOffsets.push_back(std::chrono::milliseconds(*rc::gen::inRange(0, 100000)));
        const Duration storeOffset = std::chrono::milliseconds(*rc::gen::inRange(1, 100000));
        StorePosition store {1, 1};
        std::vector<Duration> changedAt {Duration::zero()}; // of all changes and returns
        std::vector<std::size_t> applied(daemons, 0);       // of these, in each daemon's copy
        Duration now {};
        std::vector<std::pair<SharedProof, std::size_t>> inFlight; // reports, with the recipient
        for (int i = 0; i < 150; ++i) {
            now += std::chrono::microseconds(*rc::gen::inRange(1, 50000));
            const auto daemon = *rc::gen::inRange<std::size_t>(0, daemons);
            switch (*rc::gen::inRange(0, 9)) {
            case 0:
            case 1:
                ++store.version;
                changedAt.push_back(now);
                break;
            case 2: // the store returns from an older copy
                store = {store.era + 1,
                         store.version - *rc::gen::inRange<std::uint64_t>(0, store.version)};
                changedAt.push_back(now);
                break;
            case 3:
            case 4: { // the daemon reads the store; the store answers after a while
                const Duration sentAt = now + bootOffsets[daemon];
                now += std::chrono::microseconds(*rc::gen::inRange(0, 300000));
                applied[daemon] = changedAt.size();
                const auto storeTime =
                        std::chrono::floor<std::chrono::milliseconds>(now + storeOffset);
                trackers[daemon].recordOwnRead(RowTable::Orders, {sentAt, store, store, storeTime});
                break;
            }
            case 5:
            case 6: // the daemon sends what it knows, by its own read or a peer's
                if (const auto proof = trackers[daemon].share()[0])
                    inFlight.emplace_back(*proof, *rc::gen::inRange<std::size_t>(0, daemons));
                break;
            default: // a report arrives, at any time and in any order
                if (inFlight.empty())
                    break;
                const auto it = inFlight.begin()
                        + *rc::gen::inRange<std::ptrdiff_t>(
                                        0, static_cast<std::ptrdiff_t>(inFlight.size()));
                trackers[it->second].recordPeerRead(RowTable::Orders, it->first,
                                                    now + bootOffsets[it->second]);
                inFlight.erase(it);
                break;
            }
            for (std::size_t n = 0; n < daemons; ++n) {
                const auto provenAt = trackers[n].provenAt(RowTable::Orders);
                // Every change made before the proven time must be applied.
                for (std::size_t change = applied[n]; provenAt && change < changedAt.size();
                     ++change)
                    RC_ASSERT(changedAt[change] >= *provenAt - bootOffsets[n]);
            }
        }
    }));
}
