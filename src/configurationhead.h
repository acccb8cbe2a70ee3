// The row that names the accepted configuration. The text itself is in the object store under its
// digest, so the row stays small and a text never changes under its name.

#ifndef CORNELSHED_CONFIGURATIONHEAD_H
#define CORNELSHED_CONFIGURATIONHEAD_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cornelshed {

constexpr const char *configurationHeadKey = "configuration/head";

struct ConfigurationHead
{
    std::uint64_t version = 0;
    std::string digest;   // of the text
    std::string changeId; // chosen by the accepting command, unique for each attempt
    std::string operatorName;

    bool operator==(const ConfigurationHead &) const = default;
};

std::string formatHead(const ConfigurationHead &head);
std::optional<ConfigurationHead> parseHead(const std::string &value);

// 128-bit hash of a configuration's text, as 32 hexadecimal digits.
std::string configurationDigest(std::string_view text);

// Object that holds the text with the digest.
std::string configurationObjectKey(const std::string &digest);

// Row written together with the head. It outlives the head's next change, so that a lost answer can
// be settled after another operator's change.
std::string configurationChangeKey(const std::string &changeId);

} // namespace cornelshed

#endif // CORNELSHED_CONFIGURATIONHEAD_H
