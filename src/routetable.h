// What operators configure for direct dispatch: routes, services, organisations with their keys,
// and limits of the caller interface. A RouteTable is immutable; a new version replaces it as a
// whole.

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
    bool resumable = false;   // a broken stream may go on at another backend server
    Duration timeout {};      // longest time that a caller is kept waiting
    Duration objective {};    // to the answer, or to the first event of a stream
    Duration gapObjective {}; // between events of a stream; 0: none
    TierRank rank = 0;
    std::uint32_t attemptLimit = 1; // backend servers that may run one request
    bool keyExempt = false;
    std::vector<WeightedService> services; // never empty

    bool operator==(const DirectRoute &) const = default;

    // Whether running a request a second time is allowed.
    bool repeatable() const
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Stream && resumable);
    }
};

struct ServiceDefinition
{
    std::string name;
    double coldRequestsPerSecond = 0; // what a cold backend server bears; 0: it has no cold phase

    bool operator==(const ServiceDefinition &) const = default;
};

struct Organisation
{
    std::string name;
    std::vector<std::string> keys;
    TierRank rank = 0;          // goes before the route's
    double tokensPerSecond = 0; // 0: no limit
    double burstTokens = 0;
    bool countsRequests = false;   // the allowance counts requests, not tokens
    std::uint64_t plainTokens = 0; // of a request that tells no token count

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
    std::vector<Organisation> organisations; // empty: requests carry no key
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

    // The route of the host with the longest prefix of the path, or null. The port of a host is
    // ignored, and case does not matter.
    const DirectRoute *find(std::string_view host, std::string_view path) const;

    // Null if no organisation holds the key.
    const Organisation *organisationOf(const std::string &key) const;

    const ServiceDefinition *service(const std::string &name) const;

private:
    class Private;
    std::unique_ptr<const Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_ROUTETABLE_H
