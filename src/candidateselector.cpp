// Selection of candidates by route, model and rollout share.

#include "candidateselector.h"

#include <algorithm>

namespace cornelshed {

namespace {

bool contains(const std::vector<std::string> &names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool appliesTo(const RoutingView::VersionShare &share, std::string_view pool,
               std::string_view route)
{
    return share.pool == pool && (share.routes.empty() || contains(share.routes, route));
}

} // namespace

CandidateSelector::CandidateSelector(const ServerDirectory &directory) : m_directory(directory) { }

void CandidateSelector::setView(std::shared_ptr<const RoutingView> view)
{
    m_view = std::move(view);
}

// Linear search: a deployment has too few routes for an index to be faster.
const std::vector<std::string> *CandidateSelector::poolsForRoute(std::string_view route) const
{
    if (!m_view || !m_view->configuration)
        return nullptr;
    for (const RouteSettings &it : m_view->configuration->routes)
        if (it.path == route)
            return &it.pools;
    return nullptr;
}

VersionRank CandidateSelector::rankVersion(const CandidateRequest &request, std::string_view pool,
                                           std::string_view version) const
{
    VersionRank result = VersionRank::Selected;
    for (const auto &it : m_view->versionShares) {
        if (!appliesTo(it, pool, request.route))
            continue;
        const bool isNewVersion = version == it.toVersion;
        const bool newVersionSelected = !it.rolledBack && request.versionDraw < it.share;
        if (isNewVersion && !newVersionSelected)
            return VersionRank::Forbidden;
        if (!isNewVersion && newVersionSelected)
            result = VersionRank::Fallback;
    }
    return result;
}

bool CandidateSelector::collectByRank(const CandidateRequest &request, VersionRank wanted,
                                      CandidateSet &candidates) const
{
    for (const std::string &pool : *poolsForRoute(request.route)) {
        const auto *lists = m_directory.lists(pool, request.model);
        if (lists == nullptr)
            continue;
        for (const VersionCandidates &it : *lists)
            if (rankVersion(request, pool, it.version) == wanted)
                candidates.add(it.slots);
    }
    return candidates.size() > 0;
}

VersionRank CandidateSelector::collect(const CandidateRequest &request,
                                       CandidateSet &candidates) const
{
    candidates.clear();
    if (poolsForRoute(request.route) == nullptr)
        return VersionRank::Forbidden;
    if (collectByRank(request, VersionRank::Selected, candidates))
        return VersionRank::Selected;
    const bool found = collectByRank(request, VersionRank::Fallback, candidates);
    return found ? VersionRank::Fallback : VersionRank::Forbidden;
}

VersionRank CandidateSelector::rankOf(const CandidateRequest &request, ServerSlot slot) const
{
    const DirectoryEntry &entry = m_directory.at(slot);
    const auto *pools = poolsForRoute(request.route);
    if (!entry.connected || pools == nullptr || !contains(*pools, entry.pool))
        return VersionRank::Forbidden;
    if (!request.model.empty() && !contains(entry.models, request.model))
        return VersionRank::Forbidden;
    return rankVersion(request, entry.pool, entry.version);
}

bool CandidateSelector::zoneWithdrawn(const std::string &availabilityZone) const
{
    if (!m_view || !m_view->configuration)
        return false;
    const auto &zones = m_view->configuration->availabilityZones;
    return std::any_of(zones.begin(), zones.end(), [&](const AvailabilityZoneSettings &it) {
        return it.name == availabilityZone && it.state == AvailabilityZoneState::Withdrawn;
    });
}

bool CandidateSelector::hostLeaving(const std::string &backendServer) const
{
    return m_view && contains(m_view->leavingServers, backendServer);
}

} // namespace cornelshed
