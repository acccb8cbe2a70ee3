// Shared readers and checks for the configuration file and the answers file.

#include "configurationsections.h"

#include <algorithm>

namespace cornelshed::detail {

namespace {

constexpr std::uint32_t concurrencyUpperBound = 100000;
constexpr std::uint32_t deadlineUpperBoundMs = 3600U * 1000U;

bool isAlphanumeric(char it)
{
    return (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') || (it >= '0' && it <= '9');
}

bool isName(const std::string &text, std::string_view punctuation)
{
    if (text.empty() || text.size() > nameLengthLimit || !isAlphanumeric(text.front()))
        return false;
    return std::all_of(text.begin(), text.end(), [&](char it) {
        return isAlphanumeric(it) || punctuation.find(it) != std::string_view::npos;
    });
}

constexpr std::string_view namePunctuation = "._-";
constexpr std::string_view versionPunctuation = "._-:/";

std::string readCheckedName(TomlSection &section, std::string_view key,
                            std::string_view allowedPunctuation)
{
    std::string name = section.text(key);
    if (!name.empty() && !isName(name, allowedPunctuation)) {
        section.reject(key,
                       "letters, digits and " + std::string(allowedPunctuation)
                               + ", at most 128, the first a letter or digit");
    }
    return name;
}

std::vector<std::string> readCheckedNames(TomlSection &section, std::string_view key,
                                          std::string_view allowedPunctuation)
{
    std::vector<std::string> names = section.texts(key);
    std::set<std::string> seen;
    for (const std::string &it : names) {
        if (!isName(it, allowedPunctuation))
            section.reject(key, "names of letters, digits and " + std::string(allowedPunctuation));
        else if (!seen.insert(it).second)
            section.reject(key, "each name once, but " + it + " is listed twice");
    }
    return names;
}

bool isPath(const std::string &text)
{
    return !text.empty() && text.front() == '/' && text.size() <= nameLengthLimit
            && std::all_of(text.begin(), text.end(), [](char it) {
                   return it > ' ' && it < 0x7f && it != '?' && it != '#' && it != '"'
                           && it != '\\';
               });
}

bool isServedByPool(const RouteSettings &route, const std::string &pool)
{
    return std::find(route.pools.begin(), route.pools.end(), pool) != route.pools.end();
}

void checkRolloutRoutes(TomlSection &section, std::string_view key, const RolloutSettings &rollout,
                        const std::vector<RouteSettings> &routes)
{
    for (const std::string &it : rollout.routes) {
        const bool served = std::any_of(routes.begin(), routes.end(), [&](const auto &route) {
            return route.path == it && isServedByPool(route, rollout.pool);
        });
        if (!served)
            section.reject(key,
                           "paths of routes that the pool " + rollout.pool + " serves, not " + it);
    }
}

bool routesOverlap(const RolloutSettings &left, const RolloutSettings &right)
{
    if (left.routes.empty() || right.routes.empty())
        return true;
    return std::any_of(left.routes.begin(), left.routes.end(), [&](const std::string &it) {
        return std::find(right.routes.begin(), right.routes.end(), it) != right.routes.end();
    });
}

} // namespace

void NameSet::add(TomlSection &section, std::string_view key, const std::string &name)
{
    if (!name.empty() && !m_names.insert(name).second)
        section.reject(key, "a " + m_kind + " that is unique in the file");
}

void NameSet::check(TomlSection &section, std::string_view key, const std::string &name) const
{
    if (name.empty() || m_names.count(name) != 0)
        return;
    std::string allowed = "a known " + m_kind + ", not " + name;
    constexpr std::size_t maximumListedNames = 12;
    if (!m_names.empty() && m_names.size() <= maximumListedNames) {
        allowed += ":";
        for (const std::string &it : m_names)
            allowed += " " + it;
    }
    section.reject(key, allowed);
}

std::string readName(TomlSection &section, std::string_view key)
{
    return readCheckedName(section, key, namePunctuation);
}

std::string readVersion(TomlSection &section, std::string_view key)
{
    return readCheckedName(section, key, versionPunctuation);
}

std::vector<std::string> readNames(TomlSection &section, std::string_view key)
{
    return readCheckedNames(section, key, namePunctuation);
}

PoolSettings readPool(TomlSection &section, PoolKind kind)
{
    PoolSettings pool;
    pool.name = readName(section, "name");
    pool.kind = kind;
    pool.generation = section.text("generation", "");
    if (!pool.generation.empty() && !isName(pool.generation, namePunctuation))
        section.reject("generation", "letters, digits and ._-");
    if (kind == PoolKind::Engine || section.has("models"))
        pool.models = readCheckedNames(section, "models", versionPunctuation);
    if (kind == PoolKind::Engine && pool.models.empty())
        section.reject("models", "at least one model");
    if (kind == PoolKind::Service && !pool.models.empty())
        section.reject("models", "no models, as only engines serve models");
    pool.checksFencing = section.boolean("checks_fencing", false);
    pool.maximumConcurrency = static_cast<std::uint32_t>(section.integer(
            "maximum_concurrency_count", 1, concurrencyUpperBound, pool.maximumConcurrency));
    return pool;
}

RouteSettings readRoute(TomlSection &section, const RouteKeys &keys, const NameSet &pools)
{
    RouteSettings route;
    route.path = section.text(keys.path);
    if (!route.path.empty() && !isPath(route.path))
        section.reject(keys.path, "a path that starts with / and has no spaces, quotes, ? or #");
    route.pools = readNames(section, keys.pools);
    if (route.pools.empty())
        section.reject(keys.pools, "at least one pool");
    for (const std::string &it : route.pools)
        pools.check(section, keys.pools, it);
    // No default: a wrong guess would run non-idempotent requests, such as orders, twice.
    route.idempotent = section.boolean("idempotent");
    route.defaultDeadlineMs = static_cast<std::uint32_t>(section.integer(
            keys.defaultDeadline, 1, deadlineUpperBoundMs, route.defaultDeadlineMs));
    route.maximumDeadlineMs = static_cast<std::uint32_t>(section.integer(
            keys.maximumDeadline, 1, deadlineUpperBoundMs, route.maximumDeadlineMs));
    if (route.maximumDeadlineMs < route.defaultDeadlineMs)
        section.reject(keys.maximumDeadline,
                       "at least " + std::string(keys.defaultDeadline) + ", "
                               + std::to_string(route.defaultDeadlineMs));
    return route;
}

RolloutSettings readRollout(TomlSection &section, std::string_view routesKey, const NameSet &pools,
                            const std::vector<RouteSettings> &routes)
{
    RolloutSettings rollout;
    rollout.name = readName(section, "name");
    rollout.pool = section.text("pool");
    pools.check(section, "pool", rollout.pool);
    rollout.fromVersion = readVersion(section, "from_version");
    rollout.toVersion = readVersion(section, "to_version");
    if (!rollout.toVersion.empty() && rollout.fromVersion == rollout.toVersion)
        section.reject("to_version", "a version other than from_version");
    rollout.routes = section.texts(routesKey);
    checkRolloutRoutes(section, routesKey, rollout, routes);
    rollout.largestUnprovenShare =
            section.number("largest_unproven_share", 0, 1, rollout.largestUnprovenShare);
    if (rollout.largestUnprovenShare <= 0 || rollout.largestUnprovenShare >= 1)
        section.reject("largest_unproven_share", "more than 0 and less than 1");
    return rollout;
}

void checkRolloutOverlap(TomlSection &section, const RolloutSettings &rollout,
                         const std::vector<RolloutSettings> &earlier)
{
    for (const RolloutSettings &it : earlier) {
        if (it.pool == rollout.pool && it.fromVersion == rollout.fromVersion
            && routesOverlap(it, rollout))
            section.reject("from_version",
                           "only one rollout per pool, from_version and route, but rollout "
                                   + it.name + " covers the same");
    }
}

void checkMinimumShares(TomlSection &root, const std::vector<TierSettings> &tiers)
{
    double sum = 0;
    for (const TierSettings &it : tiers)
        sum += it.minimumShare;
    if (sum >= 1)
        root.reject("tiers", "minimum shares that sum to less than 1");
}

} // namespace cornelshed::detail
