// Guards against a daemon that falls back to an older configuration, and against a change that
// takes more than 4 s to reach a daemon: with losses, duplicates, late messages, crashes and a
// table that fails reads.

#include "configspread.h"
#include "spreadmodel.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cornelshed;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

void checkInForce(std::size_t count, const SpreadFaults &faults, std::uint64_t seed, int changes)
{
    SpreadModel system(count, faults, seed);
    system.runFor(seconds(3));
    for (int n = 1; n <= changes; ++n) {
        system.accept();
        system.runFor(seconds(4));
        RC_ASSERT(system.countWithout(static_cast<std::uint64_t>(n)) == 0);
    }
    RC_ASSERT(!system.decreased());
}

const SpreadFaults severe {10, 20, 10, seconds(1), milliseconds(150)};

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
        SpreadModel system(380, severe, seed);
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
    SpreadModel system(380, SpreadFaults {}, 1);
    system.accept();
    system.runFor(seconds(20)); // all poll once at their start
    const std::uint64_t before = system.reads();
    system.runFor(seconds(60));
    CHECK(static_cast<double>(system.reads() - before) / 60 < 45);
}

TEST_CASE("a daemon of 380 sends less than 5 KB/s to peers at 18,000 changes a day")
{
    constexpr std::size_t count = 380;
    SpreadModel system(count, SpreadFaults {}, 1);
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
        SpreadModel system(10, severe, seed);
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
    SpreadFaults faults;
    faults.lostPercent = 100;
    SpreadModel system(380, faults, 1);
    system.runFor(seconds(10));
    system.accept();
    system.runFor(seconds(4));
    CHECK(system.countWithout(1) == 0);
}

TEST_CASE("a text that fails its check is not installed")
{
    SpreadModel system(2, SpreadFaults {}, 1);
    system.accept();
    system.runFor(seconds(4));
    system.inject(1, SpreadUpdate {9, "9", 0, 0, 0, "damaged"});
    system.inject(1, SpreadUpdate {9, "9", 1, 1U << 30U, 5, ""});
    system.inject(1, SpreadUpdate {9, "9", 1, 5, ~std::uint64_t(0), ""});
    system.runFor(seconds(4));
    CHECK(system.installed(1) == 1);
}
