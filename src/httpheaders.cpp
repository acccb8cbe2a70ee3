// Header lists are short, so that linear search is the fastest.

#include "httpheaders.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace cornelshed {

namespace {

constexpr std::array<std::string_view, 9> hopByHopNames {
        "connection", "keep-alive",        "proxy-connection", "te", "trailer", "upgrade",
        "server",     "transfer-encoding", "content-length"};

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

bool sameHeaderName(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char x, char y) { return lower(x) == lower(y); });
}

const std::string *findHeader(const Headers &headers, std::string_view name)
{
    for (const auto &[key, value] : headers) {
        if (sameHeaderName(key, name))
            return &value;
    }
    return nullptr;
}

Headers endToEndHeaders(const Headers &headers)
{
    Headers kept;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(kept), [](const auto &it) {
        return std::none_of(hopByHopNames.begin(), hopByHopNames.end(),
                            [&](auto name) { return sameHeaderName(it.first, name); });
    });
    return kept;
}

} // namespace cornelshed
