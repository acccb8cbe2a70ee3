// Token buckets shared by reports of peers.

#include "tokenallowance.h"

#include "stabledigest.h"

#include <algorithm>

namespace cornelshed {

namespace {

// Most of the tolerance that is lent; the rest is for what peers admit between two reports. That is
// at least what an organisation takes in the lag that sends this multiple of its rate.
constexpr double lentShare = 0.7;
constexpr double hotFactor = 3;
// Part of an allowance's burst, and of what is lent, that may be taken at once; the rest adds to
// the sustained rate.
constexpr double burstShare = 0.3;
// Part of the tolerance that a bucket holds at the start, so that a restarted daemon serves at
// once.
constexpr double startShare = 0.1;

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
        m_organisationOfDigest[stableDigest(organisation)] = organisation;
    } else {
        refill(account, now);
    }
    account.allowance = allowance;
    resize(account);
    if (added) {
        const double tolerance =
                account.strict.perWindow * m_tolerance.share + m_tolerance.constant;
        account.strict.level = account.tolerant.level = startShare * tolerance;
    }
    add(account, 0);
    return changed;
}

void TokenAllowances::setDaemons(std::uint32_t heard, std::uint32_t mayBeAlive)
{
    m_share = mayBeAlive == 0
            ? 1
            : std::clamp(static_cast<double>(heard) / mayBeAlive, 1.0 / mayBeAlive, 1.0);
}

void TokenAllowances::setReportLag(Duration lag)
{
    if (lag == m_reportLag)
        return;
    m_reportLag = lag;
    for (auto &[name, account] : m_accounts)
        resize(account);
}

bool TokenAllowances::tryTake(const std::string &organisation, double cost, bool lend, Instant now)
{
    const auto it = m_accounts.find(organisation);
    if (it == m_accounts.end())
        return true;
    Account &account = it->second;
    if (account.allowance.perSecond > 0) {
        refill(account, now);
        const Bucket &bucket = lend ? account.tolerant : account.strict;
        if (bucket.level < needed(bucket, cost))
            return false;
        add(account, -cost);
    }
    account.ownTotal += cost;
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
    const double missing = std::max(needed(bucket, cost) - bucket.level, 0.0);
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(missing / refillRate(bucket)));
}

double TokenAllowances::level(const std::string &organisation, bool lend, Instant now)
{
    const auto it = m_accounts.find(organisation);
    if (it == m_accounts.end())
        return 0;
    refill(it->second, now);
    return lend ? it->second.tolerant.level : it->second.strict.level;
}

void TokenAllowances::giveBack(const std::string &organisation, double cost)
{
    const auto it = m_accounts.find(organisation);
    if (it == m_accounts.end())
        return;
    it->second.ownTotal -= cost;
    add(it->second, cost);
}

void TokenAllowances::peerTotal(std::uint64_t peerIncarnation, Duration peerUptime,
                                std::uint64_t organisationDigest, double total, Instant now)
{
    const auto name = m_organisationOfDigest.find(organisationDigest);
    if (name == m_organisationOfDigest.end())
        return;
    const double base = peerUptime < m_window ? 0 : total;
    const auto known = m_peerTotals.try_emplace({peerIncarnation, organisationDigest}, base).first;
    const double growth = total - known->second;
    known->second = total;
    Account &account = m_accounts[name->second];
    refill(account, now);
    add(account, -growth);
}

std::map<std::uint64_t, double> TokenAllowances::ownTotals() const
{
    std::map<std::uint64_t, double> totals;
    for (const auto &[name, account] : m_accounts) {
        if (account.ownTotal > 0)
            totals.emplace(stableDigest(name), account.ownTotal);
    }
    return totals;
}

void TokenAllowances::resize(Account &account) const
{
    const Allowance &allowance = account.allowance;
    const double limit = allowance.perSecond * secondsOf(m_window) + allowance.burst;
    const double tolerance = limit * m_tolerance.share + m_tolerance.constant;
    const double inReports = hotFactor * allowance.perSecond * secondsOf(m_reportLag);
    const double lent = std::clamp(tolerance - inReports, 0.0, lentShare * tolerance);
    account.strict.perWindow = limit;
    account.strict.size = burstShare * allowance.burst;
    account.tolerant.perWindow = limit + lent;
    account.tolerant.size = burstShare * (allowance.burst + lent);
}

double TokenAllowances::refillRate(const Bucket &bucket) const
{
    return m_share * (bucket.perWindow - bucket.size) / secondsOf(m_window);
}

// The level at which the cost may be taken; a cost above the size passes on a full bucket.
double TokenAllowances::needed(const Bucket &bucket, double cost) const
{
    return std::min(cost, m_share * bucket.size);
}

void TokenAllowances::refill(Account &account, Instant now) const
{
    const double seconds = std::max(0.0, secondsOf(now - account.refilledAt));
    account.refilledAt = std::max(account.refilledAt, now);
    for (Bucket *it : {&account.strict, &account.tolerant})
        it->level += seconds * refillRate(*it);
    add(account, 0);
}

// What several daemons took at once before they heard of each other is paid back; the debt is
// bounded by a window's worth, which no rule looks beyond.
void TokenAllowances::add(Account &account, double amount) const
{
    for (Bucket *it : {&account.strict, &account.tolerant})
        it->level = std::clamp(it->level + amount, -it->perWindow, m_share * it->size);
}

} // namespace cornelshed
