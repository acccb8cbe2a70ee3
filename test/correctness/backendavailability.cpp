// Guards against a backend server that gets requests although it said that it leaves or asked for a
// pause, because its answer is misread, a queued, granted or repeated request still goes there, or
// the statement is lost with a restart or a missing record; and against one that a wrong value
// keeps from requests for good.

#include "backendavailability.h"
#include "directscheduler.h"
#include "platformheaders.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

using namespace cornelshed;
using namespace std::chrono_literals;

namespace {

const Instant start {1h};

BackendReply replyWith(const Headers &headers, std::uint32_t status = 503)
{
    return PlatformHeaders().decodeReply(status, headers);
}

BackendRecord server(const std::string &id, std::int64_t startedAtMs = 1000)
{
    BackendRecord record;
    record.id = id;
    record.service = "writer";
    record.address = "10.0.0.1";
    record.port = 80;
    record.availabilityZone = "a";
    record.version = "v1";
    record.slots = 2;
    record.startedAtMs = startedAtMs;
    return record;
}

DirectRequest request(std::uint64_t sequence, Instant now, std::uint64_t order = 0)
{
    DirectRequest made;
    made.id = {1, sequence};
    made.service = "writer";
    made.order = order;
    made.arrivedAt = now;
    made.waitUntil = now + 500ms;
    return made;
}

class Harness
{
public:
    explicit Harness(const std::vector<BackendRecord> &records)
        : scheduler({"a", 38000, 1.5, 5, true})
    {
        list(records, start);
    }

    void list(const std::vector<BackendRecord> &records, Instant now)
    {
        scheduler.setBackends(records, {{"writer", 0}}, now);
    }

    template<typename Action> std::vector<Action> advance(Instant now)
    {
        std::vector<Action> found;
        for (const DirectAction &it : scheduler.advance(now)) {
            if (const auto *action = std::get_if<Action>(&it))
                found.push_back(*action);
        }
        return found;
    }

    // Adds a request and returns the backend server on which it starts at once.
    std::string startOne(std::uint64_t sequence, Instant now)
    {
        scheduler.add(request(sequence, now));
        const auto started = advance<StartAction>(now);
        return started.size() == 1 ? started[0].backend : std::string();
    }

    DirectScheduler scheduler;
};

} // namespace

// A server that leaves but is not understood gets requests until it stops.
TEST_CASE("only the value 1 says that a backend server leaves, in an answer of any status")
{
    for (const std::uint32_t status : {200U, 421U, 500U, 503U})
        CHECK(replyWith({{"server-leaving", "1"}}, status).leaving);
    CHECK(replyWith({{"Server-Leaving", "0"}, {"Server-Leaving", "1"}}).leaving);
    CHECK_FALSE(replyWith({}).leaving);
    CHECK_FALSE(replyWith({}).noticeMalformed);
    for (const char *text : {"", "0", "2", "01", "1.0", "true", "1, 1", "yes"}) {
        const BackendReply reply = replyWith({{"Server-Leaving", text}});
        INFO(text);
        CHECK_FALSE(reply.leaving);
        CHECK(reply.noticeMalformed);
    }
}

