// Rollouts on the control thread: joins the RolloutController to the table, the lease "moves" and
// the peers. Progress is stored in row rollout/<name>; the end of a rollout is told to operators
// once, in row event/rollout/<name>.

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
    Duration gossipInterval = std::chrono::seconds(1); // evidence to one random peer
    Duration readInterval = std::chrono::seconds(2);   // of the progress rows
    Duration tickInterval = std::chrono::milliseconds(250);

    bool operator==(const RolloutPartSettings &) const = default;
};

// rolloutChart and leaseChart are the state charts of these names. host outlives the part.
std::unique_ptr<ControlPart> makeRolloutPart(ControlPartHost &host,
                                             const RolloutPartSettings &settings,
                                             StateChart rolloutChart, StateChart leaseChart);

} // namespace cornelshed

#endif // CORNELSHED_ROLLOUTPART_H
