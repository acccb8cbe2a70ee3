// Readers for the parts that the configuration file and the answers file share, with the checks of
// names and of references between parts.

#ifndef CORNELSHED_CONFIGURATIONSECTIONS_H
#define CORNELSHED_CONFIGURATIONSECTIONS_H

#include "configuration.h"
#include "tomlreader.h"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cornelshed::detail {

constexpr std::size_t nameLengthLimit = 128; // characters, for names, models, versions and paths

// Names of one kind of object, for checks of uniqueness and of references.
class NameSet
{
public:
    // kindName is used in problems, such as "tier".
    explicit NameSet(std::string kindName) : m_kind(std::move(kindName)) { }

    // Adds a name. A duplicate is reported as a problem of the section's key.
    void add(TomlSection &section, std::string_view key, const std::string &name);

    // Reports a reference to a name that was not added.
    void check(TomlSection &section, std::string_view key, const std::string &name) const;

private:
    std::string m_kind;
    std::set<std::string> m_names;
};

// Reads a name: letters, digits and "._-", the first a letter or digit. Names become parts of table
// keys and of metric labels.
std::string readName(TomlSection &section, std::string_view key);

// Reads a version. Models and versions may also contain "/" and ":".
std::string readVersion(TomlSection &section, std::string_view key);

// Reads an array of distinct names.
std::vector<std::string> readNames(TomlSection &section, std::string_view key);

// Reads all keys of a pool except its kind, which the two files express in different ways.
PoolSettings readPool(TomlSection &section, PoolKind kind);

// Keys of a route, which differ between the two files.
struct RouteKeys
{
    std::string_view path;
    std::string_view pools;
    std::string_view defaultDeadline;
    std::string_view maximumDeadline;
};
RouteSettings readRoute(TomlSection &section, const RouteKeys &keys, const NameSet &pools);

// Reads all keys of a rollout except its deadline. routes are all routes of the file.
RolloutSettings readRollout(TomlSection &section, std::string_view routesKey, const NameSet &pools,
                            const std::vector<RouteSettings> &routes);

// Reports a rollout that starts from the same version of the same pool as an earlier one and shares
// a route with it. A rollout without routes covers all routes of its pool.
void checkRolloutOverlap(TomlSection &section, const RolloutSettings &rollout,
                         const std::vector<RolloutSettings> &earlier);

// Reports minimum shares that sum to 1 or more, which would leave no grants to assign by tier rank.
void checkMinimumShares(TomlSection &root, const std::vector<TierSettings> &tiers);

} // namespace cornelshed::detail

#endif // CORNELSHED_CONFIGURATIONSECTIONS_H
