// Queue of reservations at one agent: strict tier order with a starvation floor for lower tiers,
// deficit round robin over the organisations of a tier, earliest deadline first within one.

#ifndef CORNELSHED_TIERQUEUE_H
#define CORNELSHED_TIERQUEUE_H

#include "configuration.h"
#include "types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornelshed {

struct QueueEntry
{
    RequestId request;
    TierRank tier = 0;
    std::string organisation;
    std::uint32_t weight = 1;
    std::uint64_t tokens = 0; // prompt and expected output
    Instant deadline;

    bool operator==(const QueueEntry &) const = default;
};

class TierQueue
{
public:
    TierQueue(std::size_t limit, const std::vector<TierSettings> &tiers);

    void setTiers(const std::vector<TierSettings> &tiers);

    // Adds an entry; the request must not be queued yet. Returns the entry that was shed if the
    // queue was full: the latest deadline of the organisation with most tokens per weight in the
    // lowest tier, which may be the new entry itself.
    std::optional<QueueEntry> push(const QueueEntry &entry);

    bool remove(RequestId request);
    bool contains(RequestId request) const { return m_entries.count(request) != 0; }

    // The entry to serve next, nullptr when empty. It stays the next one until the queue changes.
    const QueueEntry *next();

    // Takes the entry that next() returns and charges its tier and organisation for it.
    QueueEntry pop();

    // The entry of the highest tier with at most so many tokens among the earliest deadlines,
    // nullptr if there is none. For places that are not open to larger requests.
    const QueueEntry *smallEntry(std::uint64_t mostTokens) const;

    // Takes this entry out of turn, charged as by pop().
    QueueEntry take(RequestId request);

    // Undoes the charge of a popped entry that was not served after all.
    void refund(const QueueEntry &entry);

    // Takes out the entries whose deadline is at or before now.
    std::vector<QueueEntry> expire(Instant now);
    Instant earliestDeadline() const;

    // Takes out everything, highest tier first.
    std::vector<QueueEntry> clear();

    std::size_t size() const { return m_entries.size(); }

private:
    using ByDeadline = std::set<std::pair<Instant, RequestId>>;

    struct OrganisationQueue
    {
        ByDeadline order; // invariant: not empty
        std::uint32_t weight = 1;
        std::uint64_t tokens = 0; // queued
        std::int64_t deficit = 0; // tokens it may take before the next turn
    };

    struct Tier
    {
        std::map<std::string, OrganisationQueue> organisations;
        std::deque<std::string> turn; // the organisations in round-robin order
        double minimumShare = 0;
        double credit = 0; // grants owed by the starvation floor
    };

    Tier *nextTier();
    const QueueEntry &nextOf(Tier &tier);
    void addTurns(Tier &tier);
    void chargeTiers(TierRank served, double grants);
    void drop(const QueueEntry &entry);

    std::size_t m_limit;
    std::map<TierRank, Tier> m_tiers;
    std::unordered_map<RequestId, QueueEntry> m_entries;
    ByDeadline m_byDeadline; // all entries
};

} // namespace cornelshed

#endif // CORNELSHED_TIERQUEUE_H
