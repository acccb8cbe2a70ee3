// True time on one host, and the usage window of a moment. The wall clocks of some hosts step by
// seconds, so true time is kept as an offset from the clock since boot, which does not step. The
// offset follows the median of the wall clocks of all gateways that are heard; it changes at once
// only if most of them agree on another one for some time. The delay of a report, some
// milliseconds, makes a peer's clock appear late by as much.

#ifndef CORNELSHED_WINDOWCLOCK_H
#define CORNELSHED_WINDOWCLOCK_H

#include "types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace cornelshed {

class WindowClock
{
public:
    explicit WindowClock(Duration window) : m_window(window) { }

    // Records this host's wall clock, since 1970, and updates the offset. To be called several
    // times a second.
    void recordOwn(Duration wall, Duration sinceBoot);
    // Records a peer's wall clock, as stated in a report that has just been received.
    void recordPeer(std::uint64_t peer, Duration wall, Duration sinceBoot);

    bool isSet() const { return m_offset.has_value(); }
    Duration trueTime(Duration sinceBoot) const; // since 1970; isSet() must be true
    // Of a true time.
    std::int64_t windowAt(Duration time) const { return time / m_window; }
    Duration windowEnd(std::int64_t window) const { return m_window * (window + 1); }

    // By how much this host's wall clock differs from true time.
    Duration wallError() const { return m_offset ? m_ownOffset - *m_offset : Duration::zero(); }
    // How often the offset has changed at once.
    std::uint64_t correctionCount() const { return m_corrections; }
    std::size_t peerCount() const { return m_peers.size(); }

private:
    // Offsets from the reports of two consecutive periods. The largest comes from the report with
    // the shortest delay.
    struct Peer
    {
        Duration previous = Duration::min();
        Duration present = Duration::min();
        Duration periodStart {};
        Duration heardAt {};
    };

    std::optional<Duration> agreedOffset(Duration sinceBoot);

    Duration m_window;
    std::map<std::uint64_t, Peer> m_peers;
    std::optional<Duration> m_offset; // of true time from the time since boot
    Duration m_ownOffset {};          // of this host's wall clock
    Duration m_updatedAt {};
    Duration m_ignoreReportsUntil {};
    std::optional<Duration> m_disagreesSince; // since boot
    bool m_isConfirmed = false;               // by most of at least three gateways
    std::uint64_t m_corrections = 0;
};

} // namespace cornelshed

#endif // CORNELSHED_WINDOWCLOCK_H