// A misread time takes a server away for too long, or lets requests through that it did not want.
TEST_CASE("a pause is read in seconds, and only from a refusal with status 503")
{
    CHECK(replyWith({{"Retry-After", "2"}}).pause == 2s);
    CHECK(replyWith({{"retry-after", "0.25"}}).pause == 250ms);
    CHECK(replyWith({{"Retry-After", "0"}}).pause == 0s);
    CHECK(replyWith({{"Retry-After", "1"}, {"Retry-After", "3"}, {"Retry-After", "x"}}).pause
          == 3s);
    for (const char *text : {"1e300", "999999999999999999999", "86400"})
        CHECK(replyWith({{"Retry-After", text}}).pause == 24h);
    for (const char *text :
         {"", "-1", "-0.5", "nan", "inf", "soon", "2s", "1,5", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
        const BackendReply reply = replyWith({{"Retry-After", text}});
        INFO(text);
        CHECK_FALSE(reply.pause);
        CHECK(reply.noticeMalformed);
    }
    for (const std::uint32_t status : {200U, 421U, 429U, 500U}) {
        CHECK_FALSE(replyWith({{"Retry-After", "2"}}, status).pause);
        CHECK_FALSE(replyWith({{"Retry-After", "soon"}}, status).noticeMalformed);
    }
}

// A server that runs again would stay away, or one that leaves would come back with an old record.
TEST_CASE("that a backend server leaves holds for its start and for all records of earlier ones")
{
    BackendState state;
    state.setRecord(server("s", 2000));
    CHECK_FALSE(state.recordLeaving(1000)); // the answer of an earlier start arrived late
    CHECK_FALSE(state.isLeaving());
    CHECK(state.recordLeaving(2000));
    CHECK_FALSE(state.recordLeaving(2000));
    state.setRecord(server("s", 1000)); // from a copy of the store
    CHECK(state.isLeaving());
    state.setRecord(server("s", 2000));
    CHECK(state.isLeaving());
    state.setRecord(server("s", 2001));
    CHECK_FALSE(state.isLeaving());
    CHECK_FALSE(state.recordLeaving(1500));
    CHECK_FALSE(state.isLeaving());
}

// A wrong value would take a server away for good, a later answer would cut a pause short.
TEST_CASE("a pause ends at its latest end, after five minutes, or with a new start")
{
    BackendState state;
    state.setRecord(server("s", 2000));
    CHECK_FALSE(state.recordPause(2000, 0s, start));
    CHECK_FALSE(state.recordPause(1000, 5s, start));
    CHECK(state.recordPause(2000, 3s, start));
    CHECK_FALSE(state.recordPause(2000, 100ms, start + 1s));
    CHECK(state.pausedUntil == start + 3s);
    CHECK_FALSE(state.recordPause(2000, 24h, start + 2s));
    CHECK(state.pausedUntil == start + 2s + 5min);
    state.setRecord(server("s", 1000));
    CHECK(state.pausedUntil > start + 4s);
    state.setRecord(server("s", 2001));
    CHECK(state.pausedUntil < start);
}

// What a server said would be forgotten when the store loses its record for a moment, or remembered
// for ever.
TEST_CASE("what a backend server said is kept for an hour without its record")
{
    Harness harness({server("s"), server("t")});
    REQUIRE(harness.startOne(1, start) == "s");
    CHECK(harness.scheduler.announcedLeaving({1, 1}, "s"));
    harness.scheduler.ended({1, 1}, {AttemptOutcome::Answered, 10ms, {}}, start + 10ms);
    harness.list({server("t")}, start + 1s);
    harness.list({server("s"), server("t")}, start + 30min);
    CHECK(harness.startOne(2, start + 30min) == "t");
    CHECK(harness.startOne(3, start + 30min) == "t");
    harness.list({server("t")}, start + 31min);
    CHECK(harness.scheduler.backend("s"));
    harness.list({server("t")}, start + 92min);
    CHECK_FALSE(harness.scheduler.backend("s"));
}

// A slot that was requested before would bring the request to the server all the same.
TEST_CASE("slots at a backend server that leaves or pauses are given back unused")
{
    for (const bool leaves : {true, false}) {
        INFO(leaves);
        Harness harness({server("s"), server("t")});
        REQUIRE(harness.startOne(1, start) == "s");
        harness.scheduler.agentResponded("s", start);
        harness.scheduler.agentResponded("t", start);
        harness.scheduler.add(request(2, start));
        CHECK(harness.advance<RequestSlotAction>(start).size() == 2);
        const Instant now = start + 5ms;
        CHECK((leaves ? harness.scheduler.announcedLeaving({1, 1}, "s")
                      : harness.scheduler.askedForPause({1, 1}, "s", 2s, now)));
        const ReleaseSlotAction release {{1, 2}, "s", true};
        CHECK(harness.advance<ReleaseSlotAction>(now) == std::vector {release});
        harness.scheduler.slotGranted({1, 2}, "s", now);
        const auto actions = harness.scheduler.advance(now);
        CHECK(std::count(actions.begin(), actions.end(), DirectAction(release)) == 1);
        CHECK(std::none_of(actions.begin(), actions.end(), [](const DirectAction &it) {
            return std::holds_alternative<StartAction>(it);
        }));
        harness.scheduler.slotGranted({1, 2}, "t", now + 1ms);
        CHECK(harness.advance<StartAction>(now + 1ms) == std::vector {StartAction {{1, 2}, "t"}});
    }
}

// A later request would be sent to another gateway's leaving server for as long as the store lists
// it.
TEST_CASE("peers' reports say which start of a backend server leaves, and pass it on")
{
    Harness first({server("s"), server("t")});
    Harness second({server("s"), server("t")});
    Harness third({server("s"), server("t")});
    REQUIRE(first.startOne(1, start) == "s");
    first.scheduler.announcedLeaving({1, 1}, "s");
    second.scheduler.peerReport(1, first.scheduler.ownLoads(start), start);
    third.scheduler.peerReport(2, second.scheduler.ownLoads(start), start);
    CHECK(third.startOne(1, start) == "t");
    third.list({server("s", 2000), server("t")}, start + 1s);
    CHECK(third.startOne(2, start + 1s) == "s");
    CHECK(third.startOne(3, start + 1s) != "");
}

// Callers would wait in vain, or the less urgent ones in place of the more urgent ones.
TEST_CASE("if all backend servers pause, who waits is decided by rank and the rest is refused")
{
    Harness harness({server("s"), server("t")});
    REQUIRE(harness.startOne(1, start) == "s");
    harness.scheduler.askedForPause({1, 1}, "s", 300ms, start);
    REQUIRE(harness.startOne(2, start) == "t");
    harness.scheduler.askedForPause({1, 2}, "t", 20s, start);
    harness.scheduler.ended({1, 1}, {AttemptOutcome::NotRun, 1ms, {}}, start);
    // Room for the two that start when the pause ends, and one behind them.
    for (std::uint64_t n = 3; n <= 8; ++n)
        harness.scheduler.add(request(n, start, 10 - n)); // the later ones are more urgent
    const auto refused = harness.advance<RefuseAction>(start);
    REQUIRE(refused.size() == 3);
    for (const RefuseAction &it : refused) {
        CHECK(it.request.sequence <= 5);
        CHECK(it.retryAfter >= 300ms);
        CHECK(it.causes.at(AvailabilityReason::Paused) == 2);
    }
    CHECK(harness.advance<StartAction>(start + 299ms).empty());
    const auto started = harness.advance<StartAction>(start + 300ms);
    REQUIRE(started.size() == 2);
    CHECK(started[0] == StartAction {{1, 8}, "s"});
    CHECK(started[1] == StartAction {{1, 7}, "s"});
}

TEST_CASE("a request is refused at once if no backend server's pause ends in time")
{
    Harness harness({server("s")});
    REQUIRE(harness.startOne(1, start) == "s");
    harness.scheduler.askedForPause({1, 1}, "s", 4s, start);
    harness.scheduler.add(request(2, start + 1s));
    const auto refused = harness.advance<RefuseAction>(start + 1s);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason == RefusalReason::Paused);
    CHECK(refused[0].retryAfter >= 3s);
    CHECK(harness.scheduler.waiting() == 0);
}

