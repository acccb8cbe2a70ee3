// Steps of the demonstration.

#include "demorun.h"

#include "clustersettings.h"
#include "day.h"
#include "ledgers.h"
#include "loadrun.h"
#include "tally.h"

#include <exception>
#include <ostream>
#include <stdexcept>
#include <thread>

namespace cornelshed::demo {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using load::LoadRun;

namespace {

// Time after which a withdrawn zone gets no new work (design, section 1, invariant 5).
constexpr auto withdrawalTimeLimit = 3s;
constexpr auto progressTimeLimit = 60s;

class Demo
{
public:
    Demo(const DemoOptions &options, std::ostream &out)
        : m_options(options), m_out(out), m_start(Clock::now()), m_cluster(options.cluster)
    { }

    std::uint64_t run()
    {
        say("starting the cluster");
        m_cluster.start();
        const load::Day day = makeDay();
        m_requestCount = day.size();
        LoadRun load(day, loadOptions());
        say("sending " + std::to_string(day.size()) + " requests");
        std::vector<load::RequestRecord> records;
        std::thread sender([&] { records = load.run(); });
        try {
            injectFailures(load);
        } catch (...) {
            load.stopSending();
            sender.join();
            throw;
        }
        sender.join();
        return report(records);
    }

    std::string keepFiles() { return m_cluster.keepFiles(); }

private:
    load::Day makeDay() const
    {
        load::DayOptions day;
        day.seed = m_options.seed;
        day.length = std::chrono::milliseconds(static_cast<std::int64_t>(m_options.seconds * 1000));
        day.meanRequestsPerSecond = m_options.requestsPerSecond;
        day.organisations = {{"large-1", "gold", 5},
                             {"large-2", "silver", 5},
                             {"small-1", "gold", 1},
                             {"small-2", "silver", 1},
                             {"small-3", "bronze", 3}};
        return load::generateDay(day);
    }

    load::LoadOptions loadOptions()
    {
        load::LoadOptions options;
        for (const std::string &it : m_cluster.names(MemberKind::Entry))
            options.entries.push_back(m_cluster.endpointOf(it));
        options.entryAvailable = [this](std::size_t n) { return m_cluster.entryReady(n); };
        options.model = modelName;
        return options;
    }

    void injectFailures(const LoadRun &load)
    {
        const std::string agent = m_cluster.names(MemberKind::EngineAgent).front();
        const std::string entry = m_cluster.names(MemberKind::Entry).back();
        waitForProgress(load, 0.15);
        say("kill -9 " + agent);
        m_cluster.kill(agent);
        waitForProgress(load, 0.25);
        say("kill -9 " + entry);
        m_cluster.kill(entry);
        waitForProgress(load, 0.35);
        say("starting both again");
        m_cluster.restart(agent);
        m_cluster.restart(entry);
        m_cluster.waitUntilServing();
        withdrawZone(load);
    }

    void withdrawZone(const LoadRun &load)
    {
        const std::string zone = zoneName(m_options.cluster.zoneCount - 1);
        waitForProgress(load, 0.45);
        m_cluster.acceptWithdrawal({zone});
        say("withdrew " + zone);
        std::this_thread::sleep_for(withdrawalTimeLimit);
        const std::uint64_t before = runsIn(zone);
        waitForProgress(load, 0.75);
        m_withdrawnRuns = runsIn(zone) - before;
        m_cluster.acceptWithdrawal({});
        say("returned " + zone
            + "; new requests there after 3 s of withdrawal: " + std::to_string(m_withdrawnRuns));
    }

    void waitForProgress(const LoadRun &load, double share) const
    {
        const auto target = static_cast<std::uint64_t>(share * static_cast<double>(m_requestCount));
        const Clock::time_point end = Clock::now() + progressTimeLimit;
        while (load.endedCount() < target) {
            if (Clock::now() >= end)
                throw std::runtime_error("the load does not make progress");
            std::this_thread::sleep_for(5ms);
        }
    }

    std::uint64_t runsIn(const std::string &zone) const
    {
        std::vector<standins::HttpEndpoint> engines;
        for (const std::string &it : m_cluster.names(MemberKind::Engine)) {
            if (m_cluster.zoneOf(it) == zone)
                engines.push_back(m_cluster.endpointOf(it));
        }
        std::uint64_t count = 0;
        for (const load::LedgerRow &it : load::fetchLedgers(engines))
            count += it.count;
        return count;
    }

    std::uint64_t report(const std::vector<load::RequestRecord> &records)
    {
        std::vector<standins::HttpEndpoint> ledgers {m_cluster.endpointOf("service")};
        for (const std::string &it : m_cluster.names(MemberKind::Engine))
            ledgers.push_back(m_cluster.endpointOf(it));
        load::Tally tally = load::countRecords(records);
        load::auditRecords(tally, records, load::fetchLedgers(ledgers));
        say("stopping all processes gracefully");
        std::uint64_t violations = tally.violationCount() + m_withdrawnRuns;
        for (const auto &[name, status] : m_cluster.stopAll()) {
            if (status == 0)
                continue;
            say(name + " ended with status " + std::to_string(status));
            violations += 1;
        }
        m_out << '\n' << tally.toTable();
        say("violations: " + std::to_string(violations));
        return violations;
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
    Cluster m_cluster;
    std::size_t m_requestCount = 0;
    std::uint64_t m_withdrawnRuns = 0;
};

} // namespace

std::uint64_t runDemo(const DemoOptions &options, std::ostream &out)
{
    return Demo(options, out).run();
}

} // namespace cornelshed::demo
