// Guards against usage counts that are lost, doubled or attributed to a wrong window, and against
// windows that are sent with counts that another holder may have sent differently.

#include "usageduty.h"

#include "dutyreport.h"
#include "stabledigest.h"
#include "usagewindows.h"
#include "windowclock.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace cornelshed;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t firstWindow = 1000;

// The end of a window of 5 s.
Duration endOf(std::int64_t window)
{
    return 5s * (window + 1);
}

UsageWindows ownCounts(std::uint64_t requests)
{
    UsageWindows windows;
    windows.setFirstWindow(firstWindow);
    for (std::uint64_t n = 0; n < requests; ++n)
        windows.count("alpha", firstWindow);
    return windows;
}

WindowCounts reported(std::int64_t window, std::uint64_t count)
{
    return {window, {{stableDigest("alpha"), count}}};
}

UsageDuty holderAt(std::int64_t nextWindow)
{
    UsageDuty duty({5s, 10s});
    duty.confirmed(duty.atAcquisition(DutyProgress {nextWindow, {}}, true, nextWindow));
    return duty;
}

} // namespace

// --- UsageWindows ---

TEST_CASE("repeated, reordered and lost reports neither double nor lose counts")
{
    UsageWindows windows = ownCounts(2);
    windows.merge(7, firstWindow, {reported(firstWindow, 5)}, 1s);
    windows.merge(7, firstWindow, {reported(firstWindow, 5)}, 1s);
    windows.merge(7, firstWindow, {reported(firstWindow, 3)}, 1s);
    windows.merge(8, firstWindow, {reported(firstWindow, 10)}, 1s); // the same host's next process
    CHECK(windows.total(firstWindow) == UsageCounts {{"alpha", 17}});
}

TEST_CASE("a window is complete once each gateway that was heard lately has closed it")
{
    UsageWindows windows = ownCounts(1);
    CHECK(windows.isComplete(firstWindow, 1s));
    windows.merge(7, firstWindow, {}, 1s);
    CHECK(!windows.isComplete(firstWindow, 2s));
    CHECK(windows.isComplete(firstWindow, 30s)); // not heard for long
    windows.merge(7, firstWindow + 1, {}, 3s);
    CHECK(windows.isComplete(firstWindow, 3s));
}

TEST_CASE("a window with an organisation of a newer configuration waits until that is read")
{
    UsageWindows windows = ownCounts(1);
    windows.merge(7, firstWindow + 1, {{firstWindow, {{stableDigest("later"), 2}}}}, 1s);
    CHECK(!windows.isComplete(firstWindow, 1s));
    windows.addOrganisation("later");
    CHECK(windows.isComplete(firstWindow, 1s));
    CHECK(windows.total(firstWindow) == UsageCounts {{"alpha", 1}, {"later", 2}});
}

TEST_CASE("counts are reported until they are fixed, older ones in turn")
{
    UsageWindows windows;
    for (std::int64_t n = firstWindow; n < firstWindow + 10; ++n)
        windows.count("alpha", n);
    std::set<std::int64_t> seen;
    for (int n = 0; n < 4; ++n) {
        const auto report = windows.takeReport();
        CHECK(report.size() <= 5);
        CHECK(report.front().window == firstWindow + 9);
        for (const WindowCounts &it : report)
            seen.insert(it.window);
    }
    CHECK(seen.size() == 10);
    windows.setNextWindow(firstWindow + 9);
    REQUIRE(windows.takeReport().size() == 1);
    windows.setNextWindow(firstWindow + 10);
    CHECK(windows.takeReport().empty());
    // A holder in a later era of the store may have lost them.
    windows.setNextWindow(firstWindow + 8);
    CHECK(windows.takeReport().size() == 2);
}

