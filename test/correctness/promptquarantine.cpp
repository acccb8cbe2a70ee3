// Guards against prompt parts that go on crashing backend servers after enough crashes were seen,
// and against sound parts that are held back: because they were under way on a server that
// crashed, share a prompt with the part that crashes, or were hit by a failure of many servers.

#include "promptquarantine.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <set>

using namespace cornelshed;
using namespace std::chrono_literals;

namespace {

const Instant start {1h};

constexpr std::uint64_t sharedPart = 11;
constexpr std::uint64_t deadlyPart = 13;

PromptIdentity prompt(std::vector<std::uint64_t> parts, std::uint64_t session)
{
    return {std::move(parts), session};
}

// Passes everything that one gateway reports to the other.
void share(PromptQuarantine &from, PromptQuarantine &to, Instant now)
{
    to.merge(from.reports(now), now);
}

// Three crashes under the deadly part, one after the other.
void crashThreeServers(PromptQuarantine &quarantine, Instant at)
{
    for (std::uint64_t n = 1; n <= 3; ++n)
        quarantine.recordCrash(prompt({sharedPart, deadlyPart}, n), n, at + n * 200ms - 50ms,
                               at + n * 200ms);
    quarantine.advance(at + 700ms);
}

} // namespace

TEST_CASE("servers crash one after the other: the part that all prompts hold is quarantined alone")
{
    PromptQuarantine quarantine;
    quarantine.recordCrash(prompt({sharedPart, deadlyPart}, 1), 1, start, start + 50ms);
    quarantine.recordCrash(prompt({sharedPart, deadlyPart}, 1), 2, start + 60ms, start + 100ms);
    CHECK_FALSE(quarantine.refusal(prompt({sharedPart, deadlyPart}, 3), start + 150ms));
    quarantine.recordCrash(prompt({sharedPart, deadlyPart}, 2), 3, start + 560ms, start + 600ms);
    const auto refusal = quarantine.refusal(prompt({deadlyPart}, 3), start + 600ms);
    REQUIRE(refusal);
    CHECK(*refusal == 1min);
    CHECK_FALSE(quarantine.refusal(prompt({sharedPart}, 3), start + 600ms));
    CHECK_FALSE(quarantine.isSuspect(prompt({sharedPart}, 3)));
    CHECK(quarantine.takeNewlyQuarantined() == std::vector<std::uint64_t> {deadlyPart});
}

TEST_CASE("one request repeated at many servers, or one server that cuts many, convicts no part")
{
    PromptQuarantine oneSession;
    PromptQuarantine oneServer;
    for (std::uint64_t n = 1; n <= 6; ++n) {
        oneSession.recordCrash(prompt({sharedPart}, 1), n, start + n * 1s, start + n * 1s + 100ms);
        oneServer.recordCrash(prompt({sharedPart}, n), 1, start + n * 1s, start + n * 1s + 100ms);
    }
    CHECK(oneSession.quarantined() == 0);
    CHECK(oneServer.quarantined() == 0);
}

TEST_CASE("power fails in a zone: requests cut at the same moment convict no part")
{
    PromptQuarantine quarantine;
    for (std::uint64_t n = 1; n <= 20; ++n)
        quarantine.recordCrash(prompt({sharedPart}, n), n, start, start + 200ms + n * 5ms);
    quarantine.advance(start + 2s);
    CHECK(quarantine.quarantined() == 0);
}

TEST_CASE("an answer that goes on clears the part, here and at the peers")
{
    PromptQuarantine first;
    PromptQuarantine second;
    crashThreeServers(first, start);
    share(first, second, start + 800ms);
    REQUIRE(second.refusal(prompt({deadlyPart}, 9), start + 800ms));
    // It had been sent before the part was quarantined.
    second.recordAnswer(prompt({sharedPart, deadlyPart}, 8), start + 2s);
    CHECK_FALSE(second.refusal(prompt({deadlyPart}, 9), start + 2s));
    share(second, first, start + 2s + 10ms);
    CHECK_FALSE(first.refusal(prompt({deadlyPart}, 9), start + 2s + 10ms));
    // The peer's older report does not bring the quarantine back.
    share(first, second, start + 2s + 20ms);
    CHECK(second.quarantined() == 0);
}

