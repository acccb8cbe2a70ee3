// Requests and answers of the OpenAI-like engine interface.

#ifndef CORNELSHED_STANDINS_COMPLETIONFORMAT_H
#define CORNELSHED_STANDINS_COMPLETIONFORMAT_H

#include "httpserver.h"

#include <cstdint>
#include <string>

namespace cornelshed::standins {

struct CompletionRequest
{
    std::string requestId;
    std::string marker;
    std::string model;
    std::string prompt; // of chat requests: the contents of all messages, concatenated
    bool chat = false;
    bool stream = false;
    std::uint64_t maximumTokens = 16;
    bool resume = false;           // body has resume_after
    std::uint64_t resumeAfter = 0; // tokens that the caller already has
};

struct CompletionUsage
{
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;
    std::uint64_t cachedTokens = 0;
};

// Throws std::exception for a malformed body.
CompletionRequest parseCompletion(const HttpCall &call);

std::string formatWhole(const CompletionRequest &request, const CompletionUsage &usage);

// Server-sent event of the token at position n, and the last events of a stream.
std::string formatTokenEvent(const CompletionRequest &request, std::uint64_t n);
std::string formatStreamEnd(const CompletionRequest &request, const CompletionUsage &usage);

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_COMPLETIONFORMAT_H
