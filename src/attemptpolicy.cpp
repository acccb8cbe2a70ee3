// Rules for what follows an attempt.

#include "attemptpolicy.h"

namespace cornelshed {

namespace {

// Statuses by which callers are told that a request has not run. A backend server that sends one
// without saying that it did not run the request must not have it passed on.
bool promisesNotRun(std::uint32_t status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

NextStep lastStep(AttemptEnd end, const AttemptHistory &history)
{
    if (history.answerBegun)
        return NextStep::BreakOff;
    if (end == AttemptEnd::RanAndFailed)
        return NextStep::Deliver;
    return end == AttemptEnd::NotRun && history.ran == 0 ? NextStep::ReportNotRun
                                                         : NextStep::ReportUnknown;
}

} // namespace

AttemptEnd classifyAnswer(std::uint32_t status, const BackendReply &reply)
{
    if (reply.notRun || reply.misdirected)
        return AttemptEnd::NotRun;
    if (!reply.authenticated || reply.encoded || promisesNotRun(status))
        return AttemptEnd::MayHaveRun;
    return status < 500 ? AttemptEnd::Success : AttemptEnd::RanAndFailed;
}

NextSteps afterAttempt(AttemptEnd end, const AttemptHistory &history)
{
    if (end == AttemptEnd::Success)
        return {NextStep::Deliver, NextStep::Deliver};
    const NextStep last = lastStep(end, history);
    const bool mayRunAgain =
            history.ran == 0 || (history.repeatable && history.ran < history.attemptLimit);
    const bool again = mayRunAgain && history.refused <= refusedAttemptLimit;
    return {again ? NextStep::OfferAgain : last, last};
}

} // namespace cornelshed
