// Implements the steps of the demonstration.

#include "demorun.h"

#include "clustersettings.h"
#include "loadedcluster.h"

#include <ostream>
#include <thread>

namespace cornelshed::demo {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

// Time after which a withdrawn availability zone gets no new requests (docs/design.md, section 1,
// invariant 5).
constexpr auto withdrawalTimeLimit = 3s;

class DemoRun
{
public:
    DemoRun(const DemoOptions &options, std::ostream &out)
        : m_options(options), m_out(out), m_start(Clock::now())
    { }

    std::uint64_t run()
    {
        const load::Day day = load::generateDay(
                clusterDayOptions(m_options.seed, m_options.seconds, m_options.requestsPerSecond));
        m_requestCount = day.size();
        printStep("starting the cluster");
        LoadedCluster loaded(m_options.cluster, day);
        printStep("sending " + std::to_string(day.size()) + " requests");
        killAndRestartProcesses(loaded);
        const std::uint64_t withdrawnZoneRunCount = withdrawZone(loaded);
        const load::Tally tally = loaded.finish(true);
        printStep("stopping all processes gracefully");
        const std::uint64_t nonzeroStatusCount = countNonzeroStatuses(loaded.cluster().stopAll());
        m_out << '\n' << tally.toTable();
        const std::uint64_t violations =
                tally.violationCount() + withdrawnZoneRunCount + nonzeroStatusCount;
        printStep("violations: " + std::to_string(violations));
        return violations;
    }

private:
    // Kills an agent, then an entry daemon, and starts both again.
    void killAndRestartProcesses(LoadedCluster &loaded)
    {
        Cluster &cluster = loaded.cluster();
        const std::string agent = cluster.memberNames(MemberKind::EngineAgent).front();
        const std::string entry = cluster.memberNames(MemberKind::Entry).back();
        loaded.waitForEnded(requestCountAt(0.15));
        printStep("kill -9 " + agent);
        cluster.kill(agent);
        loaded.waitForEnded(requestCountAt(0.25));
        printStep("kill -9 " + entry);
        cluster.kill(entry);
        loaded.waitForEnded(requestCountAt(0.35));
        printStep("starting both again");
        cluster.restart(agent);
        cluster.restart(entry);
        cluster.waitUntilServing();
    }

    // Withdraws the last zone and returns it to service later. Returns the number of requests that
    // the zone's engines ran after the time limit, while the zone was withdrawn.
    std::uint64_t withdrawZone(LoadedCluster &loaded)
    {
        const std::string zone = zoneName(m_options.cluster.zoneCount - 1);
        loaded.waitForEnded(requestCountAt(0.45));
        printStep("withdrawing " + zone);
        loaded.cluster().acceptWithdrawal({zone});
        std::this_thread::sleep_for(withdrawalTimeLimit);
        const std::uint64_t runsBefore = loaded.runCountInZone(zone);
        loaded.waitForEnded(requestCountAt(0.75));
        const std::uint64_t runs = loaded.runCountInZone(zone) - runsBefore;
        printStep("returning " + zone + " to service; it received " + std::to_string(runs)
                  + " new requests from 3 s after its withdrawal");
        loaded.cluster().acceptWithdrawal({});
        return runs;
    }

    // Counts and prints the processes that did not stop gracefully.
    std::uint64_t countNonzeroStatuses(const std::map<std::string, int> &statuses)
    {
        std::uint64_t count = 0;
        for (const auto &[name, status] : statuses) {
            if (status == 0)
                continue;
            printStep(name + " ended with status " + std::to_string(status));
            count += 1;
        }
        return count;
    }

    // Number of requests in this share of the day.
    [[nodiscard]] std::uint64_t requestCountAt(double share) const
    {
        return static_cast<std::uint64_t>(share * static_cast<double>(m_requestCount));
    }

    void printStep(const std::string &text)
    {
        const auto elapsed =
                std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_start);
        m_out << "[" << elapsed.count() << " ms] " << text << std::endl;
    }

    const DemoOptions &m_options;
    std::ostream &m_out;
    Clock::time_point m_start;
    std::size_t m_requestCount = 0;
};

} // namespace

std::uint64_t runDemo(const DemoOptions &options, std::ostream &out)
{
    return DemoRun(options, out).run();
}

} // namespace cornelshed::demo
