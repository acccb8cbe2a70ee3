// Maps the outcomes of requests to HTTP statuses, error codes and bodies.

#include "errorresponse.h"

#include "requestreader.h"

#include <boost/json.hpp>

#include <algorithm>

namespace cornelshed {

namespace json = boost::json;

namespace {

constexpr std::uint32_t defaultRetryAfterMs = 100;

struct ErrorDescription
{
    std::uint32_t status;
    std::string_view code;
    std::string_view message;
};

ErrorDescription describe(NotRunReason reason)
{
    switch (reason) {
    case NotRunReason::NoBackendServer:
        return {503, "no_backend_server", "no backend server serves the route now"};
    case NotRunReason::WaitingLimit:
        return {429, "waiting_limit", "too many requests wait"};
    case NotRunReason::DeadlineUnreachable:
        return {504, "deadline_unreachable", "the request cannot finish by its deadline"};
    case NotRunReason::DeadlinePassed:
        return {504, "deadline_passed", "no backend server had room in time"};
    case NotRunReason::RetryBudget:
        return {503, "retry_budget", "the backend server refused, and no retry is allowed now"};
    case NotRunReason::ShuttingDown:
        return {503, "shutting_down", "the entry daemon shuts down"};
    case NotRunReason::CallerGone:
        return {503, "caller_gone", "the caller closed the connection"};
    }
    return {503, "not_run", "the request was not run"};
}

InputError describe(RequestFault fault)
{
    switch (fault) {
    case RequestFault::HeadTooLarge:
    case RequestFault::LongChunkHeader:
        return {431, "header_too_large", "the header is too large"};
    case RequestFault::BodyTooLarge:
        return {413, "body_too_large", "the body is too large"};
    case RequestFault::TooMuchFraming:
        return {400, "malformed_request", "the chunks have too many bytes besides their data"};
    case RequestFault::MalformedHead:
    case RequestFault::MalformedBody:
        break;
    }
    return {400, "malformed_request", "the request is not proper HTTP"};
}

ErrorDescription describe(UnknownReason reason)
{
    switch (reason) {
    case UnknownReason::SessionLost:
        return {502, "session_lost", "the connection to the agent was lost"};
    case UnknownReason::EngineError:
        return {502, "engine_error", "the backend server failed"};
    case UnknownReason::StreamCut:
        return {502, "stream_cut", "the backend server's answer broke off"};
    case UnknownReason::DeadlinePassed:
        return {502, "deadline_passed", "the answer was not complete by the deadline"};
    case UnknownReason::CallerGone:
        return {502, "caller_gone", "the caller closed the connection"};
    }
    return {502, "outcome_unknown", "it is not known whether the request ran"};
}

std::string formatErrorBody(std::string_view type, const ErrorDescription &description,
                            std::uint32_t retryAfterMs)
{
    json::object error {
            {"type", type}, {"code", description.code}, {"message", description.message}};
    if (retryAfterMs > 0)
        error["retry_after_ms"] = retryAfterMs;
    return json::serialize(json::object {{"error", std::move(error)}});
}

} // namespace

ErrorResponse errorResponse(const InputError &error)
{
    const ErrorDescription description {error.status, error.code, error.message};
    return {error.status, outcomeNotRun, formatErrorBody("invalid_request", description, 0), 0};
}

ErrorResponse errorResponse(RequestFault fault)
{
    return errorResponse(describe(fault));
}

ErrorResponse notRunResponse(std::uint32_t status, std::string_view code, std::string_view message,
                             std::uint32_t retryAfterMs)
{
    const std::uint32_t retry = std::max(retryAfterMs, 1U);
    return {status, outcomeNotRun, formatErrorBody("not_run", {status, code, message}, retry),
            retry};
}

ErrorResponse errorResponse(const NotRun &ending)
{
    const ErrorDescription description = describe(ending.reason);
    const auto milliseconds =
            std::chrono::duration_cast<std::chrono::milliseconds>(ending.retryAfter).count();
    return notRunResponse(description.status, description.code, description.message,
                          milliseconds > 0 ? static_cast<std::uint32_t>(milliseconds)
                                           : defaultRetryAfterMs);
}

ErrorResponse errorResponse(const Unknown &ending)
{
    const ErrorDescription description = describe(ending.reason);
    return {description.status, outcomeUnknown, formatErrorBody("outcome_unknown", description, 0),
            0};
}

ErrorResponse openClaimResponse()
{
    constexpr std::uint32_t retryAfterMs = 1000;
    const ErrorDescription description {
            502, "claim_open",
            "a request with this idempotency key has not ended, or its end is "
            "unknown"};
    return {502, outcomeUnknown, formatErrorBody("outcome_unknown", description, retryAfterMs),
            retryAfterMs};
}

} // namespace cornelshed