TEST_CASE("a report of many organisations keeps the newest counts when not all fit")
{
    DutyReport report;
    report.openWindow = firstWindow + 9;
    report.number = 7;
    std::map<std::uint64_t, std::uint64_t> counts;
    for (int n = 0; n < 400; ++n)
        counts[stableDigest("organisation " + std::to_string(n))] = 300;
    for (std::int64_t n = 0; n < 5; ++n)
        report.windows.push_back({firstWindow + 9 - n, counts});
    for (std::int64_t n = 0; n < 10; ++n)
        report.fixed.push_back({firstWindow - 10 + n, counts});
    const std::size_t all = encodeDutyReport(report).size();
    MESSAGE("bytes of 15 windows of 400 organisations: ", all);
    CHECK(all > 60000);
    CHECK(encodeDutyReport(report, all) == encodeDutyReport(report));
    for (const std::size_t limit : {std::size_t {30000}, std::size_t {8000}, std::size_t {100}}) {
        const std::string text = encodeDutyReport(report, limit);
        CHECK(text.size() <= limit);
        const auto decoded = decodeDutyReport(text);
        REQUIRE(decoded);
        CHECK(decoded->number == 7);
        CHECK(decoded->windows.size() == (limit == 30000 ? 5 : limit == 8000 ? 1 : 0));
        for (std::size_t n = 0; n < decoded->windows.size(); ++n)
            CHECK(decoded->windows[n] == report.windows[n]);
        // A window whose counts are missing is not closed.
        for (const WindowCounts &it : report.windows) {
            const bool isIncluded = std::find(decoded->windows.begin(), decoded->windows.end(), it)
                    != decoded->windows.end();
            CHECK((isIncluded || it.window >= decoded->openWindow));
        }
        for (const WindowCounts &it : decoded->fixed)
            CHECK(it.window > firstWindow - 10);
    }
    CHECK(encodeDutyReport(report, 1).empty());
}

TEST_CASE("counts are kept until they are fixed, and for a while after")
{
    UsageWindows windows = ownCounts(1);
    windows.merge(7, firstWindow, {reported(firstWindow, 4)}, 1s);
    windows.prune(firstWindow + 100, 500s);
    CHECK(windows.total(firstWindow) == UsageCounts {{"alpha", 5}});
    windows.setNextWindow(firstWindow + 3);
    windows.prune(firstWindow + 100, 500s);
    CHECK(windows.total(firstWindow) == UsageCounts {{"alpha", 5}});
    windows.setNextWindow(firstWindow + 90);
    windows.prune(firstWindow + 100, 500s);
    CHECK(windows.total(firstWindow).empty());
}

TEST_CASE("reports of windows far ahead do not fill the memory")
{
    UsageWindows windows = ownCounts(1);
    windows.merge(7, firstWindow, {reported(firstWindow + 1000, 4)}, 1s);
    windows.prune(firstWindow, 1s);
    CHECK(!windows.isKnown(firstWindow - 1));
    CHECK(windows.total(firstWindow + 1000).empty());
}

// --- UsageDuty ---

TEST_CASE("a window is fixed when all have reported, or before it would be too late to send it")
{
    UsageWindows windows = ownCounts(2);
    windows.merge(7, firstWindow, {reported(firstWindow, 3)}, 1s);
    const UsageDuty duty = holderAt(firstWindow);
    CHECK(duty.atRenewal(windows, endOf(firstWindow) + 500ms, 2s).pending.empty());
    CHECK(duty.atRenewal(windows, endOf(firstWindow) + 2s, 2s).pending.empty()); // not complete
    const auto late = duty.atRenewal(windows, endOf(firstWindow) + 3500ms, 2s);
    CHECK(late.pending.size() == 1);
    windows.merge(7, firstWindow + 1, {reported(firstWindow, 4)}, 2s);
    const auto complete = duty.atRenewal(windows, endOf(firstWindow) + 1s, 2s);
    REQUIRE(complete.pending.size() == 1);
    CHECK(complete.pending.front() == FixedWindow {firstWindow, {{"alpha", 6}}});
    CHECK(complete.nextWindow == firstWindow + 1);
}

TEST_CASE("counts are sent only once they are known to be stored")
{
    const UsageWindows windows = ownCounts(2);
    UsageDuty duty = holderAt(firstWindow);
    const auto progress = duty.atRenewal(windows, endOf(firstWindow) + 1s, 2s);
    REQUIRE(progress.pending.size() == 1);
    CHECK(!duty.nextCall(2s));
    duty.confirmed(progress);
    CHECK(duty.nextCall(2s) == progress.pending.front());
    CHECK(!duty.nextCall(2s)); // it is in progress
}

TEST_CASE("calls are repeated with the same counts, at longer and longer intervals")
{
    UsageDuty duty({5s, 10s});
    const FixedWindow window {firstWindow, {{"alpha", 4}}};
    duty.confirmed({firstWindow + 1, {window}});
    Duration now = 1s;
    Duration longest {};
    for (int n = 0; n < 10; ++n) {
        const Duration start = now;
        std::optional<FixedWindow> call;
        for (; !call && now < start + 10s; now += 50ms)
            call = duty.nextCall(now);
        REQUIRE(call == window);
        longest = std::max(longest, now - start);
        CHECK(!duty.callEnded(firstWindow, DutyCallOutcome::NotTaken, now));
    }
    CHECK(longest >= 4s);
    CHECK(longest < 5s);
    REQUIRE(duty.nextCall(now + 5s));
    CHECK(duty.callEnded(firstWindow, DutyCallOutcome::Accepted, now + 5s));
    CHECK(!duty.nextCall(now + 60s));
    CHECK(duty.atRenewal(UsageWindows(), endOf(firstWindow), now).pending.empty());
}

