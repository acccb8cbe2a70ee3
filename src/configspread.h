// Spread of the accepted configuration between entry daemons. Each daemon polls the head row at
// random times, so that some daemon learns of a change at once while the table's load stays the
// same whatever the number of daemons. It passes a new version to a few random peers, which do the
// same, and a digest exchange each second repairs what was lost.
//
// Versions only grow: a message with a version that is not newer than the own one changes nothing,
// however late or often it arrives.

#ifndef CORNELSHED_CONFIGSPREAD_H
#define CORNELSHED_CONFIGSPREAD_H

#include "types.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cornelshed {

struct SpreadLimits
{
    double readsPerSecond = 40; // of the head row, by all daemons together
    Duration pollLeast = std::chrono::milliseconds(250);
    Duration pollMostAlone = std::chrono::seconds(2); // while no peer is heard
    Duration exchangePeriod = std::chrono::seconds(1);
    Duration requestRetry = std::chrono::milliseconds(350); // a round trip between regions is 300
    std::uint32_t requestCount = 2;                         // to different peers until the retry
    std::uint32_t pushCount = 4;                            // peers told of a new version
    std::size_t pushLimitBytes = 16384; // larger changes are announced, and sent on request
    std::size_t keptTexts = 4;          // earlier versions that differences are made against

    bool operator==(const SpreadLimits &) const = default;
};

// Part of a digest exchange, or of a push whose text is large.
struct SpreadAnnounce
{
    std::uint64_t version = 0;
    bool reply = false; // replies are not replied to

    bool operator==(const SpreadAnnounce &) const = default;
};

// Asks for the newest version as a difference to this one; 0 asks for the whole text.
struct SpreadRequest
{
    std::uint64_t version = 0;

    bool operator==(const SpreadRequest &) const = default;
};

// A version as a difference: the first and last bytes of the base's text with other bytes between.
struct SpreadUpdate
{
    std::uint64_t version = 0;
    std::string digest;            // of the whole text
    std::uint64_t baseVersion = 0; // 0: middle is the whole text
    std::uint64_t prefixBytes = 0; // kept from the base's start
    std::uint64_t suffixBytes = 0; // kept from the base's end
    std::string middle;

    bool operator==(const SpreadUpdate &) const = default;
};

using SpreadMessage = std::variant<SpreadAnnounce, SpreadRequest, SpreadUpdate>;

// Read the head row and call headRead, unless the table is unavailable.
struct PollHead
{
    bool operator==(const PollHead &) const = default;
};

// Get the text with the digest from the object store and call textFetched.
struct FetchText
{
    std::uint64_t version = 0;
    std::string digest;

    bool operator==(const FetchText &) const = default;
};

struct SendToPeer
{
    std::string peer;
    SpreadMessage message;

    bool operator==(const SendToPeer &) const = default;
};

// The version is in force from now on.
struct InstallConfiguration
{
    std::uint64_t version = 0;
    std::shared_ptr<const std::string> text;

    bool operator==(const InstallConfiguration &) const = default;
};

using SpreadAction = std::variant<PollHead, FetchText, SendToPeer, InstallConfiguration>;
using SpreadActions = std::vector<SpreadAction>;

class ConfigurationSpread
{
public:
    // Tells whether the text has the digest and is a correct configuration. A text that fails is
    // not installed.
    using TextCheck = std::function<bool(const std::string &digest, const std::string &text)>;

    // random must outlive this. The first poll is due at once.
    ConfigurationSpread(const SpreadLimits &limits, RandomSource &random, TextCheck check,
                        Instant now);
    ~ConfigurationSpread();
    ConfigurationSpread(ConfigurationSpread &&) noexcept;
    ConfigurationSpread &operator=(ConfigurationSpread &&) noexcept;

    // All other entry daemons.
    void setPeers(std::vector<std::string> peers);

    SpreadActions headRead(std::uint64_t version, const std::string &digest, Instant now);
    SpreadActions textFetched(std::uint64_t version, const std::string &digest,
                              const std::string &text, Instant now);
    SpreadActions handle(const std::string &peer, const SpreadMessage &message, Instant now);

    // Another process, such as an agent, said that this version is accepted.
    void heardOf(std::uint64_t version, Instant now);

    SpreadActions tick(Instant now);
    Instant nextWake() const;

    std::uint64_t version() const; // in force; 0 if none

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_CONFIGSPREAD_H
