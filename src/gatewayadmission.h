// Admission control of a gateway: matches the route, checks the key, charges the organisation's
// allowance and computes the queue order, all by the configuration in force. A request that is
// refused here has not been sent to any backend server.

#ifndef CORNELSHED_GATEWAYADMISSION_H
#define CORNELSHED_GATEWAYADMISSION_H

#include "gatewayexchange.h"
#include "requestvalidator.h"
#include "routetable.h"
#include "tokenallowance.h"
#include "types.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace cornelshed::detail {

struct AdmissionSettings
{
    // Keys are accepted only while the configuration was confirmed to be the newest within this
    // time.
    Duration keyCheckMaxProofAge {};
    Duration allowanceWindow {}; // over which the allowances are enforced
    AllowanceTolerance allowanceTolerance;
};

struct AdmissionRefusal
{
    InputError error;
    std::optional<Duration> retryAfter; // value of Retry-After; nothing: not sent
};

class GatewayAdmission
{
public:
    GatewayAdmission(const IngressProtocol &protocol, const AdmissionSettings &settings)
        : m_protocol(protocol), m_settings(settings),
          m_allowances(settings.allowanceWindow, settings.allowanceTolerance)
    { }

    void setRoutes(std::shared_ptr<const RouteTable> routes, Instant now);
    void setKeyCheckMaxProofAge(Duration limit) { m_settings.keyCheckMaxProofAge = limit; }

    // proofAge: time since the configuration was last confirmed to be the newest. metadata is set
    // to what the caller's headers say, also for a refused request, and is left unchanged if they
    // are malformed. The gateway assigns the id of the admitted request.
    std::variant<AdmittedRequest, AdmissionRefusal> admit(IngressRequest request, Duration proofAge,
                                                          CallerMetadata &metadata, Instant now);

    TokenAllowances &allowances() { return m_allowances; }

private:
    std::optional<AdmissionRefusal> checkKey(const std::string &key, Duration proofAge,
                                             const Organisation *&organisation) const;
    std::optional<AdmissionRefusal> takeAllowance(AdmittedRequest &admitted,
                                                  const Organisation &organisation, Instant now);
    std::uint32_t countHigherRanks(const std::string &service, TierRank rank) const;

    const IngressProtocol &m_protocol;
    AdmissionSettings m_settings;
    TokenAllowances m_allowances;
    std::shared_ptr<const RouteTable> m_routes; // null until a configuration has been read
    std::map<std::string, std::set<TierRank>> m_ranksByService; // of the routes to each service
};

} // namespace cornelshed::detail

#endif // CORNELSHED_GATEWAYADMISSION_H
