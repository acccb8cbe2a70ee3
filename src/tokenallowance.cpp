// Token buckets of a rate limit that is shared between daemons by reports of their consumption.

#include "tokenallowance.h"

#include "stabledigest.h"

#include <algorithm>

namespace cornelshed {

namespace {

// Largest part of the tolerance that requests may use; the rest covers what peers admit between two
// reports. The part kept back is at least what an organisation that sends at this multiple of its
// rate consumes within the report lag.
constexpr double usableToleranceShare = 0.7;
constexpr double assumedOverloadFactor = 3;
// Part of the burst, and of the usable tolerance, that the bucket holds and that may thus be
// consumed at once; the rest raises the refill rate.
constexpr double bucketBurstShare = 0.3;
// Part of the tolerance that a new bucket holds, so that a restarted daemon can serve at once.
constexpr double initialToleranceShare = 0.1;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

bool TokenAllowances::configure(const std::string &organisation, const Allowance &allowance,
                                Instant now)
{
    const auto [it, added] = m_accounts.try_emplace(organisation);
    Account &account = it->second;
    const bool changed = added || account.allowance != allowance;
    if (added) {
        account.refilledAt = now;
        m_organisationByDigest[stableDigest(organisation)] = organisation;
    } else {
        refill(account, now);
    }
    account.allowance = allowance;
    resize(account);
    if (added) {
        const double tolerance =
                account.strict.windowLimit * m_tolerance.share + m_tolerance.constant;
        account.strict.level = account.tolerant.level = initialToleranceShare * tolerance;
    }
    adjustLevels(account, 0);
    return changed;
}

void TokenAllowances::setGateways(std::uint32_t heard, std::uint32_t possiblyAliveCount)
{
    m_usableShare = possiblyAliveCount == 0
            ? 1
            : std::clamp(static_cast<double>(heard) / possiblyAliveCount, 1.0 / possiblyAliveCount,
                         1.0);
}

void TokenAllowances::setReportLag(Duration lag)
{
    if (lag == m_reportLag)
        return;
    m_reportLag = lag;
    for (auto &[name, account] : m_accounts)
        resize(account);
}

bool TokenAllowances::tryTake(const std::string &organisation, double cost, bool useTolerance,
                              Instant now)
{
    const auto it = m_accounts.find(organisation);
    if (it == m_accounts.end())
        return true;
    Account &account = it->second;
    if (account.allowance.perSecond > 0) {
        refill(account, now);
        const Bucket &bucket = useTolerance ? account.tolerant : account.strict;
        if (bucket.level < requiredLevel(bucket, cost))
            return false;
        adjustLevels(account, -cost);
    }
    account.consumedTotal += cost;
    return true;
}

Duration TokenAllowances::timeUntil(const std::string &organisation, double cost, Instant now)
{
    const auto it = m_accounts.find(organisation);
    if (it == m_accounts.end() || it->second.allowance.perSecond <= 0)
        return {};
    Account &account = it->second;
    refill(account, now);
    const Bucket &bucket = account.tolerant;
    const double missing = std::max(requiredLevel(bucket, cost) - bucket.level, 0.0);
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(missing / refillRate(bucket)));
}

double TokenAllowances::level(const std::string &organisation, bool useTolerance, Instant now)
{
    const auto it = m_accounts.find(organisation);
    if (it == m_accounts.end())
        return 0;
    refill(it->second, now);
    return useTolerance ? it->second.tolerant.level : it->second.strict.level;
}

void TokenAllowances::refund(const std::string &organisation, double cost)
{
    const auto it = m_accounts.find(organisation);
    if (it == m_accounts.end())
        return;
    it->second.consumedTotal -= cost;
    adjustLevels(it->second, cost);
}

void TokenAllowances::recordPeerTotal(std::uint64_t peerIncarnation, Duration peerUptime,
                                      std::uint64_t organisationDigest, double total, Instant now)
{
    const auto name = m_organisationByDigest.find(organisationDigest);
    if (name == m_organisationByDigest.end())
        return;
    const double base = peerUptime < m_window ? 0 : total;
    const auto previous =
            m_peerTotals.try_emplace({peerIncarnation, organisationDigest}, base).first;
    const double growth = total - previous->second;
    previous->second = total;
    Account &account = m_accounts[name->second];
    refill(account, now);
    adjustLevels(account, -growth);
}

std::map<std::uint64_t, double> TokenAllowances::ownTotals() const
{
    std::map<std::uint64_t, double> totals;
    for (const auto &[name, account] : m_accounts) {
        if (account.consumedTotal > 0)
            totals.emplace(stableDigest(name), account.consumedTotal);
    }
    return totals;
}

void TokenAllowances::resize(Account &account) const
{
    const Allowance &allowance = account.allowance;
    const double limit = allowance.perSecond * secondsOf(m_window) + allowance.burst;
    const double tolerance = limit * m_tolerance.share + m_tolerance.constant;
    const double unreportedUsage =
            assumedOverloadFactor * allowance.perSecond * secondsOf(m_reportLag);
    const double usableTolerance =
            std::clamp(tolerance - unreportedUsage, 0.0, usableToleranceShare * tolerance);
    account.strict.windowLimit = limit;
    account.strict.size = bucketBurstShare * allowance.burst;
    account.tolerant.windowLimit = limit + usableTolerance;
    account.tolerant.size = bucketBurstShare * (allowance.burst + usableTolerance);
}

double TokenAllowances::refillRate(const Bucket &bucket) const
{
    return m_usableShare * (bucket.windowLimit - bucket.size) / secondsOf(m_window);
}

// Returns the level at which the cost may be consumed. A cost above the bucket's size requires a
// full bucket.
double TokenAllowances::requiredLevel(const Bucket &bucket, double cost) const
{
    return std::min(cost, m_usableShare * bucket.size);
}

void TokenAllowances::refill(Account &account, Instant now) const
{
    const double seconds = std::max(0.0, secondsOf(now - account.refilledAt));
    account.refilledAt = std::max(account.refilledAt, now);
    for (Bucket *it : {&account.strict, &account.tolerant})
        it->level += seconds * refillRate(*it);
    adjustLevels(account, 0);
}

// Consumption that several daemons admitted before receiving each other's reports becomes a debt
// and is repaid by later refills. The debt is limited to one window's limit, since the limit
// applies to no longer period.
void TokenAllowances::adjustLevels(Account &account, double amount) const
{
    for (Bucket *it : {&account.strict, &account.tolerant})
        it->level = std::clamp(it->level + amount, -it->windowLimit, m_usableShare * it->size);
}

} // namespace cornelshed
