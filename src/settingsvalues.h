// Values that the settings of both daemons have in common.

#ifndef CORNELSHED_SETTINGSVALUES_H
#define CORNELSHED_SETTINGSVALUES_H

#include "tomlreader.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cornelshed::detail {

// An IP address; addresses are never looked up by name.
std::string readAddress(TomlSection &section, std::string_view key);

// leastPort 0 permits "any free port".
std::uint16_t readPort(TomlSection &section, std::string_view key, std::int64_t leastPort);

std::uint32_t readCount(TomlSection &section, std::string_view key, std::int64_t least,
                        std::int64_t most, std::int64_t byDefault);

} // namespace cornelshed::detail

#endif // CORNELSHED_SETTINGSVALUES_H
