// One case for each finding of the configuration check, each a change to a configuration without
// findings. Guards against a check that misses a mistake, and against one that reports a sound
// configuration, which operators would learn to ignore.

#include "configurationcheck.h"
#include "configurationdiff.h"
#include "configurationfile.h"
#include "platformconfigurations.h"
#include "rollout.h"
#include "routetabletext.h"

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

using namespace cornelshed;
using namespace std::chrono_literals;

namespace {

using Part = ConfigurationPart;

constexpr std::int64_t nowSeconds = 1700000000;

struct Found
{
    FindingSeverity severity;
    std::string rule;
    Part part;
    std::size_t index;

    bool operator==(const Found &) const = default;
};

std::vector<Found> summary(const ConfigurationFindings &findings)
{
    std::vector<Found> result;
    for (const ConfigurationFinding &it : findings) {
        CHECK_FALSE(it.text.empty());
        result.push_back({it.severity, it.rule, it.part, it.index});
    }
    return result;
}

Found error(const char *rule, Part part = Part::Whole, std::size_t index = 0)
{
    return {FindingSeverity::Error, rule, part, index};
}

Found warning(const char *rule, Part part = Part::Whole, std::size_t index = 0)
{
    return {FindingSeverity::Warning, rule, part, index};
}

// --- the configuration of entry daemons ---

Configuration soundConfiguration()
{
    Configuration result;
    result.deployment = "small";
    result.tiers = {{"high", 0, 0.0}, {"low", 1, 0.1}};
    result.organisations = {{"caller", "high", 2}, {"other", "low", 1}};
    result.availabilityZones = {{"a", "r", AvailabilityZoneState::Serving},
                                {"b", "r", AvailabilityZoneState::Withdrawn}};
    result.pools = {{"engines", PoolKind::Engine, "g1", {"m"}, false, 64},
                    {"forms", PoolKind::Service, "g1", {}, true, 64}};
    result.routes = {{"/v1/completions", {"engines"}, true, 1000, 2000},
                     {"/v1/forms", {"forms"}, false, 1000, 2000}};
    result.rollouts = {{"move", "engines", "1", "2", {}, nowSeconds + 600, 0.05}};
    return result;
}

DeploymentFacts soundFacts()
{
    DeploymentFacts facts;
    facts.servers = {{"engines", "a", false}, {"forms", "a", false}, {"engines", "b", false}};
    facts.nowEpochSeconds = nowSeconds;
    return facts;
}

std::vector<Found>
afterChange(const std::function<void(Configuration &, DeploymentFacts &)> &change)
{
    Configuration configuration = soundConfiguration();
    DeploymentFacts facts = soundFacts();
    change(configuration, facts);
    return summary(checkConfiguration(configuration, facts));
}

// --- the configuration of gateways ---

DirectRoute route(const std::string &name, RequestKind kind, const std::string &service)
{
    DirectRoute result;
    result.name = name;
    result.host = "h.example";
    result.prefix = "/" + name + "/";
    result.kind = kind;
    result.timeout = 3000ms;
    result.objective = 600ms;
    result.services = {{service, 1}};
    return result;
}

RouteTableContent soundContent()
{
    RouteTableContent content;
    content.version = 7;
    content.routes = {route("chat", RequestKind::Stream, "writer"),
                      route("stock", RequestKind::Idempotent, "reader"),
                      route("order", RequestKind::NonIdempotent, "reader"),
                      route("wide", RequestKind::Idempotent, "reader")};
    content.routes[0].resumable = true;
    content.routes[0].attemptLimit = 2;
    content.routes[0].gapObjective = 250ms;
    content.routes[1].attemptLimit = 2;
    content.routes[3].prefix = "/"; // wider than all others, which are longer and win
    content.services = {{"writer", 11, ServiceScale {1, 4, 5s}}, {"reader", 0, std::nullopt}};
    Organisation tokens;
    tokens.name = "shop";
    tokens.keys = {"secret-1", "secret-2"};
    tokens.tokensPerSecond = 1000;
    tokens.burstTokens = 2000;
    tokens.defaultRequestTokens = 200;
    Organisation requests;
    requests.name = "office";
    requests.keys = {"secret-3"};
    requests.countsRequests = true;
    requests.tokensPerSecond = 10;
    requests.burstTokens = 20;
    content.organisations = {tokens, requests};
    return content;
}

DeploymentFacts soundGatewayFacts()
{
    DeploymentFacts facts;
    facts.servers = {{"writer", "a", false}, {"reader", "a", false}, {"reader", "b", false}};
    facts.withdrawnZones = {"b"};
    facts.requestsPerServerSecond = 50;
    facts.tokensPerServerSecond = 5000;
    return facts;
}

std::vector<Found>
afterGatewayChange(const std::function<void(RouteTableContent &, DeploymentFacts &)> &change)
{
    RouteTableContent content = soundContent();
    DeploymentFacts facts = soundGatewayFacts();
    change(content, facts);
    const auto findings = checkRouteTable(content, facts);
    for (const ConfigurationFinding &it : findings)
        CHECK(it.text.find("secret") == std::string::npos); // keys are not shown
    return summary(findings);
}

using Findings = std::vector<Found>;

} // namespace

