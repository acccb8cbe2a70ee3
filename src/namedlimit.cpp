// Statements of backend servers about their limits.

#include "namedlimit.h"

#include <algorithm>
#include <cmath>

namespace cornelshed {

namespace {

using namespace std::chrono_literals;

// Answers that are under way when a backend server begins to name a limit do not lift it.
constexpr Duration liftDelay = 1s;
// For this time a gateway reports that a limit was lifted.
constexpr Duration liftedAnnounceTime = 5s;
// Ages in messages are cut to this.
constexpr Duration longestAge = 24h;
// One request in four seconds.
constexpr double minPerSecond = 0.25;

} // namespace

std::optional<NamedLimitReport> decodeNamedLimit(double perSecond, std::int64_t ageMicros)
{
    if (ageMicros < 0 || !std::isfinite(perSecond))
        return std::nullopt;
    const Duration age = std::min(Duration(ageMicros), longestAge);
    return NamedLimitReport {perSecond < 0 ? std::nullopt : std::optional(perSecond), age};
}

void NamedLimit::recordAnswer(std::optional<double> perSecond, Instant now)
{
    const Statement &newest = newestStatement();
    const bool lifts = !perSecond && newest.perSecond;
    if (lifts && now < newest.at + liftDelay)
        return;
    if (lifts)
        m_liftedAt = now;
    m_own = {perSecond, now};
}

void NamedLimit::merge(const NamedLimitReport &report, Instant now)
{
    const Instant at = now - report.age;
    if (at > m_ofPeers.at)
        m_ofPeers = {report.perSecond, at};
}

std::optional<double> NamedLimit::perSecond() const
{
    const auto &limit = newestStatement().perSecond;
    return limit ? std::optional(std::max(*limit, minPerSecond)) : std::nullopt;
}

std::optional<NamedLimitReport> NamedLimit::ownReport(Instant now) const
{
    const bool liftedRecently = m_liftedAt && *m_liftedAt + liftedAnnounceTime >= now;
    if (!m_own.perSecond && !liftedRecently)
        return std::nullopt;
    return NamedLimitReport {m_own.perSecond, now - m_own.at};
}

std::optional<NamedLimitReport> NamedLimit::newest(Instant now) const
{
    const Statement &newest = newestStatement();
    if (newest.at == Instant::min())
        return std::nullopt;
    return NamedLimitReport {newest.perSecond, now - newest.at};
}

const NamedLimit::Statement &NamedLimit::newestStatement() const
{
    return m_ofPeers.at > m_own.at ? m_ofPeers : m_own;
}

std::uint32_t shareOf(std::uint32_t requests, std::uint32_t gatewayCount, std::uint32_t index,
                      std::uint64_t turn)
{
    const std::uint32_t remainder = requests % gatewayCount;
    const bool inTurn = (index + turn) % gatewayCount < remainder;
    return requests / gatewayCount + (inTurn ? 1 : 0);
}

} // namespace cornelshed
