// Guards against two requests with the same idempotency key both being allowed to run. Several
// simulated entry daemons share one table; transactions and their answers get lost or arrive late,
// the table has outages, and daemons restart.

#include "claims.h"
#include "claimrow.h"
#include "eventqueue.h"
#include "tablemodel.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

using namespace cornelshed;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t daemonCount = 3;

class ClaimSimulation
{
public:
    ClaimSimulation(std::uint64_t seed, std::uint64_t faultPercent)
        : m_random(seed), m_faultPercent(faultPercent), m_daemons(daemonCount)
    {
        for (std::size_t n = 0; n < daemonCount; ++n)
            restart(n);
    }

    // Claims random keys, out of a few, at random times during 20 s, with restarts and outages.
    // Then leaves time to resolve all claims and updates.
    void run(int claims, std::uint64_t maxRestarts)
    {
        for (int n = 0; n < claims; ++n) {
            const Duration at(m_random.below(20000000));
            m_events.after(at, [this] { claimRandomKey(); });
        }
        for (std::uint64_t n = m_random.below(maxRestarts + 1); n > 0; --n)
            m_events.after(Duration(m_random.below(20000000)),
                           [this] { restart(m_random.below(daemonCount)); });
        for (std::uint64_t n = m_random.below(3); n > 0; --n)
            startOutage(Duration(m_random.below(20000000)), Duration(m_random.below(6000000)));
        m_events.runFor(seconds(140)); // updates are retried until their calls succeed
    }

    // Number of keys that cannot be claimed although certainly no request has run with them.
    std::size_t blockedKeyCount()
    {
        m_faultPercent = 0;
        std::size_t blocked = 0;
        for (int n = 0; n < 6; ++n) {
            const std::string key = "k/" + std::to_string(n);
            if (m_possiblyRunKeys.count(key) != 0)
                continue;
            const int before = verdictCount(ClaimVerdict::Claimed);
            claim(0, key, 1);
            m_events.runFor(seconds(1));
            blocked += verdictCount(ClaimVerdict::Claimed) == before ? 1 : 0;
        }
        return blocked;
    }

    void startOutage(Duration in, Duration length)
    {
        m_events.after(in, [this] { m_tableDown = true; });
        m_events.after(in + length, [this] { m_tableDown = false; });
    }

    bool anyKeyGrantedTwice() const { return m_anyKeyGrantedTwice; }
    bool anyWrongAnswer() const { return m_anyWrongAnswer; }
    bool anyClaimDecidedTwice() const { return m_anyClaimDecidedTwice; }
    bool anyCommitTooEarly() const { return m_anyCommitTooEarly; }
    std::size_t undecidedCount() const { return m_undecided.size(); }
    std::size_t pendingCount() const
    {
        std::size_t count = 0;
        for (const Daemon &it : m_daemons)
            count += it.tracker->pendingCount();
        return count;
    }
    int verdictCount(ClaimVerdict it) const { return m_verdicts.count(it) ? m_verdicts.at(it) : 0; }

    void claim(std::size_t index, const std::string &key, std::uint64_t digest)
    {
        Daemon &daemon = m_daemons[index];
        const RequestId request {daemon.incarnation, ++m_sequence};
        m_undecided[request] = key;
        performAll(index, daemon.tracker->claim({"org", key}, request, digest, m_events.now()));
    }

    void runFor(Duration duration) { m_events.runFor(duration); }

private:
    struct Daemon
    {
        std::optional<ClaimTracker> tracker;
        std::uint64_t incarnation = 0;
        Instant lastCommit = Instant::min();
        Instant wakeAt = instantNever;
    };

    void restart(std::size_t index)
    {
        std::erase_if(m_undecided, [&](const auto &it) {
            return it.first.entryIncarnation == m_daemons[index].incarnation;
        });
        m_daemons[index] = Daemon {ClaimTracker(ClaimLimits {}), ++m_lastIncarnation,
                                   Instant::min(), instantNever};
    }

    void claimRandomKey()
    {
        const std::string key = "k/" + std::to_string(m_random.below(6));
        claim(m_random.below(daemonCount), key, m_random.below(10) == 0 ? 2 : 1);
    }

    void scheduleInDaemon(std::size_t index, Duration delay, std::function<void()> run)
    {
        m_events.after(
                delay,
                [this, index, incarnation = m_daemons[index].incarnation, run = std::move(run)] {
                    if (m_daemons[index].incarnation == incarnation)
                        run();
                });
    }

