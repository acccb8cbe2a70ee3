// Guards against a daemon that falls back to an older configuration, and against a change that
// takes more than 4 s to reach a daemon: with losses, duplicates, late messages, crashes and a
// table that fails reads.

#include "configspread.h"
#include "eventqueue.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>

using namespace cornelshed;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Allowance for a call's framing, names and reply headers.
constexpr std::uint64_t messageOverheadBytes = 400;

struct Faults
{
    std::uint64_t lostPercent = 0;          // of peer messages
    std::uint64_t duplicatedPercent = 0;    // of peer messages
    std::uint64_t failedReadPercent = 0;    // of calls to the platform
    Duration crashPeriod {};                // mean time between crashes of some daemon; 0: none
    Duration delayMost = milliseconds(150); // one way, between distant regions
};

std::string textOf(std::uint64_t version)
{
    // Large enough that updates are differences.
    return std::string(20000, 'a') + "version " + std::to_string(version) + std::string(9000, 'z');
}

class System
{
public:
    System(std::size_t count, const Faults &faults, std::uint64_t seed)
        : m_faults(faults), m_random(seed), m_daemons(count)
    {
        for (std::size_t n = 0; n < count; ++n)
            restart(n);
        if (faults.crashPeriod.count() > 0)
            scheduleCrash();
    }

    void accept() { m_acceptedAt.push_back(m_events.now()); }

    void runFor(Duration duration) { m_events.runFor(duration); }

    std::uint64_t reads() const { return m_reads; }
    std::uint64_t bytesSent() const { return m_bytes; }
    bool decreased() const { return m_decreased; }

    // Daemons that ran for the whole time since the version was accepted and do not have it.
    std::size_t countWithout(std::uint64_t version) const
    {
        return static_cast<std::size_t>(
                std::count_if(m_daemons.begin(), m_daemons.end(), [&](const Daemon &it) {
                    return it.startedAt <= m_acceptedAt[version - 1] && it.installed < version;
                }));
    }

    void inject(std::size_t n, const SpreadMessage &message) { deliver(n, "0", message); }
    std::uint64_t installed(std::size_t n) const { return m_daemons[n].installed; }

private:
    struct Daemon
    {
        std::optional<ConfigurationSpread> spread;
        std::uint64_t incarnation = 0;
        std::uint64_t installed = 0;
        Instant startedAt {};
        Instant wakeAt = instantNever;
    };

    Duration randomDelay() { return Duration(m_random.below(m_faults.delayMost.count() + 1)); }
    bool happens(std::uint64_t percent) { return m_random.below(100) < percent; }

    void restart(std::size_t n)
    {
        Daemon &daemon = m_daemons[n];
        const std::uint64_t incarnation = daemon.incarnation + 1;
        daemon = Daemon {std::nullopt, incarnation, 0, m_events.now(), instantNever};
        daemon.spread.emplace(
                SpreadLimits {}, m_random,
                [](const std::string &digest, const std::string &text) {
                    return text == textOf(std::stoull(digest));
                },
                m_events.now());
        std::vector<std::string> peers;
        for (std::size_t peer = 0; peer < m_daemons.size(); ++peer) {
            if (peer != n)
                peers.push_back(std::to_string(peer));
        }
        daemon.spread->setPeers(std::move(peers));
        scheduleWake(n);
    }

    void scheduleCrash()
    {
        m_events.after(Duration(m_random.below(2 * m_faults.crashPeriod.count())), [this] {
            restart(m_random.below(m_daemons.size()));
            scheduleCrash();
        });
    }

    void scheduleWake(std::size_t n)
    {
        const Instant at = m_daemons[n].spread->nextWake();
        if (at >= m_daemons[n].wakeAt)
            return;
        m_daemons[n].wakeAt = at;
        afterIn(n, at - m_events.now(), [this, n] {
            m_daemons[n].wakeAt = instantNever;
            carryOut(n, m_daemons[n].spread->tick(m_events.now()));
        });
    }

    // Runs in the daemon unless it has crashed by then.
    void afterIn(std::size_t n, Duration delay, std::function<void()> run)
    {
        m_events.after(delay,
                       [this, n, incarnation = m_daemons[n].incarnation, run = std::move(run)] {
                           if (m_daemons[n].incarnation == incarnation)
                               run();
                       });
    }

    void carryOut(std::size_t n, const SpreadActions &actions)
    {
        for (const SpreadAction &it : actions)
            std::visit([&](const auto &action) { perform(n, action); }, it);
        scheduleWake(n);
    }

    void perform(std::size_t n, const PollHead &)
    {
        ++m_reads;
        if (happens(m_faults.failedReadPercent))
            return;
        afterIn(n, randomDelay(), [this, n, version = m_acceptedAt.size()] {
            carryOut(n,
                     m_daemons[n].spread->headRead(version, std::to_string(version),
                                                   m_events.now()));
        });
    }

    void perform(std::size_t n, const FetchText &action)
    {
        if (happens(m_faults.failedReadPercent))
            return;
        afterIn(n, randomDelay(), [this, n, action] {
            carryOut(n,
                     m_daemons[n].spread->textFetched(action.version, action.digest,
                                                      textOf(action.version), m_events.now()));
        });
    }

