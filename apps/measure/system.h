// The systems that experiments compare, and the scenario and state of one simulated run. A system
// receives the requests of a workload and serves them on a fleet of engine models.

#ifndef CORNELSHED_SYSTEM_H
#define CORNELSHED_SYSTEM_H

#include "agentscheduler.h"
#include "entryscheduler.h"
#include "fleet.h"
#include "recorder.h"

#include <memory>
#include <vector>

namespace cornelshed::measure {

enum class SystemKind {
    Cornelshed,
    RoundRobin,        // sends requests to the engines in turn
    Random,            // sends each request to a random engine
    PowerOfTwoChoices, // sends to the less loaded of two random engines by their load reports
    PushQueue,         // as PowerOfTwoChoices, with a bounded FIFO queue in front of each engine
    PerfectKnowledge   // one queue for all engines, exact sizes and engine states, no delays
};

const char *nameOf(SystemKind kind);

// Withdraws an availability zone or returns it to service. A returned zone has new hosts, so its
// engines are cold.
struct ZoneChange
{
    Duration at {}; // since the start of the run
    std::size_t zone = 0;
    bool withdrawn = false;
};

struct Scenario
{
    std::vector<EngineSettings> engines;
    WorkloadSettings workload;
    Duration warmUp = std::chrono::seconds(20); // requests that arrive earlier are not counted
    std::size_t entryDaemonCount = 4;
    Duration messageDelay = std::chrono::microseconds(300);
    Duration loadReportAge {}; // age of the load reports that systems see
    EntryLimits entryLimits;
    AgentLimits agentLimits;

    // Once per interval a random engine turns cold and the system is not told; zero: never.
    Duration silentColdInterval {};
    bool enginesStartCold = false;

    // Engine n is in zone n % zoneCount. Only SystemKind::Cornelshed reacts to zone changes.
    std::size_t zoneCount = 1;
    std::vector<ZoneChange> zoneChanges;
};

// The complete state of one simulated run.
struct Run
{
    Run(const Scenario &scenario, std::uint64_t seed);

    Scenario scenario;
    std::uint64_t seed;
    SeededRandom random;
    EventQueue events;
    Workload workload;
    Recorder recorder;
    Fleet fleet;
};

class System : public FleetListener
{
public:
    // Hands over the request with this index in the workload, at its arrival time.
    virtual void submit(std::size_t index) = 0;

    // Adds the counts that only the system itself knows, such as sheds.
    virtual void addSystemCounts(Counts &) { }
};

std::unique_ptr<System> makeCornelshed(Run &run);
std::unique_ptr<System> makeBaseline(Run &run, SystemKind kind);

// Variant of the perfect-knowledge reference.
struct ReferencePolicy
{
    bool shortestFirst = false; // order within a tier; otherwise earliest deadline first
    bool limitStepTime = false; // keeps engine steps within the step time target of 27 ms
};
std::unique_ptr<System> makeReference(Run &run, const ReferencePolicy &policy);

// Runs the scenario to its end. For PerfectKnowledge, returns the counts of the reference policy
// with the highest goodput.
Counts simulate(SystemKind kind, const Scenario &scenario, std::uint64_t seed);

} // namespace cornelshed::measure

#endif // CORNELSHED_SYSTEM_H
