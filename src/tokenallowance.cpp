// Token buckets shared by reports of peers.

#include "tokenallowance.h"

#include "stabledigest.h"

#include <algorithm>
#include <cmath>

namespace cornelshed {

namespace {

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void TokenAllowances::configure(const std::string &organisation, const Allowance &allowance,
                                Instant now)
{
    const auto [it, added] = m_buckets.try_emplace(organisation);
    Bucket &bucket = it->second;
    if (added) {
        bucket.level = allowance.burst;
        bucket.refilledAt = now;
        m_organisationOfDigest[stableDigest(organisation)] = organisation;
    } else {
        refill(bucket, now);
        bucket.level = std::min(bucket.level, allowance.burst);
    }
    bucket.allowance = allowance;
}

void TokenAllowances::setDaemons(std::uint32_t heard, std::uint32_t mayBeAlive)
{
    m_refillShare = mayBeAlive == 0
            ? 1
            : std::clamp(static_cast<double>(heard) / mayBeAlive, 1.0 / mayBeAlive, 1.0);
}

bool TokenAllowances::tryTake(const std::string &organisation, double cost, Instant now)
{
    const auto it = m_buckets.find(organisation);
    if (it == m_buckets.end())
        return true;
    Bucket &bucket = it->second;
    bucket.ownTotal += cost;
    if (bucket.allowance.perSecond <= 0)
        return true;
    refill(bucket, now);
    if (bucket.level < std::min(cost, bucket.allowance.burst)) {
        bucket.ownTotal -= cost;
        return false;
    }
    bucket.level -= cost;
    return true;
}

Duration TokenAllowances::timeUntil(const std::string &organisation, double cost, Instant now)
{
    const auto it = m_buckets.find(organisation);
    if (it == m_buckets.end() || it->second.allowance.perSecond <= 0)
        return {};
    Bucket &bucket = it->second;
    refill(bucket, now);
    const double missing = std::min(cost, bucket.allowance.burst) - bucket.level;
    const double seconds = std::max(missing, 0.0) / (bucket.allowance.perSecond * m_refillShare);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void TokenAllowances::giveBack(const std::string &organisation, double cost)
{
    const auto it = m_buckets.find(organisation);
    if (it == m_buckets.end())
        return;
    it->second.ownTotal -= cost;
    it->second.level = std::min(it->second.level + cost, it->second.allowance.burst);
}

void TokenAllowances::peerTotal(std::uint64_t peerIncarnation, std::uint64_t organisationDigest,
                                double total, Instant now)
{
    const auto name = m_organisationOfDigest.find(organisationDigest);
    if (name == m_organisationOfDigest.end())
        return;
    const auto [known, first] =
            m_peerTotals.try_emplace({peerIncarnation, organisationDigest}, total);
    if (first)
        return;
    const double growth = total - known->second;
    known->second = total;
    Bucket &bucket = m_buckets[name->second];
    refill(bucket, now);
    // The debt of a burst taken by several daemons at once is bounded, so that it is paid back.
    bucket.level = std::clamp(bucket.level - growth, -bucket.allowance.burst,
                              bucket.allowance.burst);
}

std::map<std::uint64_t, double> TokenAllowances::ownTotals() const
{
    std::map<std::uint64_t, double> totals;
    for (const auto &[name, bucket] : m_buckets) {
        if (bucket.ownTotal > 0)
            totals.emplace(stableDigest(name), bucket.ownTotal);
    }
    return totals;
}

void TokenAllowances::refill(Bucket &bucket, Instant now) const
{
    const double seconds = std::max(0.0, secondsOf(now - bucket.refilledAt));
    bucket.refilledAt = std::max(bucket.refilledAt, now);
    bucket.level = std::min(bucket.level + seconds * bucket.allowance.perSecond * m_refillShare,
                            bucket.allowance.burst);
}

} // namespace cornelshed
