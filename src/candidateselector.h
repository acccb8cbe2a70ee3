// Which backend servers may serve a request: its route's pools, its model, the version that the
// rollout shares allow, and none that is withdrawn, leaving or ejected.

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

// What the choice depends on besides the servers.
struct CandidateRequest
{
    std::string_view route;
    std::string_view model;
    double versionDraw = 0; // in [0, 1), drawn once for each request
};

// Standing of a server's version for one request. The old version is the fallback of a request that
// was drawn for the new one; a new version is never the fallback of the old.
enum class VersionRank : std::uint8_t { Forbidden, Fallback, Selected };

class CandidateSelector
{
public:
    // directory must outlive the selector.
    explicit CandidateSelector(const ServerDirectory &directory);

    void setView(std::shared_ptr<const RoutingView> view);

    // Usable servers for the request: those of the version that the draw selects, or of the old
    // version if there are none. Returns which of both.
    VersionRank collect(const CandidateRequest &request, CandidateSet &candidates) const;

    // Forbidden if the server does not serve the route or model, or its version is not allowed.
    // Blocks of the server are not considered.
    VersionRank rankOf(const CandidateRequest &request, ServerSlot slot) const;

    bool zoneWithdrawn(const std::string &availabilityZone) const;
    bool hostLeaving(const std::string &backendServer) const;

private:
    VersionRank rank(const CandidateRequest &request, std::string_view pool,
                     std::string_view version) const;
    bool collectRank(const CandidateRequest &request, VersionRank wanted,
                     CandidateSet &candidates) const;
    const std::vector<std::string> *pools(std::string_view route) const;

    const ServerDirectory &m_directory;
    std::shared_ptr<const RoutingView> m_view;
};

} // namespace cornelshed

#endif // CORNELSHED_CANDIDATESELECTOR_H
