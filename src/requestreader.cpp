// Wraps the parser of Beast, which by itself bounds the head and the body, but neither the chunk
// extensions nor the trailers, and parses the fields of a head before the head is complete.

#include "requestreader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <utility>

namespace cornelshed {

namespace http = boost::beast::http;

namespace {

// Bounds the memory that the parser takes for a header besides its text. 64 to 80 bytes with the
// allocator of the C library.
constexpr std::size_t headerOverheadBytes = 96;

// A body in chunks of one byte takes six bytes on the wire for each; what exceeds eight consists of
// chunk extensions. The allowance is for those of short bodies.
constexpr std::uint64_t wireBytesPerBodyByte = 8;
constexpr std::uint64_t framingAllowanceBytes = std::uint64_t {64} << 10U;

} // namespace

void RequestReader::begin()
{
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_limits.headBytes));
    m_parser->body_limit(m_limits.bodyBytes);
    m_headBytes = m_headLines = 0;
    m_bodyWireBytes = 0;
    m_error = {};
}

RequestReader::Status RequestReader::add(std::string_view bytes)
{
    Status status = Status::NeedsMore;
    if (m_input.empty()) {
        status = parse(bytes);
        m_input.assign(bytes);
        return status;
    }
    m_input.append(bytes);
    std::string_view unparsed = m_input;
    status = parse(unparsed);
    if (unparsed.empty())
        m_input = std::string(); // frees the memory, which clear() would keep
    else
        m_input.erase(0, m_input.size() - unparsed.size());
    return status;
}

// Removes the bytes that were parsed.
RequestReader::Status RequestReader::parse(std::string_view &bytes)
{
    while (!m_parser->is_done()) {
        if (bytes.empty())
            return Status::NeedsMore;
        const Status status = parsePart(bytes);
        if (status != Status::Complete)
            return status;
    }
    return Status::Complete;
}

// Returns Complete if the parser took a part and another one may follow.
RequestReader::Status RequestReader::parsePart(std::string_view &bytes)
{
    const bool wasHeadReceived = isHeadReceived();
    boost::system::error_code ec;
    const std::size_t n = m_parser->put(boost::asio::buffer(bytes.data(), bytes.size()), ec);
    const std::string_view parsed = bytes.substr(0, n);
    bytes.remove_prefix(n);
    if (wasHeadReceived) {
        m_bodyWireBytes += n;
    } else {
        m_headBytes += n;
        m_headLines += static_cast<std::size_t>(std::count(parsed.begin(), parsed.end(), '\n'));
    }
    const bool needsMore = ec == http::error::need_more;
    if (ec && !needsMore) {
        m_error = ec;
        return Status::Failed;
    }
    if (!isHeadReceived())
        return m_headBytes + bytes.size() > m_limits.headBytes ? fail(http::error::header_limit)
                                                               : Status::NeedsMore;
    if (!wasHeadReceived)
        return m_headBytes > m_limits.headBytes ? fail(http::error::header_limit)
                                                : Status::HeadReceived;
    // What the parser leaves is the beginning of a chunk's header or of the trailers.
    if (needsMore)
        return bytes.size() > m_limits.headBytes ? fail(http::error::header_limit)
                                                 : Status::NeedsMore;
    if (m_bodyWireBytes > framingAllowanceBytes + wireBytesPerBodyByte * bodyBytes())
        return fail(http::error::bad_chunk);
    return n == 0 ? Status::NeedsMore : Status::Complete;
}

RequestReader::Status RequestReader::fail(http::error error)
{
    m_error = error;
    return Status::Failed;
}

void RequestReader::endRequest()
{
    m_parser.reset();
    m_input.shrink_to_fit();
}

void RequestReader::clear()
{
    m_parser.reset();
    m_input = std::string();
}

std::size_t RequestReader::bodyBytes() const
{
    return m_parser ? m_parser->get().body().size() : 0;
}

std::size_t RequestReader::heldBytes() const
{
    return m_headBytes + m_headLines * headerOverheadBytes + m_input.size() + 2 * bodyBytes();
}

std::size_t RequestReader::expectedBytes() const
{
    if (!isHeadReceived() || !m_parser->content_length())
        return heldBytes();
    return m_headBytes + m_headLines * headerOverheadBytes + m_input.size()
            + 2 * static_cast<std::size_t>(*m_parser->content_length());
}

} // namespace cornelshed
