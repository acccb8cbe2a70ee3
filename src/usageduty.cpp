// Decides which windows are fixed and sent.

#include "usageduty.h"

#include <algorithm>
#include <utility>

namespace cornelshed {

namespace {

using namespace std::chrono_literals;

// Parts of the time in which a window has to be sent. A window is not fixed before the first one
// has passed, so that clocks may differ by as much; then once all gateways have reported, or at
// the end of the second one. The rest is for a successor.
constexpr int settleDivisor = 10;
constexpr int patienceDivisor = 3;
// Windows in the row. If the platform does not take them, further ones wait for their turn in the
// memory of all gateways.
constexpr std::size_t pendingLimit = 24;
constexpr std::size_t knownLimit = 64;
constexpr std::size_t reportedPending = 6;
constexpr std::size_t reportedLatest = 4;
// Windows that are older are given up: gateways keep no counts of them.
constexpr std::int64_t windowLimit = 240;
constexpr Duration firstRetryPause = 250ms;
constexpr int maxRetryDoublings = 4;
// A window whose calls stay without an answer while others are accepted is given up. In an outage
// of the platform no window is; this limit is reached when no gateway would have its counts.
constexpr int unansweredLimit = 20;
constexpr int outageUnansweredLimit = 240;
constexpr int refusedLimit = 5;

} // namespace

const char *nameOf(DutyCallOutcome outcome)
{
    switch (outcome) {
    case DutyCallOutcome::Accepted:
        return "accepted";
    case DutyCallOutcome::NotTaken:
        return "not_taken";
    case DutyCallOutcome::Unanswered:
        return "no_answer";
    case DutyCallOutcome::Refused:
        return "refused";
    }
    return "unknown";
}

DutyProgress UsageDuty::atAcquisition(const std::optional<DutyProgress> &stored, bool sameEra,
                                      std::int64_t seenIn)
{
    m_replacedNextWindow = stored ? stored->nextWindow : 0;
    if (stored && sameEra)
        return *stored;
    // A window is fixed after its end, so the earlier holders have fixed none from seenIn on.
    DutyProgress progress;
    progress.nextWindow = seenIn;
    const std::int64_t storedNext = stored ? stored->nextWindow : 0;
    const auto isPending = [&](std::int64_t window) {
        return window >= storedNext
                || (stored
                    && std::any_of(stored->pending.begin(), stored->pending.end(),
                                   [&](const FixedWindow &it) { return it.window == window; }));
    };
    for (const auto &[window, counts] : m_known) {
        if (isPending(window))
            progress.pending.push_back({window, counts});
    }
    if (progress.pending.size() > pendingLimit)
        progress.pending.erase(progress.pending.begin(),
                               progress.pending.end() - std::ptrdiff_t {pendingLimit});
    if (!m_known.empty())
        progress.nextWindow = std::max(progress.nextWindow, m_known.rbegin()->first + 1);
    progress.nextWindow = std::max(progress.nextWindow, storedNext);
    return progress;
}

bool UsageDuty::isFixable(std::int64_t window, const UsageWindows &windows, Duration time,
                          Duration now) const
{
    const Duration sinceEnd = time - m_settings.window * (window + 1);
    if (sinceEnd < m_settings.late / settleDivisor)
        return false;
    return sinceEnd >= m_settings.late / patienceDivisor || windows.isComplete(window, now);
}

DutyProgress UsageDuty::atRenewal(const UsageWindows &windows, Duration time, Duration now) const
{
    DutyProgress progress;
    progress.nextWindow = m_stored.nextWindow;
    for (const FixedWindow &it : m_stored.pending) {
        if (!m_done.contains(it.window))
            progress.pending.push_back(it);
    }
    const std::int64_t openWindow = time / m_settings.window;
    progress.nextWindow = std::max(progress.nextWindow, openWindow - windowLimit);
    while (progress.pending.size() < pendingLimit
           && isFixable(progress.nextWindow, windows, time, now)) {
        const std::int64_t window = progress.nextWindow++;
        if (windows.isKnown(window))
            progress.pending.push_back({window, windows.total(window)});
    }
    return progress;
}

bool UsageDuty::isPressed(const UsageWindows &windows, Duration time, Duration now) const
{
    const std::int64_t window = m_stored.nextWindow;
    const Duration end = m_settings.window * (window + 1);
    return m_stored.nextWindow != 0 && time >= end + m_settings.late / patienceDivisor
            && pendingCount() < pendingLimit && isFixable(window, windows, time, now);
}

void UsageDuty::confirmed(const DutyProgress &progress)
{
    const std::int64_t before =
            m_stored.nextWindow != 0 ? m_stored.nextWindow : m_replacedNextWindow;
    if (before != 0 && progress.nextWindow > before) {
        const auto fixed =
                std::count_if(progress.pending.begin(), progress.pending.end(),
                              [&](const FixedWindow &it) { return it.window >= before; });
        m_skipped += static_cast<std::uint64_t>(progress.nextWindow - before - fixed);
    }
    m_stored = progress;
    std::set<std::int64_t> pending;
    for (const FixedWindow &it : progress.pending) {
        pending.insert(it.window);
        remember(it);
    }
    std::erase_if(m_done, [&](std::int64_t it) { return !pending.contains(it); });
    std::erase_if(m_attempts, [&](const auto &it) { return !pending.contains(it.first); });
}

void UsageDuty::lost()
{
    m_stored = {};
    m_done.clear();
    m_attempts.clear();
}

std::optional<FixedWindow> UsageDuty::nextCall(Duration now)
{
    const FixedWindow *next = nullptr;
    Duration nextAt {};
    for (const FixedWindow &it : m_stored.pending) {
        const Attempts &attempts = m_attempts[it.window];
        if (m_done.contains(it.window) || attempts.inProgress || attempts.nextAt > now)
            continue;
        if (next == nullptr || attempts.nextAt < nextAt) {
            next = &it;
            nextAt = attempts.nextAt;
        }
    }
    if (next == nullptr)
        return std::nullopt;
    Attempts &attempts = m_attempts[next->window];
    attempts.inProgress = true;
    if (attempts.failures == 0)
        attempts.acceptedBefore = m_accepted;
    return *next;
}

bool UsageDuty::callEnded(std::int64_t window, DutyCallOutcome outcome, Duration now)
{
    const auto found = m_attempts.find(window);
    if (found == m_attempts.end() || !found->second.inProgress)
        return false;
    Attempts &attempts = found->second;
    attempts.inProgress = false;
    attempts.nextAt = now + firstRetryPause * (1 << std::min(attempts.failures, maxRetryDoublings));
    ++attempts.failures;
    if (outcome == DutyCallOutcome::Accepted)
        ++m_accepted;
    if (outcome == DutyCallOutcome::Unanswered) {
        const bool othersAccepted = std::exchange(attempts.acceptedBefore, m_accepted) < m_accepted;
        ++(othersAccepted ? attempts.unanswered : attempts.unansweredInOutage);
    }
    attempts.refused += outcome == DutyCallOutcome::Refused ? 1 : 0;
    const bool givenUp = attempts.unanswered >= unansweredLimit
            || attempts.unansweredInOutage >= outageUnansweredLimit
            || attempts.refused >= refusedLimit;
    m_skipped += givenUp ? 1 : 0;
    if (outcome != DutyCallOutcome::Accepted && !givenUp)
        return false;
    m_done.insert(window);
    return true;
}

void UsageDuty::heardFixed(const FixedWindow &window)
{
    remember(window);
}

void UsageDuty::remember(const FixedWindow &window)
{
    m_known.try_emplace(window.window, window.counts);
    if (m_known.size() > knownLimit)
        m_known.erase(m_known.begin());
}

std::vector<FixedWindow> UsageDuty::recentlyFixed() const
{
    std::map<std::int64_t, UsageCounts> recent;
    for (const FixedWindow &it : m_stored.pending) {
        if (recent.size() < reportedPending)
            recent.emplace(it.window, it.counts);
    }
    auto it = m_known.rbegin();
    for (std::size_t n = 0; n < reportedLatest && it != m_known.rend(); ++n, ++it)
        recent.emplace(it->first, it->second);
    std::vector<FixedWindow> windows;
    windows.reserve(recent.size());
    for (auto &[window, counts] : recent)
        windows.push_back({window, std::move(counts)});
    return windows;
}

} // namespace cornelshed
