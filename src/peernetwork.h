// Cap'n Proto RPC between entry daemons. KJ's event loop belongs to the thread that constructs the
// PeerNetwork; all calls and callbacks must be made on that thread.

#ifndef CORNELSHED_PEERNETWORK_H
#define CORNELSHED_PEERNETWORK_H

#include "configpropagation.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace cornelshed {

struct PeerAddress
{
    std::string name;
    std::string address; // IP address
    std::uint16_t port = 0;

    bool operator==(const PeerAddress &) const = default;
};

struct PeerNetworkSettings
{
    std::string ownName;
    std::string listenAddress; // IP address; empty: does not listen
    std::uint16_t port = 0;    // 0: any free port
    // Larger messages close the connection, and so do those over 16 KiB that arrive at the same
    // time as others and exceed it together with them.
    std::uint64_t messageLimitBytes = 16ULL * 1024 * 1024;
    std::size_t connectionLimitCount = 1024; // accepted connections that are open
    Duration callTimeout = std::chrono::seconds(2);
    Duration idleTimeout = std::chrono::seconds(10); // of outgoing connections

    bool operator==(const PeerNetworkSettings &) const = default;
};

// The listening port cannot be opened.
class PeerNetworkError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

struct PeerHandlers
{
    // A message from a peer; the result is sent back as replies.
    std::function<std::vector<PropagationMessage>(const std::string &from,
                                                  const PropagationMessage &)>
            spreadReceived;

    // A reply to a message sent with sendSpread().
    std::function<void(const std::string &from, const PropagationMessage &)> spreadReplied;

    // Returns the configuration version in force; 0 if none.
    std::function<std::uint64_t()> version;

    // A message sent with sendPart().
    std::function<void(const std::string &from, const std::string &part,
                       const std::string &payload)>
            partReceived;
};

class PeerNetwork
{
public:
    using VersionCallback = std::function<void(std::optional<std::uint64_t>)>;

    PeerNetwork(PeerNetworkSettings settings, PeerHandlers handlers);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    // Replaces the known peers. Messages to any other peer are discarded.
    void setPeers(const std::vector<PeerAddress> &peers);

    // Best effort: a message that cannot be delivered is lost, without an error. The configuration
    // distribution tolerates this.
    void sendSpread(const std::string &peer, const PropagationMessage &message);
    void sendPart(const std::string &peer, const std::string &part, const std::string &payload);

    // The callback runs exactly once: from poll(), or at once if the peer is not known. It gets
    // std::nullopt if there is no answer.
    void queryVersion(const std::string &peer, const VersionCallback &callback);

    // Runs all events that are due; does not block.
    void poll();

    std::uint16_t port() const; // listening port; 0 if not listening

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_PEERNETWORK_H
