// Difference of two configurations in an operator's terms.

#ifndef CORNELSHED_CONFIGURATIONDIFF_H
#define CORNELSHED_CONFIGURATIONDIFF_H

#include <string>
#include <string_view>
#include <vector>

namespace cornelshed {

// Compares two configuration texts (see formatConfiguration). One line for each difference:
//     + tiers.low                        an entry was added
//     - organisations.shop               an entry was removed
//     ~ pools.writers.checks_fencing: false -> true
std::vector<std::string> configurationDifference(std::string_view from, std::string_view to);

} // namespace cornelshed

#endif // CORNELSHED_CONFIGURATIONDIFF_H
