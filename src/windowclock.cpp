// Estimates true time from the wall clocks of all gateways.

#include "windowclock.h"

#include <algorithm>
#include <vector>

namespace cornelshed {

namespace {

using namespace std::chrono_literals;

// Clocks that differ by less agree; the delays of reports are shorter.
constexpr Duration agreement = 250ms;
constexpr Duration peerTimeout = 4s; // in a fleet of 100 gateways a peer reports once a second
constexpr Duration period = 1s;
// How long most clocks must agree on another offset before it is taken over.
constexpr Duration correctionDelay = 3s;
// After a suspension, reports arrive that have waited for this host.
constexpr Duration longestUpdateGap = 1s;
constexpr Duration staleReportTime = 500ms;
constexpr int slewDivisor = 100;
constexpr std::size_t quorum = 3; // of two clocks that differ, either may be the wrong one

} // namespace

void WindowClock::recordOwn(Duration wall, Duration sinceBoot)
{
    const Duration elapsed = sinceBoot - m_updatedAt;
    m_updatedAt = sinceBoot;
    m_ownOffset = wall - sinceBoot;
    if (!m_offset) {
        m_offset = m_ownOffset;
        return;
    }
    if (elapsed > longestUpdateGap) {
        m_peers.clear();
        m_disagreesSince.reset();
        m_ignoreReportsUntil = sinceBoot + staleReportTime;
        return;
    }
    const auto agreed = agreedOffset(sinceBoot);
    if (!agreed)
        return;
    const Duration error = *agreed - *m_offset;
    const bool hasQuorum = m_peers.size() + 1 >= quorum;
    if (std::chrono::abs(error) < agreement) {
        m_isConfirmed = m_isConfirmed || hasQuorum;
        m_disagreesSince.reset();
        const Duration step = elapsed / slewDivisor;
        *m_offset += std::clamp(error, -step, step);
        return;
    }
    if (!hasQuorum) {
        m_disagreesSince.reset();
        return;
    }
    if (!m_disagreesSince)
        m_disagreesSince = sinceBoot;
    if (m_isConfirmed && sinceBoot - *m_disagreesSince < correctionDelay)
        return;
    m_offset = agreed;
    m_isConfirmed = true;
    m_disagreesSince.reset();
    ++m_corrections;
}

void WindowClock::recordPeer(std::uint64_t peer, Duration wall, Duration sinceBoot)
{
    if (sinceBoot < m_ignoreReportsUntil)
        return;
    Peer &it = m_peers[peer];
    if (sinceBoot - it.periodStart >= period) {
        it.previous = sinceBoot - it.periodStart < 2 * period ? it.present : Duration::min();
        it.present = Duration::min();
        it.periodStart = sinceBoot;
    }
    it.present = std::max(it.present, wall - sinceBoot);
    it.heardAt = sinceBoot;
}

// Returns the median offset if most clocks agree with it.
std::optional<Duration> WindowClock::agreedOffset(Duration sinceBoot)
{
    std::erase_if(m_peers,
                  [&](const auto &it) { return sinceBoot - it.second.heardAt > peerTimeout; });
    std::vector<Duration> offsets {m_ownOffset};
    for (const auto &[name, peer] : m_peers)
        offsets.push_back(std::max(peer.previous, peer.present));
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>((offsets.size() - 1) / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    const Duration median = *middle;
    const auto agreeing = std::count_if(offsets.begin(), offsets.end(), [&](Duration it) {
        return std::chrono::abs(it - median) < agreement;
    });
    if (2 * static_cast<std::size_t>(agreeing) <= offsets.size())
        return std::nullopt;
    return median;
}

Duration WindowClock::trueTime(Duration sinceBoot) const
{
    return sinceBoot + m_offset.value_or(Duration::zero());
}

} // namespace cornelshed
