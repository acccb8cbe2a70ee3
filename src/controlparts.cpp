// List of the control thread's parts. None exist yet: rollouts, leases and burn counts are added
// here.

#include "controlpart.h"

namespace cornelshed {

std::vector<std::unique_ptr<ControlPart>> makeControlParts(ControlPartHost &, const std::string &,
                                                           std::uint64_t)
{
    return {};
}

} // namespace cornelshed
