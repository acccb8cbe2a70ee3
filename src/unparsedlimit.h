// The limit on received bytes of a message that cannot be parsed yet. Boost.Beast limits a header
// section and a body, but neither the line before a chunk nor the trailer section after the last
// one: its parsers ask for more bytes until these are complete. Internal header: it includes
// Boost.Beast.

#ifndef CORNELSHED_UNPARSEDLIMIT_H
#define CORNELSHED_UNPARSEDLIMIT_H

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <cstddef>

namespace cornelshed::detail {

// Larger than every header section that Beast accepts by default (8 KiB), and small enough that
// thousands of connections can be at the limit.
constexpr std::size_t unparsedLimitBytes = std::size_t {64} << 10U;

// Creates a buffer for Beast's own read operations, which fail with http::error::buffer_overflow
// when the unparsed bytes reach the limit.
inline boost::beast::flat_buffer makeLimitedBuffer()
{
    return boost::beast::flat_buffer(unparsedLimitBytes);
}

// Passes the buffered bytes to the parser and removes those that it has consumed. Returns an error
// if the message is malformed, and buffer_overflow if it is incomplete and more bytes than the
// limit remain unparsed. A parser that needs more bytes is no error.
template<bool isRequest>
boost::system::error_code parseBuffered(boost::beast::flat_buffer &buffer,
                                        boost::beast::http::basic_parser<isRequest> &parser)
{
    namespace http = boost::beast::http;
    boost::system::error_code ec;
    while (buffer.size() > 0 && !parser.is_done() && !ec)
        buffer.consume(parser.put(buffer.data(), ec));
    if (ec == http::error::need_more)
        ec = {};
    if (!ec && !parser.is_done() && buffer.size() > unparsedLimitBytes)
        ec = http::error::buffer_overflow;
    return ec;
}

} // namespace cornelshed::detail

#endif // CORNELSHED_UNPARSEDLIMIT_H
