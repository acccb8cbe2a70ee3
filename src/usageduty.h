// The duty to report usage: which windows are fixed, sent, sent again, and done. Counts are sent
// only once the row of the duties that holds them is known to be written, in the era of the store
// in which the holder's number was acquired, so every successor finds them there. After a return of
// the store from an older copy, windows may have been fixed and sent of which the row shows
// nothing. They are sent with the counts that their holder reported to its peers, or else not at
// all.

#ifndef CORNELSHED_USAGEDUTY_H
#define CORNELSHED_USAGEDUTY_H

#include "dutyrow.h"
#include "types.h"
#include "usagewindows.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cornelshed {

struct UsageDutySettings
{
    Duration window = std::chrono::seconds(5);
    Duration late = std::chrono::seconds(10); // a window is due this long after its end

    bool operator==(const UsageDutySettings &) const = default;
};

enum class DutyCallOutcome : std::uint8_t {
    Accepted,
    NotTaken,   // refused for now, or not sent: nothing happened
    Unanswered, // it may have been taken
    Refused     // the platform does not accept this call
};

const char *nameOf(DutyCallOutcome outcome);

class UsageDuty
{
public:
    explicit UsageDuty(UsageDutySettings settings) : m_settings(settings) { }

    // Progress to store with an acquisition. stored: that of the row that is replaced, if any;
    // sameEra: whether its number was acquired in the present era. seenIn: the window in which the
    // present version of the row, or that there is none, was first seen here.
    DutyProgress atAcquisition(const std::optional<DutyProgress> &stored, bool sameEra,
                               std::int64_t seenIn);

    // Progress to store with a renewal: fixes the windows that are due. time: true time; now: since
    // boot. Counts may differ from those of an earlier write that failed: only one of the two can
    // have been applied, and confirmed() tells which one.
    DutyProgress atRenewal(const UsageWindows &windows, Duration time, Duration now) const;
    // Whether a window should be fixed without waiting for the next renewal.
    bool isPressed(const UsageWindows &windows, Duration time, Duration now) const;

    // This progress is known to be stored, by this gateway as the holder.
    void confirmed(const DutyProgress &progress);
    // This gateway has lost the duties.
    void lost();

    // Returns the call that is due, if any, and counts it as in progress. It is to be sent without
    // delay, or ended.
    std::optional<FixedWindow> nextCall(Duration now);
    // Returns whether the window is done. The outcome is ignored if the window is no longer
    // pending.
    bool callEnded(std::int64_t window, DutyCallOutcome outcome, Duration now);

    // A peer reported that the counts of this window are fixed.
    void heardFixed(const FixedWindow &window);
    // Windows that are fixed, for the reports to peers: the pending ones and the latest.
    std::vector<FixedWindow> recentlyFixed() const;

    std::int64_t nextWindow() const { return m_stored.nextWindow; } // 0: not the holder
    std::size_t pendingCount() const { return m_stored.pending.size() - m_done.size(); }
    // Windows that were given up since the start: not known, or refused by the platform.
    std::uint64_t skippedCount() const { return m_skipped; }

private:
    struct Attempts
    {
        bool inProgress = false;
        Duration nextAt {};
        int failures = 0;
        int unanswered = 0; // while other windows were accepted
        int unansweredInOutage = 0;
        std::uint64_t acceptedBefore = 0; // m_accepted at the latest call without an answer
        int refused = 0;
    };

    bool isFixable(std::int64_t window, const UsageWindows &windows, Duration time,
                   Duration now) const;
    void remember(const FixedWindow &window);

    UsageDutySettings m_settings;
    DutyProgress m_stored;
    std::set<std::int64_t> m_done; // windows that are pending in m_stored, but need no further call
    std::map<std::int64_t, Attempts> m_attempts;
    std::map<std::int64_t, UsageCounts> m_known; // fixed in this or an earlier era
    std::int64_t m_replacedNextWindow = 0;       // of the row that the last acquisition replaces
    std::uint64_t m_skipped = 0;
    std::uint64_t m_accepted = 0; // calls
};

} // namespace cornelshed

#endif // CORNELSHED_USAGEDUTY_H