    void performAll(std::size_t index, const ClaimActions &actions)
    {
        for (const ClaimAction &it : actions)
            std::visit([&](const auto &action) { perform(index, action); }, it);
        const Instant wake = m_daemons[index].tracker->nextWakeTime();
        if (wake >= m_daemons[index].wakeAt)
            return;
        m_daemons[index].wakeAt = wake;
        scheduleInDaemon(index, wake - m_events.now(), [this, index] {
            m_daemons[index].wakeAt = instantNever;
            performAll(index, m_daemons[index].tracker->tick(m_events.now()));
        });
    }

    Duration delay() { return Duration(m_random.below(30000)); }
    bool injectFault() { return m_random.below(100) < m_faultPercent; }

    void perform(std::size_t index, const CommitClaims &action)
    {
        Daemon &daemon = m_daemons[index];
        if (daemon.lastCommit != Instant::min()
            && m_events.now() - daemon.lastCommit < milliseconds(10))
            m_anyCommitTooEarly = true;
        daemon.lastCommit = m_events.now();
        const TableError unavailable {TableErrorKind::Unavailable, ""};
        const TableError noAnswer {TableErrorKind::Unknown, ""};
        if (m_tableDown)
            return answerCommit(index, action.id, unavailable, delay());
        if (!injectFault()) {
            m_events.after(delay(), [this, index, action, incarnation = daemon.incarnation] {
                const auto error = m_table.commit(action.transaction);
                if (m_daemons[index].incarnation == incarnation)
                    answerCommit(index, action.id, error, delay());
            });
            return;
        }
        switch (m_random.below(3)) {
        case 0:
            return answerCommit(index, action.id, unavailable, delay());
        case 1: // the transaction is lost
            return answerCommit(index, action.id, noAnswer, seconds(2));
        default: // the answer is lost; the transaction takes effect within 6 s, maybe after that
            m_events.after(Duration(m_random.below(6000000)),
                           [this, action] { m_table.commit(action.transaction); });
            return answerCommit(index, action.id, noAnswer, seconds(2));
        }
    }

    void answerCommit(std::size_t index, std::uint64_t id, const std::optional<TableError> &error,
                      Duration delay)
    {
        scheduleInDaemon(index, delay, [this, index, id, error] {
            performAll(index, m_daemons[index].tracker->committed(id, error, m_events.now()));
        });
    }

    void perform(std::size_t index, const ReadClaims &action)
    {
        const bool unavailable = m_tableDown || injectFault();
        scheduleInDaemon(index, delay(), [this, index, action, unavailable] {
            Result<TableRows, TableError> rows = TableError {TableErrorKind::Unavailable, ""};
            if (!unavailable)
                rows = m_table.read(action.keys);
            scheduleInDaemon(index, delay(), [this, index, action, rows] {
                performAll(index,
                           m_daemons[index].tracker->rowsRead(action.id, rows, m_events.now()));
            });
        });
    }

    void perform(std::size_t index, const ClaimDecided &action)
    {
        const auto found = m_undecided.find(action.request);
        if (found == m_undecided.end()) {
            m_anyClaimDecidedTwice = true;
            return;
        }
        const std::string key = found->second;
        m_undecided.erase(found);
        ++m_verdicts[action.result.verdict];
        if (action.result.verdict == ClaimVerdict::Finished)
            m_anyWrongAnswer = m_anyWrongAnswer || action.result.answer.body != m_answers[key];
        if (action.result.verdict == ClaimVerdict::Claimed)
            runClaimedRequest(index, key, action.request);
    }

    // Simulates a request that holds its claim. It finishes with an answer, is released as not run,
    // or leaves the claim open; a restart of its daemon also leaves the claim open.
    void runClaimedRequest(std::size_t index, const std::string &key, RequestId request)
    {
        m_anyKeyGrantedTwice = m_anyKeyGrantedTwice || !m_possiblyRunKeys.insert(key).second;
        scheduleInDaemon(index, Duration(m_random.below(500000)), [this, index, key, request] {
            ClaimTracker &tracker = *m_daemons[index].tracker;
            const std::uint64_t outcome = m_random.below(10);
            if (outcome < 4) {
                m_answers[key] = "answer \n%/\xff " + std::to_string(request.sequence);
                performAll(index,
                           tracker.finish({"org", key}, request, {200, "text/x", m_answers[key]},
                                          m_events.now()));
            } else if (outcome < 9) {
                m_possiblyRunKeys.erase(key);
                performAll(index, tracker.release({"org", key}, request, m_events.now()));
            }
        });
    }

