// Small operations on HTTP header lists.

#ifndef CORNELSHED_HTTPHEADERS_H
#define CORNELSHED_HTTPHEADERS_H

#include "messages.h"

#include <string>
#include <string_view>

namespace cornelshed {

// Names of headers compare without case.
bool sameHeaderName(std::string_view a, std::string_view b);

// The value of the first header of that name, or null.
const std::string *findHeader(const Headers &headers, std::string_view name);

// Without those that describe one connection (RFC 9110, section 7.6.1) or the length, which each
// hop sets by itself.
Headers endToEndHeaders(const Headers &headers);

} // namespace cornelshed

#endif // CORNELSHED_HTTPHEADERS_H
