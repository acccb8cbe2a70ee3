// Queries the configuration version in force in each entry daemon, for the operator's program.

#ifndef CORNELSHED_DEPLOYMENTVERSIONS_H
#define CORNELSHED_DEPLOYMENTVERSIONS_H

#include "platformclient.h"
#include "types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cornelshed {

struct EntryVersion
{
    std::string name;
    std::optional<std::uint64_t> version; // std::nullopt: no answer; 0: none in force

    bool operator==(const EntryVersion &) const = default;
};

// Queries all entry daemons of the host list in parallel. Blocks until each has answered or its
// query has timed out.
std::vector<EntryVersion> readEntryVersions(const std::vector<PlatformHost> &hosts,
                                            Duration timeout);

} // namespace cornelshed

#endif // CORNELSHED_DEPLOYMENTVERSIONS_H