TEST_CASE("a sound configuration has no findings, with and without facts")
{
    CHECK(afterChange([](auto &, auto &) {}).empty());
    CHECK(checkConfiguration(soundConfiguration(), {}).empty());
    CHECK(afterGatewayChange([](auto &, auto &) {}).empty());
    CHECK(checkRouteTable(soundContent(), {}).empty());
}

TEST_CASE("entries of the configuration that nothing uses")
{
    CHECK(afterChange([](auto &it, auto &) {
              it.tiers.push_back({"idle", 2, 0.0});
          })
          == Findings {warning("tier_unused", Part::Tiers, 2)});
    CHECK(afterChange([](auto &it, auto &) {
              it.pools.push_back({"spare", PoolKind::Service, "g1", {}, false, 64});
          })
          == Findings {warning("pool_unused", Part::Pools, 2)});
    CHECK(afterChange([](auto &it, auto &facts) {
              it.routes.clear();
              it.rollouts.clear();
          })
          == Findings {error("no_routes"), warning("pool_unused", Part::Pools, 0),
                       warning("pool_unused", Part::Pools, 1)});
    CHECK(afterChange([](auto &it, auto &) { it.organisations.clear(); })
          == Findings {error("no_organisations"), warning("tier_unused", Part::Tiers, 0),
                       warning("tier_unused", Part::Tiers, 1)});
}

TEST_CASE("zones and pools without servers")
{
    CHECK(afterChange([](auto &, auto &facts) { facts.servers->pop_back(); })
          == Findings {warning("zone_without_servers", Part::AvailabilityZones, 1)});
    CHECK(afterChange([](auto &, auto &facts) {
              facts.servers->push_back({"forms", "c", false});
          })
          == Findings {warning("zone_unknown")});
    CHECK(afterChange([](auto &, auto &facts) { (*facts.servers)[1].leaving = true; })
          == Findings {warning("pool_without_servers", Part::Pools, 1)});
    CHECK(afterChange([](auto &, auto &facts) { (*facts.servers)[1].availabilityZone = "b"; })
          == Findings {error("pool_withdrawn", Part::Pools, 1)});
    CHECK(afterChange([](auto &it, auto &facts) {
              facts.servers.reset();
              it.availabilityZones[0].state = AvailabilityZoneState::Withdrawn;
          })
          == Findings {error("all_zones_withdrawn")});
}

