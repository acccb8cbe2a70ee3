// Wraps the parser of Beast. By itself, that bounds the head and the body, but neither the chunk
// headers nor the trailers, and it accepts heads that another program may read differently.

#include "requestreader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include <iterator>
#include <utility>

namespace cornelshed {

namespace http = boost::beast::http;

namespace {

// A body in chunks of one byte takes six bytes on the wire for each; what exceeds sixteen consists
// of chunk extensions. The allowance is for those of short bodies.
constexpr std::uint64_t wireBytesPerBodyByte = 16;
constexpr std::uint64_t framingAllowanceBytes = std::uint64_t {128} << 10U;

constexpr std::string_view lineEnd = "\r\n";
// Some callers send one after a body. A caller of whom nothing else arrives must not count as one
// whose request is on its way.
constexpr std::size_t maxEmptyLines = 16;
// Of a head: its last line's and the empty line. They do not count toward the limit.
constexpr std::size_t headEndBytes = 2 * lineEnd.size();

} // namespace

void RequestReader::begin(const RequestReaderLimits &limits)
{
    m_limits = limits;
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(static_cast<std::uint32_t>(limits.headBytes + headEndBytes));
    m_parser->body_limit(limits.bodyBytes);
    m_scanner = {};
    m_headCost = 0;
    m_bodyWireBytes = 0;
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
    return isHeadReceived() ? parseBody(bytes) : parseHead(bytes);
}

RequestReader::Status RequestReader::parseHead(std::string_view &bytes)
{
    // Empty lines before the request line are ignored (RFC 9112, section 2.2).
    for (; bytes.starts_with(lineEnd); bytes.remove_prefix(lineEnd.size())) {
        if (++m_emptyLines > maxEmptyLines)
            return fail(RequestFault::MalformedHead);
    }
    if (bytes.empty())
        return Status::Empty;
    const detail::HeadCheck check = m_scanner.scan(bytes);
    if (check == detail::HeadCheck::Malformed)
        return fail(RequestFault::MalformedHead);
    const bool isComplete = check == detail::HeadCheck::Valid;
    if ((isComplete ? m_scanner.length() - headEndBytes : bytes.size()) > m_limits.headBytes)
        return fail(RequestFault::HeadTooLarge);
    if (!isComplete)
        return Status::NeedsMore;
    boost::system::error_code ec;
    bytes.remove_prefix(m_parser->put(boost::asio::buffer(bytes.data(), m_scanner.length()), ec));
    if (ec == http::error::body_limit)
        return fail(RequestFault::BodyTooLarge);
    if ((ec && ec != http::error::need_more) || !m_parser->is_header_done())
        return fail(RequestFault::MalformedHead);
    const Message &head = m_parser->get();
    m_headCost = m_scanner.length()
            + static_cast<std::size_t>(std::distance(head.begin(), head.end()))
                    * m_costs.headerBytes;
    return Status::HeadReceived;
}

RequestReader::Status RequestReader::parseBody(std::string_view &bytes)
{
    boost::system::error_code ec;
    while (!bytes.empty() && !m_parser->is_done() && !ec) {
        const std::size_t n = m_parser->put(boost::asio::buffer(bytes.data(), bytes.size()), ec);
        bytes.remove_prefix(n);
        m_bodyWireBytes += n;
    }
    if (ec == http::error::body_limit)
        return fail(RequestFault::BodyTooLarge);
    if (ec && ec != http::error::need_more)
        return fail(RequestFault::MalformedBody);
    if (m_bodyWireBytes > framingAllowanceBytes + wireBytesPerBodyByte * bodyBytes())
        return fail(RequestFault::TooMuchFraming);
    if (m_parser->is_done())
        return Status::Complete;
    // What the parser leaves is the beginning of a chunk's header or of the trailers.
    return bytes.size() > m_limits.headBytes ? fail(RequestFault::LongChunkHeader)
                                             : Status::NeedsMore;
}

RequestReader::Status RequestReader::fail(RequestFault fault)
{
    m_fault = fault;
    return Status::Failed;
}

void RequestReader::endRequest()
{
    m_parser.reset();
    m_emptyLines = 0;
    m_input.shrink_to_fit();
}

void RequestReader::clear()
{
    m_parser.reset();
    m_input = std::string();
}

Headers RequestReader::headers() const
{
    Headers headers;
    for (const auto &it : message())
        headers.emplace_back(std::string(it.name_string()), std::string(it.value()));
    return headers;
}

bool RequestReader::expectsContinue() const
{
    return boost::beast::iequals(message()[http::field::expect], "100-continue");
}

std::optional<std::uint64_t> RequestReader::contentLength() const
{
    const auto length = m_parser->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

std::uint64_t RequestReader::bodyWireBytes() const
{
    return isHeadReceived() ? m_bodyWireBytes + m_input.size() : 0;
}

std::size_t RequestReader::costOf(std::size_t bodyBytes) const
{
    return m_headCost + m_input.capacity() + m_costs.bodyCopies * bodyBytes;
}

std::size_t RequestReader::heldBytes() const
{
    return costOf(bodyBytes());
}

std::size_t RequestReader::expectedBytes() const
{
    if (!isHeadReceived())
        return heldBytes();
    return costOf(static_cast<std::size_t>(contentLength().value_or(bodyBytes())));
}

} // namespace cornelshed
