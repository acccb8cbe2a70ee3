// Derivation of completion tokens by hashing, and comparison of a received text with them.

#include "completiontext.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace cornelshed::standins {

std::string findMarker(std::string_view text)
{
    constexpr std::string_view prefix = "[marker:";
    const std::size_t begin = text.find(prefix);
    if (begin == std::string_view::npos)
        return {};
    const std::size_t end = text.find(']', begin);
    if (end == std::string_view::npos)
        return {};
    const std::size_t valueBegin = begin + prefix.size();
    return std::string(text.substr(valueBegin, end - valueBegin));
}

std::string completionToken(const std::string &requestId, const std::string &marker,
                            std::uint64_t position)
{
    const std::string key = requestId + '|' + marker;
    const auto hash = static_cast<unsigned>(XXH64(key.data(), key.size(), position));
    std::array<char, 9> digits {};
    std::snprintf(digits.data(), digits.size(), "%08x", hash);
    return ' ' + marker + '.' + std::to_string(position) + '.' + digits.data();
}

CompletionCheck checkCompletionText(std::string_view text, const std::string &requestId,
                                    const std::string &marker, std::uint64_t tokenCount)
{
    for (std::uint64_t position = 0; position < tokenCount; ++position) {
        const std::string token = completionToken(requestId, marker, position);
        if (text.substr(0, token.size()) != token) {
            const bool isPrefix = std::string_view(token).substr(0, text.size()) == text;
            return isPrefix ? CompletionCheck::Truncated : CompletionCheck::MixedUp;
        }
        text.remove_prefix(token.size());
    }
    return text.empty() ? CompletionCheck::Whole : CompletionCheck::MixedUp;
}

} // namespace cornelshed::standins
