// Service-level burn report of the operator's program. Each entry daemon keeps its counts in the
// row burn/<entry>, one line for each window, tier and organisation:
//
//     window_seconds tier organisation good bad

#ifndef CORNELSHED_BURNREPORT_H
#define CORNELSHED_BURNREPORT_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cornelshed {

struct BurnLine
{
    std::uint64_t windowSeconds = 0;
    std::string tier;
    std::string organisation;
    std::uint64_t good = 0; // answered in time
    std::uint64_t bad = 0;

    bool operator==(const BurnLine &) const = default;
};

// The row's value for these lines.
std::string formatBurnRow(const std::vector<BurnLine> &lines);

// Nothing if a line is malformed.
std::optional<std::vector<BurnLine>> parseBurnRow(const std::string &value);

// Sums the lines with the same window, tier and organisation; sorted by these.
std::vector<BurnLine> sumBurn(const std::vector<BurnLine> &lines);

// Speed at which the error budget is spent: 1 spends it exactly within the objective's period.
// objective: share of requests that have to be good, in [0, 1).
double burnRate(const BurnLine &line, double objective);

std::string burnTable(const std::vector<BurnLine> &lines, double objective);

// One self-contained file without scripts: a plot of the burn rate of each tier by window, and the
// table.
std::string burnHtml(const std::vector<BurnLine> &lines, double objective);

} // namespace cornelshed

#endif // CORNELSHED_BURNREPORT_H
