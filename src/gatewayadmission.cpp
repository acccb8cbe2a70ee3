// The checks run in the order in which a caller can correct their failures: configuration, route,
// key, allowance.

#include "gatewayadmission.h"

#include "eventlog.h"
#include "httpheaders.h"
#include "stabledigest.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cornelshed::detail {

namespace {

using namespace std::chrono_literals;

// Time limit for a caller that sends none; a shorter timeout of the route takes precedence.
constexpr Duration defaultTimeLimit = 30s;
constexpr Duration unconfiguredRetryAfter = 500ms;
// Short enough that a retry can still be answered within the objective of most routes.
constexpr Duration minAllowanceRetryAfter = 200ms;
constexpr Duration staleConfigurationRetryAfter = 100ms;
// The organisation's rank takes precedence over the route's, which takes the lower 32 bits.
constexpr std::uint64_t organisationRankWeight = std::uint64_t {1} << 32U;
// Added to the order of requests beyond their organisation's allowance, so that they are scheduled
// after all others.
constexpr std::uint64_t overAllowanceOrder = std::uint64_t {1} << 62U;

std::string_view pathWithoutQuery(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

double costOf(const Organisation &organisation, const CallerMetadata &metadata)
{
    if (organisation.countsRequests)
        return 1;
    return static_cast<double>(metadata.tokensKnown ? metadata.promptTokens + metadata.outputTokens
                                                    : organisation.defaultRequestTokens);
}

// Chooses by weight. The same request id always gets the same service.
std::string chooseService(const DirectRoute &route, const std::string &requestId)
{
    std::uint64_t total = 0;
    for (const WeightedService &it : route.services)
        total += it.weight;
    if (total == 0)
        return route.services.front().service;
    std::uint64_t draw = stableDigest(requestId) % total;
    for (const WeightedService &it : route.services) {
        if (draw < it.weight)
            return it.service;
        draw -= it.weight;
    }
    return route.services.back().service;
}

} // namespace

void GatewayAdmission::setRoutes(std::shared_ptr<const RouteTable> routes, Instant now)
{
    m_routes = std::move(routes);
    m_ranksByService.clear();
    if (!m_routes)
        return;
    for (const DirectRoute &route : m_routes->content().routes) {
        for (const WeightedService &it : route.services)
            m_ranksByService[it.service].insert(route.rank);
    }
    for (const Organisation &it : m_routes->content().organisations) {
        if (!m_allowances.configure(it.name, {it.tokensPerSecond, it.burstTokens}, now))
            continue;
        EventLog("allowance_changed")
                .field("organisation", it.name)
                .field("tokens_per_second", it.tokensPerSecond)
                .field("burst", it.burstTokens)
                .field("rank", it.rank);
    }
}

std::variant<AdmittedRequest, AdmissionRefusal> GatewayAdmission::admit(IngressRequest request,
                                                                        Duration proofAge,
                                                                        CallerMetadata &metadata,
                                                                        Instant now)
{
    auto decoded = m_protocol.decodeCaller(request.headers);
    if (const auto *error = std::get_if<InputError>(&decoded))
        return AdmissionRefusal {*error, std::nullopt};
    metadata = std::get<CallerMetadata>(std::move(decoded));
    if (!m_routes)
        return AdmissionRefusal {{503, "unconfigured", "no configuration yet"},
                                 unconfiguredRetryAfter};
    const std::string *host = findHeader(request.headers, "Host");
    const DirectRoute *route = m_routes->find(host ? *host : "", pathWithoutQuery(request.target));
    if (route == nullptr)
        return AdmissionRefusal {{404, "no_route", "no such route"}, std::nullopt};
    AdmittedRequest admitted;
    admitted.metadata = metadata;
    admitted.route = *route;
    admitted.configurationVersion = m_routes->content().version;
    admitted.request = std::move(request);
    const Organisation *organisation = nullptr;
    if (!m_routes->content().organisations.empty() && !route->authenticationExempt) {
        if (auto refusal = checkKey(metadata.key, proofAge, organisation))
            return std::move(*refusal);
    }
    admitted.order = route->rank;
    if (organisation != nullptr) {
        admitted.order += organisation->rank * organisationRankWeight;
        if (auto refusal = takeAllowance(admitted, *organisation, now))
            return std::move(*refusal);
    }
    admitted.service = chooseService(*route, metadata.requestId);
    admitted.reservedSlots = std::min(countHigherRanks(admitted.service, route->rank), 1U);
    const Duration callerLimit = metadata.remaining.value_or(defaultTimeLimit);
    const Duration limit =
            route->timeout > Duration::zero() ? std::min(route->timeout, callerLimit) : callerLimit;
    admitted.deadline = admitted.request.receivedAt + limit;
    return admitted;
}

std::optional<AdmissionRefusal> GatewayAdmission::checkKey(const std::string &key,
                                                           Duration proofAge,
                                                           const Organisation *&organisation) const
{
    // The key may have been revoked since the configuration was last confirmed.
    if (proofAge >= m_settings.keyCheckMaxProofAge)
        return AdmissionRefusal {{503, "stale_configuration", "cannot check the key now"},
                                 staleConfigurationRetryAfter};
    organisation = m_routes->organisationOf(key);
    if (organisation == nullptr)
        return AdmissionRefusal {{401, "unknown_key", "unknown key"}, std::nullopt};
    return std::nullopt;
}

std::optional<AdmissionRefusal> GatewayAdmission::takeAllowance(AdmittedRequest &admitted,
                                                                const Organisation &organisation,
                                                                Instant now)
{
    const std::string &name = organisation.name;
    const double cost = costOf(organisation, admitted.metadata);
    admitted.organisation = name;
    admitted.allowanceCost = cost;
    if (m_allowances.tryTake(name, cost, false, now))
        return std::nullopt;
    // Beyond the allowance: try the part of the tolerance that requests may use.
    admitted.order += overAllowanceOrder;
    if (m_allowances.tryTake(name, cost, true, now))
        return std::nullopt;
    EventLog("allowance_exceeded", EventLevel::Warning)
            .field("request", admitted.metadata.requestId)
            .field("organisation", name)
            .field("cost", cost)
            .field("left", m_allowances.level(name, true, now));
    const Duration wait = m_allowances.timeUntil(name, cost, now);
    return AdmissionRefusal {{429, "allowance", "over the allowance"},
                             std::max<Duration>(wait, minAllowanceRetryAfter)};
}

// Returns the number of ranks among the service's routes that take precedence over this one.
std::uint32_t GatewayAdmission::countHigherRanks(const std::string &service, TierRank rank) const
{
    const auto it = m_ranksByService.find(service);
    if (it == m_ranksByService.end())
        return 0;
    return static_cast<std::uint32_t>(
            std::distance(it->second.begin(), it->second.lower_bound(rank)));
}

} // namespace cornelshed::detail
