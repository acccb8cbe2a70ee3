// Composes and applies the duties' part of the reports between gateways.

#include "dutystate.h"

#include "monotonicclock.h"

#include <algorithm>
#include <chrono>

namespace cornelshed {

namespace {

using namespace std::chrono_literals;

// A gateway that has run for less may not know counts of gateways that have ended, so others come
// first as holders.
constexpr Duration newcomerTime = 20s;
constexpr std::uint32_t newcomerRank = 10; // and more
constexpr std::size_t rememberedFixed = 64;

} // namespace

DutyClocks DutyClocks::ofHost()
{
    return {[] { return timeSinceBoot(); },
            [] {
                return std::chrono::duration_cast<Duration>(
                        std::chrono::system_clock::now().time_since_epoch());
            }};
}

DutyState::DutyState(Duration window, DutyClocks clocks)
    : m_clocks(std::move(clocks)), m_startedAt(m_clocks.sinceBoot()), m_clock(window)
{
    m_clock.recordOwn(m_clocks.wall(), m_startedAt);
}

void DutyState::countRequest(const std::string &organisation)
{
    const Duration now = m_clocks.sinceBoot();
    const std::lock_guard lock(m_mutex);
    m_windows.count(organisation, windowAtLocked(now));
}

void DutyState::addOrganisations(const std::vector<std::string> &names)
{
    const std::lock_guard lock(m_mutex);
    for (const std::string &it : names)
        m_windows.addOrganisation(it);
}

void DutyState::setView(std::uint32_t heardCount, std::uint32_t rank)
{
    const std::lock_guard lock(m_mutex);
    m_heardCount = heardCount;
    m_rank = rank;
}

DutyReport DutyState::composeReport()
{
    const Duration now = m_clocks.sinceBoot();
    const std::lock_guard lock(m_mutex);
    DutyReport report;
    report.wallTime = m_clocks.wall();
    report.openWindow = windowAtLocked(now);
    report.windows = m_windows.takeReport();
    report.number = m_holder.number;
    report.rowPosition = m_holder.rowPosition;
    report.nextWindow = m_holder.nextWindow;
    for (const FixedWindow &it : m_holder.fixed)
        report.fixed.push_back(UsageWindows::digest(it));
    return report;
}

void DutyState::applyReport(std::uint64_t incarnation, const DutyReport &report)
{
    const Duration now = m_clocks.sinceBoot();
    const std::lock_guard lock(m_mutex);
    m_clock.recordPeer(incarnation, report.wallTime, now);
    m_windows.merge(incarnation, report.openWindow, report.windows, now);
    if (report.number != 0) {
        m_heard.holders.emplace_back(report.number, report.rowPosition);
        if (report.number >= m_ackNumber && report.nextWindow != 0) {
            m_ackNumber = report.number;
            m_windows.setNextWindow(report.nextWindow);
        }
    }
    for (const WindowCounts &it : report.fixed) {
        auto counts = m_heardFixed.contains(it.window) ? std::nullopt : m_windows.resolve(it);
        if (!counts)
            continue;
        m_heardFixed.insert(it.window);
        if (m_heardFixed.size() > rememberedFixed)
            m_heardFixed.erase(m_heardFixed.begin());
        m_heard.fixed.push_back({it.window, std::move(*counts)});
    }
}

HeardDuties DutyState::update()
{
    const Duration now = m_clocks.sinceBoot();
    const std::lock_guard lock(m_mutex);
    m_clock.recordOwn(m_clocks.wall(), now);
    m_windows.setFirstWindow(windowAtLocked(m_startedAt));
    m_windows.prune(windowAtLocked(now), now);
    const bool isNewcomer = m_heardCount > 1 && now - m_startedAt < newcomerTime;
    m_heard.rank = isNewcomer ? newcomerRank + m_rank : m_rank;
    return std::exchange(m_heard, {});
}

void DutyState::setHolderState(const HolderState &state)
{
    const std::lock_guard lock(m_mutex);
    m_holder = state;
    if (state.number == 0 || state.nextWindow == 0)
        return;
    m_ackNumber = std::max(m_ackNumber, state.number);
    m_windows.setNextWindow(state.nextWindow);
}

std::int64_t DutyState::windowAt(Duration sinceBoot) const
{
    const std::lock_guard lock(m_mutex);
    return windowAtLocked(sinceBoot);
}

Duration DutyState::wallError() const
{
    const std::lock_guard lock(m_mutex);
    return m_clock.wallError();
}

} // namespace cornelshed
