// A complete system under experiment: it gets requests and serves them on a fleet of engine models.

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
    RoundRobin,      // pushed to engines in turn
    Random,          // pushed to a random engine
    LeastOfTwo,      // pushed to the less loaded of two by the last report
    PushQueue,       // least of two, into a bounded first-in-first-out queue beside the engine
    PerfectKnowledge // one queue for all, exact sizes and states, no delays
};

const char *nameOf(SystemKind kind);

// An availability zone is taken out or returned. Its hosts are new ones after the return, so that
// their engines are cold.
struct ZoneMove
{
    Duration at {}; // from the start
    std::size_t zone = 0;
    bool withdrawn = false;
};

struct Scenario
{
    std::vector<EngineSettings> engines;
    WorkloadSettings workload;
    Duration warmUp = std::chrono::seconds(20); // requests before are not counted
    std::size_t entries = 4;
    Duration messageDelay = std::chrono::microseconds(300);
    Duration reportAge {}; // by which load reports are late
    EntryLimits entryLimits;
    AgentLimits agentLimits;

    // A random engine turns cold without notice in each of these intervals; zero: never.
    Duration silentColdEvery {};
    bool enginesStartCold = false;

    // Engine n is in zone n modulo zoneCount. Moves have an effect on cornelshed only.
    std::size_t zoneCount = 1;
    std::vector<ZoneMove> zoneMoves;
};

// Everything that one run consists of.
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
    virtual void submit(std::size_t index) = 0;

    // Adds what the system itself has to count.
    virtual void complete(Counts &) { }
};

std::unique_ptr<System> makeCornelshed(Run &run);
std::unique_ptr<System> makeBaseline(Run &run, SystemKind kind);

struct ReferenceOrder
{
    bool shortestFirst = false; // within a tier; otherwise by deadline
    bool shortSteps = false;    // engine steps stay within 27 ms
};
std::unique_ptr<System> makeReference(Run &run, const ReferenceOrder &order);

Counts simulate(SystemKind kind, const Scenario &scenario, std::uint64_t seed);

} // namespace cornelshed::measure

#endif // CORNELSHED_SYSTEM_H