TEST_CASE("if all backend servers leave, requests wait for another one and are refused truthfully")
{
    Harness harness({server("s")});
    REQUIRE(harness.startOne(1, start) == "s");
    harness.scheduler.announcedLeaving({1, 1}, "s");
    harness.scheduler.add(request(2, start));
    harness.scheduler.add(request(3, start));
    CHECK(harness.advance<RefuseAction>(start).size() == 1); // by the length of the queue
    harness.list({server("s"), server("new")}, start + 100ms);
    CHECK(harness.advance<StartAction>(start + 100ms) == std::vector {StartAction {{1, 2}, "new"}});
    harness.list({server("s")}, start + 200ms);
    harness.scheduler.add(request(4, start + 200ms));
    CHECK(harness.advance<RefuseAction>(start + 200ms).empty());
    const auto refused = harness.advance<RefuseAction>(start + 700ms);
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason == RefusalReason::NoBackend);
    CHECK(refused[0].causes.at(AvailabilityReason::Leaving) == 1);
}

namespace {

// Two backend servers that say in answers that they leave or want a pause, start again, and lose
// and regain their records, also old ones, in front of a scheduler with or without agents. Notes
// what each start said and checks every request that is started.
class NoticeModel
{
public:
    explicit NoticeModel(std::uint64_t seed) : m_random(seed), m_harness(records()) { }

    void step()
    {
        m_now += 1ms * static_cast<std::int64_t>(m_random.below(200));
        const std::string id = m_random.below(2) == 0 ? "s" : "t";
        Server &chosen = m_servers[id];
        switch (m_random.below(8)) {
        case 0:
        case 1:
            m_harness.scheduler.add(request(++m_sequence, m_now, m_random.below(3)));
            break;
        case 2:
            answer(id, chosen);
            break;
        case 3:
            chosen.listed = !chosen.listed;
            list();
            break;
        case 4:
            if (m_random.below(3) == 0)
                chosen.startedAtMs += 1000;
            chosen.oldRecord = m_random.below(4) == 0;
            list();
            break;
        case 5:
            m_harness.scheduler.agentResponded(id, m_now);
            break;
        default:
            // A grant, wanted or not.
            if (m_sequence > 0)
                m_harness.scheduler.slotGranted({1, m_sequence - m_random.below(m_sequence)}, id,
                                                m_now);
        }
        advance();
    }

    bool sound() const { return m_sound; }
    int started() const { return m_started; }

private:
    struct Server
    {
        std::int64_t startedAtMs = 1000;
        bool listed = true;
        bool oldRecord = false;          // the record is one of an earlier start
        std::int64_t latestStart = 1000; // that was listed
        std::int64_t leavingStart = 0;   // the latest one that said so
        Instant pausedUntil {};          // at the request of latestStart
    };
    struct Running
    {
        std::string backend;
        std::int64_t start = 0; // latestStart of the backend server
    };