TEST_CASE(
        "crashes at different gateways add up, and a gateway that starts learns of the quarantine")
{
    PromptQuarantine first;
    PromptQuarantine second;
    PromptQuarantine third;
    first.recordCrash(prompt({deadlyPart}, 1), 1, start, start + 50ms);
    share(first, second, start + 60ms);
    second.recordCrash(prompt({deadlyPart}, 2), 2, start + 70ms, start + 100ms);
    share(second, third, start + 110ms);
    third.recordCrash(prompt({deadlyPart}, 3), 3, start + 550ms, start + 600ms);
    REQUIRE(third.refusal(prompt({deadlyPart}, 4), start + 600ms));
    // Long after the change was announced.
    PromptQuarantine started;
    share(third, started, start + 20s);
    const auto refusal = started.refusal(prompt({deadlyPart}, 4), start + 20s);
    REQUIRE(refusal);
    CHECK(*refusal == 1min + 600ms - 20s);
    CHECK(started.takeNewlyQuarantined() == std::vector<std::uint64_t> {deadlyPart});
}

// Guards against a second prompt that goes on crashing servers because crashes under a first one,
// before the servers started again, are taken to explain the later ones.
TEST_CASE(
        "the store is silent, so servers keep their names when they start again: crashes under one "
        "prompt do not explain later ones under another")
{
    const PromptIdentity earlier {{}, 0, 21};
    const PromptIdentity later {{}, 0, 23};
    std::array<PromptQuarantine, 3> gateways;
    const auto shareAll = [&](Instant now) {
        for (PromptQuarantine &from : gateways) {
            for (PromptQuarantine &to : gateways) {
                if (&from != &to)
                    share(from, to, now);
            }
        }
    };
    for (std::uint64_t n = 1; n <= 3; ++n)
        gateways[0].recordCrash(earlier, n, start + n * 100ms - 50ms, start + n * 100ms);
    shareAll(start + 1s);
    REQUIRE(gateways[2].refusal(earlier, start + 1s));
    for (std::uint64_t n = 1; n <= 3; ++n)
        gateways[n - 1].recordCrash(later, n, start + 5s + n * 100ms - 50ms,
                                    start + 5s + n * 100ms);
    shareAll(start + 6s);
    shareAll(start + 6s + 50ms);
    for (PromptQuarantine &it : gateways)
        CHECK(it.refusal(later, start + 6s + 50ms));
    // A crash at the same moment is explained, whatever the delay of the report.
    const PromptIdentity beside {{}, 0, 25};
    PromptQuarantine third;
    third.recordCrash(beside, 2, start + 120ms, start + 205ms);
    share(gateways[0], third, start + 7s);
    third.recordCrash(beside, 8, start + 7s, start + 8s);
    third.recordCrash(beside, 9, start + 9s, start + 10s);
    CHECK_FALSE(third.refusal(beside, start + 11s));
}

