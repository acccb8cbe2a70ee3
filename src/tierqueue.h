// Priority queue of the reservations at one agent. Tiers are served in strict priority order,
// except that each lower tier is guaranteed a minimum share of grants. Within a tier, organisations
// share by weighted deficit round robin; within an organisation, the earliest deadline is served
// first.

#ifndef CORNELSHED_TIERQUEUE_H
#define CORNELSHED_TIERQUEUE_H

#include "configuration.h"
#include "types.h"

#include <cstdint>
#include <deque>
#include <functional>
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
    std::uint64_t tokens = 0; // prompt tokens plus expected output tokens
    Instant deadline;

    bool operator==(const QueueEntry &) const = default;
};

class TierQueue
{
public:
    TierQueue(std::size_t capacity, const std::vector<TierSettings> &tiers);

    void setTiers(const std::vector<TierSettings> &tiers);

    // Adds an entry; its request must not be queued yet. If the queue was full, removes one entry
    // and returns it: in the lowest non-empty tier, from the organisation with the most queued
    // tokens per unit of weight, the entry with the latest deadline. It may be the new entry.
    std::optional<QueueEntry> push(const QueueEntry &entry);

    bool remove(RequestId request);
    bool contains(RequestId request) const { return m_entries.count(request) != 0; }

    // Returns the entry to serve next, or nullptr if the queue is empty. Repeated calls return the
    // same entry until the queue is modified.
    const QueueEntry *next();

    // Removes the entry that next() returns and charges its tier and organisation for it. The queue
    // must not be empty.
    QueueEntry pop();

    // Searches the entries with the earliest deadlines and returns the matching one of the highest
    // tier, or nullptr if none matches. Used for slots that not every request may take.
    const QueueEntry *findMatching(const std::function<bool(const QueueEntry &)> &matches) const;

    // Removes the entry of a queued request regardless of its position, with the same charge as
    // pop().
    QueueEntry take(RequestId request);

    // Reverses the charge for an entry that was removed by pop() or take() but not served.
    void refund(const QueueEntry &entry);
    // Charges for an entry that was refunded and is served after all.
    void charge(const QueueEntry &entry);

    // Removes and returns the entries whose deadline is at or before now.
    std::vector<QueueEntry> expire(Instant now);
    Instant earliestDeadline() const;

    // Removes and returns all entries, highest tier first.
    std::vector<QueueEntry> clear();

    std::size_t size() const { return m_entries.size(); }

private:
    using DeadlineIndex = std::set<std::pair<Instant, RequestId>>;

    struct OrganisationQueue
    {
        DeadlineIndex order; // invariant: not empty
        std::uint32_t weight = 1;
        std::uint64_t tokens = 0; // sum over its queued entries
        std::int64_t deficit = 0; // tokens it may still use in the current round
    };

    struct Tier
    {
        std::map<std::string, OrganisationQueue> organisations;
        std::deque<std::string> activeOrganisations; // in round-robin order
        double minimumShare = 0;
        double credit = 0; // grants owed to the tier under its minimum share
    };

    Tier *nextTier();
    const QueueEntry &nextInTier(Tier &tier);
    void replenishDeficits(Tier &tier);
    void addCharge(const QueueEntry &entry, double grants);
    void updateCredits(TierRank served, double grants);
    void removeEntry(const QueueEntry &entry);

    std::size_t m_capacity;
    std::map<TierRank, Tier> m_tiers;
    std::unordered_map<RequestId, QueueEntry> m_entries;
    DeadlineIndex m_byDeadline; // all entries
};

} // namespace cornelshed

#endif // CORNELSHED_TIERQUEUE_H