    static std::vector<BackendRecord> records() { return {server("s"), server("t")}; }

    void list()
    {
        std::vector<BackendRecord> listed;
        for (auto &[id, it] : m_servers) {
            if (!it.listed) {
                // Nothing of it is kept if it said nothing.
                if (it.leavingStart == 0 && it.pausedUntil <= m_now && !isRunning(id))
                    it.latestStart = 0;
                continue;
            }
            const std::int64_t recorded = it.startedAtMs - (it.oldRecord ? 500 : 0);
            listed.push_back(server(id, recorded));
            if (recorded > it.latestStart)
                it.pausedUntil = {};
            it.latestStart = std::max(it.latestStart, recorded);
        }
        m_harness.list(listed, m_now);
    }

    bool isRunning(const std::string &id) const
    {
        return std::any_of(m_running.begin(), m_running.end(),
                           [&](const auto &it) { return it.second.backend == id; });
    }

    // One of the server's running requests is answered.
    void answer(const std::string &id, Server &chosen)
    {
        const auto it = std::find_if(m_running.begin(), m_running.end(),
                                     [&](const auto &entry) { return entry.second.backend == id; });
        if (it == m_running.end())
            return;
        const auto kind = m_random.below(4);
        if (kind == 0) {
            m_harness.scheduler.announcedLeaving({1, it->first}, id);
            chosen.leavingStart = std::max(chosen.leavingStart, it->second.start);
        } else if (kind == 1) {
            const Duration pause = 1ms * static_cast<std::int64_t>(m_random.below(3000));
            m_harness.scheduler.askedForPause({1, it->first}, id, pause, m_now);
            if (it->second.start == chosen.latestStart)
                chosen.pausedUntil = std::max(chosen.pausedUntil, m_now + pause);
        }
        m_harness.scheduler.ended(
                {1, it->first},
                {kind == 1 ? AttemptOutcome::NotRun : AttemptOutcome::Answered, 5ms, {}}, m_now);
        m_running.erase(it);
    }

    void advance()
    {
        for (const StartAction &it : m_harness.advance<StartAction>(m_now)) {
            const Server &target = m_servers[it.backend];
            const bool leaving = target.leavingStart >= target.latestStart;
            m_sound = m_sound && target.listed && !leaving && target.pausedUntil <= m_now;
            m_running[it.request.sequence] = {it.backend, target.latestStart};
            ++m_started;
        }
    }

    SeededRandom m_random;
    std::map<std::string, Server> m_servers {{"s", {}}, {"t", {}}};
    Harness m_harness;
    std::map<std::uint64_t, Running> m_running; // by sequence number
    Instant m_now = start;
    std::uint64_t m_sequence = 0;
    bool m_sound = true;
    int m_started = 0;
};

} // namespace

// An order of answers, grants and records that nobody thought of lets a request through.
TEST_CASE(
        "property: no request starts in a pause, or at a start that leaves, in any order of events")
{
    CHECK(rc::check([] {
        NoticeModel model(*rc::gen::inRange<std::uint64_t>(0, 1000000000));
        for (int n = 0; n < 300; ++n)
            model.step();
        RC_ASSERT(model.sound());
        RC_ASSERT(model.started() > 0);
    }));
}

// Servers that are kept in memory because they said that they leave must not count for the share of
// a service that may be ejected, or all that are left are ejected together.
TEST_CASE("servers that have left do not raise the number of those that may be ejected")
{
    for (const bool announced : {false, true}) {
        CAPTURE(announced);
        DirectScheduler scheduler({"a", 38000, 1.5, 5, false});
        std::vector<BackendRecord> all;
        all.reserve(12);
        for (int n = 0; n < 12; ++n)
            all.push_back(server("i-" + std::to_string(n)));
        scheduler.setBackends(all, {{"writer", 0}}, start);
        for (int n = 3; announced && n < 12; ++n)
            scheduler.announcedLeaving({2, 1}, "i-" + std::to_string(n));
        scheduler.setBackends({all[0], all[1], all[2]}, {{"writer", 0}}, start);
        std::uint64_t sequence = 0;
        for (Instant now = start; now < start + 900ms; now += 10ms) {
            scheduler.add(request(++sequence, now));
            for (const DirectAction &it : scheduler.advance(now)) {
                if (const auto *action = std::get_if<StartAction>(&it))
                    scheduler.ended(action->request, {AttemptOutcome::Failed, 1ms, {}}, now);
            }
        }
        // One of three, as the share is about a third.
        CHECK(scheduler.countUnavailable(AvailabilityReason::Ejected, start + 900ms) <= 1);
    }
}
