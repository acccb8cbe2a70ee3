// Service-level burn on the control thread: counts how requests end and writes the counts to row
// burn/<entry> for the report of the operators' command.

#ifndef CORNELSHED_BURNPART_H
#define CORNELSHED_BURNPART_H

#include "burn.h"
#include "controlpart.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelshed {

// Row burn/<entry>: JSON with one element for each row and its counts in the order of burnWindows.
std::string formatBurnRows(const std::vector<BurnRow> &rows);

// Nothing if the text is malformed.
std::optional<std::vector<BurnRow>> parseBurnRows(std::string_view text);

// Adds the rows of several daemons up.
std::vector<BurnRow> sumBurnRows(const std::vector<std::vector<BurnRow>> &all);

// Writes the counts each writeInterval. host outlives the part.
std::unique_ptr<ControlPart> makeBurnPart(ControlPartHost &host, const std::string &entryName,
                                          Duration writeInterval = std::chrono::seconds(30));

} // namespace cornelshed

#endif // CORNELSHED_BURNPART_H
