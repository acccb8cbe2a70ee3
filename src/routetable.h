// Operators' configuration of direct dispatch: routes, services, organisations with their keys, and
// limits of the caller interface. A RouteTable is immutable; each new version of the configuration
// replaces the whole table.

#ifndef CORNELSHED_ROUTETABLE_H
#define CORNELSHED_ROUTETABLE_H

#include "types.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelshed {

enum class RequestKind : std::uint8_t { Idempotent, NonIdempotent, Stream };

// The form in which hosts are compared: without a port, in lower case.
std::string normalisedHost(std::string_view host);

struct WeightedService
{
    std::string service;
    std::uint32_t weight = 1;

    auto operator<=>(const WeightedService &) const = default;
};

struct DirectRoute
{
    std::string name;
    std::string host;
    std::string prefix; // begins and ends with a slash
    RequestKind kind = RequestKind::NonIdempotent;
    bool resumable = false;   // a broken stream may be resumed from another backend server
    Duration timeout {};      // longest time that a caller waits for the answer
    Duration objective {};    // latency target for the answer, or for the first event of a stream
    Duration gapObjective {}; // latency target between events of a stream; 0: none
    TierRank rank = 0;
    std::uint32_t attemptLimit = 1; // number of backend servers that may run one request
    bool authenticationExempt = false;
    std::vector<WeightedService> services; // never empty

    bool operator==(const DirectRoute &) const = default;

    // Whether the request may run more than once.
    bool retryable() const
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Stream && resumable);
    }
};

// Bounds for the number of a service's backend servers in each availability zone.
struct ServiceScale
{
    std::uint32_t minServers = 0;
    std::uint32_t maxServers = 0; // at least 1 and at least minServers
    Duration bootTime {};         // from the order of a server until it serves

    bool operator==(const ServiceScale &) const = default;
};

struct ServiceDefinition
{
    std::string name;
    double coldRequestsPerSecond = 0; // capacity of a cold backend server; 0: it has no cold phase
    std::optional<ServiceScale> scale {}; // nullopt: the number of its servers is not changed

    bool operator==(const ServiceDefinition &) const = default;
};

struct Organisation
{
    std::string name;
    std::vector<std::string> keys;
    TierRank rank = 0;          // takes precedence over the rank of the route
    double tokensPerSecond = 0; // 0: no limit
    double burstTokens = 0;
    bool countsRequests = false;            // the allowance is in requests instead of tokens
    std::uint64_t defaultRequestTokens = 0; // cost of a request that states no token count

    bool operator==(const Organisation &) const = default;
};

struct CallerLimits
{
    std::uint32_t headerBytes = 16384;
    std::uint32_t bodyBytes = 4U << 20U;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);

    bool operator==(const CallerLimits &) const = default;
};

struct RouteTableContent
{
    std::uint64_t version = 0;
    std::vector<DirectRoute> routes;
    std::vector<ServiceDefinition> services;
    std::vector<Organisation> organisations; // if empty, requests need no key
    CallerLimits limits;

    bool operator==(const RouteTableContent &) const = default;
};

class RouteTable
{
public:
    explicit RouteTable(RouteTableContent content);
    ~RouteTable();
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    const RouteTableContent &content() const;

    // Returns the route with this host and the longest prefix of the path, or null. The host's port
    // and letter case are ignored.
    const DirectRoute *find(std::string_view host, std::string_view path) const;

    // Returns null if no organisation has this key.
    const Organisation *organisationOf(const std::string &key) const;

    const ServiceDefinition *service(const std::string &name) const;

private:
    class Private;
    std::unique_ptr<const Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_ROUTETABLE_H