// Guards against two prompts that crash the same servers and excuse each other, and against a sound
// one that was beside them and is held back as long.
TEST_CASE(
        "two whole prompts were in the same crashes: gateways take turns in trying them, one more "
        "crash convicts one of them, an answer clears the other")
{
    const PromptIdentity deadly {{}, 0, 21};
    const PromptIdentity sound {{}, 0, 23};
    std::array<PromptQuarantine, 3> gateways;
    const auto shareAll = [&](Instant now) {
        for (PromptQuarantine &from : gateways) {
            from.advance(now);
            for (PromptQuarantine &to : gateways) {
                if (&from != &to)
                    share(from, to, now);
            }
        }
    };
    for (std::uint32_t n = 0; n < 3; ++n) {
        gateways[n].setGateways(3, n);
        for (const PromptIdentity *it : {&deadly, &sound})
            gateways[n].recordCrash(*it, n + 1, start + n * 100ms - 50ms, start + n * 100ms);
    }
    for (Instant now = start + 200ms; now < start + 3s; now += 50ms) {
        shareAll(now);
        std::size_t turns = 0;
        for (PromptQuarantine &it : gateways) {
            CHECK_FALSE(it.refusal(deadly, now));
            turns += it.probationWait(deadly, now) ? 0 : 1;
        }
        CHECK(turns <= 1);
    }
    // The first turn after the servers are back.
    Instant trial = start + 3s;
    while (gateways[0].probationWait(deadly, trial))
        trial += 10ms;
    gateways[0].recordProbationTrial(deadly, trial);
    CHECK(gateways[0].probationWait(sound, trial + 50ms));
    gateways[0].recordCrash(deadly, 4, trial, trial + 90ms);
    shareAll(trial + 100ms);
    shareAll(trial + 400ms);
    for (PromptQuarantine &it : gateways) {
        CHECK(it.refusal(deadly, trial + 400ms));
        CHECK_FALSE(it.refusal(sound, trial + 400ms));
    }
    gateways[1].recordCompletion(sound, trial + 500ms);
    shareAll(trial + 550ms);
    for (PromptQuarantine &it : gateways)
        CHECK_FALSE(it.probationWait(sound, trial + 550ms));
}

TEST_CASE(
        "unchanged reports settle: gateways do not renew a quarantine by telling each other of it")
{
    PromptQuarantine first;
    PromptQuarantine second;
    crashThreeServers(first, start);
    for (Instant now = start + 800ms; now < start + 30s; now += 50ms) {
        second.merge(first.reports(now), now + 20ms); // on their way for this long
        first.merge(second.reports(now + 30ms), now + 50ms);
    }
    const auto refusal = second.refusal(prompt({deadlyPart}, 9), start + 30s);
    REQUIRE(refusal);
    CHECK(*refusal <= 31s);
}

// Guards against a sound shared part that is held back because the gateway has dropped crashes
// under the part that is to blame, and hears of them again under the shared one.
TEST_CASE(
        "16 servers crash at short intervals: late reports of these crashes under the shared part "
        "alone do not convict it")
{
    PromptQuarantine quarantine;
    const auto crashedAt = [](std::uint64_t n) { return start + n * 40ms; };
    for (std::uint64_t n = 1; n <= 16; ++n)
        quarantine.recordCrash(prompt({sharedPart, deadlyPart}, n), n, crashedAt(n) - 30ms,
                               crashedAt(n));
    const Instant now = start + 700ms;
    quarantine.advance(now);
    REQUIRE(quarantine.refusal(prompt({deadlyPart}, 99), now));
    PromptPartReport late {sharedPart, PromptPartKind::Shared, 0, {}, {}, {}, {}};
    for (std::uint64_t n = 1; n <= 16; ++n)
        late.crashes.push_back({n, n, 0, now - crashedAt(n) + 30ms, now - crashedAt(n), false});
    quarantine.merge({late}, now);
    quarantine.advance(now + 1s);
    CHECK_FALSE(quarantine.refusal(prompt({sharedPart}, 99), now + 1s));
}

// Guards against reports that do not fit into a datagram, of which peers get nothing.
TEST_CASE(
        "many parts in many crashes: a report has at most 320 of them, and all parts are reported "
        "in turn")
{
    PromptQuarantine quarantine;
    for (std::uint64_t part = 1; part <= 30; ++part) {
        for (std::uint64_t n = 1; n <= 40; ++n)
            quarantine.recordCrash(prompt({part}, 1), part * 100 + n, start, start + n * 10ms);
    }
    std::set<std::uint64_t> reported;
    for (Instant now = start + 5s; now < start + 10s; now += 50ms) {
        std::size_t crashes = 0;
        for (const PromptPartReport &it : quarantine.reports(now)) {
            crashes += it.crashes.size();
            reported.insert(it.part);
        }
        CHECK(crashes <= 320);
    }
    for (std::uint64_t part = 1; part <= 30; ++part)
        CHECK(reported.count(part) == 1);
}

