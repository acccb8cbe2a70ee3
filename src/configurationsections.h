// Reading of the parts that the configuration's text and the operator's answers have in common,
// with the checks of names and of references between parts.

#ifndef CORNELSHED_CONFIGURATIONSECTIONS_H
#define CORNELSHED_CONFIGURATIONSECTIONS_H

#include "configuration.h"
#include "tomlreader.h"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cornelshed::detail {

constexpr std::size_t nameLengthLimit = 128;

// Names of one kind of thing, in the order of the file.
class NameSet
{
public:
    // what names the kind in problems, such as "tier".
    explicit NameSet(std::string what) : m_what(std::move(what)) { }

    // Records a name; a second use is reported against the section's key.
    void add(TomlSection &section, std::string_view key, const std::string &name);

    // Reports a name that was never recorded.
    void check(TomlSection &section, std::string_view key, const std::string &name) const;

private:
    std::string m_what;
    std::set<std::string> m_names;
};

// Letters, digits and "._-", starting with a letter or digit: names become parts of table keys and
// of metric labels.
std::string readName(TomlSection &section, std::string_view key);

// Models and versions may also contain "/" and ":".
std::string readVersion(TomlSection &section, std::string_view key);

// Array of names without repetitions.
std::vector<std::string> readNames(TomlSection &section, std::string_view key);

// Reads everything of a pool but its kind, which the two files say differently.
PoolSettings readPool(TomlSection &section, PoolKind kind);

// poolsKey and the deadline keys are those of the file read.
struct RouteKeys
{
    std::string_view path;
    std::string_view pools;
    std::string_view defaultDeadline;
    std::string_view maximumDeadline;
};
RouteSettings readRoute(TomlSection &section, const RouteKeys &keys, const NameSet &pools);

// Reads everything of a rollout but its deadline. routes are all routes of the file.
RolloutSettings readRollout(TomlSection &section, std::string_view routesKey, const NameSet &pools,
                            const std::vector<RouteSettings> &routes);

// Reports a rollout that competes with an earlier one for the same requests.
void checkOverlap(TomlSection &section, const RolloutSettings &rollout,
                  const std::vector<RolloutSettings> &earlier);

// Reports minimum shares that together leave nothing to the tiers' order.
void checkMinimumShares(TomlSection &root, const std::vector<TierSettings> &tiers);

} // namespace cornelshed::detail

#endif // CORNELSHED_CONFIGURATIONSECTIONS_H
