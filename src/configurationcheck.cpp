// Findings about the configuration of the entry daemons.

#include "configurationcheck.h"

#include "findinglist.h"
#include "rollout.h"

#include <algorithm>
#include <map>
#include <set>

namespace cornelshed {

namespace {

using Part = ConfigurationPart;

class ConfigurationChecker
{
public:
    ConfigurationChecker(const Configuration &configuration, const DeploymentFacts &facts)
        : m_configuration(configuration), m_facts(facts),
          m_withdrawnZones(facts.withdrawnZones.begin(), facts.withdrawnZones.end())
    {
        for (const AvailabilityZoneSettings &it : configuration.availabilityZones) {
            if (it.state == AvailabilityZoneState::Withdrawn)
                m_withdrawnZones.insert(it.name);
        }
        if (facts.servers.has_value())
            m_placements = detail::placementsOf(*facts.servers, m_withdrawnZones);
    }

    ConfigurationFindings check()
    {
        checkParts();
        checkTiers();
        checkZones();
        checkPools();
        checkRollouts();
        return m_findings.sorted();
    }

private:
    void checkParts()
    {
        if (m_configuration.routes.empty())
            m_findings.addError("no_routes", Part::Whole, 0,
                                "there are no routes, so no request is served");
        if (m_configuration.organisations.empty())
            m_findings.addError("no_organisations", Part::Whole, 0,
                                "there are no organisations, so no caller is known");
        const auto &zones = m_configuration.availabilityZones;
        const bool allWithdrawn = std::all_of(zones.begin(), zones.end(), [](const auto &it) {
            return it.state == AvailabilityZoneState::Withdrawn;
        });
        if (!zones.empty() && allWithdrawn)
            m_findings.addError("all_zones_withdrawn", Part::Whole, 0,
                                "all availability zones are withdrawn");
    }

    void checkTiers()
    {
        std::set<std::string> used;
        for (const OrganisationSettings &it : m_configuration.organisations)
            used.insert(it.tier);
        for (std::size_t i = 0; i < m_configuration.tiers.size(); ++i) {
            const TierSettings &tier = m_configuration.tiers[i];
            if (!used.contains(tier.name))
                m_findings.addWarning("tier_unused", Part::Tiers, i,
                                      "no organisation belongs to tier " + tier.name);
        }
    }

    void checkZones()
    {
        if (!m_facts.servers.has_value())
            return;
        std::set<std::string> zonesWithServers;
        for (const ListedServer &it : *m_facts.servers)
            zonesWithServers.insert(it.availabilityZone);
        for (std::size_t i = 0; i < m_configuration.availabilityZones.size(); ++i) {
            const std::string &zone = m_configuration.availabilityZones[i].name;
            if (zonesWithServers.erase(zone) == 0)
                m_findings.addWarning("zone_without_servers", Part::AvailabilityZones, i,
                                      "no server is listed in zone " + zone);
        }
        for (const std::string &it : zonesWithServers)
            m_findings.addWarning("zone_unknown", Part::Whole, 0,
                                  "servers are listed in zone " + it
                                          + ", which the configuration does not have");
    }

    void checkPools()
    {
        std::set<std::string> used;
        for (const RouteSettings &it : m_configuration.routes)
            used.insert(it.pools.begin(), it.pools.end());
        for (std::size_t i = 0; i < m_configuration.pools.size(); ++i) {
            const std::string &pool = m_configuration.pools[i].name;
            if (!used.contains(pool))
                m_findings.addWarning("pool_unused", Part::Pools, i, "no route uses pool " + pool);
            else
                checkPlacement(i, pool);
        }
    }

    void checkPlacement(std::size_t index, const std::string &pool)
    {
        if (!m_facts.servers.has_value())
            return;
        const detail::GroupPlacement placement = m_placements[pool];
        if (!placement.listed)
            m_findings.addWarning("pool_without_servers", Part::Pools, index,
                                  "no server of pool " + pool + " is listed");
        else if (!placement.usable)
            m_findings.addError("pool_withdrawn", Part::Pools, index,
                                "all servers of pool " + pool + " are in withdrawn zones");
    }

    void checkRollouts()
    {
        if (!m_facts.nowEpochSeconds.has_value())
            return;
        const std::int64_t needed =
                std::chrono::duration_cast<std::chrono::seconds>(minRolloutTime(RolloutPolicy {}))
                        .count();
        for (std::size_t i = 0; i < m_configuration.rollouts.size(); ++i) {
            const RolloutSettings &rollout = m_configuration.rollouts[i];
            const auto &inForce = m_facts.rolloutsInForce;
            if (std::find(inForce.begin(), inForce.end(), rollout.name) != inForce.end())
                continue; // it has started already, and may have ended
            const std::int64_t left = rollout.deadlineEpochSeconds - *m_facts.nowEpochSeconds;
            if (left <= 0)
                m_findings.addWarning("rollout_past_deadline", Part::Rollouts, i,
                                      "the deadline of rollout " + rollout.name + " has passed");
            else if (left < needed)
                m_findings.addError("rollout_longer_than_deadline", Part::Rollouts, i,
                                    "rollout " + rollout.name + " takes " + std::to_string(needed)
                                            + " s at least, but its deadline is in "
                                            + std::to_string(left) + " s");
        }
    }

    const Configuration &m_configuration;
    const DeploymentFacts &m_facts;
    std::set<std::string> m_withdrawnZones;
    std::map<std::string, detail::GroupPlacement> m_placements;
    detail::FindingList m_findings;
};

} // namespace

ConfigurationFindings checkConfiguration(const Configuration &configuration,
                                         const DeploymentFacts &facts)
{
    return ConfigurationChecker(configuration, facts).check();
}

} // namespace cornelshed