TEST_CASE("rollouts that cannot end before their deadline")
{
    const auto needed =
            std::chrono::duration_cast<std::chrono::seconds>(minRolloutTime({})).count();
    CHECK(needed == 75);
    const auto withTimeLeft = [](std::int64_t left) {
        return afterChange([left](auto &it, auto &) {
            it.rollouts[0].deadlineEpochSeconds = nowSeconds + left;
        });
    };
    CHECK(withTimeLeft(needed).empty());
    CHECK(withTimeLeft(needed - 1)
          == Findings {error("rollout_longer_than_deadline", Part::Rollouts, 0)});
    CHECK(withTimeLeft(0) == Findings {warning("rollout_past_deadline", Part::Rollouts, 0)});
    // One that is in force has started already.
    CHECK(afterChange([](auto &it, auto &facts) {
              it.rollouts[0].deadlineEpochSeconds = nowSeconds - 1;
              facts.rolloutsInForce = {"move"};
          }).empty());
}

TEST_CASE("routes of gateways that can never match")
{
    CHECK(afterGatewayChange([](auto &it, auto &) { it.routes[2].prefix = "/stock/"; })
          == Findings {error("route_shadowed", Part::Routes, 2)});
    CHECK(afterGatewayChange([](auto &it, auto &) {
              it.routes[2].prefix = "/stock/";
              it.routes[2].host = "H.Example:8443"; // the same host
          })
          == Findings {error("route_shadowed", Part::Routes, 2)});
    CHECK(afterGatewayChange([](auto &it, auto &) {
              it.routes[2].prefix = "/stock/";
              it.routes[2].host = "other.example";
          }).empty());
    CHECK(afterGatewayChange([](auto &it, auto &) { it.routes[2].prefix = "order/"; })
          == Findings {error("route_unmatchable", Part::Routes, 2)});
    CHECK(afterGatewayChange([](auto &it, auto &) { it.routes[2].prefix = "/order?x/"; })
          == Findings {error("route_unmatchable", Part::Routes, 2)});
    CHECK(afterGatewayChange([](auto &it, auto &) { it.routes[2].prefix = "/order"; })
          == Findings {warning("route_prefix_open", Part::Routes, 2)});
    CHECK(afterGatewayChange([](auto &it, auto &) {
              it.routes.clear();
              it.services.clear();
          })
          == Findings {error("no_routes")});
}

TEST_CASE("what the check calls shadowed is what the gateways' table never returns")
{
    RouteTableContent content = soundContent();
    content.routes[2].prefix = "/stock/";
    const RouteTable table(content);
    for (std::size_t i = 0; i < content.routes.size(); ++i) {
        const DirectRoute &it = content.routes[i];
        const DirectRoute *found = table.find(it.host, it.prefix + "x");
        REQUIRE(found != nullptr);
        CHECK((found->name == it.name) == (i != 2));
    }
}

TEST_CASE("times of routes that contradict each other")
{
    const auto changed = [](const std::function<void(DirectRoute &)> &change) {
        return afterGatewayChange([&](auto &it, auto &) { change(it.routes[0]); });
    };
    CHECK(changed([](auto &it) { it.timeout = 500ms; })
          == Findings {error("timeout_below_objective", Part::Routes, 0)});
    CHECK(changed([](auto &it) { it.timeout = 0ms; }).empty()); // none of its own
    CHECK(changed([](auto &it) { it.gapObjective = 4000ms; })
          == Findings {error("timeout_below_gap_objective", Part::Routes, 0)});
    CHECK(changed([](auto &it) { it.objective = 0ms; })
          == Findings {error("objective_zero", Part::Routes, 0)});
    CHECK(changed([](auto &it) { it.attemptLimit = 6; })
          == Findings {warning("attempts_beyond_timeout", Part::Routes, 0)});
    CHECK(changed([](auto &it) { it.attemptLimit = 5; }).empty());
    CHECK(changed([](auto &it) { it.attemptLimit = 0; })
          == Findings {warning("attempts_zero", Part::Routes, 0)});
    CHECK(changed([](auto &it) { it.resumable = false; })
          == Findings {warning("attempts_unused", Part::Routes, 0)});
    CHECK(changed([](auto &it) { it.kind = RequestKind::Idempotent; })
          == Findings {warning("gap_objective_unused", Part::Routes, 0),
                       warning("resumable_unused", Part::Routes, 0)});
}

