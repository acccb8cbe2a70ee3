// Records of moves as they stand in the table and travel between entry daemons: leases, the
// progress and the evidence of rollouts, and events for operators. JSON, because operators read the
// rows too.

#ifndef CORNELSHED_MOVERECORDS_H
#define CORNELSHED_MOVERECORDS_H

#include "lease.h"
#include "rollout.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cornelshed {

// Row lease/<name>. The table's version of the row is not part of the text.
std::string formatLeaseRow(const LeaseRow &row);
std::optional<LeaseRow> parseLeaseRow(std::string_view text, std::uint64_t tableVersion);

// Row rollout/<name>. fencing is the number of the lease under which the row was written; 0 for a
// roll-back, which needs no lease.
std::string formatProgress(const RolloutProgress &progress, std::uint64_t fencing);
std::optional<RolloutProgress> parseProgress(std::string_view text);

// What an entry daemon tells its peers about rollouts.
struct RolloutGossip
{
    std::map<std::string, RolloutProgress> progress;
    Evidence evidence;

    bool operator==(const RolloutGossip &) const = default;
};

std::string formatGossip(const RolloutGossip &gossip);

// Nothing if the text is malformed; a peer's text is never trusted to be well formed.
std::optional<RolloutGossip> parseGossip(std::string_view text);

// Row event/rollout/<name>, written once when the rollout has ended.
std::string formatRolloutEvent(const std::string &rollout, const RolloutProgress &progress,
                               const std::string &entry);

// Name of an end in rows and logs: open, done, rolled_back, infeasible.
std::string_view rolloutEndName(RolloutEnd end);

} // namespace cornelshed

#endif // CORNELSHED_MOVERECORDS_H
