// Checks of a request's head.

#include "requesthead.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>

namespace cornelshed::detail {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

// Returns whether two HTTP implementations could disagree on where the body ends.
bool hasAmbiguousFraming(const http::request_header<> &head)
{
    const auto encodings = head.count(http::field::transfer_encoding);
    if (encodings == 0)
        return head.count(http::field::content_length) > 1;
    return encodings > 1 || head.count(http::field::content_length) > 0
            || !beast::iequals(head[http::field::transfer_encoding], "chunked");
}

// The head's framing is not ambiguous.
bool hasBody(const http::request_header<> &head)
{
    const auto length = head.find(http::field::content_length);
    return head.count(http::field::transfer_encoding) > 0
            || (length != head.end() && length->value() != "0");
}

} // namespace

HeadCheck HeadScanner::scan(std::string_view data)
{
    while (m_scannedBytes < data.size()) {
        const char c = data[m_scannedBytes];
        if (c == '\r') {
            if (m_scannedBytes + 1 == data.size())
                return HeadCheck::Incomplete;
            if (data[m_scannedBytes + 1] != '\n')
                return HeadCheck::Malformed;
            m_scannedBytes += 2;
            if (m_lineBytes == 0)
                return HeadCheck::Valid;
            m_lineBytes = 0;
            continue;
        }
        const bool isFolded = m_lineBytes == 0 && m_scannedBytes > 0 && (c == ' ' || c == '\t');
        if (c == '\n' || c == '\0' || isFolded)
            return HeadCheck::Malformed;
        ++m_lineBytes;
        ++m_scannedBytes;
    }
    return HeadCheck::Incomplete;
}

std::optional<HttpError> findHeadError(const http::request_header<> &head)
{
    if (head.version() != 11)
        return HttpError {505, "only HTTP/1.1 is spoken here"};
    if (hasAmbiguousFraming(head))
        return HttpError {400, "the length of the body is ambiguous"};
    if (head.count(http::field::host) != 1)
        return HttpError {400, "one Host header is needed"};
    if (!head.target().starts_with('/'))
        return HttpError {400, "the target must be a path"};
    if (head.method() == http::verb::trace && hasBody(head))
        return HttpError {400, "a TRACE request has no body"}; // RFC 9110, section 9.3.8
    return std::nullopt;
}

} // namespace cornelshed::detail
