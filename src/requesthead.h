// Checks the raw bytes of a request's header section before they are parsed, because parsers accept
// line folding and bare line feeds that the next hop may interpret differently (request smuggling).
// Internal header: it includes Boost.Beast.

#ifndef CORNELSHED_REQUESTHEAD_H
#define CORNELSHED_REQUESTHEAD_H

#include <boost/beast/http/message.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cornelshed::detail {

enum class HeadCheck { Incomplete, Valid, Malformed };

// Looks for the end of the header section. Folded lines, a carriage return or line feed on its own,
// and NUL bytes are malformed. Each byte is looked at once, however slowly a head arrives.
class HeadScanner
{
public:
    // data: all bytes of the head that have arrived; those of earlier calls are unchanged.
    HeadCheck scan(std::string_view data);

    // Length of a valid head, including the empty line.
    std::size_t length() const { return m_scannedBytes; }

private:
    std::size_t m_scannedBytes = 0;
    std::size_t m_lineBytes = 0; // of the line that contains the next byte
};

struct HttpError
{
    std::uint32_t status;
    const char *reason;
};

std::optional<HttpError> findHeadError(const boost::beast::http::request_header<> &head);

} // namespace cornelshed::detail

#endif // CORNELSHED_REQUESTHEAD_H
