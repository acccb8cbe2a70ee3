// Rollouts on the control thread: connects the RolloutController to the table, the lease "moves"
// and the peers. Progress is stored in row rollout/<name>. When a rollout ends, operators are
// notified once, through row event/rollout/<name>.

#ifndef CORNELSHED_ROLLOUTPART_H
#define CORNELSHED_ROLLOUTPART_H

#include "controlpart.h"
#include "statechart.h"

#include <memory>
#include <string>

namespace cornelshed {

struct RolloutPartSettings
{
    std::string entryName;
    std::uint64_t entryIncarnation = 0;
    Duration gossipInterval = std::chrono::seconds(1); // gossip to one random peer
    Duration readInterval = std::chrono::seconds(2);   // reads of the progress rows
    Duration tickInterval = std::chrono::milliseconds(250);

    bool operator==(const RolloutPartSettings &) const = default;
};

// rolloutChart and leaseChart are the state charts "rollout" and "lease". host must outlive the
// part.
std::unique_ptr<ControlPart> makeRolloutPart(ControlPartHost &host,
                                             const RolloutPartSettings &settings,
                                             StateChart rolloutChart, StateChart leaseChart);

} // namespace cornelshed

#endif // CORNELSHED_ROLLOUTPART_H
