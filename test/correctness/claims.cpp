// Guards against a call that must not run twice being granted to two requests: at any entry
// daemons, with lost and late answers, table outages and restarts.

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

class System
{
public:
    System(std::uint64_t seed, std::uint64_t faultPercent)
        : m_random(seed), m_faultPercent(faultPercent), m_daemons(daemonCount)
    {
        for (std::size_t n = 0; n < daemonCount; ++n)
            restart(n);
    }

    // Claims with few keys, a few restarts and outages; then time to settle.
    void run(int claims, std::uint64_t restartsMost)
    {
        for (int n = 0; n < claims; ++n) {
            const Duration at(m_random.below(20000000));
            m_events.after(at, [this] { claimAtRandom(); });
        }
        for (std::uint64_t n = m_random.below(restartsMost + 1); n > 0; --n)
            m_events.after(Duration(m_random.below(20000000)),
                           [this] { restart(m_random.below(daemonCount)); });
        for (std::uint64_t n = m_random.below(3); n > 0; --n)
            startOutage(Duration(m_random.below(20000000)), Duration(m_random.below(6000000)));
        m_events.runFor(seconds(140)); // updates are retried for as long as calls fail
    }

    // Keys that no request may have run under, but that cannot be claimed either.
    std::size_t blockedKeys()
    {
        m_faultPercent = 0;
        std::size_t blocked = 0;
        for (int n = 0; n < 6; ++n) {
            const std::string key = "k/" + std::to_string(n);
            if (m_holders.count(key) != 0)
                continue;
            const int before = verdicts(ClaimVerdict::Claimed);
            claim(0, key, 1);
            m_events.runFor(seconds(1));
            blocked += verdicts(ClaimVerdict::Claimed) == before ? 1 : 0;
        }
        return blocked;
    }

    void startOutage(Duration in, Duration length)
    {
        m_events.after(in, [this] { m_down = true; });
        m_events.after(in + length, [this] { m_down = false; });
    }

    bool grantedTwice() const { return m_grantedTwice; }
    bool wrongAnswer() const { return m_wrongAnswer; }
    bool decidedTwice() const { return m_decidedTwice; }
    bool committedTooOften() const { return m_committedTooOften; }
    std::size_t undecided() const { return m_undecided.size(); }
    std::size_t unsettled() const
    {
        std::size_t count = 0;
        for (const Daemon &it : m_daemons)
            count += it.tracker->waitingCount();
        return count;
    }
    int verdicts(ClaimVerdict it) const { return m_verdicts.count(it) ? m_verdicts.at(it) : 0; }

