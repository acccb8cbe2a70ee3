// Versions of the configuration in force in the entry daemons, asked for by the operator's program.

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
    std::optional<std::uint64_t> version; // nothing: no answer; 0: none in force

    bool operator==(const EntryVersion &) const = default;
};

// Asks all entry daemons of the host list at once, and waits for their answers or the timeout.
std::vector<EntryVersion> readEntryVersions(const std::vector<PlatformHost> &hosts,
                                            Duration timeout);

} // namespace cornelshed

#endif // CORNELSHED_DEPLOYMENTVERSIONS_H
