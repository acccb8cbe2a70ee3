// Each check returns the first error found. Headers are checked before the body, because checking
// them costs less.

#include "requestvalidator.h"

#include "completionbody.h"
#include "httpheaders.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <memory>

namespace cornelshed {

namespace {

constexpr std::size_t idempotencyKeyLimitBytes = 256;
constexpr std::size_t requestIdLimitBytes = 128;

using OptionalError = std::optional<InputError>;

struct FreeHashState
{
    void operator()(XXH3_state_t *state) const { XXH3_freeState(state); }
};

using HashState = std::unique_ptr<XXH3_state_t, FreeHashState>;

OptionalError inputError(std::uint32_t status, std::string code, std::string message)
{
    return InputError {status, std::move(code), std::move(message)};
}

// Rejects repeated headers that must have a single value, because two components could each use a
// different one of the values.
OptionalError checkRepeatedHeaders(const Headers &headers)
{
    static constexpr std::array<std::string_view, 5> singleValueHeaders {
            "Cornelshed-Organisation", "Cornelshed-Tier", "Cornelshed-Deadline-Ms",
            "Idempotency-Key", "X-Request-Id"};
    for (const std::string_view name : singleValueHeaders) {
        const auto n = std::count_if(headers.begin(), headers.end(), [&](const auto &it) {
            return sameHeaderName(it.first, name);
        });
        if (n > 1)
            return inputError(400, "repeated_header",
                              std::string(name) + " is given more than once");
    }
    return std::nullopt;
}

bool isValidIdentifier(std::string_view text, std::size_t limit)
{
    return !text.empty() && text.size() <= limit
            && std::all_of(text.begin(), text.end(), [](char c) {
                   return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
                           || c == '-' || c == '_' || c == '.' || c == ':';
               });
}

const RouteSettings *findRoute(const Configuration &configuration, std::string_view path)
{
    const auto &routes = configuration.routes;
    const auto it = std::find_if(routes.begin(), routes.end(),
                                 [&](const RouteSettings &route) { return route.path == path; });
    return it == routes.end() ? nullptr : &*it;
}

std::vector<const PoolSettings *> poolsOf(const Configuration &configuration,
                                          const RouteSettings &route)
{
    std::vector<const PoolSettings *> pools;
    for (const PoolSettings &it : configuration.pools) {
        if (std::find(route.pools.begin(), route.pools.end(), it.name) != route.pools.end())
            pools.push_back(&it);
    }
    return pools;
}

const TierSettings *findTier(const Configuration &configuration, std::string_view name)
{
    for (const TierSettings &it : configuration.tiers) {
        if (it.name == name)
            return &it;
    }
    return nullptr;
}

OptionalError readOrganisation(const Configuration &configuration, const Headers &headers,
                               RequestArrival &arrival)
{
    const std::string *name = findHeader(headers, "Cornelshed-Organisation");
    if (name == nullptr)
        return inputError(400, "missing_organisation", "Cornelshed-Organisation is required");
    const auto &all = configuration.organisations;
    const auto it = std::find_if(all.begin(), all.end(),
                                 [&](const auto &candidate) { return candidate.name == *name; });
    const TierSettings *tier = it == all.end() ? nullptr : findTier(configuration, it->tier);
    if (tier == nullptr)
        return inputError(403, "unknown_organisation", "the organisation is not configured");
    arrival.organisation = it->name;
    arrival.organisationWeight = it->weight;
    arrival.tier = tier->rank;
    return std::nullopt;
}

OptionalError readTier(const Configuration &configuration, const Headers &headers,
                       RequestArrival &arrival)
{
    const std::string *name = findHeader(headers, "Cornelshed-Tier");
    if (name == nullptr)
        return std::nullopt;
    const TierSettings *tier = findTier(configuration, *name);
    if (tier == nullptr)
        return inputError(400, "unknown_tier", "the tier is not configured");
    if (tier->rank < arrival.tier)
        return inputError(403, "tier_not_allowed", "the tier is above the organisation's own");
    arrival.tier = tier->rank;
    return std::nullopt;
}

OptionalError readDeadline(const RouteSettings &route, const Headers &headers, Instant now,
                           RequestArrival &arrival)
{
    std::int64_t milliseconds = route.defaultDeadlineMs;
    if (const std::string *text = findHeader(headers, "Cornelshed-Deadline-Ms")) {
        const char *end = text->data() + text->size();
        const auto [stop, ec] = std::from_chars(text->data(), end, milliseconds);
        if (ec != std::errc() || stop != end)
            return inputError(400, "invalid_deadline", "Cornelshed-Deadline-Ms is not an integer");
        if (milliseconds <= 0)
            return inputError(400, "deadline_passed", "the deadline is in the past");
        if (milliseconds > route.maximumDeadlineMs)
            return inputError(400, "deadline_out_of_range",
                              "the deadline is above " + std::to_string(route.maximumDeadlineMs)
                                      + " ms, the route's maximum");
    }
    arrival.deadline = now + std::chrono::milliseconds(milliseconds);
    return std::nullopt;
}

OptionalError readIdempotencyKey(const RouteSettings &route, const Headers &headers,
                                 ValidRequest &valid)
{
    const std::string *key = findHeader(headers, "Idempotency-Key");
    if (key == nullptr && !route.idempotent)
        return inputError(400, "missing_idempotency_key", "the route requires Idempotency-Key");
    if (key == nullptr)
        return std::nullopt;
    if (!isValidIdentifier(*key, idempotencyKeyLimitBytes))
        return inputError(400, "invalid_idempotency_key",
                          "Idempotency-Key has 1 to 256 letters, digits, or any of -_.:");
    if (!route.idempotent)
        valid.claimedKey = *key;
    return std::nullopt;
}

OptionalError readRequestId(const Headers &headers, ValidRequest &valid)
{
    const std::string *id = findHeader(headers, "X-Request-Id");
    if (id == nullptr)
        return std::nullopt;
    if (!isValidIdentifier(*id, requestIdLimitBytes))
        return inputError(400, "invalid_request_id",
                          "X-Request-Id has 1 to 128 letters, digits, or any of -_.:");
    valid.callerRequestId = *id;
    return std::nullopt;
}

OptionalError readBody(const std::vector<const PoolSettings *> &pools, const RawRequest &raw,
                       RequestArrival &arrival)
{
    if (raw.method != "POST")
        return inputError(405, "method_not_allowed", "completions are requested with POST");
    const Result<CompletionBody, InputError> parsed = parseCompletionBody(raw.body);
    if (const auto *error = std::get_if<InputError>(&parsed))
        return *error;
    const auto &body = std::get<CompletionBody>(parsed);
    const bool known = std::any_of(pools.begin(), pools.end(), [&](const PoolSettings *it) {
        return std::find(it->models.begin(), it->models.end(), body.model) != it->models.end();
    });
    if (!known)
        return inputError(404, "unknown_model", "the route has no such model");
    arrival.model = body.model;
    arrival.promptTokens = std::max<std::uint64_t>(1, body.promptBytes / bytesPerToken);
    arrival.outputTokens = body.outputTokens;
    arrival.prefixHashes = prefixHashes(body.model, body.promptBeginning);
    arrival.prefixTokensPerHash = prefixBlockTokens;
    return std::nullopt;
}

Headers backendHeaders(const Headers &headers, bool isService)
{
    static constexpr std::array<std::string_view, 2> forwardedHeaders {"Content-Type", "Accept"};
    Headers forwarded;
    for (const std::string_view name : forwardedHeaders) {
        if (const std::string *value = findHeader(headers, name))
            forwarded.emplace_back(name, *value);
    }
    const std::string *key = findHeader(headers, "Idempotency-Key");
    if (isService && key != nullptr)
        forwarded.emplace_back("Idempotency-Key", *key);
    return forwarded;
}

} // namespace

Result<ValidRequest, InputError> validateRequest(const Configuration &configuration,
                                                 const RawRequest &raw, Instant now)
{
    const Headers &headers = *raw.headers;
    const RouteSettings *route =
            findRoute(configuration, raw.target.substr(0, raw.target.find('?')));
    if (route == nullptr)
        return InputError {404, "unknown_path", "no route has this path"};
    ValidRequest valid;
    OptionalError error = checkRepeatedHeaders(headers);
    if (!error)
        error = readOrganisation(configuration, headers, valid.arrival);
    if (!error)
        error = readTier(configuration, headers, valid.arrival);
    if (!error)
        error = readDeadline(*route, headers, now, valid.arrival);
    if (!error)
        error = readIdempotencyKey(*route, headers, valid);
    if (!error)
        error = readRequestId(headers, valid);
    if (error)
        return *error;
    const auto pools = poolsOf(configuration, *route);
    const bool isService = std::all_of(pools.begin(), pools.end(), [](const PoolSettings *it) {
        return it->kind == PoolKind::Service;
    });
    if (!isService)
        error = readBody(pools, raw, valid.arrival);
    if (error)
        return *error;
    valid.arrival.route = route->path;
    valid.headers = backendHeaders(headers, isService);
    return valid;
}

std::vector<std::uint64_t> prefixHashes(std::string_view model, std::string_view prompt)
{
    constexpr std::size_t blockBytes = std::size_t {prefixBlockTokens} * bytesPerToken;
    std::vector<std::uint64_t> hashes;
    // The model is the seed, because different models do not share cache entries.
    const HashState state(XXH3_createState());
    XXH3_64bits_reset_withSeed(state.get(), XXH3_64bits(model.data(), model.size()));
    while (prompt.size() >= blockBytes && hashes.size() < prefixHashLimit) {
        XXH3_64bits_update(state.get(), prompt.data(), blockBytes);
        hashes.push_back(XXH3_64bits_digest(state.get()));
        prompt.remove_prefix(blockBytes);
    }
    return hashes;
}

std::uint64_t requestDigest(std::string_view method, std::string_view path, std::string_view body)
{
    const HashState state(XXH3_createState());
    XXH3_64bits_reset(state.get());
    // The null byte after each part gives "ab", "c" and "a", "bc" different hashes.
    for (const std::string_view it : {method, path, body}) {
        XXH3_64bits_update(state.get(), it.data(), it.size());
        XXH3_64bits_update(state.get(), "", 1);
    }
    return XXH3_64bits_digest(state.get());
}

} // namespace cornelshed
