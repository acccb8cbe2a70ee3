// Checks the causes that keep requests from a backend server, the lasting ones first.

#include "backendavailability.h"

#include <algorithm>

namespace cornelshed {

namespace {

using namespace std::chrono_literals;

// Gateways take turns in probing a backend server whose agent does not respond. A turn lasts this
// time multiplied by the number of gateways, because a gateway sends its reports at intervals of
// up to 10 ms for each peer (see peergossip.cpp).
constexpr Duration probeTurnPerGateway = 15ms;
// At most 1/reservedSlotsDivisor of a backend server's slots is left free for higher priorities.
constexpr std::uint32_t reservedSlotsDivisor = 3;
// Without agents, all gateways together use this multiple of a cold backend server's rate.
constexpr double coldRateFactor = 1.25;
// Requests per second by which grants that are sent late may exceed the limits.
constexpr double coldMargin = 1;
// A longer pause ends after this time: a wrong value must not take a backend server away for good.
constexpr Duration longestPause = 5min;
// That a backend server leaves is kept for this time after its record is gone.
constexpr Duration leavingKeepTime = 1h;
// Window over which gateways without a grant share a named limit. Where there are agents, these use
// up the limit, and the gateways that do not reach them get a part of what may go beyond it.
constexpr Duration namedLimitWindow = 4s;
constexpr double namedLimitPartBesideAgents = 0.25;
// Part of the mean time between the requests that a limit allows which counts as a wait when a
// backend server is chosen: those without a limit come first.
constexpr double namedLimitWaitShare = 0.25;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

const char *nameOf(AvailabilityReason reason)
{
    switch (reason) {
    case AvailabilityReason::Available:
        return "available";
    case AvailabilityReason::NotListed:
        return "not_listed";
    case AvailabilityReason::Draining:
        return "draining";
    case AvailabilityReason::Leaving:
        return "leaving";
    case AvailabilityReason::Misdirected:
        return "misdirected";
    case AvailabilityReason::ZoneWithdrawn:
        return "zone_withdrawn";
    case AvailabilityReason::Paused:
        return "paused";
    case AvailabilityReason::AgentDecides:
        return "agent_decides";
    case AvailabilityReason::NoAgent:
        return "no_agent";
    case AvailabilityReason::Unresponsive:
        return "unresponsive";
    case AvailabilityReason::Full:
        return "full";
    case AvailabilityReason::Down:
        return "down";
    case AvailabilityReason::NoFreeSlot:
        return "no_free_slot";
    case AvailabilityReason::Ejected:
        return "ejected";
    case AvailabilityReason::ColdLimit:
        return "cold_limit";
    case AvailabilityReason::NamedLimit:
        return "named_limit";
    }
    return "unknown";
}

ColdLimits coldLimitsWithAgent(const DirectSettings &settings, double coldRate)
{
    const double bound = coldRate * settings.coldOver + settings.coldConstant;
    const auto spare = static_cast<std::uint32_t>(std::max(bound - coldRate - coldMargin, 0.0));
    // Gateways find an agent within a round trip of its start, so most of the rest is the agent's.
    const std::uint32_t gateways = spare / 4;
    return {spare - gateways, gateways};
}

bool BackendState::recordLeaving(std::int64_t startedAtMs)
{
    const bool before = isLeaving();
    leavingStart = std::max(startedAtMs, leavingStart.value_or(startedAtMs));
    return !before && isLeaving();
}

bool BackendState::recordPause(std::int64_t startedAtMs, Duration pause, Instant now)
{
    if (startedAtMs < latestStart)
        return false;
    const bool before = pausedUntil > now;
    pausedUntil = std::max(pausedUntil, now + std::min(pause, longestPause));
    return !before && pausedUntil > now;
}

void BackendState::setRecord(const BackendRecord &newRecord)
{
    if (newRecord.startedAtMs > latestStart)
        pausedUntil = {};
    latestStart = std::max(latestStart, newRecord.startedAtMs);
    record = newRecord;
}

bool BackendState::isForgettable(Instant now) const
{
    const bool kept = leavingStart && now < unlistedAt + leavingKeepTime;
    return !listed && running == 0 && !kept && pausedUntil <= now;
}

void BackendState::recordStart(Instant now)
{
    recentStarts.push_back(now);
    while (recentStarts.front() + namedLimitWindow <= now)
        recentStarts.pop_front();
}

std::size_t BackendState::startsWithin(Duration time, Instant now) const
{
    return static_cast<std::size_t>(std::count_if(recentStarts.begin(), recentStarts.end(),
                                                  [&](Instant it) { return it + time > now; }));
}

BackendAvailability::BackendAvailability(const DirectSettings &settings,
                                         const OutlierDetector &outliers)
    : m_settings(settings), m_outliers(outliers)
{ }

void BackendAvailability::setWithdrawnZones(std::set<std::string> zones)
{
    m_withdrawnZones = std::move(zones);
}

void BackendAvailability::setGateways(std::uint32_t count, std::uint32_t index)
{
    m_gatewayCount = std::max(count, 1U);
    m_gatewayIndex = index;
}

AvailabilityReason BackendAvailability::standing(const BackendState &backend) const
{
    if (!backend.listed)
        return AvailabilityReason::NotListed;
    if (backend.record.draining)
        return AvailabilityReason::Draining;
    if (backend.isLeaving())
        return AvailabilityReason::Leaving;
    if (backend.misdirected)
        return AvailabilityReason::Misdirected;
    if (m_withdrawnZones.contains(backend.record.availabilityZone))
        return AvailabilityReason::ZoneWithdrawn;
    return AvailabilityReason::Available;
}

AvailabilityReason BackendAvailability::forStart(const BackendState &backend,
                                                 std::uint32_t reservedSlots, Instant now,
                                                 std::uint32_t queueAllowance) const
{
    if (const auto reason = standing(backend); reason != AvailabilityReason::Available)
        return reason;
    if (backend.pausedUntil > now)
        return AvailabilityReason::Paused;
    if (backend.refusedUntil > now)
        return AvailabilityReason::Down;
    const bool agentUnknown = !backend.liveness.hadAgent() && backend.agentDiscoveryUntil > now;
    if (backend.liveness.hasAgent(now) || agentUnknown)
        return AvailabilityReason::AgentDecides;
    if (backend.liveness.mayBeUnresponsive(probeDelay(backend), backend.unresponsiveReports, now))
        return AvailabilityReason::Unresponsive;
    if (backend.fullUntil > now)
        return AvailabilityReason::Full;
    const std::uint32_t slots = backend.record.slots;
    const std::uint32_t reserve = std::min(reservedSlots, slots / reservedSlotsDivisor);
    if (backend.running + backend.peerRunning + reserve >= slots + queueAllowance)
        return AvailabilityReason::NoFreeSlot;
    if (isEjected(backend))
        return AvailabilityReason::Ejected;
    if (!withinColdLimit(backend, now))
        return AvailabilityReason::ColdLimit;
    if (!withinNamedLimit(backend, now))
        return AvailabilityReason::NamedLimit;
    return AvailabilityReason::Available;
}

AvailabilityReason BackendAvailability::forSlotRequest(const BackendState &backend,
                                                       Instant now) const
{
    if (const auto reason = standing(backend); reason != AvailabilityReason::Available)
        return reason;
    if (backend.pausedUntil > now)
        return AvailabilityReason::Paused;
    if (backend.refusedUntil > now)
        return AvailabilityReason::Down;
    if (!backend.liveness.hasAgent(now))
        return AvailabilityReason::NoAgent;
    if (backend.fullUntil > now)
        return AvailabilityReason::Full;
    return isEjected(backend) ? AvailabilityReason::Ejected : AvailabilityReason::Available;
}

AvailabilityReason BackendAvailability::forGrant(const BackendState &backend, Instant now) const
{
    const auto reason = standing(backend);
    if (reason != AvailabilityReason::Available)
        return reason;
    if (backend.refusedUntil > now)
        return AvailabilityReason::Down;
    return backend.pausedUntil > now ? AvailabilityReason::Paused : reason;
}

bool BackendAvailability::isEjected(const BackendState &backend) const
{
    const OutlierState state = m_outliers.state(backend.outlierSlot);
    return state != OutlierState::Admitted && state != OutlierState::ProbeReady;
}

// Requests per second that this gateway may send to a cold backend server.
std::uint32_t BackendAvailability::coldShare(const BackendState &backend) const
{
    const double coldRate = backend.coldRate;
    const double bound = coldRate * m_settings.coldOver + m_settings.coldConstant;
    const double usable = std::min(bound - coldMargin, coldRate * coldRateFactor);
    const std::uint32_t limit = m_settings.agents
            ? coldLimitsWithAgent(m_settings, coldRate).gateways
            : static_cast<std::uint32_t>(std::max(usable, 0.0));
    // The set of gateways that may send one more differs between backend servers.
    return limit >= m_gatewayCount ? limit / m_gatewayCount
                                   : shareOf(limit, m_gatewayCount, m_gatewayIndex, backend.digest);
}

bool BackendAvailability::withinColdLimit(const BackendState &backend, Instant now) const
{
    return backend.coldRate <= 0 || backend.coldUntil <= now
            || backend.startsWithin(1s, now) < coldShare(backend);
}

bool BackendAvailability::withinNamedLimit(const BackendState &backend, Instant now) const
{
    const auto perSecond = backend.namedLimit.perSecond();
    if (!perSecond)
        return true;
    const double requests = *perSecond * secondsOf(namedLimitWindow)
            * (m_settings.agents ? namedLimitPartBesideAgents : 1);
    const auto turn =
            backend.digest + static_cast<std::uint64_t>(now.time_since_epoch() / namedLimitWindow);
    const std::uint32_t share = shareOf(static_cast<std::uint32_t>(std::clamp(requests, 1.0, 1e6)),
                                        m_gatewayCount, m_gatewayIndex, turn);
    return backend.startsWithin(namedLimitWindow, now) < share;
}

double BackendAvailability::namedLimitWait(const BackendState &backend, Instant now) const
{
    const auto perSecond = backend.namedLimit.perSecond();
    if (!perSecond)
        return 0;
    const auto evenInterval = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(m_gatewayCount / *perSecond));
    const Duration ownInterval = std::min<Duration>(evenInterval, namedLimitWindow);
    return backend.startsWithin(ownInterval, now) > 0 ? namedLimitWaitShare / *perSecond : 0;
}

// Time from the last missing response to this gateway's turn to probe the backend server.
Duration BackendAvailability::probeDelay(const BackendState &backend) const
{
    const auto turn = static_cast<std::int64_t>((m_gatewayIndex + backend.digest) % m_gatewayCount);
    return turn * probeTurnPerGateway * static_cast<std::int64_t>(m_gatewayCount);
}

} // namespace cornelshed
