// Judges the reply to one attempt of a request.

#ifndef CORNELSHED_LOAD_REPLYCHECK_H
#define CORNELSHED_LOAD_REPLYCHECK_H

#include "day.h"
#include "httpclient.h"
#include "tally.h"

#include <string>

namespace cornelshed::load {

struct ReplyVerdict
{
    Outcome outcome = Outcome::Lost; // whole answers are InTime; the caller checks the deadline
    std::string code;                // error code, if the reply has one
};

ReplyVerdict judgeReply(const PlannedRequest &request, const std::string &marker,
                        const std::string &idempotencyKey, const standins::HttpClientReply &reply);

} // namespace cornelshed::load

#endif // CORNELSHED_LOAD_REPLYCHECK_H
