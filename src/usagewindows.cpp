// Merges the counts of all gateways.

#include "usagewindows.h"

#include "stabledigest.h"

#include <algorithm>

namespace cornelshed {

namespace {

using namespace std::chrono_literals;

// A gateway that was heard within this time is expected to report, and what it reported is kept for
// at least as long after it is fixed.
constexpr Duration rememberTime = 20s;
constexpr std::int64_t rememberedWindows = 4;
// Windows that are kept while they cannot be fixed.
constexpr std::int64_t windowLimit = 240;
// Windows in a report: the newest ones, and others in turn.
constexpr std::size_t newestReported = 3;
constexpr std::size_t olderReported = 2;

} // namespace

void UsageWindows::addOrganisation(std::string_view name)
{
    m_names.try_emplace(stableDigest(name), name);
}

void UsageWindows::count(const std::string &organisation, std::int64_t window)
{
    const std::uint64_t digest = stableDigest(organisation);
    m_names.try_emplace(digest, organisation);
    ++m_own[window][digest];
}

std::vector<WindowCounts> UsageWindows::takeReport()
{
    std::vector<WindowCounts> report;
    const auto first = m_own.lower_bound(m_nextWindow);
    auto it = m_own.end();
    while (it != first && report.size() < newestReported) {
        --it;
        report.push_back({it->first, it->second});
    }
    auto older = m_own.upper_bound(m_lastReported);
    for (std::size_t n = 0; n < olderReported && first != it; ++n) {
        if (older == m_own.end() || older->first < first->first || older->first >= it->first)
            older = first;
        report.push_back({older->first, older->second});
        m_lastReported = older->first;
        if (++older == it)
            break;
    }
    return report;
}

void UsageWindows::merge(std::uint64_t incarnation, std::int64_t openWindow,
                         const std::vector<WindowCounts> &windows, Duration now)
{
    Gateway &gateway = m_peers[incarnation];
    gateway.openWindow = openWindow;
    gateway.heardAt = now;
    for (const WindowCounts &it : windows) {
        auto &counts = gateway.windows[it.window];
        for (const auto &[organisation, count] : it.counts)
            counts[organisation] = std::max(counts[organisation], count);
    }
}

void UsageWindows::setNextWindow(std::int64_t window)
{
    m_nextWindow = window;
}

bool UsageWindows::isComplete(std::int64_t window, Duration now) const
{
    return std::all_of(m_peers.begin(), m_peers.end(), [&](const auto &it) {
        const Gateway &gateway = it.second;
        const bool isClosed = gateway.openWindow > window || now - gateway.heardAt > rememberTime;
        return isClosed && hasNames(gateway.windows, window);
    });
}

// Whether the organisations are known: a peer may have a newer configuration.
bool UsageWindows::hasNames(const Windows &windows, std::int64_t window) const
{
    const auto found = windows.find(window);
    return found == windows.end()
            || std::all_of(found->second.begin(), found->second.end(),
                           [&](const auto &it) { return m_names.contains(it.first); });
}

bool UsageWindows::isKnown(std::int64_t window) const
{
    return window >= m_firstWindow || m_own.contains(window)
            || std::any_of(m_peers.begin(), m_peers.end(),
                           [&](const auto &it) { return it.second.windows.contains(window); });
}

UsageCounts UsageWindows::total(std::int64_t window) const
{
    std::map<std::uint64_t, std::uint64_t> sums;
    const auto add = [&](const Windows &windows) {
        const auto found = windows.find(window);
        if (found == windows.end())
            return;
        for (const auto &[organisation, count] : found->second)
            sums[organisation] += count;
    };
    add(m_own);
    for (const auto &[incarnation, gateway] : m_peers)
        add(gateway.windows);
    UsageCounts total;
    for (const auto &[organisation, count] : sums) {
        const auto name = m_names.find(organisation);
        if (name != m_names.end() && count > 0)
            total[name->second] = count;
    }
    return total;
}

std::optional<UsageCounts> UsageWindows::resolve(const WindowCounts &counts) const
{
    UsageCounts resolved;
    for (const auto &[organisation, count] : counts.counts) {
        const auto name = m_names.find(organisation);
        if (name == m_names.end())
            return std::nullopt;
        resolved[name->second] = count;
    }
    return resolved;
}

WindowCounts UsageWindows::digest(const FixedWindow &window)
{
    WindowCounts counts {window.window, {}};
    for (const auto &[organisation, count] : window.counts)
        counts.counts[stableDigest(organisation)] = count;
    return counts;
}

void UsageWindows::prune(std::int64_t openWindow, Duration now)
{
    const std::int64_t oldest =
            std::max(m_nextWindow - rememberedWindows, openWindow - windowLimit);
    // Later ones come from clocks that have since been corrected.
    const std::int64_t newest = openWindow + rememberedWindows;
    const auto drop = [&](Windows &windows) {
        windows.erase(windows.begin(), windows.lower_bound(std::min(oldest, newest)));
        windows.erase(windows.upper_bound(newest), windows.end());
    };
    drop(m_own);
    for (auto &[incarnation, gateway] : m_peers)
        drop(gateway.windows);
    std::erase_if(m_peers, [&](const auto &it) {
        return it.second.windows.empty() && now - it.second.heardAt > rememberTime;
    });
}

} // namespace cornelshed
