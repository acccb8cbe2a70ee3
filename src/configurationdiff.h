// Difference between two configurations, listed by entry and key for operators.

#ifndef CORNELSHED_CONFIGURATIONDIFF_H
#define CORNELSHED_CONFIGURATIONDIFF_H

#include <string>
#include <string_view>
#include <vector>

namespace cornelshed {

// Compares two texts written by formatConfiguration. Returns one line for each difference:
//     + tiers.low                        an entry was added
//     - organisations.shop               an entry was removed
//     ~ pools.writers.checks_fencing: false -> true
std::vector<std::string> diffConfigurations(std::string_view from, std::string_view to);

} // namespace cornelshed

#endif // CORNELSHED_CONFIGURATIONDIFF_H
