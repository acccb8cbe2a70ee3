// Sliding-window counters. Only non-empty buckets use memory.

#include "burn.h"

#include <algorithm>
#include <deque>
#include <map>

namespace cornelshed {

namespace {

constexpr const char *otherOrganisations = "(other)";

struct Bucket
{
    Instant start;
    BurnCount count;
};

// Counts of one window. Buckets are ordered by start; record() removes those that have expired.
class WindowCounts
{
public:
    void record(const BurnWindow &window, bool good, Instant now)
    {
        const Instant start {now.time_since_epoch() / window.bucketLength * window.bucketLength};
        if (m_buckets.empty() || m_buckets.back().start < start)
            m_buckets.push_back({start, {}});
        BurnCount &count = m_buckets.back().count;
        ++count.total;
        count.bad += good ? 0 : 1;
        while (m_buckets.front().start + window.length <= now)
            m_buckets.pop_front();
    }

    BurnCount sum(const BurnWindow &window, Instant now) const
    {
        BurnCount result;
        for (const Bucket &it : m_buckets) {
            if (it.start + window.length <= now)
                continue;
            result.total += it.count.total;
            result.bad += it.count.bad;
        }
        return result;
    }

private:
    std::deque<Bucket> m_buckets; // invariant: ordered by start, none expired at the last record()
};

using KeyCounts = std::array<WindowCounts, burnWindows.size()>;

} // namespace

class BurnCounter::Private
{
public:
    explicit Private(std::size_t organisationLimit) : m_organisationLimit(organisationLimit) { }

    KeyCounts &countsFor(TierRank tier, const std::string &organisation)
    {
        const BurnKey key {tier, organisation};
        const auto it = m_counts.find(key);
        if (it != m_counts.end())
            return it->second;
        return m_counts.size() < m_organisationLimit ? m_counts[key]
                                                     : m_counts[{tier, otherOrganisations}];
    }

    std::size_t m_organisationLimit;
    std::map<BurnKey, KeyCounts> m_counts;
};

BurnCounter::BurnCounter(std::size_t organisationLimit)
    : d(std::make_unique<Private>(organisationLimit))
{ }

BurnCounter::~BurnCounter() = default;
BurnCounter::BurnCounter(BurnCounter &&) noexcept = default;
BurnCounter &BurnCounter::operator=(BurnCounter &&) noexcept = default;

void BurnCounter::record(TierRank tier, const std::string &organisation, bool good, Instant now)
{
    KeyCounts &counts = d->countsFor(tier, organisation);
    for (std::size_t n = 0; n < burnWindows.size(); ++n)
        counts[n].record(burnWindows[n], good, now);
}

std::vector<BurnRow> BurnCounter::report(Instant now) const
{
    std::vector<BurnRow> rows;
    for (const auto &[key, counts] : d->m_counts) {
        BurnRow row {key, {}};
        for (std::size_t n = 0; n < burnWindows.size(); ++n)
            row.counts[n] = counts[n].sum(burnWindows[n], now);
        rows.push_back(std::move(row));
    }
    return rows;
}

} // namespace cornelshed
