// Detection of outliers among the servers of a group.

#include "outlierdetector.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>

namespace cornelshed {

OutlierDetector::OutlierDetector(const OutlierSettings &settings) : m_settings(settings) { }

void OutlierDetector::add(ServerSlot slot, OutlierGroup group)
{
    if (slot >= m_servers.size())
        m_servers.resize(slot + 1);
    while (group >= m_groups.size()) {
        m_groups.emplace_back();
        for (auto &it : m_groups.back().averageLogSeconds)
            it.fill(std::numeric_limits<float>::quiet_NaN());
    }
    m_servers[slot] = Server {};
    m_servers[slot].group = group;
    m_servers[slot].present = true;
    ++m_groups[group].size;
}

bool OutlierDetector::contains(ServerSlot slot) const
{
    return slot < m_servers.size() && m_servers[slot].present;
}

void OutlierDetector::forget(ServerSlot slot)
{
    Server &server = m_servers[slot];
    if (!server.present)
        return;
    --m_groups[server.group].size;
    if (server.state != OutlierState::Admitted) {
        --m_groups[server.group].ejected;
        std::erase(m_ejected, slot);
    }
    server = Server {};
}

// Returns the log of the ratio between the attempt's time and the group's average time for requests
// of that size, and updates this average. The deviation of a single attempt counts as a factor of
// at most 2 in this update, so that one very slow server does not become the norm of a small group.
double OutlierDetector::updateGroupTime(Group &group, const AttemptResult &result)
{
    const auto sizeBucketOf = [](std::uint64_t tokens) {
        return std::min<std::size_t>(std::bit_width(tokens), sizeBucketCount - 1);
    };
    float &groupLogSeconds = group.averageLogSeconds[sizeBucketOf(result.prefillTokens)]
                                                    [sizeBucketOf(result.outputTokens)];
    const double attemptSeconds = std::chrono::duration<double>(result.totalTime).count();
    const double logAttemptSeconds = std::log(std::max(attemptSeconds, 1e-6));
    if (std::isnan(groupLogSeconds))
        groupLogSeconds = static_cast<float>(logAttemptSeconds);
    const double logSlowdown = logAttemptSeconds - groupLogSeconds;
    const double boundedSlowdown = std::clamp(logSlowdown, -std::log(2.0), std::log(2.0));
    groupLogSeconds += static_cast<float>(m_settings.smoothing * boundedSlowdown);
    return logSlowdown;
}

bool OutlierDetector::isOutlier(const Server &server) const
{
    if (server.failureStreak >= m_settings.consecutiveFailures)
        return true;
    if (server.samples < m_settings.minimumSamples)
        return false;
    return server.failureRate > m_settings.failureShare
            || server.averageLogSlowdown > std::log(m_settings.slowFactor);
}

bool OutlierDetector::mayEject(const Group &group) const
{
    return group.ejected + 1 <= m_settings.ejectedShareLimit * group.size;
}

bool OutlierDetector::record(ServerSlot slot, const AttemptResult &result, Instant now)
{
    Server &server = m_servers[slot];
    if (!server.present)
        return false;
    Group &group = m_groups[server.group];
    double logSlowdown = 0;
    if (!result.failed)
        logSlowdown = updateGroupTime(group, result);
    if (server.state == OutlierState::ProbeRunning && result.probe)
        return endProbe(slot, !result.failed && logSlowdown <= std::log(m_settings.slowFactor),
                        now);
    // Requests sent before the ejection provide no new information.
    if (server.state != OutlierState::Admitted)
        return false;
    ++server.samples;
    server.failureStreak = result.failed ? server.failureStreak + 1 : 0;
    server.failureRate += m_settings.smoothing * ((result.failed ? 1 : 0) - server.failureRate);
    if (!result.failed)
        server.averageLogSlowdown +=
                m_settings.smoothing * 2 * (logSlowdown - server.averageLogSlowdown);
    if (!isOutlier(server) || !mayEject(group))
        return false;
    ++group.ejected;
    eject(slot, now);
    return true;
}

void OutlierDetector::eject(ServerSlot slot, Instant now)
{
    Server &server = m_servers[slot];
    const std::uint32_t doublings = std::min(server.ejections, 10U);
    server.state = OutlierState::Ejected;
    server.ejectedUntil =
            now + std::min(m_settings.firstEjection * (1 << doublings), m_settings.longestEjection);
    ++server.ejections;
    m_ejected.push_back(slot);
}

bool OutlierDetector::endProbe(ServerSlot slot, bool succeeded, Instant now)
{
    Server &server = m_servers[slot];
    if (!succeeded) {
        eject(slot, now);
        return true;
    }
    Server admitted;
    admitted.group = server.group;
    admitted.present = true;
    // A server that soon fails again is ejected for longer; a successful probe shortens the next
    // ejection.
    admitted.ejections = server.ejections - 1;
    server = admitted;
    --m_groups[server.group].ejected;
    return true;
}

void OutlierDetector::probeStarted(ServerSlot slot)
{
    if (m_servers[slot].state == OutlierState::ProbeReady)
        m_servers[slot].state = OutlierState::ProbeRunning;
}

void OutlierDetector::probeInconclusive(ServerSlot slot)
{
    if (m_servers[slot].state == OutlierState::ProbeRunning)
        m_servers[slot].state = OutlierState::ProbeReady;
}

void OutlierDetector::expire(Instant now, std::vector<ServerSlot> &changed)
{
    const auto due = [&](ServerSlot slot) { return m_servers[slot].ejectedUntil <= now; };
    for (ServerSlot slot : m_ejected) {
        if (!due(slot))
            continue;
        m_servers[slot].state = OutlierState::ProbeReady;
        changed.push_back(slot);
    }
    std::erase_if(m_ejected, due);
    for (ServerSlot slot : changed)
        m_servers[slot].ejectedUntil = instantNever;
}

Instant OutlierDetector::nextExpiry() const
{
    Instant earliest = instantNever;
    for (ServerSlot slot : m_ejected)
        earliest = std::min(earliest, m_servers[slot].ejectedUntil);
    return earliest;
}

} // namespace cornelshed
