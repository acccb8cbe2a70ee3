// Checks a caller's request against the configuration and the limits of the caller interface
// (docs/design.md, section 6).

#ifndef CORNELSHED_REQUESTVALIDATOR_H
#define CORNELSHED_REQUESTVALIDATOR_H

#include "configuration.h"
#include "entryscheduler.h"
#include "messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelshed {

// The caller's mistake; status is a 4xx, code is part of the interface and never changes meaning.
struct InputError
{
    std::uint32_t status = 400;
    std::string code;
    std::string message;

    bool operator==(const InputError &) const = default;
};

// A request as received. The views must stay valid during the call.
struct RawRequest
{
    std::string_view method;
    std::string_view target; // path, with a query if there is one
    const Headers *headers = nullptr;
    std::string_view body;
};

struct ValidRequest
{
    RequestArrival arrival;                // its request id is not set
    Headers headers;                       // for the backend server, without X-Request-Id
    std::optional<std::string> claimedKey; // idempotency key of a route that is not idempotent
    std::string callerRequestId;           // by the caller's X-Request-Id; may be empty

    bool operator==(const ValidRequest &) const = default;
};

Result<ValidRequest, InputError> validateRequest(const Configuration &configuration,
                                                 const RawRequest &raw, Instant now);

// Bytes of the prompt that count as one token in estimates.
constexpr std::uint32_t bytesPerToken = 4;
// Tokens that each prefix hash covers more than the one before.
constexpr std::uint32_t prefixBlockTokens = 256;

// Hashes of the prompt's prefixes of 1, 2, 3, ... whole blocks; at most prefixHashLimit.
std::vector<std::uint64_t> prefixHashes(std::string_view model, std::string_view prompt);
constexpr std::size_t prefixHashLimit = 256;

// Distinguishes bodies under one idempotency key.
std::uint64_t requestDigest(std::string_view method, std::string_view path, std::string_view body);

} // namespace cornelshed

#endif // CORNELSHED_REQUESTVALIDATOR_H
