// Parser for the JSON body of a completion request.

#ifndef CORNELSHED_COMPLETIONBODY_H
#define CORNELSHED_COMPLETIONBODY_H

#include "requestvalidator.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cornelshed {

struct CompletionBody
{
    std::string model;
    std::string prompt; // for a chat: the concatenated contents of all messages
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
