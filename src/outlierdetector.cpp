// Outlier detection among the servers of a group.

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
        for (auto &it : m_groups.back().logSeconds)
            it.fill(std::numeric_limits<float>::quiet_NaN());
    }
    m_servers[slot] = Server {};
    m_servers[slot].group = group;
    m_servers[slot].present = true;
    ++m_groups[group].size;
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

// Returns the log of the attempt's time over the group's usual time for that size, and updates the
// latter. A single attempt moves the usual time by a factor of 2 at most, so that one very slow
// server does not become the norm of a small group.
double OutlierDetector::learnSlowness(Group &group, const AttemptResult &result)
{
    const auto step = [](std::uint64_t tokens) {
        return std::min<std::size_t>(std::bit_width(tokens), sizeSteps - 1);
    };
    float &usual = group.logSeconds[step(result.prefillTokens)][step(result.outputTokens)];
    const double total = std::chrono::duration<double>(result.totalTime).count();
    const double logTotal = std::log(std::max(total, 1e-6));
    if (std::isnan(usual))
        usual = static_cast<float>(logTotal);
    const double slowness = logTotal - usual;
    const double bounded = std::clamp(slowness, -std::log(2.0), std::log(2.0));
    usual += static_cast<float>(m_settings.smoothing * bounded);
    return slowness;
}

bool OutlierDetector::isOutlier(const Server &server) const
{
    if (server.failuresInARow >= m_settings.consecutiveFailures)
        return true;
    if (server.samples < m_settings.minimumSamples)
        return false;
    return server.failureShare > m_settings.failureShare
            || server.logSlowness > std::log(m_settings.slowFactor);
}

bool OutlierDetector::mayEject(const Group &group) const
{
    return group.ejected + 1 <= m_settings.ejectedShareLimit * group.size;
}

bool OutlierDetector::record(ServerSlot slot, const AttemptResult &result, Instant now)
{
    Server &server = m_servers[slot];
    Group &group = m_groups[server.group];
    double slowness = 0;
    if (!result.failed)
        slowness = learnSlowness(group, result);
    if (server.state == OutlierState::ProbeRunning && result.probe)
        return endProbe(slot, !result.failed && slowness <= std::log(m_settings.slowFactor), now);
    // Results of requests that were sent before the ejection tell nothing new.
    if (server.state != OutlierState::Admitted)
        return false;
    ++server.samples;
    server.failuresInARow = result.failed ? server.failuresInARow + 1 : 0;
    server.failureShare += m_settings.smoothing * ((result.failed ? 1 : 0) - server.failureShare);
    if (!result.failed)
        server.logSlowness += m_settings.smoothing * 2 * (slowness - server.logSlowness);
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

bool OutlierDetector::endProbe(ServerSlot slot, bool good, Instant now)
{
    Server &server = m_servers[slot];
    if (!good) {
        eject(slot, now);
        return true;
    }
    Server fresh;
    fresh.group = server.group;
    fresh.present = true;
    // A server that fails again soon is ejected for longer; success shortens the next ejection.
    fresh.ejections = server.ejections - 1;
    server = fresh;
    --m_groups[server.group].ejected;
    return true;
}

void OutlierDetector::probeStarted(ServerSlot slot)
{
    if (m_servers[slot].state == OutlierState::ProbeReady)
        m_servers[slot].state = OutlierState::ProbeRunning;
}

void OutlierDetector::probeReleased(ServerSlot slot)
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
    Instant first = instantNever;
    for (ServerSlot slot : m_ejected)
        first = std::min(first, m_servers[slot].ejectedUntil);
    return first;
}

} // namespace cornelshed
