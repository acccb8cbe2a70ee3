// Readers for single values that the settings of several daemons share.

#ifndef CORNELSHED_SETTINGSVALUES_H
#define CORNELSHED_SETTINGSVALUES_H

#include "tomlreader.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cornelshed::detail {

// Reads an IP address. Host names are rejected: addresses are not resolved through DNS.
std::string readAddress(TomlSection &section, std::string_view key);

// A minimumPort of 0 permits port 0, which binds to any free port.
std::uint16_t readPort(TomlSection &section, std::string_view key, std::int64_t minimumPort);

std::uint32_t readCount(TomlSection &section, std::string_view key, std::int64_t minimum,
                        std::int64_t maximum, std::int64_t defaultValue);

} // namespace cornelshed::detail

#endif // CORNELSHED_SETTINGSVALUES_H