TEST_CASE("services of gateways: unused, undefined, without servers or without a weight")
{
    CHECK(afterGatewayChange([](auto &it, auto &) {
              it.services.push_back({"spare", 0, {}});
          })
          == Findings {warning("service_unused", Part::Services, 2)});
    CHECK(afterGatewayChange([](auto &it, auto &) {
              it.services.push_back({"reader", 3, {}});
          })
          == Findings {error("service_duplicate", Part::Services, 2)});
    CHECK(afterGatewayChange([](auto &it, auto &) { it.services.erase(it.services.begin()); })
          == Findings {warning("service_undefined", Part::Routes, 0)});
    CHECK(afterGatewayChange([](auto &it, auto &) { it.services.clear(); }).empty());
    CHECK(afterGatewayChange(
                  [](auto &, auto &facts) { facts.servers->erase(facts.servers->begin()); })
          == Findings {warning("service_without_servers", Part::Routes, 0)});
    CHECK(afterGatewayChange(
                  [](auto &, auto &facts) { (*facts.servers)[0].availabilityZone = "b"; })
          == Findings {error("service_withdrawn", Part::Routes, 0)});
    CHECK(afterGatewayChange([](auto &, auto &facts) {
              facts.withdrawnZones = {"b", "c"};
          })
          == Findings {warning("zone_without_servers")});
    CHECK(afterGatewayChange([](auto &it, auto &) {
              it.routes[0].services = {{"writer", 1}, {"reader", 0}};
          })
          == Findings {warning("weight_zero", Part::Routes, 0)});
    CHECK(afterGatewayChange([](auto &it, auto &) {
              it.routes[0].services = {{"writer", 0}};
          })
          == Findings {warning("weights_zero", Part::Routes, 0)});
}

TEST_CASE("organisations and keys that no route admits")
{
    CHECK(afterGatewayChange([](auto &it, auto &) { it.organisations[1].keys = {"secret-2"}; })
          == Findings {error("key_shadowed", Part::Organisations, 1)});
    CHECK(afterGatewayChange([](auto &it, auto &) { it.organisations[1].keys = {""}; })
          == Findings {error("key_empty", Part::Organisations, 1)});
    CHECK(afterGatewayChange([](auto &it, auto &) { it.organisations[1].keys.clear(); })
          == Findings {warning("organisation_without_keys", Part::Organisations, 1)});
    CHECK(afterGatewayChange([](auto &it, auto &) { it.organisations[1].name = "shop"; })
          == Findings {error("organisation_duplicate", Part::Organisations, 1)});
    CHECK(afterGatewayChange([](auto &it, auto &) {
              for (DirectRoute &route : it.routes)
                  route.authenticationExempt = true;
          })
          == Findings {warning("organisation_unused", Part::Organisations, 0),
                       warning("organisation_unused", Part::Organisations, 1)});
    CHECK(afterGatewayChange([](auto &it, auto &) {
              it.routes[0].authenticationExempt = true;
              it.organisations.clear();
          })
          == Findings {warning("keys_not_checked")});
}

TEST_CASE("allowances that contradict themselves or the servers")
{
    const auto changed = [](std::size_t index, const std::function<void(Organisation &)> &change) {
        return afterGatewayChange([&](auto &it, auto &) { change(it.organisations[index]); });
    };
    CHECK(changed(0, [](auto &it) { it.burstTokens = 199; })
          == Findings {warning("burst_below_request", Part::Organisations, 0)});
    CHECK(changed(1, [](auto &it) { it.burstTokens = 0.5; })
          == Findings {warning("burst_below_request", Part::Organisations, 1)});
    CHECK(changed(0, [](auto &it) { it.tokensPerSecond = 0; })
          == Findings {warning("burst_unused", Part::Organisations, 0)});
    CHECK(changed(0, [](auto &it) { it.defaultRequestTokens = 0; })
          == Findings {warning("request_tokens_zero", Part::Organisations, 0)});
    // Two servers are in a zone that is not withdrawn.
    CHECK(changed(0, [](auto &it) { it.tokensPerSecond = 10000; }).empty());
    CHECK(changed(0, [](auto &it) { it.tokensPerSecond = 10001; })
          == Findings {warning("allowance_above_capacity", Part::Organisations, 0)});
    CHECK(changed(1, [](auto &it) { it.tokensPerSecond = 101; })
          == Findings {warning("allowance_above_capacity", Part::Organisations, 1)});
}

