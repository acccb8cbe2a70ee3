// Guards against a daemon that returns to an older configuration, and against a change that takes
// more than 4 s to reach a daemon. Messages are lost, duplicated or delivered late, daemons crash,
// and reads of the table fail.

#include "configpropagation.h"
#include "propagationmodel.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cornelshed;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

void checkReachesAllDaemons(std::size_t count, const PropagationFaults &faults, std::uint64_t seed,
                            int changes)
{
    PropagationModel model(count, faults, seed);
    model.runFor(seconds(3));
    for (int n = 1; n <= changes; ++n) {
        model.accept();
        model.runFor(seconds(4));
        RC_ASSERT(model.countOutdatedDaemons(static_cast<std::uint64_t>(n)) == 0);
    }
    RC_ASSERT(!model.versionDecreased());
}

const PropagationFaults severeFaults {10, 20, 10, seconds(1), milliseconds(150)};

} // namespace

TEST_CASE("a change is in force in every reachable daemon within 4 s, and versions never decrease")
{
    for (const std::size_t count : {2U, 50U}) {
        CAPTURE(count);
        CHECK(rc::check("in force within 4 s", [&](std::uint64_t seed) {
            checkReachesAllDaemons(count, severeFaults, seed, 3);
        }));
    }
}

TEST_CASE("a change is in force within 4 s in 380 daemons")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        PropagationModel model(380, severeFaults, seed);
        model.runFor(seconds(3));
        for (std::uint64_t version = 1; version <= 3; ++version) {
            model.accept();
            model.runFor(seconds(4));
            CAPTURE(seed);
            CHECK(model.countOutdatedDaemons(version) == 0);
        }
        CHECK_FALSE(model.versionDecreased());
    }
}

TEST_CASE("380 daemons together read the head row about 40 times a second")
{
    PropagationModel model(380, PropagationFaults {}, 1);
    model.accept();
    model.runFor(seconds(20)); // every daemon polls once when it starts
    const std::uint64_t before = model.reads();
    model.runFor(seconds(60));
    CHECK(static_cast<double>(model.reads() - before) / 60 < 45);
}

TEST_CASE("a daemon of 380 sends less than 5 KB/s to peers at 18,000 changes a day")
{
    constexpr std::size_t count = 380;
    PropagationModel model(count, PropagationFaults {}, 1);
    model.accept();
    model.runFor(seconds(10)); // the first version is sent as a whole text
    const std::uint64_t before = model.bytesSent();
    for (int n = 0; n < 12; ++n) {
        model.accept();
        model.runFor(milliseconds(4800));
    }
    const double bytes = static_cast<double>(model.bytesSent() - before);
    MESSAGE("bytes/s sent by one daemon: " << bytes / count / (12 * 4.8));
    CHECK(bytes / count / (12 * 4.8) < 5000);
}

TEST_CASE("changes in quick succession never revert a daemon, and the last one wins")
{
    CHECK(rc::check("versions only grow", [](std::uint64_t seed) {
        PropagationModel model(10, severeFaults, seed);
        SeededRandom random(seed);
        for (int n = 0; n < 40; ++n) {
            model.accept();
            model.runFor(Duration(random.below(300000)));
        }
        model.runFor(seconds(4));
        RC_ASSERT(!model.versionDecreased());
        RC_ASSERT(model.countOutdatedDaemons(40) == 0);
    }));
}

TEST_CASE("a change is in force within 4 s in daemons that reach the table but no peer")
{
    PropagationFaults faults;
    faults.lostPercent = 100;
    PropagationModel model(380, faults, 1);
    model.runFor(seconds(10));
    model.accept();
    model.runFor(seconds(4));
    CHECK(model.countOutdatedDaemons(1) == 0);
}

TEST_CASE("invalid texts and updates that do not fit their base are not installed")
{
    PropagationModel model(2, PropagationFaults {}, 1);
    model.accept();
    model.runFor(seconds(4));
    model.inject(1, ConfigurationUpdate {9, "9", 0, 0, 0, "damaged"});
    model.inject(1, ConfigurationUpdate {9, "9", 1, 1U << 30U, 5, ""});
    model.inject(1, ConfigurationUpdate {9, "9", 1, 5, ~std::uint64_t(0), ""});
    model.runFor(seconds(4));
    CHECK(model.installed(1) == 1);
}
