// Helper functions for lists of HTTP header fields.

#ifndef CORNELSHED_HTTPHEADERS_H
#define CORNELSHED_HTTPHEADERS_H

#include "messages.h"

#include <string>
#include <string_view>

namespace cornelshed {

// Header names are compared case-insensitively.
bool sameHeaderName(std::string_view a, std::string_view b);

// Returns the value of the first header with this name, or nullptr.
const std::string *findHeader(const Headers &headers, std::string_view name);

// Returns whether the body is declared as a stream of server-sent events.
bool declaresEventStream(const Headers &headers);

// Returns the headers to forward. Leaves out those that each hop sets by itself: headers that apply
// to a single connection (RFC 9110, section 7.6.1), the Server header, and the content length.
Headers endToEndHeaders(const Headers &headers);

} // namespace cornelshed

#endif // CORNELSHED_HTTPHEADERS_H