TEST_CASE("after the quarantine, one gateway sends one trial; a crash doubles the time to the next")
{
    constexpr std::uint32_t gatewayCount = 5;
    std::vector<std::unique_ptr<PromptQuarantine>> gateways;
    for (std::uint32_t n = 0; n < gatewayCount; ++n) {
        gateways.push_back(std::make_unique<PromptQuarantine>());
        gateways.back()->setGateways(gatewayCount, n);
        crashThreeServers(*gateways.back(), start);
    }
    std::vector<Duration> trials;
    for (Instant now = start + 800ms; now < start + 10min; now += 100ms) {
        for (std::uint32_t n = 0; n < gatewayCount; ++n) {
            const auto request = prompt({deadlyPart},
                                        static_cast<std::uint64_t>(now.time_since_epoch().count()));
            if (gateways[n]->refusalAtStart(request, now))
                continue;
            trials.push_back(now - start);
            gateways[n]->recordCrash(request, 1000 + trials.size(), now, now + 50ms);
        }
        for (auto &from : gateways) {
            for (auto &to : gateways) {
                if (from != to)
                    share(*from, *to, now + 60ms);
            }
        }
    }
    // After 1, 1 + 2 and 1 + 2 + 4 minutes, each up to a round of turns later.
    REQUIRE(trials.size() == 3);
    CHECK(trials[0] >= 1min);
    CHECK(trials[0] < 1min + 30s);
    CHECK(trials[1] - trials[0] >= 2min);
    CHECK(trials[1] - trials[0] < 2min + 30s);
    CHECK(trials[2] - trials[1] >= 4min);
}

TEST_CASE("a trial that is answered brings the part back into use everywhere")
{
    PromptQuarantine first;
    PromptQuarantine second;
    first.setGateways(1, 0);
    crashThreeServers(first, start);
    share(first, second, start + 800ms);
    const Instant later = start + 2min;
    REQUIRE_FALSE(first.refusalAtStart(prompt({deadlyPart}, 9), later));
    CHECK(first.refusal(prompt({deadlyPart}, 10), later));
    first.recordAnswer(prompt({deadlyPart}, 9), later + 300ms);
    share(first, second, later + 310ms);
    for (PromptQuarantine *it : {&first, &second})
        CHECK_FALSE(it->refusal(prompt({deadlyPart}, 10), later + 310ms));
}

TEST_CASE(
        "a caller with many made-up parts neither fills the table nor displaces a quarantined part")
{
    PromptQuarantineSettings settings;
    settings.partLimit = 100;
    PromptQuarantine quarantine(settings);
    crashThreeServers(quarantine, start);
    for (std::uint64_t n = 0; n < 1000; ++n) {
        quarantine.recordCrash(prompt({1000 + n, 5000 + n, 9000 + n}, n), 100 + n, start + 1s,
                               start + 1s + 10ms);
        CHECK(quarantine.remembered() <= settings.partLimit);
    }
    CHECK(quarantine.refusal(prompt({deadlyPart}, 9), start + 2s));
    CHECK(quarantine.quarantined() == 1);
}

namespace {

// Crashes of servers before the answers of their requests have begun.
struct SilentCrashes
{
    bool deadlyParts = false;               // requests with the deadly part crash servers so
    std::optional<Duration> ownInterval {}; // servers crash by themselves, one in this time
};

// Gateways in virtual time. Requests with the deadly part and sound ones arrive at random gateways;
// each deadly one crashes its server when its answer begins, or just before. Reports are late and
// may be lost.
class Fleet
{
public:
    Fleet(std::uint32_t gatewayCount, std::uint32_t lossPercent, Duration reportInterval,
          std::uint64_t seed, const SilentCrashes &silentCrashes = {})
        : m_random(seed), m_lossPercent(lossPercent), m_reportInterval(reportInterval),
          m_silentCrashes(silentCrashes)
    {
        for (std::uint32_t n = 0; n < gatewayCount; ++n) {
            m_gateways.push_back(std::make_unique<PromptQuarantine>());
            m_gateways.back()->setGateways(gatewayCount, n);
            m_startedAt.push_back(start - 1h);
        }
    }

