// What the reports between gateways carry for the duties of one gateway at a time, as a Cap'n Proto
// message of its own that follows the report in the same datagram. Gateways without duties send
// none.

#ifndef CORNELSHED_DUTYREPORT_H
#define CORNELSHED_DUTYREPORT_H

#include "rowstore.h"
#include "types.h"
#include "usagewindows.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cornelshed {

struct DutyReport
{
    Duration wallTime {};              // of the sender's host, since 1970
    std::int64_t openWindow = 0;       // the sender's counts of earlier windows are final
    std::vector<WindowCounts> windows; // that are not fixed yet, as counted by the sender
    std::uint64_t number = 0;          // 0: the sender does not hold the duties
    StorePosition rowPosition;         // of the row of the duties, as read by the holder
    std::int64_t nextWindow = 0;       // first one that the holder has not fixed
    std::vector<WindowCounts> fixed;   // the latest windows that the sender has fixed

    bool operator==(const DutyReport &) const = default;
};

std::string encodeDutyReport(const DutyReport &report);

// Leaves out windows, the least important ones first, so that the text has no more bytes than this.
// Returns an empty text if even a report without windows is longer.
std::string encodeDutyReport(DutyReport report, std::size_t limitBytes);

// Returns nothing if the text is not a valid report.
std::optional<DutyReport> decodeDutyReport(const std::string &text);

} // namespace cornelshed

#endif // CORNELSHED_DUTYREPORT_H
