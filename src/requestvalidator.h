// Validates a caller's request against the configuration and the limits of the caller interface
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

// An error in the caller's request. The status is a 4xx. The code is part of the caller interface
// and must never change its meaning.
struct InputError
{
    std::uint32_t status = 400;
    std::string code;
    std::string message;

    bool operator==(const InputError &) const = default;
};

// A request as received. The views must stay valid during validateRequest().
struct RawRequest
{
    std::string_view method;
    std::string_view target; // path and optional query
    const Headers *headers = nullptr;
    std::string_view body;
};

struct ValidRequest
{
    RequestArrival arrival;                // arrival.request is not set
    Headers headers;                       // for the backend server, without X-Request-Id
    std::optional<std::string> claimedKey; // idempotency key; set if the route is not idempotent
    std::string callerRequestId;           // value of the caller's X-Request-Id; may be empty

    bool operator==(const ValidRequest &) const = default;
};

Result<ValidRequest, InputError> validateRequest(const Configuration &configuration,
                                                 const RawRequest &raw, Instant now);

// Used to estimate the token count of a prompt from its size.
constexpr std::uint32_t bytesPerToken = 4;
// Each prefix hash covers this many tokens more than the previous one.
constexpr std::uint32_t prefixBlockTokens = 256;

// Returns the hashes of the prompt's prefixes that are 1, 2, 3, ... full blocks long, at most
// prefixHashLimit of them. A block has prefixBlockTokens tokens.
std::vector<std::uint64_t> prefixHashes(std::string_view model, std::string_view prompt);
constexpr std::size_t prefixHashLimit = 256;

// Returns a hash of the request, which detects that an idempotency key is reused with a different
// request.
std::uint64_t requestDigest(std::string_view method, std::string_view path, std::string_view body);

} // namespace cornelshed

#endif // CORNELSHED_REQUESTVALIDATOR_H
