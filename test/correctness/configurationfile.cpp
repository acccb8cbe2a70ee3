// Guards against a configuration that changes when it is formatted and parsed again, and against
// invalid values and dangling references being accepted.

#include "configurationfile.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace cornelshed;

namespace {

// A valid configuration of random size with random values.
Configuration arbitraryConfiguration()
{
    const auto count = [](int minimum) { return *rc::gen::inRange(minimum, 6); };
    const auto share = [] { return *rc::gen::inRange(1, 1000) / 7000.0; };
    Configuration result;
    result.deployment = "d" + std::to_string(count(0));
    const auto tierCount = static_cast<TierRank>(count(1));
    for (TierRank n = 0; n < tierCount; ++n)
        result.tiers.push_back({"tier" + std::to_string(n), n * 2, share()});
    for (int n = count(0); n > 0; --n) {
        const auto tier = *rc::gen::inRange<std::size_t>(0, result.tiers.size());
        result.organisations.push_back(
                {"org" + std::to_string(n), result.tiers[tier].name, *rc::gen::inRange(1U, 1000U)});
    }
    for (int n = count(0); n > 0; --n)
        result.availabilityZones.push_back({"zone" + std::to_string(n), "region",
                                            *rc::gen::arbitrary<bool>()
                                                    ? AvailabilityZoneState::Serving
                                                    : AvailabilityZoneState::Withdrawn});
    for (int n = count(1); n > 0; --n) {
        const bool engine = *rc::gen::arbitrary<bool>();
        PoolSettings pool {"pool" + std::to_string(n),
                           engine ? PoolKind::Engine : PoolKind::Service,
                           "g",
                           {},
                           *rc::gen::arbitrary<bool>(),
                           *rc::gen::inRange(1U, 100000U)};
        if (engine)
            pool.models = {"vendor/model:7", "m"};
        result.pools.push_back(pool);
    }
    for (int n = count(1); n > 0; --n) {
        const auto deadline = *rc::gen::inRange(1U, 100000U);
        result.routes.push_back({"/r/" + std::to_string(n),
                                 {result.pools.front().name},
                                 *rc::gen::arbitrary<bool>(),
                                 deadline,
                                 deadline + 5});
    }
    for (int n = count(0); n > 0; --n) {
        const std::string version = std::to_string(n);
        result.rollouts.push_back({"rollout" + version,
                                   result.pools.front().name,
                                   "a" + version,
                                   "b" + version,
                                   {result.routes.front().path},
                                   *rc::gen::inRange<std::int64_t>(0, 4000000000),
                                   share()});
    }
    return result;
}

Configuration smallConfiguration()
{
    Configuration result;
    result.deployment = "small";
    result.tiers = {{"high", 0, 0.0}, {"low", 1, 0.1}};
    result.organisations = {{"caller", "high", 2}};
    result.availabilityZones = {{"a", "r", AvailabilityZoneState::Serving}};
    result.pools = {{"engines", PoolKind::Engine, "g1", {"m"}, false, 64}};
    result.routes = {{"/v1/completions", {"engines"}, true, 1000, 2000}};
    result.rollouts = {{"move", "engines", "1", "2", {}, 100, 0.05}};
    return result;
}

TomlProblems problemsAfterRoundTrip(const Configuration &configuration)
{
    const auto parsed = parseConfiguration(formatConfiguration(configuration), "x.toml");
    const auto *problems = std::get_if<TomlProblems>(&parsed);
    return problems == nullptr ? TomlProblems() : *problems;
}

template<typename Change> TomlProblems problemsAfterChange(Change change)
{
    Configuration configuration = smallConfiguration();
    change(configuration);
    return problemsAfterRoundTrip(configuration);
}

} // namespace

TEST_CASE("a formatted configuration parses to an equal one and formats to the same bytes")
{
    CHECK(rc::check("parse(format(x)) == x", [] {
        const Configuration configuration = arbitraryConfiguration();
        const std::string text = formatConfiguration(configuration);
        const auto parsed = parseConfiguration(text, "x.toml");
        if (const auto *problems = std::get_if<TomlProblems>(&parsed))
            RC_FAIL(problems->front().toString());
        RC_ASSERT(std::get<Configuration>(parsed) == configuration);
        RC_ASSERT(formatConfiguration(std::get<Configuration>(parsed)) == text);
    }));
}

TEST_CASE("an invalid value or a dangling reference is one problem at its key")
{
    CHECK(problemsAfterRoundTrip(smallConfiguration()).empty());
    const auto check = [](const TomlProblems &problems, const std::string &key) {
        CAPTURE(key);
        REQUIRE(problems.size() == 1);
        CHECK(problems.front().key == key);
        CHECK(problems.front().line > 0);
    };
    check(problemsAfterChange([](auto &it) { it.organisations[0].tier = "none"; }),
          "organisations[0].tier");
    check(problemsAfterChange([](auto &it) { it.tiers[1].rank = 0; }), "tiers[1].rank");
    check(problemsAfterChange([](auto &it) { it.tiers[1].minimumShare = 1; }), "tiers");
    check(problemsAfterChange([](auto &it) { it.routes[0].pools = {"none"}; }), "routes[0].pools");
    check(problemsAfterChange([](auto &it) { it.routes[0].maximumDeadlineMs = 999; }),
          "routes[0].maximum_deadline_ms");
    check(problemsAfterChange([](auto &it) { it.routes[0].path = "no-slash"; }), "routes[0].path");
    check(problemsAfterChange([](auto &it) { it.pools[0].models = {}; }), "pools[0].models");
    check(problemsAfterChange([](auto &it) { it.rollouts[0].pool = "none"; }), "rollouts[0].pool");
    check(problemsAfterChange([](auto &it) { it.rollouts[0].toVersion = "1"; }),
          "rollouts[0].to_version");
    check(problemsAfterChange([](auto &it) { it.rollouts[0].routes = {"/other"}; }),
          "rollouts[0].routes");
    check(problemsAfterChange([](auto &it) { it.rollouts[0].largestUnprovenShare = 1; }),
          "rollouts[0].largest_unproven_share");
    check(problemsAfterChange([](auto &it) {
              it.rollouts.push_back({"next", "engines", "1", "3", {}, 1, 0.1});
          }),
          "rollouts[1].from_version");
    check(problemsAfterChange(
                  [](auto &it) { it.availabilityZones.push_back(it.availabilityZones[0]); }),
          "availability_zones[1].name");
    check(problemsAfterChange([](auto &it) { it.deployment = "two\nlines \"quoted\""; }),
          "deployment");
}

TEST_CASE("a damaged text neither crashes the parser nor yields an invalid configuration")
{
    const std::string text = formatConfiguration(smallConfiguration());
    CHECK(rc::check("a damaged text is rejected or parses to a valid configuration", [&] {
        std::string damaged = text;
        const auto at = *rc::gen::inRange<std::size_t>(0, damaged.size());
        damaged[at] = *rc::gen::arbitrary<char>();
        const auto parsed = parseConfiguration(damaged, "x.toml");
        if (const auto *configuration = std::get_if<Configuration>(&parsed))
            RC_ASSERT(problemsAfterRoundTrip(*configuration).empty());
    }));
}
