// Completion text of the engine stand-in. Each token is derived from the request id, the marker in
// the prompt and the position of the token, so that a caller can tell whether a response belongs to
// its request and is complete.

#ifndef CORNELSHED_STANDINS_COMPLETIONTEXT_H
#define CORNELSHED_STANDINS_COMPLETIONTEXT_H

#include <cstdint>
#include <string>
#include <string_view>

namespace cornelshed::standins {

// Returns X of the first "[marker:X]" in text, or an empty string if there is none.
std::string findMarker(std::string_view text);

// Returns the token at a position, counted from 0: " <marker>.<position>.<8 hexadecimal digits>".
std::string completionToken(const std::string &requestId, const std::string &marker,
                            std::uint64_t position);

enum class CompletionCheck {
    Whole,     // all expected tokens and nothing else
    Truncated, // a proper prefix of the expected text
    MixedUp    // differs from the expected text, or continues after it
};

// Compares a text with the first tokenCount tokens of the request's completion.
CompletionCheck checkCompletionText(std::string_view text, const std::string &requestId,
                                    const std::string &marker, std::uint64_t tokenCount);

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_COMPLETIONTEXT_H
