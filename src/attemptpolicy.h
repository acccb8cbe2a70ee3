// Decides what follows when an attempt at a backend server has ended: whether the request may be
// sent to a backend server again, and which answer the caller gets otherwise. A request that may
// have run is never reported as not run. A request that must not run twice is only retried if no
// earlier attempt can have run.

#ifndef CORNELSHED_ATTEMPTPOLICY_H
#define CORNELSHED_ATTEMPTPOLICY_H

#include "ingressprotocol.h"

#include <cstdint>

namespace cornelshed {

enum class AttemptEnd : std::uint8_t {
    Success,      // complete, authenticated answer
    RanAndFailed, // complete, authenticated answer that reports a failure
    NotRun,       // certainly not run
    MayHaveRun    // truncated, timed out, malformed or not authenticated
};

// Classifies a complete answer.
AttemptEnd classifyAnswer(std::uint32_t status, const BackendReply &reply);

struct AttemptHistory
{
    bool retryable = false;         // the request may run more than once
    std::uint32_t attemptLimit = 1; // number of backend servers that may run the request
    std::uint32_t ran = 0;          // attempts that ran or may have run, including the last one
    std::uint32_t refused = 0;      // attempts that were not run, including the last one
    bool answerStarted = false;     // part of a stream was already sent to the caller

    bool operator==(const AttemptHistory &) const = default;
};

enum class NextStep : std::uint8_t {
    Deliver,       // pass on the backend server's answer
    Retry,         // retry if the retry budget permits; otherwise take NextSteps::withoutRetry
    ReportNotRun,  // refuse with an answer that guarantees that the request has not run
    ReportUnknown, // fail with an answer that leaves open whether the request has run
    AbortResponse  // close the connection, so that the stream does not look complete
};

struct NextSteps
{
    NextStep preferred = NextStep::ReportUnknown;
    NextStep withoutRetry = NextStep::ReportUnknown; // if there is no further attempt

    bool operator==(const NextSteps &) const = default;
};

// Number of refused attempts up to which a request is offered again. Each refused attempt still
// counts as an arrival at a backend server.
constexpr std::uint32_t refusedAttemptLimit = 3;

NextSteps afterAttempt(AttemptEnd end, const AttemptHistory &history);

} // namespace cornelshed

#endif // CORNELSHED_ATTEMPTPOLICY_H
