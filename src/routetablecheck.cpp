// Findings about the configuration of the gateways.

#include "configurationcheck.h"
#include "findinglist.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <set>
#include <utility>

namespace cornelshed {

namespace {

using Part = ConfigurationPart;

std::string formatMs(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count())
            + " ms";
}

std::string formatNumber(double value)
{
    std::array<char, 32> buf {};
    std::snprintf(buf.data(), buf.size(), "%.6g", value);
    return buf.data();
}

const char *unitOf(const Organisation &organisation)
{
    return organisation.countsRequests ? "requests" : "tokens";
}

class RouteTableChecker
{
public:
    RouteTableChecker(const RouteTableContent &content, const DeploymentFacts &facts)
        : m_content(content), m_facts(facts),
          m_withdrawnZones(facts.withdrawnZones.begin(), facts.withdrawnZones.end())
    {
        if (facts.servers.has_value())
            m_placements = detail::placementsOf(*facts.servers, m_withdrawnZones);
    }

    ConfigurationFindings check()
    {
        checkParts();
        for (std::size_t i = 0; i < m_content.routes.size(); ++i) {
            checkMatching(i, m_content.routes[i]);
            checkTimes(i, m_content.routes[i]);
            checkRepetition(i, m_content.routes[i]);
            checkSplit(i, m_content.routes[i]);
        }
        checkServices();
        for (std::size_t i = 0; i < m_content.organisations.size(); ++i) {
            checkKeys(i, m_content.organisations[i]);
            checkAllowance(i, m_content.organisations[i]);
        }
        checkLimits();
        checkZones();
        return m_findings.sorted();
    }

private:
    void checkParts()
    {
        if (m_content.routes.empty())
            m_findings.addError("no_routes", Part::Whole, 0,
                                "there are no routes, so no request is served");
        const bool anyExempt =
                std::any_of(m_content.routes.begin(), m_content.routes.end(),
                            [](const DirectRoute &it) { return it.authenticationExempt; });
        const bool allExempt =
                std::all_of(m_content.routes.begin(), m_content.routes.end(),
                            [](const DirectRoute &it) { return it.authenticationExempt; });
        m_keysAreChecked = m_content.routes.empty() || !allExempt;
        if (m_content.organisations.empty() && anyExempt && !allExempt)
            m_findings.addWarning("keys_not_checked", Part::Whole, 0,
                                  "some routes are exempt from keys, but without organisations no "
                                  "route asks for one");
    }

    void checkMatching(std::size_t index, const DirectRoute &route)
    {
        if (!route.prefix.starts_with('/') || route.prefix.find('?') != std::string::npos) {
            m_findings.addError("route_unmatchable", Part::Routes, index,
                                "no path begins with the prefix of route " + route.name
                                        + ", as a path begins with / and ends before ?");
            return;
        }
        if (!route.prefix.ends_with('/'))
            m_findings.addWarning("route_prefix_open", Part::Routes, index,
                                  "the prefix " + route.prefix + " of route " + route.name
                                          + " does not end with /, so that it also matches "
                                          + route.prefix + "x");
        const auto [winner, isFirst] =
                m_routeByPlace.emplace(std::pair(normalisedHost(route.host), route.prefix), index);
        if (!isFirst)
            m_findings.addError("route_shadowed", Part::Routes, index,
                                "route " + route.name + " never matches: route "
                                        + m_content.routes[winner->second].name
                                        + " has the same host and prefix and comes first");
    }

    void checkTimes(std::size_t index, const DirectRoute &route)
    {
        if (route.objective <= Duration::zero())
            m_findings.addError("objective_zero", Part::Routes, index,
                                "the objective of route " + route.name
                                        + " is 0, which no answer meets");
        if (route.timeout > Duration::zero() && route.timeout < route.objective)
            m_findings.addError("timeout_below_objective", Part::Routes, index,
                                "the timeout of route " + route.name + ", "
                                        + formatMs(route.timeout) + ", is below its objective, "
                                        + formatMs(route.objective));
        if (route.timeout > Duration::zero() && route.timeout < route.gapObjective)
            m_findings.addError("timeout_below_gap_objective", Part::Routes, index,
                                "the timeout of route " + route.name + ", "
                                        + formatMs(route.timeout)
                                        + ", is below its objective between events, "
                                        + formatMs(route.gapObjective));
        if (route.gapObjective > Duration::zero() && route.kind != RequestKind::Stream)
            m_findings.addWarning("gap_objective_unused", Part::Routes, index,
                                  "route " + route.name
                                          + " has an objective between events, but is no stream");
    }

