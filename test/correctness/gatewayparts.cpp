// Guards against repeats of requests that must not run twice, promises of "not run" that are not
// true, streams with gaps or doubled events, rows of servers that are gone, and freshness that is
// claimed without a proof.

#include "attemptpolicy.h"
#include "backendregistry.h"
#include "eventsplitter.h"
#include "freshness.h"
#include "routetable.h"
#include "windowedbudget.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>

using namespace cornelshed;
using namespace std::chrono_literals;

namespace {

const Instant start {1h};

constexpr AttemptEnd allEnds[] = {AttemptEnd::Success, AttemptEnd::RanAndFailed, AttemptEnd::NotRun,
                                  AttemptEnd::MayHaveRun};

BackendRecord record(const std::string &id, std::int64_t startedAtMs = 0)
{
    BackendRecord made;
    made.id = id;
    made.service = "writer";
    made.address = "10.0.0.1";
    made.port = 80;
    made.startedAtMs = startedAtMs;
    return made;
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

TEST_CASE("property: what may have run is neither repeated against the rules nor called not run")
{
    CHECK(rc::check([] {
        AttemptHistory history;
        history.repeatable = *rc::gen::arbitrary<bool>();
        history.attemptLimit = *rc::gen::inRange<std::uint32_t>(1, 4);
        history.answerBegun = *rc::gen::arbitrary<bool>();
        for (int i = 0; i < 12; ++i) {
            const AttemptEnd end = allEnds[*rc::gen::inRange(0, 4)];
            (end == AttemptEnd::NotRun ? history.refused : history.ran) += 1;
            const NextSteps steps = afterAttempt(end, history);
            for (const NextStep step : {steps.preferred, steps.otherwise}) {
                if (step == NextStep::OfferAgain) {
                    RC_ASSERT(history.ran == 0U || history.repeatable);
                    RC_ASSERT(history.ran < history.attemptLimit);
                    RC_ASSERT(history.refused <= refusedAttemptLimit);
                }
                if (step == NextStep::ReportNotRun)
                    RC_ASSERT(history.ran == 0U);
                if (history.answerBegun && end != AttemptEnd::Success)
                    RC_ASSERT(step == NextStep::BreakOff || step == NextStep::OfferAgain);
            }
            RC_ASSERT(steps.otherwise != NextStep::OfferAgain);
        }
    }));
}

TEST_CASE("answers count as success only with the backend server's authentication")
{
    BackendReply sealed;
    sealed.authenticated = true;
    CHECK(classifyAnswer(200, sealed) == AttemptEnd::Success);
    CHECK(classifyAnswer(200, {}) == AttemptEnd::MayHaveRun);
    CHECK(classifyAnswer(500, sealed) == AttemptEnd::RanAndFailed);
    // A status that promises "not run", without the backend server saying so.
    CHECK(classifyAnswer(503, sealed) == AttemptEnd::MayHaveRun);
    BackendReply encoded = sealed;
    encoded.encoded = true;
    CHECK(classifyAnswer(200, encoded) == AttemptEnd::MayHaveRun);
    BackendReply refused;
    refused.notRun = true;
    CHECK(classifyAnswer(503, refused) == AttemptEnd::NotRun);
}

TEST_CASE("property: events are the same wherever the stream is cut into reads")
{
    const std::string stream =
            "id: 1\ndata: a\n\nid: 2\ndata: bb\n\ndata: no id\n\nid: 3\ndata: c\n\n";
    CHECK(rc::check([&] {
        EventSplitter splitter;
        std::string passed;
        std::size_t at = 0;
        while (at < stream.size()) {
            const std::size_t n = *rc::gen::inRange<std::size_t>(1, 12);
            passed += splitter.append(std::string_view(stream).substr(at, n));
            at += n;
        }
        RC_ASSERT(passed == stream);
        RC_ASSERT(splitter.lastId() == std::optional<std::uint64_t>(3));
        RC_ASSERT(!splitter.malformed());
        RC_ASSERT(!splitter.pending());
    }));
}

TEST_CASE("a resumed stream drops what was passed on, and a gap is noticed")
{
    EventSplitter resumed(2);
    CHECK(resumed.append("id: 2\n\nid: 3\n\n") == "id: 3\n\n");
    CHECK_FALSE(resumed.malformed());
    EventSplitter gap(2);
    CHECK(gap.append("id: 4\n\n").empty());
    CHECK(gap.malformed());
    EventSplitter half;
    CHECK(half.append("id: 1\ndata: x").empty());
    CHECK(half.pending());
}

TEST_CASE("the longest prefix of the host decides, and hosts ignore case and port")
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

TEST_CASE("property: repeats stay within their share in every window, over all daemons")
{
    CHECK(rc::check([] {
        const auto daemons = *rc::gen::inRange<std::uint32_t>(1, 8);
        const WindowedBudgetSettings settings {0.2, 50, 10s};
        std::vector<WindowedBudget> budgets(daemons, WindowedBudget(settings));
        std::deque<Instant> first;
        std::deque<Instant> repeats;
        for (int i = 0; i < 3000; ++i) {
            const Instant now = start + i * 10ms;
            auto &budget = budgets[*rc::gen::inRange<std::size_t>(0, daemons)];
            if (*rc::gen::inRange(0, 3) == 0) {
                budget.firstAttempt(now);
                first.push_back(now);
            }
            if (budget.tryRepeat(daemons, now))
                repeats.push_back(now);
            while (!first.empty() && first.front() + 10s <= now)
                first.pop_front();
            while (!repeats.empty() && repeats.front() + 10s <= now)
                repeats.pop_front();
            RC_ASSERT(static_cast<double>(repeats.size())
                      <= 0.2 * static_cast<double>(first.size()) + 50);
        }
    }));
}

TEST_CASE("rows that lapsed during an outage are kept until servers had time to register again")
{
    BackendRegistry registry(2s);
    registry.put(record("a"), 1);
    registry.storeLost();
    registry.storeRegained(start);
    CHECK_FALSE(registry.removed("a", start));
    CHECK(idsOf(registry) == Ids {"a"});
    CHECK(registry.expire(start + 3s));
    CHECK(idsOf(registry).empty());
}

TEST_CASE("rows that vanish without an outage, or after draining, are gone at once")
{
    BackendRegistry registry(2s);
    registry.put(record("a"), 1);
    CHECK(registry.removed("a", start));
    CHECK(idsOf(registry).empty());
    auto leaving = record("b");
    leaving.draining = true;
    registry.put(leaving, 2);
    registry.storeLost();
    registry.storeRegained(start);
    CHECK(registry.removed("b", start));
}

TEST_CASE("power lost everywhere: of several rows with one address the last started counts")
{
    BackendRegistry registry(2s);
    registry.put(record("new", 2000), 1);
    registry.put(record("old", 1000), 2);
    CHECK(idsOf(registry) == Ids {"new"});
    // Without a start time, the row that appeared last.
    BackendRegistry plain(2s);
    plain.put(record("old"), 1);
    plain.put(record("new"), 5);
    plain.put(record("old"), 9);
    CHECK(idsOf(plain) == Ids {"new"});
}

TEST_CASE("a peer's proof counts only with all its changes, and not beyond what was echoed")
{
    FreshnessBoard board;
    CHECK(board.peerRead(RowTable::Orders, {5, 10ms}, 1s) == ProofUse::None);
    board.ownRead(RowTable::Orders, {1s, 5, 7});
    CHECK(board.peerRead(RowTable::Orders, {8, 10ms}, 2s) == ProofUse::Behind);
    CHECK(board.provenAt(RowTable::Orders) == std::optional<Duration>(1s));
    CHECK(board.peerRead(RowTable::Orders, {7, 100ms}, 2s) == ProofUse::Extended);
    CHECK(board.provenAt(RowTable::Orders) == std::optional<Duration>(1900ms));
    CHECK(board.peerRead(RowTable::Orders, {7, 500ms}, 2s) == ProofUse::None);
    CHECK_FALSE(board.provenAt(RowTable::Backends).has_value());
}

TEST_CASE("property: no daemon believes itself fresh at a moment when a change was missing")
{
    CHECK(rc::check([] {
        constexpr std::size_t daemons = 3;
        std::vector<FreshnessBoard> boards(daemons);
        std::uint64_t storeVersion = 1;
        std::vector<std::uint64_t> applied(daemons, 0);
        std::vector<Duration> lastSent(daemons * daemons, Duration::zero());
        std::vector<Duration> changedAt; // by version - 1
        changedAt.emplace_back(0);
        Duration now {};
        for (int i = 0; i < 120; ++i) {
            now += std::chrono::milliseconds(*rc::gen::inRange(1, 50));
            const auto a = *rc::gen::inRange<std::size_t>(0, daemons);
            const auto b = *rc::gen::inRange<std::size_t>(0, daemons);
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                ++storeVersion;
                changedAt.push_back(now);
                break;
            case 1: // a reads
                applied[a] = storeVersion;
                boards[a].ownRead(RowTable::Orders, {now, storeVersion, storeVersion});
                break;
            case 2: // a's report reaches b, who will echo its time
                lastSent[a * daemons + b] = now;
                break;
            default: // b's report reaches a
                if (const auto proof = boards[b].share(RowTable::Orders, now);
                    proof && a != b && lastSent[a * daemons + b] > Duration::zero())
                    boards[a].peerRead(RowTable::Orders, *proof, lastSent[a * daemons + b]);
                break;
            }
            for (std::size_t n = 0; n < daemons; ++n) {
                const auto provenAt = boards[n].provenAt(RowTable::Orders);
                // Every change before the proven moment is applied.
                for (std::uint64_t version = applied[n] + 1; provenAt && version <= storeVersion;
                     ++version)
                    RC_ASSERT(changedAt[version - 1] >= *provenAt);
            }
        }
    }));
}
