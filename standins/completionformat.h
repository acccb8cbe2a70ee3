// Requests and responses of the engine stand-in's HTTP interface, which resembles that of OpenAI.

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
    std::string prompt; // for a chat request: the concatenated contents of all messages
    bool chat = false;
    bool stream = false;
    std::uint64_t maximumTokens = 16; // the stand-in always produces this many tokens
    bool resume = false;              // the body contains resume_after
    std::uint64_t resumeAfter = 0;    // number of tokens that the caller already has
};

struct CompletionUsage
{
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;
    std::uint64_t cachedTokens = 0;
};

// Throws an exception derived from std::exception if the body is malformed.
CompletionRequest parseCompletionRequest(const HttpRequest &httpRequest);

// Formats the body of a response that is not streamed.
std::string formatCompleteResponse(const CompletionRequest &request, const CompletionUsage &usage);

// Formats the server-sent event of the token at a position.
std::string formatTokenEvent(const CompletionRequest &request, std::uint64_t position);

// Formats the last two server-sent events of a stream: the usage, and [DONE].
std::string formatStreamEnd(const CompletionRequest &request, const CompletionUsage &usage);

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_COMPLETIONFORMAT_H
