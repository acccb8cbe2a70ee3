// Text of the stand-ins' answers. Each token is derived from the request's id, the marker in the
// prompt and the token's position, so that a caller can detect a mixed-up or truncated answer.

#ifndef CORNELSHED_STANDINS_ANSWERTEXT_H
#define CORNELSHED_STANDINS_ANSWERTEXT_H

#include <cstdint>
#include <string>
#include <string_view>

namespace cornelshed::standins {

// Returns X of the first "[marker:X]" in text, or an empty string.
std::string findMarker(std::string_view text);

// Token at position n (from 0): " <marker>.<n>.<8 hexadecimal digits>".
std::string answerToken(const std::string &requestId, const std::string &marker, std::uint64_t n);

enum class AnswerCheck { Whole, Truncated, MixedUp };

// Compares a text with the first tokenCount tokens of the expected answer.
AnswerCheck checkAnswer(std::string_view text, const std::string &requestId,
                        const std::string &marker, std::uint64_t tokenCount);

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_ANSWERTEXT_H