    void perform(std::size_t n, const SendToPeer &action)
    {
        const auto *update = std::get_if<SpreadUpdate>(&action.message);
        m_bytes += messageOverheadBytes + (update == nullptr ? 0 : update->middle.size());
        const int copies = happens(m_faults.lostPercent) ? 0
                : happens(m_faults.duplicatedPercent)    ? 2
                                                         : 1;
        for (int copy = 0; copy < copies; ++copy) {
            // A duplicate may arrive seconds late, and by then for another incarnation.
            const Duration late = copy == 0 ? Duration(0) : Duration(m_random.below(5000000));
            m_events.after(randomDelay() + late,
                           [this, to = std::stoul(action.peer), from = std::to_string(n),
                            message = action.message] { deliver(to, from, message); });
        }
    }

    void deliver(std::size_t to, const std::string &from, const SpreadMessage &message)
    {
        carryOut(to, m_daemons[to].spread->handle(from, message, m_events.now()));
    }

    void perform(std::size_t n, const InstallConfiguration &action)
    {
        Daemon &daemon = m_daemons[n];
        m_decreased = m_decreased || action.version <= daemon.installed;
        daemon.installed = action.version;
    }

    Faults m_faults;
    SeededRandom m_random;
    std::vector<Daemon> m_daemons;
    std::vector<Instant> m_acceptedAt; // of version n at n - 1
    testing::EventQueue m_events;
    std::uint64_t m_reads = 0;
    std::uint64_t m_bytes = 0;
    bool m_decreased = false;
};

void checkInForce(std::size_t count, const Faults &faults, std::uint64_t seed, int changes)
{
    System system(count, faults, seed);
    system.runFor(seconds(3));
    for (int n = 1; n <= changes; ++n) {
        system.accept();
        system.runFor(seconds(4));
        RC_ASSERT(system.countWithout(static_cast<std::uint64_t>(n)) == 0);
    }
    RC_ASSERT(!system.decreased());
}

const Faults severe {10, 20, 10, seconds(1), milliseconds(150)};

} // namespace

TEST_CASE("a change is in force in every reachable daemon within 4 s, and none goes back")
{
    for (const std::size_t count : {2U, 50U}) {
        CAPTURE(count);
        CHECK(rc::check("in force within 4 s",
                        [&](std::uint64_t seed) { checkInForce(count, severe, seed, 3); }));
    }
}

TEST_CASE("a change is in force within 4 s in 380 daemons")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        System system(380, severe, seed);
        system.runFor(seconds(3));
        for (std::uint64_t version = 1; version <= 3; ++version) {
            system.accept();
            system.runFor(seconds(4));
            CAPTURE(seed);
            CHECK(system.countWithout(version) == 0);
        }
        CHECK_FALSE(system.decreased());
    }
}

TEST_CASE("380 daemons read the head about 40 times a second together")
{
    System system(380, Faults {}, 1);
    system.accept();
    system.runFor(seconds(20)); // all poll once at their start
    const std::uint64_t before = system.reads();
    system.runFor(seconds(60));
    CHECK(static_cast<double>(system.reads() - before) / 60 < 45);
}

TEST_CASE("a daemon of 380 sends less than 5 KB/s to peers at 18,000 changes a day")
{
    constexpr std::size_t count = 380;
    System system(count, Faults {}, 1);
    system.accept();
    system.runFor(seconds(10)); // the first text is sent whole
    const std::uint64_t before = system.bytesSent();
    for (int n = 0; n < 12; ++n) {
        system.accept();
        system.runFor(milliseconds(4800));
    }
    const double bytes = static_cast<double>(system.bytesSent() - before);
    MESSAGE("bytes/s of a daemon: " << bytes / count / (12 * 4.8));
    CHECK(bytes / count / (12 * 4.8) < 5000);
}

TEST_CASE("changes in quick succession never take a daemon back, and the last one wins")
{
    CHECK(rc::check("versions only grow", [](std::uint64_t seed) {
        System system(10, severe, seed);
        SeededRandom random(seed);
        for (int n = 0; n < 40; ++n) {
            system.accept();
            system.runFor(Duration(random.below(300000)));
        }
        system.runFor(seconds(4));
        RC_ASSERT(!system.decreased());
        RC_ASSERT(system.countWithout(40) == 0);
    }));
}

TEST_CASE("daemons that reach the table but no peer have a change in force within 4 s")
{
    Faults faults;
    faults.lostPercent = 100;
    System system(380, faults, 1);
    system.runFor(seconds(10));
    system.accept();
    system.runFor(seconds(4));
    CHECK(system.countWithout(1) == 0);
}

TEST_CASE("a text that fails its check is not installed")
{
    System system(2, Faults {}, 1);
    system.accept();
    system.runFor(seconds(4));
    system.inject(1, SpreadUpdate {9, "9", 0, 0, 0, "damaged"});
    system.inject(1, SpreadUpdate {9, "9", 1, 1U << 30U, 5, ""});
    system.inject(1, SpreadUpdate {9, "9", 1, 5, ~std::uint64_t(0), ""});
    system.runFor(seconds(4));
    CHECK(system.installed(1) == 1);
}