    void checkRepetition(std::size_t index, const DirectRoute &route)
    {
        if (route.attemptLimit == 0)
            m_findings.addWarning("attempts_zero", Part::Routes, index,
                                  "route " + route.name + " allows no attempts; it gets one");
        if (route.attemptLimit > 1 && !route.retryable())
            m_findings.addWarning("attempts_unused", Part::Routes, index,
                                  "route " + route.name + " allows "
                                          + std::to_string(route.attemptLimit)
                                          + " attempts, but its requests must not run twice");
        if (route.resumable && route.kind != RequestKind::Stream)
            m_findings.addWarning("resumable_unused", Part::Routes, index,
                                  "route " + route.name + " is resumable, but is no stream");
        // Each attempt is given up no earlier than at its objective.
        if (route.timeout > Duration::zero() && route.retryable() && route.attemptLimit > 1
            && route.timeout >= route.objective
            && static_cast<double>(route.objective.count()) * route.attemptLimit
                    > static_cast<double>(route.timeout.count()))
            m_findings.addWarning("attempts_beyond_timeout", Part::Routes, index,
                                  "route " + route.name + " allows "
                                          + std::to_string(route.attemptLimit) + " attempts of "
                                          + formatMs(route.objective)
                                          + ", but all of them have to end within its timeout, "
                                          + formatMs(route.timeout));
    }

    void checkSplit(std::size_t index, const DirectRoute &route)
    {
        const bool anyWeight = std::any_of(route.services.begin(), route.services.end(),
                                           [](const auto &it) { return it.weight > 0; });
        if (!anyWeight)
            m_findings.addWarning("weights_zero", Part::Routes, index,
                                  "all weights of route " + route.name
                                          + " are 0; all its requests go to service "
                                          + route.services.front().service);
        for (const WeightedService &it : route.services) {
            if (anyWeight && it.weight == 0)
                m_findings.addWarning("weight_zero", Part::Routes, index,
                                      "service " + it.service + " of route " + route.name
                                              + " has the weight 0 and gets no requests");
            else
                checkPlacement(index, route, it.service);
        }
    }

    void checkPlacement(std::size_t index, const DirectRoute &route, const std::string &service)
    {
        if (!m_facts.servers.has_value())
            return;
        const auto it = m_placements.find(service);
        if (it == m_placements.end())
            m_findings.addWarning("service_without_servers", Part::Routes, index,
                                  "no server is listed for service " + service + " of route "
                                          + route.name);
        else if (!it->second.usable)
            m_findings.addError("service_withdrawn", Part::Routes, index,
                                "all servers of service " + service + " of route " + route.name
                                        + " are in withdrawn zones");
    }

    void checkServices()
    {
        std::set<std::string> used;
        for (const DirectRoute &route : m_content.routes) {
            for (const WeightedService &it : route.services)
                used.insert(it.service);
        }
        std::set<std::string> seen;
        for (std::size_t i = 0; i < m_content.services.size(); ++i) {
            const std::string &name = m_content.services[i].name;
            if (!seen.insert(name).second)
                m_findings.addError("service_duplicate", Part::Services, i,
                                    "service " + name + " is defined twice");
            else if (!used.contains(name))
                m_findings.addWarning("service_unused", Part::Services, i,
                                      "no route uses service " + name);
        }
        if (seen.empty())
            return;
        for (std::size_t i = 0; i < m_content.routes.size(); ++i) {
            for (const WeightedService &it : m_content.routes[i].services) {
                if (!seen.contains(it.service))
                    m_findings.addWarning("service_undefined", Part::Routes, i,
                                          "service " + it.service + " of route "
                                                  + m_content.routes[i].name + " is not defined");
            }
        }
    }

    void checkKeys(std::size_t index, const Organisation &organisation)
    {
        const std::string &name = organisation.name;
        if (!m_organisationNames.insert(name).second)
            m_findings.addError("organisation_duplicate", Part::Organisations, index,
                                "organisation " + name + " is defined twice");
        if (organisation.keys.empty())
            m_findings.addWarning("organisation_without_keys", Part::Organisations, index,
                                  "organisation " + name + " has no keys and cannot call");
        else if (!m_keysAreChecked)
            m_findings.addWarning("organisation_unused", Part::Organisations, index,
                                  "all routes are exempt from keys, so no request counts as one "
                                  "of organisation "
                                          + name);
        for (std::size_t i = 0; i < organisation.keys.size(); ++i) {
            const std::string key = "key " + std::to_string(i + 1) + " of organisation " + name;
            if (organisation.keys[i].empty())
                m_findings.addError("key_empty", Part::Organisations, index,
                                    key + " is empty: requests without a key are admitted");
            const auto [owner, isFirst] = m_ownerOfKey.emplace(organisation.keys[i], index);
            if (!isFirst)
                m_findings.addError("key_shadowed", Part::Organisations, index,
                                    key + " never matches: organisation "
                                            + m_content.organisations[owner->second].name
                                            + " has the same key and comes first");
        }
    }

