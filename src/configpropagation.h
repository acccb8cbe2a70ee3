// Dissemination of the accepted configuration to all entry daemons, by polling and gossip. The
// table's head row holds version and digest of the accepted configuration. Each daemon polls it at
// random times, at a rate that falls with the number of daemons: the load on the table is the same
// for any number, and soon after a change some daemon reads it. A daemon that learns of a new
// version pushes it to a few random peers, which do the same. Once a second each daemon also
// exchanges versions with a random peer, which repairs lost pushes.
//
// Versions only increase: a message whose version is not newer than the receiver's changes nothing,
// no matter how late or how often it arrives.
//
// After the table has returned from an older copy, it can give out a version again with another
// text. Only the head row tells which text of a version is the present one. A message from a peer
// that holds another text of the same version causes a poll of the head row, nothing else.
//
// ConfigurationPropagation does no I/O: the caller performs the returned actions.

#ifndef CORNELSHED_CONFIGPROPAGATION_H
#define CORNELSHED_CONFIGPROPAGATION_H

#include "types.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cornelshed {

struct PropagationLimits
{
    double readsPerSecond = 40; // reads of the head row, all daemons together
    Duration minPollInterval = std::chrono::milliseconds(250);
    Duration maxIsolatedPollInterval = std::chrono::seconds(2); // while no peer is heard from
    Duration exchangeInterval = std::chrono::seconds(1);
    // A round trip between regions takes 300 ms.
    Duration requestRetryInterval = std::chrono::milliseconds(350);
    // Limit on the update requests for a version within requestRetryInterval, over all peers that
    // announce it.
    std::uint32_t maxRequestsPerRetry = 2;
    std::uint32_t pushFanout = 4;     // peers that a new version is pushed to
    std::size_t maxPushBytes = 16384; // larger updates are announced and sent on request
    std::size_t maxBaseTexts = 4;     // earlier versions kept to compute differences

    bool operator==(const PropagationLimits &) const = default;
};

// Tells a peer the sender's version: in the periodic exchange, or instead of an update that is too
// large to push.
struct VersionAnnouncement
{
    std::uint64_t version = 0;
    bool reply = false; // answers an announcement and gets no answer itself
    std::string digest; // of the version's text; empty if unknown

    bool operator==(const VersionAnnouncement &) const = default;
};

// Asks for the newest version as a difference from this version; 0 asks for the whole text.
struct UpdateRequest
{
    std::uint64_t version = 0;

    bool operator==(const UpdateRequest &) const = default;
};

// A version as a difference from a base version: a prefix and a suffix of the base's text, with new
// bytes between them.
struct ConfigurationUpdate
{
    std::uint64_t version = 0;
    std::string digest;            // of the resulting text
    std::uint64_t baseVersion = 0; // 0: no base, middle is the whole text
    std::uint64_t prefixBytes = 0; // taken from the start of the base
    std::uint64_t suffixBytes = 0; // taken from the end of the base
    std::string middle;

    bool operator==(const ConfigurationUpdate &) const = default;
};

using PropagationMessage = std::variant<VersionAnnouncement, UpdateRequest, ConfigurationUpdate>;

// Read the head row, then call headRowRead(). If the read fails, do nothing.
struct PollHead
{
    bool operator==(const PollHead &) const = default;
};

// Fetch the text with this digest from the object store, then call textFetched().
struct FetchText
{
    std::uint64_t version = 0;
    std::string digest;

    bool operator==(const FetchText &) const = default;
};

struct SendToPeer
{
    std::string peer;
    PropagationMessage message;

    bool operator==(const SendToPeer &) const = default;
};

// Apply this configuration from now on.
struct InstallConfiguration
{
    std::uint64_t version = 0;
    std::shared_ptr<const std::string> text;
    bool replacesText = false; // of the same version, according to the head row

    bool operator==(const InstallConfiguration &) const = default;
};

using PropagationAction = std::variant<PollHead, FetchText, SendToPeer, InstallConfiguration>;
using PropagationActions = std::vector<PropagationAction>;

class ConfigurationPropagation
{
public:
    // Returns whether the text matches the digest and is a valid configuration. Other texts are not
    // installed.
    using TextValidator = std::function<bool(const std::string &digest, const std::string &text)>;

    // random must outlive this object. The first poll is due immediately.
    ConfigurationPropagation(const PropagationLimits &limits, RandomSource &random,
                             TextValidator isValidText, Instant now);
    ~ConfigurationPropagation();
    ConfigurationPropagation(ConfigurationPropagation &&) noexcept;
    ConfigurationPropagation &operator=(ConfigurationPropagation &&) noexcept;

    // Sets the names of all other entry daemons.
    void setPeers(std::vector<std::string> peers);

    // readStartedAt: when the read was sent. The table is linearizable, so of two reads that do not
    // overlap the later one is newer. A read that overlaps an earlier answered one replaces no
    // text.
    PropagationActions headRowRead(std::uint64_t version, const std::string &digest,
                                   Instant readStartedAt);
    PropagationActions textFetched(std::uint64_t version, const std::string &digest,
                                   const std::string &text, Instant now);
    PropagationActions handle(const std::string &peer, const PropagationMessage &message,
                              Instant now);

    // Another process, such as an agent, reported that this version is accepted: polls the head row
    // as early as minPollInterval allows if the version is newer.
    void noteAcceptedVersion(std::uint64_t version, Instant now);

    PropagationActions tick(Instant now);
    Instant nextWakeTime() const;

    std::uint64_t version() const; // the installed version; 0 if none

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_CONFIGPROPAGATION_H
