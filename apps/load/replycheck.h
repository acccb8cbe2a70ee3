// Determines the outcome of one attempt of a request from its reply.

#ifndef CORNELSHED_LOAD_REPLYCHECK_H
#define CORNELSHED_LOAD_REPLYCHECK_H

#include "day.h"
#include "httpclient.h"
#include "tally.h"

#include <string>

namespace cornelshed::load {

struct ReplyClassification
{
    // InTime for every complete answer; the caller compares the time with the deadline.
    Outcome outcome = Outcome::Lost;
    std::string code; // error code, if the reply has one
};

// Compares the reply with the answer that the stand-ins derive from the request, its marker and its
// idempotency key (empty for completions).
ReplyClassification classifyReply(const PlannedRequest &request, const std::string &marker,
                                  const std::string &idempotencyKey,
                                  const standins::HttpClientResponse &reply);

} // namespace cornelshed::load

#endif // CORNELSHED_LOAD_REPLYCHECK_H
