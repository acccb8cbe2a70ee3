// Text form (TOML) of an accepted configuration. Formatting is deterministic: equal configurations
// give equal bytes.

#ifndef CORNELSHED_CONFIGURATIONFILE_H
#define CORNELSHED_CONFIGURATIONFILE_H

#include "configuration.h"
#include "tomlreader.h"

#include <string>
#include <string_view>

namespace cornelshed {

// Reads and checks a configuration, including references between its parts. The version is not
// part of the text; the caller sets it from the accepted head. file names the source in problems.
Result<Configuration, TomlProblems> parseConfiguration(std::string_view text,
                                                       const std::string &file);

std::string formatConfiguration(const Configuration &configuration);

} // namespace cornelshed

#endif // CORNELSHED_CONFIGURATIONFILE_H
