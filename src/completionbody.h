// JSON body of a completion request.

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
    std::string prompt; // of a chat: the contents of all messages, joined
    std::uint64_t outputTokens = 0;
    bool stream = false;

    bool operator==(const CompletionBody &) const = default;
};

// Assumed where max_tokens is missing.
constexpr std::uint64_t defaultOutputTokens = 256;
constexpr std::uint64_t outputTokenLimit = 1000000;

// Accepts either "prompt" (text) or "messages" (chat).
Result<CompletionBody, InputError> parseCompletionBody(std::string_view text);

} // namespace cornelshed

#endif // CORNELSHED_COMPLETIONBODY_H
