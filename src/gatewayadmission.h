// Admission of requests at a gateway: the route, the key, the organisation's allowance and the
// order among waiting requests, by the configuration in force. Whatever is not admitted has not
// run.

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
    Duration keyProofLimit {}; // a key is accepted on a configuration proven within this time
    Duration allowanceWindow {};
    AllowanceTolerance allowanceTolerance;
};

struct AdmissionRefusal
{
    InputError error;
    std::optional<Duration> retryAfter;
};

class GatewayAdmission
{
public:
    GatewayAdmission(const IngressProtocol &protocol, const AdmissionSettings &settings)
        : m_protocol(protocol), m_settings(settings),
          m_allowances(settings.allowanceWindow, settings.allowanceTolerance)
    { }

    void setRoutes(std::shared_ptr<const RouteTable> routes, Instant now);
    void setKeyProofLimit(Duration limit) { m_settings.keyProofLimit = limit; }

    // proofAge: how long ago the configuration was proven to be the newest. The admitted request
    // has no id yet. facts: of the caller, also of a refused request; empty if they are not proper.
    std::variant<AdmittedRequest, AdmissionRefusal> admit(IngressRequest request, Duration proofAge,
                                                          CallerFacts &facts, Instant now);

    TokenAllowances &allowances() { return m_allowances; }

private:
    std::optional<AdmissionRefusal> checkKey(const std::string &key, Duration proofAge,
                                             const Organisation *&organisation) const;
    std::optional<AdmissionRefusal> takeAllowance(AdmittedRequest &admitted,
                                                  const Organisation &organisation, Instant now);
    std::uint32_t higherRanks(const std::string &service, TierRank rank) const;

    const IngressProtocol &m_protocol;
    AdmissionSettings m_settings;
    TokenAllowances m_allowances;
    std::shared_ptr<const RouteTable> m_routes; // null until a configuration was read
    std::map<std::string, std::set<TierRank>> m_ranksOfService;
};

} // namespace cornelshed::detail

#endif // CORNELSHED_GATEWAYADMISSION_H