    measure::EventQueue m_events;
    testing::TableModel m_table;
    SeededRandom m_random;
    std::uint64_t m_faultPercent;
    std::vector<Daemon> m_daemons;
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_sequence = 0;
    bool m_tableDown = false;
    std::unordered_map<RequestId, std::string> m_undecided;
    std::set<std::string> m_possiblyRunKeys; // keys with a request that may have run
    std::map<std::string, std::string> m_answers;
    std::map<ClaimVerdict, int> m_verdicts;
    bool m_anyKeyGrantedTwice = false;
    bool m_anyWrongAnswer = false;
    bool m_anyClaimDecidedTwice = false;
    bool m_anyCommitTooEarly = false;
};

} // namespace

TEST_CASE("a key is never granted to two requests, and each claim is decided once")
{
    std::map<ClaimVerdict, int> seen;
    CHECK(rc::check("at most one request with a key runs", [&](std::uint64_t seed) {
        ClaimSimulation simulation(seed, 25);
        simulation.run(120, 3);
        RC_ASSERT(!simulation.anyKeyGrantedTwice());
        RC_ASSERT(!simulation.anyWrongAnswer());
        RC_ASSERT(!simulation.anyClaimDecidedTwice());
        RC_ASSERT(!simulation.anyCommitTooEarly());
        RC_ASSERT(simulation.undecidedCount() == 0U);
        RC_ASSERT(simulation.pendingCount() == 0U);
        for (const auto it : {ClaimVerdict::Claimed, ClaimVerdict::Finished, ClaimVerdict::Open,
                              ClaimVerdict::BodyMismatch, ClaimVerdict::Unavailable})
            seen[it] += simulation.verdictCount(it);
    }));
    for (const auto &it : seen) {
        CAPTURE(static_cast<int>(it.first));
        CHECK(it.second > 0);
    }
}

TEST_CASE("a key can be claimed again if all its requests certainly did not run")
{
    CHECK(rc::check("no key stays blocked", [](std::uint64_t seed) {
        ClaimSimulation simulation(seed, 25);
        // No restarts: the open claim of a dead daemon blocks its key by design.
        simulation.run(120, 0);
        RC_ASSERT(simulation.blockedKeyCount() == 0U);
    }));
}

TEST_CASE("claims are refused during a table outage and granted again after it")
{
    ClaimSimulation simulation(1, 0);
    simulation.startOutage(Duration(0), seconds(60));
    simulation.runFor(seconds(1));
    simulation.claim(0, "k", 1);
    simulation.runFor(seconds(1));
    CHECK(simulation.verdictCount(ClaimVerdict::Unavailable) == 1);
    simulation.runFor(seconds(60));
    simulation.claim(0, "k", 1);
    simulation.runFor(seconds(1));
    CHECK(simulation.verdictCount(ClaimVerdict::Claimed) == 1);
}

TEST_CASE("claims that arrive within a batch interval share a transaction")
{
    ClaimTracker tracker(ClaimLimits {});
    const auto claim = [&](std::uint64_t n) {
        return tracker.claim({"org", std::to_string(n)}, {1, n}, 0, Instant());
    };
    CHECK(claim(1).size() == 1);
    for (std::uint64_t n = 2; n <= 40; ++n)
        CHECK(claim(n).empty());
    const auto actions = tracker.tick(tracker.nextWakeTime());
    REQUIRE(actions.size() == 1);
    CHECK(std::get<CommitClaims>(actions[0]).transaction.writes.size() == 39);
}

TEST_CASE("a claim row with arbitrary bytes in its answer survives encoding and decoding")
{
    CHECK(rc::check("parse(format(x)) == x", [](const std::string &body, std::uint64_t number) {
        const detail::ClaimRow row {
                {number, 7}, number, detail::ClaimState::Finished, {200, "text/plain; x", body}};
        RC_ASSERT(detail::parseClaimRow(detail::formatClaimRow(row)) == row);
    }));
    CHECK_FALSE(detail::parseClaimRow("").has_value());
    CHECK_FALSE(detail::parseClaimRow("open 1 2").has_value());
    CHECK_FALSE(detail::parseClaimRow("open 1 2 x").has_value());
    CHECK_FALSE(detail::parseClaimRow("finished 1 2 3 200 a %f").has_value());
    CHECK(detail::claimRowKey({"a/b", "c"}) != detail::claimRowKey({"a", "b/c"}));
}