TEST_CASE("a window that the platform never accepts does not hold up the others for good")
{
    for (const auto &[outcome, attempts] :
         {std::pair(DutyCallOutcome::Refused, 5), std::pair(DutyCallOutcome::Unanswered, 20)}) {
        UsageDuty duty({5s, 10s});
        std::vector<FixedWindow> pending {{firstWindow, {{"alpha", 4}}}};
        for (std::int64_t n = 1; n <= attempts; ++n)
            pending.push_back({firstWindow + n, {{"alpha", 1}}});
        duty.confirmed({firstWindow + attempts + 1, pending});
        Duration now = 1s;
        for (int n = 1; n <= attempts; ++n, now += 10s) {
            // All are due now; one of the others is accepted during each call of the first.
            std::set<std::int64_t> called;
            while (const auto call = duty.nextCall(now))
                called.insert(call->window);
            REQUIRE(called.contains(firstWindow));
            REQUIRE(called.contains(firstWindow + n));
            CHECK(duty.callEnded(firstWindow + n, DutyCallOutcome::Accepted, now));
            CHECK(duty.callEnded(firstWindow, outcome, now) == (n == attempts));
            for (const std::int64_t it : called)
                duty.callEnded(it, DutyCallOutcome::NotTaken, now);
        }
        CHECK(duty.skippedCount() == 1);
    }
}

TEST_CASE("no window is given up while the platform answers no call at all, for 20 minutes")
{
    UsageDuty duty({5s, 10s});
    const FixedWindow window {firstWindow, {{"alpha", 4}}};
    duty.confirmed({firstWindow + 1, {window}});
    Duration now = 1s;
    for (int n = 1; n < 240; ++n, now += 5s) {
        REQUIRE(duty.nextCall(now) == window);
        CHECK(!duty.callEnded(firstWindow, DutyCallOutcome::Unanswered, now));
    }
    CHECK(duty.skippedCount() == 0);
    REQUIRE(duty.nextCall(now) == window);
    CHECK(duty.callEnded(firstWindow, DutyCallOutcome::Unanswered, now));
    CHECK(duty.skippedCount() == 1);
}

TEST_CASE("a successor in the same era repeats what is fixed, and fixes what follows")
{
    const DutyProgress stored {firstWindow + 1, {{firstWindow, {{"alpha", 4}}}}};
    UsageWindows windows = ownCounts(9); // later counts of the fixed window do not matter
    UsageDuty duty({5s, 10s});
    duty.confirmed(duty.atAcquisition(stored, true, firstWindow + 2));
    CHECK(duty.nextCall(1s) == stored.pending.front());
    windows.count("alpha", firstWindow + 1);
    const auto next = duty.atRenewal(windows, endOf(firstWindow + 1) + 1s, 1s);
    CHECK(next.pending
          == std::vector<FixedWindow> {{firstWindow, {{"alpha", 4}}},
                                       {firstWindow + 1, {{"alpha", 1}}}});
}

TEST_CASE("after a return of the store, windows that may have been sent keep the counts heard")
{
    // The copy lacks windows that its holder has fixed since.
    const DutyProgress copy {firstWindow + 1, {{firstWindow, {{"alpha", 4}}}}};
    UsageDuty duty({5s, 10s});
    duty.heardFixed({firstWindow - 1, {{"alpha", 1}}}); // done before the copy
    duty.heardFixed({firstWindow, {{"alpha", 4}}});
    duty.heardFixed({firstWindow + 2, {{"alpha", 6}}}); // a report of firstWindow + 1 was lost
    const auto progress = duty.atAcquisition(copy, false, firstWindow + 4);
    CHECK(progress.nextWindow == firstWindow + 4);
    CHECK(progress.pending
          == std::vector<FixedWindow> {{firstWindow, {{"alpha", 4}}},
                                       {firstWindow + 2, {{"alpha", 6}}}});
    duty.confirmed(progress);
    CHECK(duty.skippedCount() == 2);
}

TEST_CASE("after a return of the store, a gateway that has heard nothing sends no old window")
{
    const DutyProgress copy {firstWindow + 1, {{firstWindow, {{"alpha", 4}}}}};
    UsageDuty duty({5s, 10s});
    const auto progress = duty.atAcquisition(copy, false, firstWindow + 3);
    CHECK(progress.pending.empty());
    CHECK(progress.nextWindow == firstWindow + 3);
}

