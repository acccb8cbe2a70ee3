// Exchanges periodic UDP reports between gateways. A report carries the sender's load on every
// backend server, the tokens consumed by organisations, the state of rollouts, prompt parts that
// crash backend servers, how fresh its copies of the store's tables are, and what the duties of one
// gateway at a time need. Every report is complete, so the next one replaces a lost one. Which
// peers get which report is decided in reportschedule.h. Runs on the traffic thread.

#ifndef CORNELSHED_PEERGOSSIP_H
#define CORNELSHED_PEERGOSSIP_H

#include "directscheduler.h"
#include "dutyreport.h"
#include "freshness.h"
#include "gatewayrollouts.h"
#include "promptquarantine.h"
#include "rowstore.h"
#include "types.h"

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
    bool leaving = false; // the sender shuts down and accepts no new requests
    Duration uptime {};   // since the start of the sender's process
    std::vector<PeerLoad> loads;
    // Tokens consumed since the start, by stableDigest() of the organisation's name.
    std::map<std::uint64_t, double> consumedTokens;
    SharedProofs proofs;
    std::vector<RolloutReport> rollouts;
    std::vector<PromptPartReport> promptParts;
    std::uint64_t configurationVersion = 0; // in force; 0: none
    std::optional<StoreReturn> storeReturn; // the last one, if it was not long ago
    std::optional<DutyReport> duties {};    // empty: the gateways have no duties, or left out

    bool operator==(const GossipReport &) const = default;
};

std::string encodeGossip(const GossipReport &report);

// Returns nullopt if the datagram is not a valid report.
std::optional<GossipReport> decodeGossip(const std::string &datagram);

// Counts of the gateways in the cluster, and the rank of this gateway among them. A gateway that
// was not heard from recently may still be alive: it may be partitioned from this one.
struct GossipView
{
    // Gateways heard from within heardTimeout, including this one.
    std::uint32_t heardCount = 1;
    // Gateways heard from, or newly registered in the store, within the last 30 seconds, including
    // this one.
    std::uint32_t possiblyAliveCount = 1;
    Duration interval {};     // between two reports to the same peer
    Duration heardTimeout {}; // a peer without a report for this time counts as silent
    std::uint32_t rank = 0;   // rank of this gateway by name among those possibly alive, from 0
    std::uint32_t rankAmongHeard = 0; // rank of this gateway by name among those heard from, from 0

    bool operator==(const GossipView &) const = default;
};

class PeerGossip
{
public:
    using ReportComposer = std::function<GossipReport()>;
    using ReportHandler = std::function<void(const GossipReport &)>;

    PeerGossip(boost::asio::io_context &context, GatewayRecord self, ReportComposer composeReport,
               ReportHandler handleReport);
    ~PeerGossip();
    PeerGossip(const PeerGossip &) = delete;
    PeerGossip &operator=(const PeerGossip &) = delete;

    // Binds the UDP socket and starts sending and receiving. Returns the error message on failure.
    std::optional<std::string> start();

    // Sets the gateways registered in the store. The entry of this gateway is ignored.
    void setRegisteredGateways(const std::vector<GatewayRecord> &gateways);

    // Sends a report to all peers immediately, for example to announce a shutdown.
    void sendNow();

    GossipView view() const;

private:
    class Private;
    std::shared_ptr<Private> d; // shared with the handlers of the io_context
};

} // namespace cornelshed

#endif // CORNELSHED_PEERGOSSIP_H
