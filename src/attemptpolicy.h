// What follows the end of one attempt at a backend server: whether the request may be offered
// again, and which answer the caller gets otherwise. A request that may have run is never reported
// as not run, and one that must not run twice is only offered again when the last attempt surely
// did not run.

#ifndef CORNELSHED_ATTEMPTPOLICY_H
#define CORNELSHED_ATTEMPTPOLICY_H

#include "ingressprotocol.h"

#include <cstdint>

namespace cornelshed {

enum class AttemptEnd : std::uint8_t {
    Success,      // whole, authenticated answer
    RanAndFailed, // whole, authenticated answer that tells a failure
    NotRun,       // surely not run
    MayHaveRun    // cut, silent, malformed or not authenticated
};

// Classifies a whole answer.
AttemptEnd classifyAnswer(std::uint32_t status, const BackendReply &reply);

struct AttemptHistory
{
    bool repeatable = false;        // the request may run more than once
    std::uint32_t attemptLimit = 1; // backend servers that may run it
    std::uint32_t ran = 0;          // attempts that ran or may have run, the last one included
    std::uint32_t refused = 0;      // attempts that were not run, the last one included
    bool answerBegun = false;       // part of a stream has reached the caller

    bool operator==(const AttemptHistory &) const = default;
};

enum class NextStep : std::uint8_t {
    Deliver,       // the backend server's answer
    OfferAgain,    // if the budget for repeats allows it; otherwise the step without it
    ReportNotRun,  // a refusal that promises that the request has not run
    ReportUnknown, // a failure that promises nothing
    BreakOff       // close the connection, so that the stream does not look complete
};

struct NextSteps
{
    NextStep preferred = NextStep::ReportUnknown;
    NextStep otherwise = NextStep::ReportUnknown; // without a further attempt

    bool operator==(const NextSteps &) const = default;
};

// Attempts without a run that one request may make; each is an arrival at a backend server.
constexpr std::uint32_t refusedAttemptLimit = 3;

NextSteps afterAttempt(AttemptEnd end, const AttemptHistory &history);

} // namespace cornelshed

#endif // CORNELSHED_ATTEMPTPOLICY_H