TEST_CASE("limits of callers")
{
    const auto changed = [](const std::function<void(CallerLimits &)> &change) {
        return afterGatewayChange([&](auto &it, auto &) { change(it.limits); });
    };
    CHECK(changed([](auto &it) { it.headerBytes = 0; })
          == Findings {error("limit_zero", Part::Limits)});
    CHECK(changed([](auto &it) { it.idleTimeout = 0ms; })
          == Findings {error("limit_timeout_zero", Part::Limits)});
    CHECK(changed([](auto &it) { it.idleTimeout = 2s; })
          == Findings {warning("limit_idle_below_header", Part::Limits)});
}

TEST_CASE("differences are told in words, and keys are not shown")
{
    RouteTableContent after = soundContent();
    after.routes[0].timeout = 2500ms;
    after.services[1].scale = ServiceScale {2, 6, 5s};
    after.organisations[0].keys[1] = "secret-9";
    after.organisations.pop_back();
    after.routes.push_back(route("new", RequestKind::Stream, "writer"));
    const std::string before = formatRouteTable(soundContent());
    CHECK(before.find("secret") == std::string::npos);
    const auto sentences = describeDifferences(diffConfigurations(before, formatRouteTable(after)));
    REQUIRE(sentences.size() == 5);
    CHECK(sentences[0] == "organisation office is removed");
    CHECK(sentences[1].starts_with("organisation shop: keys (digests) changes from ["));
    CHECK(sentences[2] == "route chat: timeout changes from 3000 ms to 2500 ms");
    CHECK(sentences[3] == "route new is new");
    CHECK(sentences[4]
          == "service reader: scale changes from none to 2 to 6 servers, boot 5000 ms");
    CHECK(diffConfigurations(before, before).empty());

    Configuration changed = soundConfiguration();
    changed.pools[0].checksFencing = true;
    CHECK(describeDifferences(diffConfigurations(formatConfiguration(soundConfiguration()),
                                                 formatConfiguration(changed)))
          == std::vector<std::string> {"pool engines: checks fencing changes from false to true"});
}

TEST_CASE("a gateways' text is decoded entry by entry, with the path of each problem")
{
    const PlatformConfigurations gateways;
    const auto decoded = gateways.decode(
            R"({"version":1,"routes":[7,{"name":"r","host":"h","prefix":"/","kind":"odd",)"
            R"("service":"w"},{"name":"r2","host":"h","prefix":"/a/","kind":"streaming",)"
            R"("service":"w","timeout_ms":"3"}],"services":[{"name":"w","scale":{"min":2}}],)"
            R"("tenants":[{"name":"t","api_keys":["a",2]}],"limits":{"max_header_bytes":1}})");
    CHECK_FALSE(decoded.content.has_value());
    std::vector<std::string> paths;
    for (const DecodingProblem &it : decoded.problems)
        paths.push_back(it.path);
    CHECK(paths
          == std::vector<std::string> {"routes[0]", "routes[1].kind", "routes[2].timeout_ms",
                                       "services[0].scale", "tenants[0].api_keys",
                                       "limits.max_body_bytes"});
    CHECK(gateways.decode("[]").problems.size() == 1);
    const auto sound = gateways.decode(R"({"version":1})");
    CHECK(sound.content.has_value());
    CHECK(sound.problems.empty());
}
