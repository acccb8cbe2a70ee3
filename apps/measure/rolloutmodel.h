// Model of one rollout over several entry daemons, in virtual time: traffic on three routes, a new
// version that is good or bad in a given way, evidence exchanged between peers with loss, and a
// table row for the progress. It drives the real RolloutController or the fixed-schedule baseline.

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
    FailsLater,  // some minutes after the start
    FailsLoaded, // when its servers carry more than half of their rated load
    FailsOneRoute,
    TurnsCold // each server turns cold again now and then: very slow for some seconds
};

enum class RolloutDriver { Sequential, FixedSchedule };

struct RolloutModelSettings
{
    VersionBehaviour behaviour = VersionBehaviour::Good;
    RolloutDriver driver = RolloutDriver::Sequential;
    std::uint64_t seed = 1;
    int daemons = 4;
    double requestsPerSecond = 60;  // over all daemons and routes
    double oldFailureShare = 0.004; // of the old version, and of a good new one
    double peerLoss = 0.1;          // share of evidence messages that are lost
    Duration deadline = std::chrono::minutes(15);
    Duration tableOutage {}; // starts 60 s after the start
};

struct RolloutModelResult
{
    bool done = false; // all traffic moved by the deadline and the rollout not rolled back
    bool rolledBack = false;
    bool largerShareOnly = true; // the share never fell but by a roll-back
    Duration movedAt {};         // from the start until all traffic went to the new version
    double badShare = 0;         // requests to the version while it was bad until the roll-back was
                                 // first decided, over all requests until then
    std::uint64_t lateRequests = 0; // new requests to the version 2 s after the roll-back or later
};

// chart is the state chart "rollout".
RolloutModelResult runRolloutModel(const StateChart &chart, const RolloutModelSettings &settings);

} // namespace cornelshed

#endif // CORNELSHED_ROLLOUTMODEL_H
