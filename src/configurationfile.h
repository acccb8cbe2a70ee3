// Parser and formatter for the configuration file (TOML). Formatting is deterministic: equal
// configurations give equal bytes.

#ifndef CORNELSHED_CONFIGURATIONFILE_H
#define CORNELSHED_CONFIGURATIONFILE_H

#include "configuration.h"
#include "tomlreader.h"

#include <string>
#include <string_view>

namespace cornelshed {

// Parses and validates a configuration, including the references between its parts. The text does
// not contain the version; the caller sets it from the head row. file is the file name used in
// problems.
Result<Configuration, TomlProblems> parseConfiguration(std::string_view text,
                                                       const std::string &file);

std::string formatConfiguration(const Configuration &configuration);

} // namespace cornelshed

#endif // CORNELSHED_CONFIGURATIONFILE_H