    void claim(std::size_t n, const std::string &key, std::uint64_t digest)
    {
        Daemon &daemon = m_daemons[n];
        const RequestId request {daemon.incarnation, ++m_sequence};
        m_undecided[request] = key;
        carryOut(n, daemon.tracker->claim({"org", key}, request, digest, m_events.now()));
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

    void restart(std::size_t n)
    {
        std::erase_if(m_undecided, [&](const auto &it) {
            return it.first.entryIncarnation == m_daemons[n].incarnation;
        });
        m_daemons[n] = Daemon {ClaimTracker(ClaimLimits {}), ++m_lastIncarnation, Instant::min(),
                               instantNever};
    }

    void claimAtRandom()
    {
        const std::string key = "k/" + std::to_string(m_random.below(6));
        claim(m_random.below(daemonCount), key, m_random.below(10) == 0 ? 2 : 1);
    }

    void inDaemon(std::size_t n, Duration delay, std::function<void()> run)
    {
        m_events.after(delay,
                       [this, n, incarnation = m_daemons[n].incarnation, run = std::move(run)] {
                           if (m_daemons[n].incarnation == incarnation)
                               run();
                       });
    }

    void carryOut(std::size_t n, const ClaimActions &actions)
    {
        for (const ClaimAction &it : actions)
            std::visit([&](const auto &action) { perform(n, action); }, it);
        const Instant wake = m_daemons[n].tracker->nextWake();
        if (wake >= m_daemons[n].wakeAt)
            return;
        m_daemons[n].wakeAt = wake;
        inDaemon(n, wake - m_events.now(), [this, n] {
            m_daemons[n].wakeAt = instantNever;
            carryOut(n, m_daemons[n].tracker->tick(m_events.now()));
        });
    }

    Duration delay() { return Duration(m_random.below(30000)); }
    bool fails() { return m_random.below(100) < m_faultPercent; }

    void perform(std::size_t n, const CommitClaims &action)
    {
        Daemon &daemon = m_daemons[n];
        if (daemon.lastCommit != Instant::min()
            && m_events.now() - daemon.lastCommit < milliseconds(10))
            m_committedTooOften = true;
        daemon.lastCommit = m_events.now();
        const TableError refused {TableErrorKind::Unavailable, ""};
        const TableError lost {TableErrorKind::Unknown, ""};
        if (m_down)
            return answerCommit(n, action.id, refused, delay());
        if (!fails()) {
            m_events.after(delay(), [this, n, action, incarnation = daemon.incarnation] {
                const auto error = m_table.commit(action.transaction);
                if (m_daemons[n].incarnation == incarnation)
                    answerCommit(n, action.id, error, delay());
            });
            return;
        }
        switch (m_random.below(3)) {
        case 0:
            return answerCommit(n, action.id, refused, delay());
        case 1: // the transaction gets lost
            return answerCommit(n, action.id, lost, seconds(2));
        default: // the answer gets lost, and the transaction may take effect after that
            m_events.after(Duration(m_random.below(6000000)),
                           [this, action] { m_table.commit(action.transaction); });
            return answerCommit(n, action.id, lost, seconds(2));
        }
    }

    void answerCommit(std::size_t n, std::uint64_t id, const std::optional<TableError> &error,
                      Duration delay)
    {
        inDaemon(n, delay, [this, n, id, error] {
            carryOut(n, m_daemons[n].tracker->committed(id, error, m_events.now()));
        });
    }

    void perform(std::size_t n, const ReadClaims &action)
    {
        const bool refused = m_down || fails();
        inDaemon(n, delay(), [this, n, action, refused] {
            Result<TableRows, TableError> rows = TableError {TableErrorKind::Unavailable, ""};
            if (!refused)
                rows = m_table.read(action.keys);
            inDaemon(n, delay(), [this, n, action, rows] {
                carryOut(n, m_daemons[n].tracker->rowsRead(action.id, rows, m_events.now()));
            });
        });
    }

    void perform(std::size_t n, const ClaimDecided &action)
    {
        const auto found = m_undecided.find(action.request);
        if (found == m_undecided.end()) {
            m_decidedTwice = true;
            return;
        }
        const std::string key = found->second;
        m_undecided.erase(found);
        ++m_verdicts[action.result.verdict];
        if (action.result.verdict == ClaimVerdict::Finished)
            m_wrongAnswer = m_wrongAnswer || action.result.answer.body != m_answers[key];
        if (action.result.verdict == ClaimVerdict::Claimed)
            grant(n, key, action.request);
    }

    // The request runs for a while and then ends in one of three ways, unless its daemon dies.
    void grant(std::size_t n, const std::string &key, RequestId request)
    {
        m_grantedTwice = m_grantedTwice || !m_holders.insert(key).second;
        inDaemon(n, Duration(m_random.below(500000)), [this, n, key, request] {
            ClaimTracker &tracker = *m_daemons[n].tracker;
            const std::uint64_t way = m_random.below(10);
            if (way < 4) {
                m_answers[key] = "answer \n%/\xff " + std::to_string(request.sequence);
                carryOut(n,
                         tracker.finish({"org", key}, request, {200, "text/x", m_answers[key]},
                                        m_events.now()));
            } else if (way < 9) {
                m_holders.erase(key);
                carryOut(n, tracker.release({"org", key}, request, m_events.now()));
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
    bool m_down = false;
    std::unordered_map<RequestId, std::string> m_undecided;
    std::set<std::string> m_holders; // keys whose request may have run
    std::map<std::string, std::string> m_answers;
    std::map<ClaimVerdict, int> m_verdicts;
    bool m_grantedTwice = false;
    bool m_wrongAnswer = false;
    bool m_decidedTwice = false;
    bool m_committedTooOften = false;
};

} // namespace

TEST_CASE("a key is never granted to two requests, and each claim is decided once")
{
    std::map<ClaimVerdict, int> seen;
    CHECK(rc::check("at most one request with a key runs", [&](std::uint64_t seed) {
        System system(seed, 25);
        system.run(120, 3);
        RC_ASSERT(!system.grantedTwice());
        RC_ASSERT(!system.wrongAnswer());
        RC_ASSERT(!system.decidedTwice());
        RC_ASSERT(!system.committedTooOften());
        RC_ASSERT(system.undecided() == 0U);
        RC_ASSERT(system.unsettled() == 0U);
        for (const auto it : {ClaimVerdict::Claimed, ClaimVerdict::Finished, ClaimVerdict::Open,
                              ClaimVerdict::BodyMismatch, ClaimVerdict::Unavailable})
            seen[it] += system.verdicts(it);
    }));
    for (const auto &it : seen) {
        CAPTURE(static_cast<int>(it.first));
        CHECK(it.second > 0);
    }
}

TEST_CASE("a key whose requests were all truly not run can be claimed again")
{
    CHECK(rc::check("no key stays blocked", [](std::uint64_t seed) {
        System system(seed, 25);
        system.run(120, 0); // the open claim of a dead daemon blocks its key by design
        RC_ASSERT(system.blockedKeys() == 0U);
    }));
}

TEST_CASE("claims are refused while the table is down, and granted again after it")
{
    System system(1, 0);
    system.startOutage(Duration(0), seconds(60));
    system.runFor(seconds(1));
    system.claim(0, "k", 1);
    system.runFor(seconds(1));
    CHECK(system.verdicts(ClaimVerdict::Unavailable) == 1);
    system.runFor(seconds(60));
    system.claim(0, "k", 1);
    system.runFor(seconds(1));
    CHECK(system.verdicts(ClaimVerdict::Claimed) == 1);
}

TEST_CASE("claims that arrive together share transactions")
{
    ClaimTracker tracker(ClaimLimits {});
    const auto claim = [&](std::uint64_t n) {
        return tracker.claim({"org", std::to_string(n)}, {1, n}, 0, Instant());
    };
    CHECK(claim(1).size() == 1);
    for (std::uint64_t n = 2; n <= 40; ++n)
        CHECK(claim(n).empty());
    const auto actions = tracker.tick(tracker.nextWake());
    REQUIRE(actions.size() == 1);
    CHECK(std::get<CommitClaims>(actions[0]).transaction.writes.size() == 39);
}

TEST_CASE("a claim's row reads back as it was written, whatever the bytes")
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
