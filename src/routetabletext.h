// Canonical text of the gateways' configuration, for comparisons.

#ifndef CORNELSHED_ROUTETABLETEXT_H
#define CORNELSHED_ROUTETABLETEXT_H

#include "routetable.h"

#include <string>
#include <vector>

namespace cornelshed {

// In the format of formatConfiguration, for diffConfigurations. Of each key, only a short digest is
// written. The version is left out.
std::string formatRouteTable(const RouteTableContent &content);

// Turns the lines of diffConfigurations into sentences, such as
//     route books: timeout changes from "3000 ms" to "500 ms"
std::vector<std::string> describeDifferences(const std::vector<std::string> &lines);

} // namespace cornelshed

#endif // CORNELSHED_ROUTETABLETEXT_H
