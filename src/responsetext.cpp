// Appends to strings, because connections join what waits to be written.

#include "responsetext.h"

#include <boost/beast/http/status.hpp>

#include <array>
#include <charconv>

namespace cornelshed {

namespace {

constexpr std::string_view lineEnd = "\r\n";

void appendNumber(std::string &out, std::size_t number, int base)
{
    std::array<char, 20> digits {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, base).ptr;
    out.append(digits.data(), end);
}

} // namespace

bool mayHaveBody(std::uint32_t status)
{
    return status != 204 && status != 304;
}

void appendHead(std::string &out, const ResponseHeader &head)
{
    out += "HTTP/1.1 ";
    appendNumber(out, head.status, 10);
    out += ' ';
    const auto status = boost::beast::http::int_to_status(head.status);
    out += std::string_view(boost::beast::http::obsolete_reason(status));
    out += lineEnd;
    for (const auto &[name, value] : head.headers)
        appendHeader(out, name, value);
    if (!head.keepAlive)
        appendHeader(out, "Connection", "close");
}

void appendHeader(std::string &out, std::string_view name, std::string_view value)
{
    out += name;
    out += ": ";
    out += value;
    out += lineEnd;
}

void appendContentLength(std::string &out, std::size_t length)
{
    out += "Content-Length: ";
    appendNumber(out, length, 10);
    out += lineEnd;
}

void appendChunk(std::string &out, std::string_view data)
{
    if (data.empty())
        return;
    appendNumber(out, data.size(), 16);
    out += lineEnd;
    out += data;
    out += lineEnd;
}

void appendLastChunk(std::string &out, std::string_view trailers)
{
    out += "0\r\n";
    out += trailers;
    out += lineEnd;
}

} // namespace cornelshed
