// Forecast of a service's demand and the desired number of its servers.

#include "fleetsizing.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace cornelshed {

namespace {

using namespace std::chrono_literals;

constexpr Duration minBootTime = 1s; // a configured 0 would leave no time to observe anything
// Samples that are kept; those that come faster are merged.
constexpr std::int64_t samplesPerHold = 256;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration bootTime(const ServiceScale &scale)
{
    return std::max(scale.bootTime, minBootTime);
}

// Observations are sums over reports of other gateways; one odd value must not stay in the history.
double sane(double value)
{
    constexpr double largest = 1e9;
    return std::isfinite(value) && value > 0 ? std::min(value, largest) : 0;
}

// A service without any server refuses all its requests at once, and hardly anything would show
// the demand for one. One server is therefore kept also where 0 is allowed.
std::uint32_t lowerBound(const ServiceScale &scale)
{
    return std::min(std::max(scale.minServers, 1U), scale.maxServers);
}

std::uint32_t bounded(std::uint32_t servers, const ServiceScale &scale)
{
    return std::clamp(servers, lowerBound(scale), scale.maxServers);
}

} // namespace

FleetSizing::FleetSizing(const FleetSizingSettings &settings) : m_settings(settings) { }

Duration FleetSizing::holdTime(const ServiceScale &scale) const
{
    return std::max<Duration>(m_settings.minHold, bootTime(scale) * m_settings.holdBootTimes);
}

std::optional<FleetOrder> FleetSizing::update(const std::optional<ServiceScale> &scale,
                                              const FleetObservation &observation)
{
    if (!scale.has_value()) {
        *this = FleetSizing(m_settings);
        return std::nullopt;
    }
    const std::uint32_t present = observation.readyServers + observation.bootingServers;
    const std::uint32_t before = m_desired.value_or(present);
    if (m_desired.has_value() && observation.at <= m_lastObservation)
        return FleetOrder {before, FleetChange::None, false};
    if (!m_desired.has_value())
        m_countDiffersSince = observation.at;
    m_desired = bounded(before, *scale);
    recordSample(*scale, observation);
    if (m_slotsPerServer > 0) {
        shrink(*scale, observation.at);
        grow(*scale, observation);
    }
    FleetOrder order {*m_desired, FleetChange::None, false};
    if (*m_desired != before) {
        order.change = *m_desired > before ? FleetChange::Growth : FleetChange::Shrink;
        m_countDiffersSince = observation.at;
    }
    order.repeat = isRepeatDue(*scale, observation);
    return order;
}

void FleetSizing::recordSample(const ServiceScale &scale, const FleetObservation &observation)
{
    const Duration hold = holdTime(scale);
    const Duration mergeTime = hold / samplesPerHold;
    const Instant now = observation.at;
    // What happened in a long gap, such as a suspension, is unknown: a lower demand was not held.
    if (now - m_lastObservation > hold / 4)
        m_samples.clear();
    m_lastObservation = now;
    if (sane(observation.slotsPerServer) > 0)
        m_slotsPerServer = observation.slotsPerServer;

    const double demand = demandOf(observation);
    if (!m_samples.empty() && now - m_samples.back().at < mergeTime)
        m_samples.back().demand = std::max(m_samples.back().demand, demand);
    else
        m_samples.push_back({now, demand, 0});
    while (m_samples.size() > 1 && m_samples[1].at <= now - hold - mergeTime)
        m_samples.pop_front();
    const double increase = increasePerSecond(now, hold) * seconds(bootTime(scale));
    Sample &newest = m_samples.back();
    newest.forecast = std::max(newest.forecast, demand + increase);
}

// The queue counts at most as much as the slots of the ready servers. A longer one is a backlog
// that has grown while servers boot; it is served or refused before another server is ready.
double FleetSizing::demandOf(const FleetObservation &observation) const
{
    const double readySlots = m_slotsPerServer * std::max(observation.readyServers, 1U);
    return sane(observation.running) + std::min(sane(observation.waiting), readySlots)
            + sane(observation.refused);
}

