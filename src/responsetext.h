// Text of HTTP/1.1 responses and of their chunks (RFC 9112).

#ifndef CORNELSHED_RESPONSETEXT_H
#define CORNELSHED_RESPONSETEXT_H

#include "messages.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cornelshed {

struct ResponseHeader
{
    std::uint32_t status = 200;
    Headers headers;
    bool keepAlive = true;
};

// Whether a body may follow the head (RFC 9110, section 6.4.1), unless the request was a HEAD.
bool mayHaveBody(std::uint32_t status);

// The status line and the headers, without the empty line at the end.
void appendHead(std::string &out, const ResponseHeader &head);

void appendHeader(std::string &out, std::string_view name, std::string_view value);
void appendContentLength(std::string &out, std::size_t length);

// Appends nothing if there is no data: an empty chunk would end the body.
void appendChunk(std::string &out, std::string_view data);

// trailers: complete lines.
void appendLastChunk(std::string &out, std::string_view trailers = {});

} // namespace cornelshed

#endif // CORNELSHED_RESPONSETEXT_H
