// Cap'n Proto RPC between entry daemons. KJ's event loop belongs to the thread that constructs this
// object; all calls and callbacks happen on that thread.

#ifndef CORNELSHED_PEERNETWORK_H
#define CORNELSHED_PEERNETWORK_H

#include "configspread.h"

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
    std::string listenAddress; // IP address; empty: no calls are accepted
    std::uint16_t port = 0;    // 0: any free port
    std::uint64_t messageLimitBytes = 16ULL * 1024 * 1024; // larger messages end the connection
    std::size_t connectionLimitCount = 1024;               // accepted at once
    Duration callTimeout = std::chrono::seconds(2);
    Duration idleTimeout = std::chrono::seconds(10); // own connections are closed after it

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
    // A peer's message; the result goes back as replies.
    std::function<std::vector<SpreadMessage>(const std::string &from, const SpreadMessage &)>
            spreadReceived;

    // A reply to an own message.
    std::function<void(const std::string &from, const SpreadMessage &)> spreadReplied;

    std::function<std::uint64_t()> version;
    std::function<void(const std::string &from, const std::string &part,
                       const std::string &payload)>
            partReceived;
};

class PeerNetwork
{
public:
    PeerNetwork(PeerNetworkSettings settings, PeerHandlers handlers);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    // Messages to others are discarded.
    void setPeers(const std::vector<PeerAddress> &peers);

    // Fire and forget: a message that cannot be delivered is lost, as the spread expects.
    void sendSpread(const std::string &peer, const SpreadMessage &message);
    void sendPart(const std::string &peer, const std::string &part, const std::string &payload);

    // The callback runs exactly once, from poll; nothing: no answer.
    void queryVersion(const std::string &peer,
                      std::function<void(std::optional<std::uint64_t>)> callback);

    // Runs what is due without waiting.
    void poll();

    std::uint16_t port() const; // that calls are accepted on; 0 if none are

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_PEERNETWORK_H
