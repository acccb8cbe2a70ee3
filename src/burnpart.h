// Service-level burn on the control thread: counts how requests end and writes the counts to row
// burn/<entry> for the report of the operators' command.

#ifndef CORNELSHED_BURNPART_H
#define CORNELSHED_BURNPART_H

#include "controlpart.h"

#include <memory>
#include <string>

namespace cornelshed {

// Writes the counts each writeInterval. host outlives the part.
std::unique_ptr<ControlPart> makeBurnPart(ControlPartHost &host, const std::string &entryName,
                                          Duration writeInterval = std::chrono::seconds(30));

} // namespace cornelshed

#endif // CORNELSHED_BURNPART_H
