// Reads the text of a configuration that may be hostile or truncated, within bounds of memory and
// time, and finds the lines of its entries.

#ifndef CORNELSHED_CONFIGURATIONTEXT_H
#define CORNELSHED_CONFIGURATIONTEXT_H

#include "types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelshed {

// Limits of a checked text. A configuration of 31,000 organisations has about 2.5 MB.
constexpr std::size_t configurationTextLimit = std::size_t {8} << 20U;
constexpr std::size_t tomlLineLimit = 65536; // bytes

struct TextProblem
{
    std::uint32_t line = 0; // 1-based; 0: none in particular
    std::string reason;

    bool operator==(const TextProblem &) const = default;
};

// Reads a regular file of at most configurationTextLimit bytes. Anything else, such as a device or
// a pipe, might never end.
Result<std::string, TextProblem> readConfigurationText(const std::string &path);

// Whether the text is an object of JSON, as opposed to TOML.
bool isJsonText(std::string_view text);

// Returns what makes the text unfit for a parser: its size, binary data, an overlong line, deep
// nesting, or long arrays. Syntax errors of TOML are left to the parser, those of JSON are
// returned.
std::optional<TextProblem> screenConfigurationText(std::string_view text);

// Line of each path, such as "routes[2].prefix"; that of its parent if there is no such key, and 0
// if there is no such entry either, or if the TOML has no valid syntax. JSON must be valid. Paths
// have up to three parts.
std::vector<std::uint32_t> findTomlLines(std::string_view text,
                                         const std::vector<std::string> &paths);
std::vector<std::uint32_t> findJsonLines(std::string_view text,
                                         const std::vector<std::string> &paths);

} // namespace cornelshed

#endif // CORNELSHED_CONFIGURATIONTEXT_H
