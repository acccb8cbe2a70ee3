// Typed error bodies of the caller interface (docs/design.md, section 6).

#ifndef CORNELSHED_ANSWERBODY_H
#define CORNELSHED_ANSWERBODY_H

#include "entryscheduler.h"
#include "requestvalidator.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace cornelshed {

// Values of the header Cornelshed-Outcome.
constexpr std::string_view outcomeAnswered = "answered";
constexpr std::string_view outcomeNotRun = "not_run";
constexpr std::string_view outcomeUnknown = "unknown";

// An answer that the entry daemon gives by itself.
struct ErrorAnswer
{
    std::uint32_t status = 0;
    std::string_view outcome;
    std::string body; // JSON
    std::uint32_t retryAfterMs = 0;

    bool operator==(const ErrorAnswer &) const = default;
};

ErrorAnswer errorAnswer(const InputError &error);
ErrorAnswer errorAnswer(const NotRun &ending);
ErrorAnswer errorAnswer(const Unknown &ending);

// Not run for a reason outside the scheduler.
ErrorAnswer notRunAnswer(std::uint32_t status, std::string_view code, std::string_view message,
                         std::uint32_t retryAfterMs);

// Another request with the idempotency key has not ended, or its end is unknown.
ErrorAnswer openClaimAnswer();

} // namespace cornelshed

#endif // CORNELSHED_ANSWERBODY_H
