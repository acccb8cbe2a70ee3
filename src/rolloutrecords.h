// Formats of the lease, rollout progress and rollout event rows in the table, and of the rollout
// messages between entry daemons. They are JSON because operators read the rows too.

#ifndef CORNELSHED_ROLLOUTRECORDS_H
#define CORNELSHED_ROLLOUTRECORDS_H

#include "lease.h"
#include "rollout.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cornelshed {

// Row lease/<name>. The text does not contain tableVersion, which the table keeps itself.
std::string formatLeaseRow(const LeaseRow &row);
std::optional<LeaseRow> parseLeaseRow(std::string_view text, std::uint64_t tableVersion);

// Row rollout/<name>. fencing is the fencing number of the lease under which the row is written; 0
// for writes that need no lease, such as a rollback.
std::string formatProgress(const RolloutProgress &progress, std::uint64_t fencing);
std::optional<RolloutProgress> parseProgress(std::string_view text);

// Rollout state that an entry daemon sends to its peers.
struct RolloutGossip
{
    std::map<std::string, RolloutProgress> progress;
    Evidence evidence;

    bool operator==(const RolloutGossip &) const = default;
};

std::string formatGossip(const RolloutGossip &gossip);

// Returns std::nullopt if the text is malformed: text from a peer is always validated.
std::optional<RolloutGossip> parseGossip(std::string_view text);

// Row event/rollout/<name>, which is written once, after the rollout has ended.
std::string formatRolloutEvent(const std::string &rollout, const RolloutProgress &progress,
                               const std::string &entry);

// Name in rows and log events: open, done, rolled_back or infeasible.
std::string_view rolloutEndName(RolloutEnd end);

} // namespace cornelshed

#endif // CORNELSHED_ROLLOUTRECORDS_H