    // deadlyPercent: share of the requests. restarts: whether each second one gateway starts again
    // and has lost what it knew.
    void run(Duration length, std::uint32_t deadlyPercent, bool restarts)
    {
        Duration sinceRestart {};
        for (m_now = start; m_now < start + length; m_now += m_reportInterval) {
            for (int n = 0; n < 3; ++n)
                arrive(m_random.below(100) < deadlyPercent);
            endRequests();
            crashByThemselves();
            confirmCrashes();
            exchangeReports();
            for (auto &it : m_gateways)
                it->advance(m_now);
            sinceRestart += m_reportInterval;
            if (restarts && sinceRestart >= 1s) {
                sinceRestart = {};
                const std::size_t n = m_random.below(m_gateways.size());
                m_gateways[n] = std::make_unique<PromptQuarantine>();
                m_gateways[n]->setGateways(static_cast<std::uint32_t>(m_gateways.size()),
                                           static_cast<std::uint32_t>(n));
                m_startedAt[n] = m_now;
                std::erase_if(m_unconfirmed,
                              [&](const Unconfirmed &it) { return it.request.gateway == n; });
                for (auto &it : m_gateways)
                    it->peerStarted(m_now);
            }
        }
    }

    // Deadly requests that were sent later than this after the fifth crash, by gateways that had
    // run for this time.
    std::size_t sentLaterThan(Duration time) const
    {
        if (m_crashes.size() < 5)
            return 0;
        return static_cast<std::size_t>(
                std::count_if(m_deadlySent.begin(), m_deadlySent.end(), [&](const auto &it) {
                    return it.first > m_crashes[4] + time && it.second > time;
                }));
    }

    std::size_t soundHeldBack() const { return m_soundHeldBack; }
    std::size_t crashes() const { return m_crashes.size(); }

private:
    struct Running
    {
        std::size_t gateway = 0;
        PromptIdentity prompt;
        bool deadly = false;
        Instant sentAt {};
        Instant beginsAt {};
        std::size_t server = 0;
    };

    // A request whose server crashed while its gateway awaited the answer.
    struct Unconfirmed
    {
        Running request;
        std::uint64_t crash = 0; // digest of the server and its start
        Instant crashedAt {};
        Instant confirmedAt {};
    };

    static constexpr std::size_t serverCount = 16;
    static constexpr Duration downTime = 3s;

    void arrive(bool deadly)
    {
        const std::size_t server = m_random.below(serverCount);
        if (m_now < m_upAt[server])
            return;
        const std::size_t gateway = m_random.below(m_gateways.size());
        // Sound requests share their first part with the deadly ones, or have one of many others.
        std::vector<std::uint64_t> parts {m_random.below(4) == 0 ? sharedPart
                                                                 : 100 + m_random.below(150)};
        if (deadly)
            parts = {sharedPart, deadlyPart};
        const PromptIdentity identity = prompt(parts, ++m_session);
        if (m_gateways[gateway]->refusalAtStart(identity, m_now)) {
            m_soundHeldBack += deadly ? 0 : 1;
            return;
        }
        if (deadly)
            m_deadlySent.emplace_back(m_now, m_now - m_startedAt[gateway]);
        m_running.push_back({gateway, identity, deadly, m_now,
                             m_now + 50ms + Duration(m_random.below(300000)), server});
    }

    void endRequests()
    {
        for (std::size_t i = 0; i < m_running.size();) {
            const Running it = m_running[i];
            if (it.beginsAt > m_now) {
                ++i;
                continue;
            }
            m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(i));
            if (!it.deadly) {
                m_gateways[it.gateway]->recordAnswer(it.prompt, m_now);
                continue;
            }
            m_crashes.push_back(m_now);
            if (m_silentCrashes.deadlyParts) {
                m_running.push_back(it);
                crash(it.server);
                i = 0;
                continue;
            }
            m_gateways[it.gateway]->recordCrash(it.prompt, ++m_crashedServer, it.sentAt, m_now);
            // A few sound ones were beside it, and one of them had just begun to be answered, too.
            if (!m_running.empty() && m_random.below(3) == 0) {
                const std::size_t beside = m_random.below(m_running.size());
                const Running other = m_running[beside];
                if (!other.deadly)
                    m_gateways[other.gateway]->recordCrash(other.prompt, m_crashedServer,
                                                           other.sentAt, m_now);
            }
        }
    }

