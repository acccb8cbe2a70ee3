// Result of a check of a configuration, and its output as text and as JSON.

#ifndef CORNELSHED_CHECKREPORT_H
#define CORNELSHED_CHECKREPORT_H

#include "configurationcheck.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cornelshed {

// A finding with its place in the file.
struct LocatedFinding
{
    FindingSeverity severity = FindingSeverity::Error;
    std::string rule;
    std::uint32_t line = 0; // 1-based; 0: of the whole file
    std::string path;       // key in the file; empty: of the whole file
    std::string text;

    bool operator==(const LocatedFinding &) const = default;
};

struct CheckReport
{
    std::string source; // file, or where the text was read from
    std::vector<LocatedFinding> findings;
    std::string inForce; // what the text was compared with; empty: nothing
    std::vector<std::string> differences;
    std::vector<std::string> notChecked; // what was left out, and what it needs
    std::string unavailable;             // why the platform could not be asked; empty: it was

    bool operator==(const CheckReport &) const = default;

    std::size_t count(FindingSeverity severity) const;
};

// At most 200 findings and 1,000 differences are written out; the rest is counted.
std::string formatReportText(const CheckReport &report);
std::string formatReportJson(const CheckReport &report);

} // namespace cornelshed

#endif // CORNELSHED_CHECKREPORT_H
