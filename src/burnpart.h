// Counts good and bad requests on the control thread for the service-level burn report. The counts
// are written to row burn/<entry>, which the operator's program reads.

#ifndef CORNELSHED_BURNPART_H
#define CORNELSHED_BURNPART_H

#include "controlpart.h"

#include <memory>
#include <string>

namespace cornelshed {

// Writes changed counts every writeInterval. host must outlive the part.
std::unique_ptr<ControlPart> makeBurnPart(ControlPartHost &host, const std::string &entryName,
                                          Duration writeInterval = std::chrono::seconds(30));

} // namespace cornelshed

#endif // CORNELSHED_BURNPART_H
