// Periodic load reports between gateways, as datagrams: each tells what it has running on every
// backend server and what organisations have taken of their allowances. A lost report is replaced
// by the next. Runs on the traffic thread.

#ifndef CORNELSHED_PEERGOSSIP_H
#define CORNELSHED_PEERGOSSIP_H

#include "directscheduler.h"
#include "freshness.h"
#include "gatewayrollouts.h"
#include "rowstore.h"
#include "types.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace cornelshed {

struct GossipReport
{
    std::string name;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    bool leaving = false;
    Duration uptime {}; // since the start
    std::vector<PeerLoad> loads;
    std::map<std::uint64_t, double> taken; // tokens since the start, by organisation digest
    std::array<std::optional<SharedProof>, sharedTables.size()> proofs; // by table
    std::vector<RolloutReport> rollouts;

    bool operator==(const GossipReport &) const = default;
};

// The last report that a gateway had from a peer.
struct GossipEcho
{
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const GossipEcho &) const = default;
};

// Echoes by stableDigest() of the peer's name.
using GossipEchoes = std::map<std::uint64_t, GossipEcho>;

std::string encodeGossip(const GossipReport &report, const GossipEchoes &echoes);

struct DecodedGossip
{
    GossipReport report;
    GossipEchoes echoes;

    bool operator==(const DecodedGossip &) const = default;
};

// Nothing if the datagram is not a report.
std::optional<DecodedGossip> decodeGossip(const std::string &datagram);

// Gateways that are heard and that may be alive.
struct GossipView
{
    std::uint32_t heard = 1;      // this one included
    std::uint32_t mayBeAlive = 1; // heard at some time within the last half minute, or listed
    Duration interval {};         // between reports
    std::uint32_t place = 0;      // of this one by name, among those that may be alive
    std::uint32_t heardPlace = 0; // and among those that are heard

    bool operator==(const GossipView &) const = default;
};

class PeerGossip
{
public:
    using Compose = std::function<GossipReport()>;
    // echoedSentAt: when the last report that the peer had from here was sent, since boot; nothing
    // if it had none of this incarnation.
    using Received =
            std::function<void(const GossipReport &, std::optional<Duration> echoedSentAt)>;

    PeerGossip(boost::asio::io_context &context, GatewayRecord self, Compose compose,
               Received received);
    ~PeerGossip();
    PeerGossip(const PeerGossip &) = delete;
    PeerGossip &operator=(const PeerGossip &) = delete;

    // Returns what went wrong, if anything.
    std::optional<std::string> start();

    // Gateways listed in the store, this one included or not.
    void setListed(const std::vector<GatewayRecord> &gateways);

    // Sends a report at once, as before a shutdown.
    void sendNow();

    GossipView view() const;

private:
    class Private;
    std::shared_ptr<Private> d; // shared with the handlers of the io_context
};

} // namespace cornelshed

#endif // CORNELSHED_PEERGOSSIP_H
