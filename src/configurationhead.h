// The head row, which identifies the accepted configuration. The text itself is in the object store
// under a key derived from its digest, so the row stays small and a stored text never changes.

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
    std::string changeId; // unique for each change; chosen by the accepting command
    std::string operatorName;

    bool operator==(const ConfigurationHead &) const = default;
};

// Convert to and from the value of the head row. parseHead returns std::nullopt if it is malformed.
std::string formatHead(const ConfigurationHead &head);
std::optional<ConfigurationHead> parseHead(const std::string &value);

// 128-bit hash of a configuration's text, as 32 hexadecimal digits.
std::string configurationDigest(std::string_view text);

// Key of the text in the object store.
std::string configurationObjectKey(const std::string &digest);

// Key of a row that is written in the same transaction as the head and not overwritten by later
// changes. If the answer to the transaction is lost, this row shows whether it took effect, even
// after another operator has changed the head.
std::string configurationChangeKey(const std::string &changeId);

} // namespace cornelshed

#endif // CORNELSHED_CONFIGURATIONHEAD_H
