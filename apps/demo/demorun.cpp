// Steps of the demonstration.

#include "demorun.h"

#include "clustersettings.h"
#include "loadedcluster.h"

#include <ostream>
#include <thread>

namespace cornelshed::demo {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

// Time after which a withdrawn zone gets no new work (design, section 1, invariant 5).
constexpr auto withdrawalTimeLimit = 3s;

class Demo
{
public:
    Demo(const DemoOptions &options, std::ostream &out)
        : m_options(options), m_out(out), m_start(Clock::now())
    { }

    std::uint64_t run()
    {
        const load::Day day = load::generateDay(
                clusterDay(m_options.seed, m_options.seconds, m_options.requestsPerSecond));
        m_requestCount = day.size();
        say("starting the cluster");
        LoadedCluster loaded(m_options.cluster, day);
        say("sending " + std::to_string(day.size()) + " requests");
        killProcesses(loaded);
        const std::uint64_t withdrawnRuns = withdrawZone(loaded);
        const load::Tally tally = loaded.finish(true);
        say("stopping all processes gracefully");
        const std::uint64_t ungraceful = countUngraceful(loaded.cluster().stopAll());
        m_out << '\n' << tally.toTable();
        const std::uint64_t violations = tally.violationCount() + withdrawnRuns + ungraceful;
        say("violations: " + std::to_string(violations));
        return violations;
    }

private:
    void killProcesses(LoadedCluster &loaded)
    {
        Cluster &cluster = loaded.cluster();
        const std::string agent = cluster.names(MemberKind::EngineAgent).front();
        const std::string entry = cluster.names(MemberKind::Entry).back();
        loaded.waitForEnded(shareOfDay(0.15));
        say("kill -9 " + agent);
        cluster.kill(agent);
        loaded.waitForEnded(shareOfDay(0.25));
        say("kill -9 " + entry);
        cluster.kill(entry);
        loaded.waitForEnded(shareOfDay(0.35));
        say("starting both again");
        cluster.restart(agent);
        cluster.restart(entry);
        cluster.waitUntilServing();
    }

    // Returns the number of requests that the zone's engines got after the time limit.
    std::uint64_t withdrawZone(LoadedCluster &loaded)
    {
        const std::string zone = zoneName(m_options.cluster.zoneCount - 1);
        loaded.waitForEnded(shareOfDay(0.45));
        say("withdrawing " + zone);
        loaded.cluster().acceptWithdrawal({zone});
        std::this_thread::sleep_for(withdrawalTimeLimit);
        const std::uint64_t before = loaded.runsIn(zone);
        loaded.waitForEnded(shareOfDay(0.75));
        const std::uint64_t runs = loaded.runsIn(zone) - before;
        say("returning " + zone + "; it got " + std::to_string(runs)
            + " new requests after 3 s of withdrawal");
        loaded.cluster().acceptWithdrawal({});
        return runs;
    }

    std::uint64_t countUngraceful(const std::map<std::string, int> &statuses)
    {
        std::uint64_t count = 0;
        for (const auto &[name, status] : statuses) {
            if (status == 0)
                continue;
            say(name + " ended with status " + std::to_string(status));
            count += 1;
        }
        return count;
    }

    [[nodiscard]] std::uint64_t shareOfDay(double share) const
    {
        return static_cast<std::uint64_t>(share * static_cast<double>(m_requestCount));
    }

    void say(const std::string &text)
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
    return Demo(options, out).run();
}

} // namespace cornelshed::demo
