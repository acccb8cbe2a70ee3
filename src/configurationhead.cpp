// JSON encoding of the head row, the digest, and keys of rows and objects.

#include "configurationhead.h"

#include <boost/json.hpp>
#include <xxhash.h>

#include <array>
#include <cstdio>

namespace cornelshed {

namespace json = boost::json;

std::string formatHead(const ConfigurationHead &head)
{
    return json::serialize(json::object {{"version", head.version},
                                         {"digest", head.digest},
                                         {"change_id", head.changeId},
                                         {"operator", head.operatorName}});
}

std::optional<ConfigurationHead> parseHead(const std::string &value)
{
    try {
        const json::value row = json::parse(value);
        return ConfigurationHead {row.at("version").to_number<std::uint64_t>(),
                                  std::string(row.at("digest").as_string()),
                                  std::string(row.at("change_id").as_string()),
                                  std::string(row.at("operator").as_string())};
    } catch (const std::exception &) {
        // Boost.JSON throws several types for missing members and for members of a wrong type.
        return std::nullopt;
    }
}

std::string configurationDigest(std::string_view text)
{
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    std::array<char, 33> buf {};
    std::snprintf(buf.data(), buf.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return buf.data();
}

std::string configurationObjectKey(const std::string &digest)
{
    return "configuration-" + digest;
}

std::string configurationChangeKey(const std::string &changeId)
{
    return "configuration/change/" + changeId;
}

} // namespace cornelshed
