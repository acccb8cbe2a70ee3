// Guards against reports between gateways whose number grows with the square of the fleet, or that
// become so rare that a gateway takes a live peer as silent or cannot use its proofs of freshness.
// Many thin gateways: each test plays fleets of 4 to 400 gateways.

#include "reportschedule.h"
#include "freshness.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>

using namespace cornelshed;
using namespace std::chrono_literals;

namespace {

std::vector<std::string> fleetNames(std::size_t n)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < n; ++i)
        names.push_back("gateway-" + std::to_string(1000 + i));
    return names;
}

std::vector<ReportSchedule> schedulesOf(const std::vector<std::string> &names)
{
    std::vector<ReportSchedule> schedules;
    for (const std::string &own : names) {
        schedules.emplace_back(own);
        std::vector<std::string> peers;
        std::copy_if(names.begin(), names.end(), std::back_inserter(peers),
                     [&](const std::string &it) { return it != own; });
        schedules.back().setPeers(peers);
    }
    return schedules;
}

// Plays a fleet in which each gateway reads the store when the proof of its copy is older than the
// interval and a delay by its rank among those that it hears, and all pass proofs on. The first
// gateways in rank lose power at the start. Returns the reads a second once the others have
// noticed.
double storeReadsPerSecond(std::size_t gateways, std::size_t darkGateways)
{
    constexpr Duration readInterval = 450ms;
    constexpr Duration delayStep = 60ms;
    constexpr std::size_t maxDelaySteps = 12;
    constexpr Duration step = 10ms;
    constexpr Duration measured = 20s;
    const Duration noticed = reportTiming(gateways - 1).heardTimeout + 2s;
    const auto names = fleetNames(gateways);
    auto schedules = schedulesOf(names);
    std::map<std::string, std::size_t> indexOf;
    for (std::size_t i = 0; i < gateways; ++i)
        indexOf[names[i]] = i;
    std::vector<FreshnessTracker> trackers(gateways);
    std::vector<Duration> nextReport;
    for (std::size_t i = 0; i < gateways; ++i) {
        trackers[i].recordOwnRead(RowTable::Orders, {1ms, {1, 1}, {1, 1}, 1ms});
        nextReport.push_back(step * static_cast<int>(i % 5));
    }
    int reads = 0;
    for (Duration now = step; now < noticed + measured; now += step) {
        for (std::size_t i = darkGateways; i < gateways; ++i) {
            const Duration age = now - *trackers[i].provenAt(RowTable::Orders);
            const std::size_t rank = now < noticed ? i : i - darkGateways;
            const Duration delay = delayStep * static_cast<int>(std::min(rank, maxDelaySteps));
            if (age >= readInterval + delay) {
                trackers[i].recordOwnRead(RowTable::Orders, {now, {1, 1}, {1, 1}, now});
                reads += now >= noticed ? 1 : 0;
            }
            if (now < nextReport[i])
                continue;
            nextReport[i] += schedules[i].timing().interval;
            for (const std::string &it : schedules[i].nextRecipients())
                trackers[indexOf[it]].recordPeerRead(RowTable::Orders, *trackers[i].share()[0],
                                                     now);
        }
    }
    return reads / std::chrono::duration<double>(measured).count();
}

} // namespace

TEST_CASE("many thin gateways: datagrams a second of one gateway do not grow with the fleet")
{
    for (const std::size_t peers : {1, 2, 3, 5, 6, 21, 102, 399}) {
        const ReportTiming timing = reportTiming(peers);
        const double seconds = std::chrono::duration<double>(timing.interval).count();
        CHECK(static_cast<double>(timing.recipients) / seconds <= 100.5);
        CHECK(timing.heardTimeout >= 3 * timing.cycle);
        CHECK(timing.cycle >= timing.interval);
    }
    CHECK(reportTiming(0).recipients == 0);
    CHECK(reportTiming(3).recipients == 3);
}

TEST_CASE("each peer gets one report a cycle, also when the fleet changes")
{
    ReportSchedule schedule("gateway-x");
    auto names = fleetNames(23);
    schedule.setPeers(names);
    const ReportTiming timing = schedule.timing();
    std::map<std::string, int> reports;
    for (Duration now {}; now < timing.cycle * 10; now += timing.interval) {
        for (const std::string &it : schedule.nextRecipients())
            ++reports[it];
    }
    for (const std::string &it : names)
        CHECK(reports[it] >= 10);
    // A peer joins or leaves before each report: the others are still reached.
    reports.clear();
    for (int i = 0; i < 40; ++i) {
        if (i % 2 == 0)
            names.emplace_back("late");
        else
            names.pop_back();
        schedule.setPeers(names);
        for (const std::string &it : schedule.nextRecipients())
            ++reports[it];
    }
    for (const std::string &it : fleetNames(23))
        CHECK(reports[it] >= 5);
}

TEST_CASE("many thin gateways: reads of the store do not grow with the fleet")
{
    // One gateway reads every 450 ms; others may read before its proof has reached them.
    for (const std::size_t gateways : {4, 22, 103, 400})
        CHECK(storeReadsPerSecond(gateways, 0) <= 4.5);
}

TEST_CASE("many thin gateways, a fifth dark in a burst: the next in rank read for the others")
{
    for (const std::size_t gateways : {22, 103})
        CHECK(storeReadsPerSecond(gateways, gateways / 5) <= 4.5);
}
