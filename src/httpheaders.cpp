// Header lists are short, so linear search is fastest.

#include "httpheaders.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace cornelshed {

namespace {

constexpr std::array<std::string_view, 9> perHopHeaderNames {
        "connection", "keep-alive",        "proxy-connection", "te", "trailer", "upgrade",
        "server",     "transfer-encoding", "content-length"};

char toAsciiLower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

bool sameHeaderName(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char x, char y) { return toAsciiLower(x) == toAsciiLower(y); });
}

const std::string *findHeader(const Headers &headers, std::string_view name)
{
    for (const auto &[key, value] : headers) {
        if (sameHeaderName(key, name))
            return &value;
    }
    return nullptr;
}

bool declaresEventStream(const Headers &headers)
{
    const std::string *type = findHeader(headers, "Content-Type");
    if (type == nullptr)
        return false;
    const std::string_view name = std::string_view(*type).substr(0, type->find_first_of("; \t"));
    return sameHeaderName(name, "text/event-stream"); // media types ignore letter case as well
}

Headers endToEndHeaders(const Headers &headers)
{
    Headers result;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(result), [](const auto &it) {
        return std::none_of(perHopHeaderNames.begin(), perHopHeaderNames.end(),
                            [&](auto name) { return sameHeaderName(it.first, name); });
    });
    return result;
}

} // namespace cornelshed