    void checkAllowance(std::size_t index, const Organisation &organisation)
    {
        const std::string start = "the allowance of organisation " + organisation.name;
        if (organisation.tokensPerSecond == 0) {
            if (organisation.burstTokens > 0)
                m_findings.addWarning("burst_unused", Part::Organisations, index,
                                      start + " has a burst, but no rate, so it has no limit");
            return;
        }
        const double request = organisation.countsRequests
                ? 1
                : static_cast<double>(organisation.defaultRequestTokens);
        // Such a request is admitted, but only when nothing of the burst is used.
        if (organisation.burstTokens < request)
            m_findings.addWarning("burst_below_request", Part::Organisations, index,
                                  start + " has a burst of "
                                          + formatNumber(organisation.burstTokens) + " "
                                          + unitOf(organisation) + ", less than one request takes, "
                                          + formatNumber(request));
        if (!organisation.countsRequests && organisation.defaultRequestTokens == 0)
            m_findings.addWarning("request_tokens_zero", Part::Organisations, index,
                                  start
                                          + " counts tokens, but requests that state none cost "
                                            "nothing");
        checkCapacity(index, organisation, start);
    }

    void checkCapacity(std::size_t index, const Organisation &organisation,
                       const std::string &start)
    {
        const auto perServer = organisation.countsRequests ? m_facts.requestsPerServerSecond
                                                           : m_facts.tokensPerServerSecond;
        if (!perServer.has_value() || !m_facts.servers.has_value())
            return;
        const auto servers = std::count_if(
                m_facts.servers->begin(), m_facts.servers->end(), [&](const ListedServer &it) {
                    return !it.leaving && !m_withdrawnZones.contains(it.availabilityZone);
                });
        const double capacity = *perServer * static_cast<double>(servers);
        if (organisation.tokensPerSecond > capacity)
            m_findings.addWarning("allowance_above_capacity", Part::Organisations, index,
                                  start + ", " + formatNumber(organisation.tokensPerSecond) + " "
                                          + unitOf(organisation) + " a second, is above what all "
                                          + std::to_string(servers) + " servers together carry, "
                                          + formatNumber(capacity));
    }

    void checkLimits()
    {
        const CallerLimits &limits = m_content.limits;
        if (limits.headerBytes == 0 || limits.bodyBytes == 0)
            m_findings.addError("limit_zero", Part::Limits, 0,
                                "a limit of 0 bytes refuses every request with a header or body");
        if (limits.headerTimeout <= Duration::zero() || limits.idleTimeout <= Duration::zero())
            m_findings.addError("limit_timeout_zero", Part::Limits, 0,
                                "a time of 0 ms closes each connection of a caller at once");
        else if (limits.idleTimeout < limits.headerTimeout)
            m_findings.addWarning("limit_idle_below_header", Part::Limits, 0,
                                  "connections are closed after " + formatMs(limits.idleTimeout)
                                          + " without data, before the "
                                          + formatMs(limits.headerTimeout)
                                          + " for a request head have passed");
    }

    void checkZones()
    {
        if (!m_facts.servers.has_value())
            return;
        std::set<std::string> zones;
        for (const ListedServer &it : *m_facts.servers)
            zones.insert(it.availabilityZone);
        for (const std::string &it : m_withdrawnZones) {
            if (!zones.contains(it))
                m_findings.addWarning("zone_without_servers", Part::Whole, 0,
                                      "zone " + it
                                              + " is withdrawn, but no server is listed there");
        }
    }

    const RouteTableContent &m_content;
    const DeploymentFacts &m_facts;
    std::set<std::string> m_withdrawnZones;
    std::map<std::string, detail::GroupPlacement> m_placements;
    bool m_keysAreChecked = true; // by at least one route
    std::map<std::pair<std::string, std::string>, std::size_t> m_routeByPlace; // host and prefix
    std::set<std::string> m_organisationNames;
    std::map<std::string, std::size_t> m_ownerOfKey;
    detail::FindingList m_findings;
};

} // namespace

ConfigurationFindings checkRouteTable(const RouteTableContent &content,
                                      const DeploymentFacts &facts)
{
    return RouteTableChecker(content, facts).check();
}

} // namespace cornelshed
