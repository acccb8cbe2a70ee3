// Selects the backend servers that may serve a request: those in the pools of its route that serve
// its model, run a version that the rollout shares allow, and are not withdrawn, leaving or
// ejected.

#ifndef CORNELSHED_CANDIDATESELECTOR_H
#define CORNELSHED_CANDIDATESELECTOR_H

#include "entryscheduler.h"
#include "placement.h"
#include "serverdirectory.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cornelshed {

// The properties of a request that determine its candidates.
struct CandidateRequest
{
    std::string_view route;
    std::string_view model;
    double versionDraw = 0; // in [0, 1), drawn once for each request
};

// Whether a request may go to a server's version. A request that its draw assigns to the new
// version may fall back to the old one, but never the other way round.
enum class VersionRank : std::uint8_t { Forbidden, Fallback, Selected };

class CandidateSelector
{
public:
    // `directory` must outlive the selector.
    explicit CandidateSelector(const ServerDirectory &directory);

    void setView(std::shared_ptr<const RoutingView> view);

    // Collects the usable servers for the request: those of the version that its draw selects or,
    // if there are none, those of the old version. Returns their rank, or Forbidden if there are
    // none.
    VersionRank collect(const CandidateRequest &request, CandidateSet &candidates) const;

    // Returns Forbidden if the server does not serve the route or model, or its version is not
    // allowed. Ignores the ServerBlock flags of the server.
    VersionRank rankOf(const CandidateRequest &request, ServerSlot slot) const;

    bool zoneWithdrawn(const std::string &availabilityZone) const;
    bool hostLeaving(const std::string &backendServer) const;

private:
    VersionRank rankVersion(const CandidateRequest &request, std::string_view pool,
                            std::string_view version) const;
    bool collectByRank(const CandidateRequest &request, VersionRank wanted,
                       CandidateSet &candidates) const;
    const std::vector<std::string> *poolsForRoute(std::string_view route) const;

    const ServerDirectory &m_directory;
    std::shared_ptr<const RoutingView> m_view;
};

} // namespace cornelshed

#endif // CORNELSHED_CANDIDATESELECTOR_H
