// Parser for the JSON body of a completion request.

#ifndef CORNELSHED_COMPLETIONBODY_H
#define CORNELSHED_COMPLETIONBODY_H

#include "requestvalidator.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cornelshed {

// As many as prefixHashes() takes into account.
constexpr std::size_t keptPromptBytes =
        prefixHashLimit * std::size_t {prefixBlockTokens} * bytesPerToken;

struct CompletionBody
{
    std::string model;
    // The prompt, for a chat the concatenated contents of all messages: its first keptPromptBytes,
    // and the size of the whole.
    std::string promptBeginning;
    std::size_t promptBytes = 0;
    std::uint64_t outputTokens = 0;
    bool stream = false;

    bool operator==(const CompletionBody &) const = default;
};

// Assumed if max_tokens is missing.
constexpr std::uint64_t defaultOutputTokens = 256;
constexpr std::uint64_t outputTokenLimit = 1000000;

// Accepts either "prompt" (a string) or "messages" (a chat); "prompt" takes precedence.
Result<CompletionBody, InputError> parseCompletionBody(std::string_view text);

} // namespace cornelshed

#endif // CORNELSHED_COMPLETIONBODY_H
