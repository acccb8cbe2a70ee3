// Service-level burn report of the operator's program: how fast requests use up the error budget.
// Each entry daemon keeps its counts in row burn/<entry>, with one line per window, tier and
// organisation:
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
    std::uint64_t good = 0; // requests with a complete answer before their deadline
    std::uint64_t bad = 0;  // all other valid requests

    bool operator==(const BurnLine &) const = default;
};

std::string formatBurnRow(const std::vector<BurnLine> &lines);

// Returns std::nullopt if any line is malformed.
std::optional<std::vector<BurnLine>> parseBurnRow(const std::string &value);

// Adds up lines with the same window, tier and organisation. The result is sorted by these.
std::vector<BurnLine> sumBurn(const std::vector<BurnLine> &lines);

// Share of bad requests relative to the share that the objective allows: at a rate of 1 the error
// budget lasts exactly for the objective's period. objective is the share of requests that must be
// good, in [0, 1).
double burnRate(const BurnLine &line, double objective);

// Tab-separated text with a header line.
std::string burnTable(const std::vector<BurnLine> &lines, double objective);

// Self-contained HTML page without scripts: a bar chart of the burn rate per tier and window, and a
// table of all lines.
std::string burnHtml(const std::vector<BurnLine> &lines, double objective);

} // namespace cornelshed

#endif // CORNELSHED_BURNREPORT_H