// Returns the smallest increase between successive quarters of the window, or 0 if the demand did
// not increase through all of them.
double FleetSizing::increasePerSecond(Instant now, Duration window) const
{
    constexpr std::size_t quarters = 4;
    if (m_samples.front().at > now - window)
        return 0; // not observed for long enough
    std::array<double, quarters> sums {};
    std::array<std::size_t, quarters> counts {};
    for (const Sample &it : m_samples) {
        const auto quarter = static_cast<std::size_t>((now - it.at) * quarters / window);
        const std::size_t index = std::min(quarter, quarters - 1); // 0 is the newest
        sums[index] += it.demand;
        ++counts[index];
    }
    double smallest = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i + 1 < quarters; ++i) {
        if (counts[i] == 0 || counts[i + 1] == 0)
            return 0;
        smallest = std::min(smallest,
                            sums[i] / static_cast<double>(counts[i])
                                    - sums[i + 1] / static_cast<double>(counts[i + 1]));
    }
    return std::max(smallest, 0.0) / (seconds(window) / quarters);
}

double FleetSizing::capacity(std::uint32_t servers) const
{
    return m_slotsPerServer * m_settings.targetUtilisation * servers;
}

std::uint32_t FleetSizing::serversFor(double slots, const ServiceScale &scale) const
{
    const double servers = std::ceil(slots / capacity(1));
    return servers >= scale.maxServers ? scale.maxServers
                                       : bounded(static_cast<std::uint32_t>(servers), scale);
}

// Whether the last one of so many servers is expected to earn its price. Demand that has exceeded
// the capacity of the others for a time x goes on for a further time r with probability x/(x+r).
// The server works from its boot time b to at least b + h, the hold time, when it can be released
// again: x ln((x+b+h)/(x+b)) is the expected time for which it is needed, of the b + h that are
// paid.
bool FleetSizing::isWorthItsPrice(std::uint32_t servers, const ServiceScale &scale,
                                  const FleetObservation &observation) const
{
    const double others = capacity(servers - 1);
    const auto below = std::find_if(m_samples.rbegin(), m_samples.rend(),
                                    [&](const Sample &it) { return it.forecast <= others; });
    const Instant since = below == m_samples.rend() ? m_samples.front().at : below->at;
    const double exceeded = seconds(observation.at - since);
    if (exceeded <= 0)
        return false; // a single observation
    const double value = sane(observation.slotValue);
    if (value == 0 || m_settings.serverPrice <= 0)
        return true;
    const double boot = seconds(bootTime(scale));
    const double paid = boot + seconds(holdTime(scale));
    const double needed = exceeded * std::log((exceeded + paid) / (exceeded + boot));
    const double slots = std::min(m_samples.back().forecast - others, capacity(1));
    return slots * value * needed >= m_settings.serverPrice * paid;
}

void FleetSizing::grow(const ServiceScale &scale, const FleetObservation &observation)
{
    const std::uint32_t needed = serversFor(m_samples.back().forecast, scale);
    while (*m_desired < needed && isWorthItsPrice(*m_desired + 1, scale, observation))
        ++*m_desired;
}

void FleetSizing::shrink(const ServiceScale &scale, Instant now)
{
    if (m_samples.front().at > now - holdTime(scale))
        return; // not observed for long enough
    const auto highest = std::max_element(
            m_samples.begin(), m_samples.end(),
            [](const Sample &a, const Sample &b) { return a.forecast < b.forecast; });
    const std::uint32_t needed =
            serversFor(highest->forecast * (1 + m_settings.shrinkMargin), scale);
    m_desired = std::min(*m_desired, needed);
}

bool FleetSizing::isRepeatDue(const ServiceScale &scale, const FleetObservation &observation)
{
    const std::uint32_t present = observation.readyServers + observation.bootingServers;
    if (present == *m_desired) {
        m_countDiffersSince = observation.at;
        return false;
    }
    if (observation.at - m_countDiffersSince < bootTime(scale))
        return false;
    m_countDiffersSince = observation.at;
    return true;
}

} // namespace cornelshed
