// Parses one caller's request at a time from the bytes that have arrived, and bounds what its head,
// its body, its chunks and the bytes that are not parsed yet can hold. Performs no input itself:
// the connections of the gateway and of the entry daemon read for it and answer its faults.

#ifndef CORNELSHED_REQUESTREADER_H
#define CORNELSHED_REQUESTREADER_H

#include "messages.h"
#include "requesthead.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace cornelshed {

struct RequestReaderLimits
{
    // Of the head without the empty line that ends it; of a chunk's header; of the trailers.
    std::size_t headBytes = 0;
    std::size_t bodyBytes = 0;

    bool operator==(const RequestReaderLimits &) const = default;
};

// Why a request cannot be read.
enum class RequestFault {
    MalformedHead,
    HeadTooLarge,
    MalformedBody,
    BodyTooLarge,
    LongChunkHeader, // or trailers: longer than the limit of a head
    TooMuchFraming   // far more bytes of chunk headers and trailers than of the body
};

// The memory that a request takes besides its text.
struct RequestCosts
{
    std::size_t headerBytes = 0; // for each header
    std::size_t bodyCopies = 1;

    bool operator==(const RequestCosts &) const = default;
};

class RequestReader
{
public:
    using Message = boost::beast::http::request<boost::beast::http::string_body>;

    // Empty: only empty lines have arrived since begin().
    enum class Status { Empty, NeedsMore, HeadReceived, Complete, Failed };

    explicit RequestReader(const RequestCosts &costs) : m_costs(costs) { }

    // Begins the next request. Bytes that followed the previous one are kept.
    void begin(const RequestReaderLimits &limits);

    // Parses the bytes that were kept, then these. Returns after the head and at the end of the
    // request; HeadReceived: call it again without bytes.
    Status add(std::string_view bytes);

    // Keeps the bytes for a later call of add().
    void keep(std::string_view bytes) { m_input.append(bytes); }

    // Frees the request. Bytes that followed it are kept.
    void endRequest();

    // Frees everything.
    void clear();

    // Bytes that have arrived and are not parsed yet, and the memory that they take.
    bool hasInput() const { return !m_input.empty(); }
    std::size_t inputBytes() const { return m_input.size(); }
    std::size_t inputCapacity() const { return m_input.capacity(); }

    bool isHeadReceived() const { return m_parser && m_parser->is_header_done(); }

    // What the received head costs, and how much of the body has been parsed.
    std::size_t headCost() const { return m_headCost; }
    std::size_t bodyBytes() const { return m_parser ? m_parser->get().body().size() : 0; }

    // What the request costs until it has been answered.
    std::size_t heldBytes() const;

    // The cost of the complete request if the head declares a length, otherwise heldBytes().
    std::size_t expectedBytes() const;

    // Bytes of the request that have arrived since its head.
    std::uint64_t bodyWireBytes() const;

    // Call these only once the head was received.
    const Message &message() const { return m_parser->get(); }
    Headers headers() const;
    std::string takeBody() { return std::move(m_parser->get().body()); }
    bool isKeepAlive() const { return m_parser->keep_alive(); }
    bool expectsContinue() const; // "100 Continue" before it sends the body
    std::optional<std::uint64_t> contentLength() const;

    // Of a request that has failed.
    RequestFault fault() const { return m_fault; }

private:
    Status parse(std::string_view &bytes);
    Status parseHead(std::string_view &bytes);
    Status parseBody(std::string_view &bytes);
    Status fail(RequestFault fault);
    std::size_t costOf(std::size_t bodyBytes) const;

    const RequestCosts m_costs;
    RequestReaderLimits m_limits;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    detail::HeadScanner m_scanner;
    std::string m_input;          // not parsed yet
    std::size_t m_emptyLines = 0; // before this request
    std::size_t m_headCost = 0;
    std::uint64_t m_bodyWireBytes = 0; // parsed
    RequestFault m_fault = RequestFault::MalformedHead;
};

} // namespace cornelshed

#endif // CORNELSHED_REQUESTREADER_H