TEST_CASE("windows before any gateway ran are left out, and a window without requests is sent")
{
    UsageWindows windows;
    windows.setFirstWindow(firstWindow + 5);
    const UsageDuty duty = holderAt(firstWindow);
    const auto progress = duty.atRenewal(windows, endOf(firstWindow + 5) + 1s, 1s);
    CHECK(progress.nextWindow == firstWindow + 6);
    CHECK(progress.pending == std::vector<FixedWindow> {{firstWindow + 5, {}}});
}

TEST_CASE("in a long outage of the platform, the row holds a limited number of windows")
{
    UsageWindows windows = ownCounts(1);
    const UsageDuty duty = holderAt(firstWindow);
    const auto progress = duty.atRenewal(windows, endOf(firstWindow + 100), 1s);
    CHECK(progress.pending.size() == 24);
    CHECK(progress.nextWindow == firstWindow + 24);
}

// --- WindowClock ---

namespace {

constexpr Duration epoch = std::chrono::hours(490000);

// Updates the clock every 100 ms; wall: what this host's wall clock and those of the peers show in
// addition to true time.
void play(WindowClock &clock, Duration &now, Duration time, Duration own,
          const std::vector<Duration> &peers)
{
    for (const Duration end = now + time; now < end; now += 100ms) {
        for (std::size_t i = 0; i < peers.size(); ++i)
            clock.recordPeer(i, epoch + now + peers[i] - 2ms, now);
        clock.recordOwn(epoch + now + own, now);
    }
}

Duration errorOf(const WindowClock &clock, Duration now)
{
    return std::chrono::abs(clock.trueTime(now) - (epoch + now));
}

} // namespace

TEST_CASE("a step of the own wall clock does not move true time, also without peers")
{
    for (const std::size_t peers : {0U, 1U, 4U}) {
        CAPTURE(peers);
        WindowClock clock(5s);
        Duration now = 50s;
        play(clock, now, 10s, 0s, std::vector<Duration>(peers, 0s));
        play(clock, now, 20s, 7s, std::vector<Duration>(peers, 0s));
        CHECK(errorOf(clock, now) < 50ms);
        CHECK(std::chrono::abs(clock.wallError() - 7s) < 50ms);
        CHECK(clock.correctionCount() == 0);
    }
}

TEST_CASE("a host whose wall clock is wrong at its start takes true time from its peers")
{
    WindowClock clock(5s);
    Duration now = 50s;
    play(clock, now, 200ms, -6s, {0s, 0s, 0s});
    CHECK(errorOf(clock, now) < 50ms);
}

TEST_CASE("the clocks of some peers do not move true time")
{
    WindowClock clock(5s);
    Duration now = 50s;
    play(clock, now, 10s, 0s, {0s, 0s, 0s, 0s});
    play(clock, now, 20s, 0s, {0s, 9s, -4s, 0s});
    CHECK(errorOf(clock, now) < 50ms);
}

TEST_CASE("true time follows most wall clocks, slowly or after a while")
{
    WindowClock clock(5s);
    Duration now = 50s;
    play(clock, now, 10s, 0s, {0s, 0s, 0s});
    play(clock, now, 30s, 200ms, {200ms, 200ms, 200ms});
    CHECK(std::chrono::abs(clock.trueTime(now) - (epoch + now + 200ms)) < 20ms);
    play(clock, now, 2s, 3s, {3s, 3s, 3s});
    CHECK(std::chrono::abs(clock.trueTime(now) - (epoch + now + 200ms)) < 60ms);
    play(clock, now, 6s, 3s, {3s, 3s, 3s});
    CHECK(std::chrono::abs(clock.trueTime(now) - (epoch + now + 3s)) < 50ms);
}

TEST_CASE("reports that waited during a suspension do not move true time")
{
    WindowClock clock(5s);
    Duration now = 50s;
    play(clock, now, 10s, 0s, {0s, 0s, 0s});
    now += 20s;
    clock.recordOwn(epoch + now, now);
    for (int n = 0; n < 3; ++n) {
        for (std::size_t i = 0; i < 3; ++i)
            clock.recordPeer(i, epoch + now - 20s, now);
    }
    now += 100ms;
    play(clock, now, 10s, 0s, {0s, 0s, 0s});
    CHECK(errorOf(clock, now) < 50ms);
    CHECK(clock.correctionCount() == 0);
}
