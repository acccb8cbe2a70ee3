// Parses one caller's request at a time from the bytes that have arrived, and bounds what the
// parser and the bytes that it has not taken yet can hold. Performs no input itself.

#ifndef CORNELSHED_REQUESTREADER_H
#define CORNELSHED_REQUESTREADER_H

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornelshed {

struct RequestReaderLimits
{
    std::size_t headBytes = 0;
    std::size_t bodyBytes = 0;

    bool operator==(const RequestReaderLimits &) const = default;
};

class RequestReader
{
public:
    using Message = boost::beast::http::request<boost::beast::http::string_body>;

    enum class Status { NeedsMore, HeadReceived, Complete, Failed };

    explicit RequestReader(const RequestReaderLimits &limits) : m_limits(limits) { }

    // Begins the next request. Bytes that followed the previous one are kept.
    void begin();

    // Parses the bytes that were kept, then these. Returns after the head and at the end of the
    // request; HeadReceived: call it again without bytes.
    Status add(std::string_view bytes);

    // Frees the request. Bytes that followed it are kept.
    void endRequest();

    // Frees everything.
    void clear();

    // Whether bytes have arrived that are not parsed yet.
    bool hasInput() const { return !m_input.empty(); }
    bool isHeadReceived() const { return m_parser && m_parser->is_header_done(); }

    // What the request costs until it has been answered. Each byte of the body counts twice, since
    // the message to the agent is a copy.
    std::size_t heldBytes() const;

    // The cost of the complete request if the head declares a length, otherwise heldBytes().
    std::size_t expectedBytes() const;

    // Bytes of the request that have arrived since its head.
    std::uint64_t bodyWireBytes() const { return m_bodyWireBytes; }

    // Call these only once the head was received.
    const Message &message() const { return m_parser->get(); }
    std::string takeBody() { return std::move(m_parser->get().body()); }
    bool isKeepAlive() const { return m_parser->keep_alive(); }

    // Of the failure.
    const boost::system::error_code &error() const { return m_error; }

private:
    Status parse(std::string_view &bytes);
    Status parsePart(std::string_view &bytes);
    Status fail(boost::beast::http::error error);
    std::size_t bodyBytes() const;

    RequestReaderLimits m_limits;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    std::string m_input; // not parsed yet
    std::size_t m_headBytes = 0;
    std::size_t m_headLines = 0;
    std::uint64_t m_bodyWireBytes = 0;
    boost::system::error_code m_error;
};

} // namespace cornelshed

#endif // CORNELSHED_REQUESTREADER_H
