// Implements the order in which queued reservations are served and shed.

#include "tierqueue.h"

#include <algorithm>
#include <limits>

namespace cornelshed {

namespace {

// Tokens that each round adds to an organisation's deficit, per unit of weight. It equals about one
// short request, so that organisations with short requests alternate request by request.
constexpr std::int64_t quantumTokens = 256;

// Number of entries that findMatching() examines. Bounds its cost when the queue is long.
constexpr std::size_t matchScanLimit = 32;

// Cost of an entry in tokens. Requests to plain services (PoolKind::Service) have no token counts
// and cost as much as a short request.
std::int64_t costOf(const QueueEntry &entry)
{
    return std::max(static_cast<std::int64_t>(entry.tokens), quantumTokens);
}

std::int64_t quantumOf(std::uint32_t weight)
{
    return quantumTokens * static_cast<std::int64_t>(std::max(weight, 1U));
}

} // namespace

TierQueue::TierQueue(std::size_t capacity, const std::vector<TierSettings> &tiers)
    : m_capacity(std::max<std::size_t>(capacity, 1))
{
    setTiers(tiers);
}

void TierQueue::setTiers(const std::vector<TierSettings> &tiers)
{
    for (auto &[rank, tier] : m_tiers)
        tier.minimumShare = 0;
    for (const TierSettings &it : tiers)
        m_tiers[it.rank].minimumShare = it.minimumShare;
}

std::optional<QueueEntry> TierQueue::push(const QueueEntry &entry)
{
    Tier &tier = m_tiers[entry.tier];
    auto [it, added] = tier.organisations.try_emplace(entry.organisation);
    if (added)
        tier.activeOrganisations.push_back(entry.organisation);
    it->second.order.emplace(entry.deadline, entry.request);
    it->second.weight = entry.weight;
    it->second.tokens += entry.tokens;
    m_entries.emplace(entry.request, entry);
    m_byDeadline.emplace(entry.deadline, entry.request);
    if (m_entries.size() <= m_capacity)
        return std::nullopt;

    const auto lowest = std::find_if(m_tiers.rbegin(), m_tiers.rend(),
                                     [](const auto &t) { return !t.second.organisations.empty(); });
    const auto &organisations = lowest->second.organisations;
    const auto largest = std::max_element(
            organisations.begin(), organisations.end(), [](const auto &a, const auto &b) {
                return a.second.tokens * std::max(b.second.weight, 1U)
                        < b.second.tokens * std::max(a.second.weight, 1U);
            });
    QueueEntry shed = m_entries.at(largest->second.order.rbegin()->second);
    removeEntry(shed);
    return shed;
}

bool TierQueue::remove(RequestId request)
{
    const auto it = m_entries.find(request);
    if (it == m_entries.end())
        return false;
    const QueueEntry entry = it->second;
    removeEntry(entry);
    return true;
}

const QueueEntry *TierQueue::next()
{
    Tier *tier = nextTier();
    return tier == nullptr ? nullptr : &nextInTier(*tier);
}

QueueEntry TierQueue::pop()
{
    return take(next()->request);
}

QueueEntry TierQueue::take(RequestId request)
{
    QueueEntry entry = m_entries.at(request);
    updateCredits(entry.tier, 1);
    m_tiers[entry.tier].organisations[entry.organisation].deficit -= costOf(entry);
    removeEntry(entry);
    return entry;
}

const QueueEntry *
TierQueue::findMatching(const std::function<bool(const QueueEntry &)> &matches) const
{
    const QueueEntry *best = nullptr;
    std::size_t scanned = 0;
    for (const auto &[deadline, request] : m_byDeadline) {
        if (++scanned > matchScanLimit)
            break;
        const QueueEntry &entry = m_entries.at(request);
        if ((best == nullptr || entry.tier < best->tier) && matches(entry))
            best = &entry;
    }
    return best;
}

void TierQueue::refund(const QueueEntry &entry)
{
    addCharge(entry, -1);
}

void TierQueue::charge(const QueueEntry &entry)
{
    addCharge(entry, 1);
}

void TierQueue::addCharge(const QueueEntry &entry, double grants)
{
    updateCredits(entry.tier, grants);
    Tier &tier = m_tiers[entry.tier];
    const auto it = tier.organisations.find(entry.organisation);
    if (it != tier.organisations.end())
        it->second.deficit -= grants * costOf(entry);
}

std::vector<QueueEntry> TierQueue::expire(Instant now)
{
    std::vector<QueueEntry> expired;
    while (!m_byDeadline.empty() && m_byDeadline.begin()->first <= now) {
        expired.push_back(m_entries.at(m_byDeadline.begin()->second));
        removeEntry(expired.back());
    }
    return expired;
}

Instant TierQueue::earliestDeadline() const
{
    return m_byDeadline.empty() ? instantNever : m_byDeadline.begin()->first;
}

std::vector<QueueEntry> TierQueue::clear()
{
    std::vector<QueueEntry> entries;
    for (const auto &[rank, tier] : m_tiers) {
        for (const auto &[name, queue] : tier.organisations) {
            for (const auto &[deadline, request] : queue.order)
                entries.push_back(m_entries.at(request));
        }
    }
    for (const QueueEntry &it : entries)
        removeEntry(it);
    return entries;
}

// Returns the highest non-empty tier, unless a lower one is owed a grant under its minimum share.
TierQueue::Tier *TierQueue::nextTier()
{
    Tier *highest = nullptr;
    for (auto &[rank, tier] : m_tiers) {
        if (tier.organisations.empty())
            continue;
        if (highest == nullptr)
            highest = &tier;
        else if (tier.credit >= 1)
            return &tier;
    }
    return highest;
}

const QueueEntry &TierQueue::nextInTier(Tier &tier)
{
    for (;;) {
        for (std::size_t n = 0; n < tier.activeOrganisations.size(); ++n) {
            const OrganisationQueue &queue =
                    tier.organisations.at(tier.activeOrganisations.front());
            const QueueEntry &entry = m_entries.at(queue.order.begin()->second);
            if (queue.deficit >= costOf(entry))
                return entry;
            tier.activeOrganisations.push_back(std::move(tier.activeOrganisations.front()));
            tier.activeOrganisations.pop_front();
        }
        replenishDeficits(tier);
    }
}

// Gives all organisations as many rounds as it takes until one of them can afford its next entry.
// Computing the number at once avoids iterating over the rounds.
void TierQueue::replenishDeficits(Tier &tier)
{
    std::int64_t rounds = std::numeric_limits<std::int64_t>::max();
    for (const auto &[name, queue] : tier.organisations) {
        const QueueEntry &entry = m_entries.at(queue.order.begin()->second);
        const std::int64_t shortfall = costOf(entry) - queue.deficit;
        const std::int64_t quantum = quantumOf(queue.weight);
        rounds = std::min(rounds, (shortfall + quantum - 1) / quantum);
    }
    for (auto &[name, queue] : tier.organisations)
        queue.deficit += std::max<std::int64_t>(rounds, 1) * quantumOf(queue.weight);
}

// Adds the minimum share of a grant to the credit of every non-empty tier and deducts the grant
// from the tier that was served. An empty tier accumulates no credit, so that it cannot monopolise
// the server with a burst later. A negative number of grants reverses a charge.
void TierQueue::updateCredits(TierRank served, double grants)
{
    for (auto &[rank, tier] : m_tiers) {
        if (tier.organisations.empty())
            continue;
        tier.credit += tier.minimumShare * grants;
        if (rank == served)
            tier.credit = std::max(tier.credit - grants, 0.0);
        tier.credit = std::clamp(tier.credit, 0.0, 2.0);
    }
}

void TierQueue::removeEntry(const QueueEntry &entry)
{
    Tier &tier = m_tiers[entry.tier];
    const auto it = tier.organisations.find(entry.organisation);
    it->second.order.erase({entry.deadline, entry.request});
    it->second.tokens -= entry.tokens;
    if (it->second.order.empty()) {
        std::erase(tier.activeOrganisations, entry.organisation);
        tier.organisations.erase(it);
        if (tier.organisations.empty())
            tier.credit = 0;
    }
    m_byDeadline.erase({entry.deadline, entry.request});
    const RequestId request = entry.request;
    m_entries.erase(request);
}

} // namespace cornelshed
