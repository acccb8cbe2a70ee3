// Collects the findings of a check; shared by the two kinds of configuration.

#ifndef CORNELSHED_FINDINGLIST_H
#define CORNELSHED_FINDINGLIST_H

#include "configurationcheck.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <tuple>

namespace cornelshed::detail {

class FindingList
{
public:
    void addError(const char *rule, ConfigurationPart part, std::size_t index, std::string text)
    {
        m_findings.push_back({FindingSeverity::Error, rule, part, index, std::move(text)});
    }

    void addWarning(const char *rule, ConfigurationPart part, std::size_t index, std::string text)
    {
        m_findings.push_back({FindingSeverity::Warning, rule, part, index, std::move(text)});
    }

    ConfigurationFindings sorted() const
    {
        ConfigurationFindings result = m_findings;
        std::stable_sort(result.begin(), result.end(), [](const auto &a, const auto &b) {
            return std::tie(a.part, a.index, a.rule) < std::tie(b.part, b.index, b.rule);
        });
        return result;
    }

private:
    ConfigurationFindings m_findings;
};

// Where the servers of a group of backend servers are.
struct GroupPlacement
{
    bool listed = false; // at least one server that does not leave
    bool usable = false; // at least one of them in a zone that is not withdrawn
};

inline std::map<std::string, GroupPlacement>
placementsOf(const std::vector<ListedServer> &servers, const std::set<std::string> &withdrawnZones)
{
    std::map<std::string, GroupPlacement> placements;
    for (const ListedServer &it : servers) {
        if (it.leaving)
            continue;
        GroupPlacement &placement = placements[it.group];
        placement.listed = true;
        placement.usable = placement.usable || !withdrawnZones.contains(it.availabilityZone);
    }
    return placements;
}

} // namespace cornelshed::detail

#endif // CORNELSHED_FINDINGLIST_H