    // Cuts all requests on the server before their answers begin.
    void crash(std::size_t server)
    {
        ++m_crashedServer;
        m_upAt[server] = m_now + downTime;
        std::erase_if(m_running, [&](const Running &it) {
            if (it.server == server)
                m_unconfirmed.push_back(
                        {it, m_crashedServer, m_now, m_now + Duration(m_random.below(300000))});
            return it.server == server;
        });
    }

    void crashByThemselves()
    {
        if (!m_silentCrashes.ownInterval || m_now < m_nextOwnCrash)
            return;
        m_nextOwnCrash = m_now + *m_silentCrashes.ownInterval;
        crash(m_random.below(serverCount));
    }

    void confirmCrashes()
    {
        std::erase_if(m_unconfirmed, [&](const Unconfirmed &it) {
            if (it.confirmedAt > m_now)
                return false;
            m_gateways[it.request.gateway]->recordConfirmedCrash(
                    it.request.prompt, it.crash, it.request.sentAt, it.crashedAt, m_now);
            return true;
        });
    }

    void exchangeReports()
    {
        for (auto &from : m_gateways) {
            const auto reports = from->reports(m_now);
            for (int n = 0; n < 5; ++n) {
                auto &to = m_gateways[m_random.below(m_gateways.size())];
                if (to == from || m_random.below(100) < m_lossPercent)
                    continue;
                to->merge(reports, m_now);
            }
        }
    }

    SeededRandom m_random;
    std::uint32_t m_lossPercent;
    Duration m_reportInterval;
    SilentCrashes m_silentCrashes;
    Instant m_now {};
    Instant m_nextOwnCrash {};
    std::array<Instant, serverCount> m_upAt {};
    std::vector<Unconfirmed> m_unconfirmed;
    std::vector<std::unique_ptr<PromptQuarantine>> m_gateways;
    std::vector<Running> m_running;
    std::vector<Instant> m_crashes;
    std::vector<std::pair<Instant, Duration>> m_deadlySent; // when, and the gateway's uptime
    std::vector<Instant> m_startedAt;                       // by gateway
    std::uint64_t m_session = 0;
    std::uint64_t m_crashedServer = 0;
    std::size_t m_soundHeldBack = 0;
};

} // namespace

TEST_CASE("property: 3 s after the fifth crash, at most three requests with the part are sent, and "
          "no sound request is held back")
{
    CHECK(rc::check([] {
        const auto gatewayCount = *rc::gen::inRange<std::uint32_t>(1, 60);
        const auto loss = *rc::gen::inRange<std::uint32_t>(0, 50);
        const auto deadlyPercent = *rc::gen::inRange<std::uint32_t>(1, 60);
        const auto restarts = *rc::gen::arbitrary<bool>();
        const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1000000);
        Fleet fleet(gatewayCount, loss, 50ms, seed);
        // With one gateway, a restart loses all that is known.
        fleet.run(40s, deadlyPercent, restarts && gatewayCount > 3);
        RC_ASSERT(fleet.sentLaterThan(3s) <= 3U);
        RC_ASSERT(fleet.soundHeldBack() == 0U);
    }));
}

// Guards against the fault that the property above found with seed 5: 19 servers crash in 0.7 s
// under the deadly part, more than a gateway remembered, and the shared part was held back.
TEST_CASE(
        "39 gateways, more than half of the first requests are deadly: the shared part is not held "
        "back")
{
    Fleet fleet(39, 24, 50ms, 336208);
    fleet.run(40s, 58, true);
    CHECK(fleet.sentLaterThan(3s) <= 3);
    CHECK(fleet.soundHeldBack() == 0);
}

