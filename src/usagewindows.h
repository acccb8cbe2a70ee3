// Counts of requests by organisation and usage window: those of this gateway, and those that the
// peers reported, each by the incarnation of its process. Counts only grow while a window is open,
// so the largest one that was reported counts, in whatever order reports arrive. What a gateway
// that has ended reported remains.

#ifndef CORNELSHED_USAGEWINDOWS_H
#define CORNELSHED_USAGEWINDOWS_H

#include "dutyrow.h"
#include "types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelshed {

// Counts as reported between gateways, by stableDigest() of the organisation's name.
struct WindowCounts
{
    std::int64_t window = 0;
    std::map<std::uint64_t, std::uint64_t> counts;

    bool operator==(const WindowCounts &) const = default;
};

class UsageWindows
{
public:
    // Names that are to be counted, so that peers' counts can be resolved to them.
    void addOrganisation(std::string_view name);

    // A request of the organisation began to run at this gateway.
    void count(const std::string &organisation, std::int64_t window);

    // This gateway's process started in this window.
    void setFirstWindow(std::int64_t window) { m_firstWindow = window; }

    // Counts of this gateway that are not fixed yet; at most a few windows, the newest ones and in
    // turn the others.
    std::vector<WindowCounts> takeReport();

    // Merges a peer's report. Its counts of windows before openWindow are final.
    void merge(std::uint64_t incarnation, std::int64_t openWindow,
               const std::vector<WindowCounts> &windows, Duration now);

    // The counts of windows before this one are fixed, or given up.
    void setNextWindow(std::int64_t window);

    // Whether the counts of the window are final at all gateways that were heard lately, and the
    // organisations that they counted are known here.
    bool isComplete(std::int64_t window, Duration now) const;
    // Whether any gateway is known to have counted in the window.
    bool isKnown(std::int64_t window) const;
    // Sum over all gateways; without organisations that have none.
    UsageCounts total(std::int64_t window) const;

    // Translates counts to names and back. Returns nothing if a name is not known.
    std::optional<UsageCounts> resolve(const WindowCounts &counts) const;
    static WindowCounts digest(const FixedWindow &window);

    // Forgets what is no longer needed. openWindow: the present one.
    void prune(std::int64_t openWindow, Duration now);

private:
    using Windows = std::map<std::int64_t, std::map<std::uint64_t, std::uint64_t>>;
    struct Gateway
    {
        std::int64_t openWindow = 0;
        Duration heardAt {};
        Windows windows;
    };

    bool hasNames(const Windows &windows, std::int64_t window) const;

    Windows m_own;
    std::map<std::uint64_t, Gateway> m_peers; // by incarnation
    std::map<std::uint64_t, std::string> m_names;
    std::int64_t m_firstWindow = 0;
    std::int64_t m_nextWindow = 0;
    std::int64_t m_lastReported = 0; // of the older windows
};

} // namespace cornelshed

#endif // CORNELSHED_USAGEWINDOWS_H
