// Rules for the step after an attempt.

#include "attemptpolicy.h"

#include "connectionevidence.h"

namespace cornelshed {

namespace {

NextStep stepWithoutRetry(AttemptEnd end, const AttemptHistory &history)
{
    if (history.answerStarted)
        return NextStep::AbortResponse;
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
    if (!reply.authenticated || reply.encoded || statusMeansNotRun(status))
        return AttemptEnd::MayHaveRun;
    return status < 500 ? AttemptEnd::Success : AttemptEnd::RanAndFailed;
}

NextSteps afterAttempt(AttemptEnd end, const AttemptHistory &history)
{
    if (end == AttemptEnd::Success)
        return {NextStep::Deliver, NextStep::Deliver};
    const NextStep finalStep = stepWithoutRetry(end, history);
    const bool mayRunAgain =
            history.ran == 0 || (history.retryable && history.ran < history.attemptLimit);
    const bool mayRetry = mayRunAgain && history.refused <= refusedAttemptLimit;
    return {mayRetry ? NextStep::Retry : finalStep, finalStep};
}

} // namespace cornelshed
