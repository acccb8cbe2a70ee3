// What several threads use of the duties: the counts of requests, true time, and the parts of the
// reports between gateways. Thread-safe.

#ifndef CORNELSHED_DUTYSTATE_H
#define CORNELSHED_DUTYSTATE_H

#include "dutyreport.h"
#include "dutyrow.h"
#include "types.h"
#include "usagewindows.h"
#include "windowclock.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cornelshed {

// The host's clocks; replaced in tests.
struct DutyClocks
{
    std::function<Duration()> sinceBoot;
    std::function<Duration()> wall; // since 1970

    static DutyClocks ofHost();
};

// What peers have reported since the last time.
struct HeardDuties
{
    std::vector<std::pair<std::uint64_t, StorePosition>>
            holders; // numbers, and positions of the row
    std::vector<FixedWindow> fixed;
    std::uint32_t rank = 0; // of this gateway as a candidate

    bool operator==(const HeardDuties &) const = default;
};

// What a gateway reports of itself as the holder, or as the last one.
struct HolderState
{
    std::uint64_t number = 0; // 0: not the holder
    StorePosition rowPosition;
    std::int64_t nextWindow = 0;
    std::vector<FixedWindow> fixed;

    bool operator==(const HolderState &) const = default;
};

class DutyState
{
public:
    DutyState(Duration window, DutyClocks clocks);

    const DutyClocks &clocks() const { return m_clocks; }

    void countRequest(const std::string &organisation);
    void addOrganisations(const std::vector<std::string> &names);
    void setView(std::uint32_t heardCount, std::uint32_t rank);
    DutyReport composeReport();
    void applyReport(std::uint64_t incarnation, const DutyReport &report);

    // Reads the host's clocks, and returns what was heard. To be called several times a second.
    HeardDuties update();
    void setHolderState(const HolderState &state);

    std::int64_t windowAt(Duration sinceBoot) const;
    Duration wallError() const;

    // Calls the function with the counts, the true time and the time since boot.
    template<typename Function> auto withCounts(Function function) const
    {
        const Duration now = m_clocks.sinceBoot();
        const std::lock_guard lock(m_mutex);
        return function(m_windows, m_clock.trueTime(now), now);
    }

private:
    std::int64_t windowAtLocked(Duration sinceBoot) const
    {
        return m_clock.windowAt(m_clock.trueTime(sinceBoot));
    }

    const DutyClocks m_clocks;
    const Duration m_startedAt;
    mutable std::mutex m_mutex; // guards the members below
    WindowClock m_clock;
    UsageWindows m_windows;
    std::uint32_t m_heardCount = 1;
    std::uint32_t m_rank = 0;
    std::uint64_t m_ackNumber = 0; // of the holder whose nextWindow is in force
    HolderState m_holder;
    HeardDuties m_heard;
    std::set<std::int64_t> m_heardFixed; // windows that were in m_heard
};

} // namespace cornelshed

#endif // CORNELSHED_DUTYSTATE_H