// Guards against a part that goes on crashing servers because nothing of an answer ever arrives,
// and against sound parts that are held back because they were on these servers, too.
TEST_CASE("property: the same holds if servers crash before any answer begins, under the part and "
          "by themselves")
{
    CHECK(rc::check([] {
        const auto gatewayCount = *rc::gen::inRange<std::uint32_t>(1, 60);
        const auto loss = *rc::gen::inRange<std::uint32_t>(0, 50);
        const auto deadlyPercent = *rc::gen::inRange<std::uint32_t>(1, 60);
        const auto restarts = *rc::gen::arbitrary<bool>();
        const auto ownMilliseconds = *rc::gen::inRange<std::uint32_t>(1000, 8000);
        const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1000000);
        Fleet fleet(gatewayCount, loss, 50ms, seed,
                    {true, std::chrono::milliseconds(ownMilliseconds)});
        fleet.run(40s, deadlyPercent, restarts && gatewayCount > 3);
        RC_ASSERT(fleet.sentLaterThan(3s) <= 3U);
        RC_ASSERT(fleet.soundHeldBack() == 0U);
    }));
}

// Guards against prompts that are held back because a server crashes by itself every second.
TEST_CASE("property: servers that crash by themselves before answers begin hold back no prompt")
{
    CHECK(rc::check([] {
        const auto gatewayCount = *rc::gen::inRange<std::uint32_t>(1, 60);
        const auto ownMilliseconds = *rc::gen::inRange<std::uint32_t>(200, 2000);
        const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1000000);
        Fleet fleet(gatewayCount, 10, 50ms, seed,
                    {false, std::chrono::milliseconds(ownMilliseconds)});
        fleet.run(40s, 0, false);
        RC_ASSERT(fleet.soundHeldBack() == 0U);
    }));
}

TEST_CASE("a part is quarantined after three crashes once answers had begun, or after five if some "
          "were awaited; an answer in between begins the count again")
{
    const auto crash = [](PromptQuarantine &quarantine, std::uint64_t n, bool awaited) {
        const Instant at = start + n * 1s;
        if (awaited)
            quarantine.recordConfirmedCrash(prompt({deadlyPart}, n), n, at - 100ms, at, at + 200ms);
        else
            quarantine.recordCrash(prompt({deadlyPart}, n), n, at - 100ms, at);
        quarantine.advance(at + 600ms);
    };
    const auto isQuarantined = [](const PromptQuarantine &quarantine) {
        return quarantine.refusal(prompt({deadlyPart}, 99), start + 1min).has_value();
    };
    for (const std::uint64_t begun : {0, 2}) {
        PromptQuarantine quarantine;
        for (std::uint64_t n = 1; n <= 5; ++n) {
            CHECK_FALSE(isQuarantined(quarantine));
            crash(quarantine, n, n > begun);
        }
        CHECK(isQuarantined(quarantine));
    }
    PromptQuarantine answered;
    for (std::uint64_t n = 1; n <= 9; ++n) {
        crash(answered, n, true);
        if (n == 4)
            answered.recordAnswer(prompt({deadlyPart}, 50), start + n * 1s + 300ms);
        CHECK(isQuarantined(answered) == (n == 9));
    }
}

TEST_CASE("a crash that is first known from a request whose answer was awaited counts in full once "
          "another one shows that an answer had begun")
{
    PromptQuarantine first;
    PromptQuarantine second;
    for (std::uint64_t n = 1; n <= 3; ++n) {
        const Instant at = start + n * 1s;
        first.recordConfirmedCrash(prompt({deadlyPart}, n), n, at - 100ms, at, at);
        second.recordCrash(prompt({deadlyPart}, 10 + n), n, at - 100ms, at);
    }
    CHECK_FALSE(first.refusal(prompt({deadlyPart}, 20), start + 4s));
    share(second, first, start + 4s);
    CHECK(first.refusal(prompt({deadlyPart}, 20), start + 4s));
}
