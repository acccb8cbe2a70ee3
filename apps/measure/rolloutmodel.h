// Model of one rollout over several entry daemons, in virtual time: traffic on three routes, a new
// version that is good or has a given defect, evidence exchanged between the daemons with message
// loss, and a table row with the progress. Either the real RolloutController decides or a baseline
// with a fixed schedule.

#ifndef CORNELSHED_ROLLOUTMODEL_H
#define CORNELSHED_ROLLOUTMODEL_H

#include "statechart.h"
#include "types.h"

#include <cstdint>

namespace cornelshed {

enum class VersionBehaviour {
    Good,
    FailsAtOnce,
    SlowAtOnce,
    FailsLater,     // from four minutes after the start
    FailsUnderLoad, // while its share, which stands for its servers' load, exceeds one half
    FailsOneRoute,
    TurnsCold // its servers are periodically cold: after one minute, 12 s in every 40 s
};

enum class RolloutDriver { Sequential, FixedSchedule };

struct RolloutModelSettings
{
    VersionBehaviour behaviour = VersionBehaviour::Good;
    RolloutDriver driver = RolloutDriver::Sequential;
    std::uint64_t seed = 1;
    int daemons = 4;
    double requestsPerSecond = 60;   // over all daemons and routes
    double baseFailureShare = 0.004; // of the old version, and of the new one while it is good
    double peerMessageLoss = 0.1;    // share of evidence messages between daemons that are lost
    Duration deadline = std::chrono::minutes(15);
    Duration tableOutage {}; // length of the outage, which begins after 60 s; zero: none
};

struct RolloutModelResult
{
    bool done = false; // all traffic moved to the new version by the deadline, and no rollback
    bool rolledBack = false;
    bool shareNeverDecreased = true; // the share decreased only by a rollback
    Duration completedAfter {};      // from the start until all traffic goes to the new version
    // Until the rollback was first decided: requests to the new version while it was bad, as a
    // share of all requests.
    double badRequestShare = 0;
    std::uint64_t requestsAfterRollback = 0; // to the new version, 2 s or more after the rollback
};

// chart is the state chart "rollout".
RolloutModelResult runRolloutModel(const StateChart &chart, const RolloutModelSettings &settings);

} // namespace cornelshed

#endif // CORNELSHED_ROLLOUTMODEL_H
