// The traffic side of a gateway: admits callers' requests, schedules them directly on backend
// servers and relays the answers. Runs on the traffic thread.

#ifndef CORNELSHED_GATEWAY_H
#define CORNELSHED_GATEWAY_H

#include "deploymentstate.h"
#include "directscheduler.h"
#include "freshness.h"
#include "gatewayrollouts.h"
#include "ingressprotocol.h"
#include "metrics.h"
#include "peergossip.h"
#include "tokenallowance.h"
#include "types.h"
#include "windowedbudget.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace boost::asio {
class io_context;
}

namespace cornelshed {

struct GatewayTraffic
{
    std::string name;
    std::uint64_t incarnation = 0;
    DirectSettings scheduling;
    WindowedBudgetSettings repeats;
    // A key is accepted only if the configuration was proven to be the newest within this time.
    Duration keyProofLimit = std::chrono::milliseconds(4500);
    // Length of the window over which allowances of organisations are counted.
    Duration allowanceWindow = std::chrono::seconds(8);
    AllowanceTolerance allowanceTolerance;
    // Not ready for new connections when the proof is older than this.
    Duration readyProofLimit = std::chrono::milliseconds(2500);
    double exposureShare = 0.1;   // of a service's requests, to an unproven version
    double exposureConstant = 50; // and requests beyond that
    std::uint16_t agentPort = 0; // of admission agents on backend servers' hosts; 0: there are none
    // Every so many answered requests one is logged; failed and refused ones always are.
    std::uint32_t answeredLogInterval = 20;

    bool operator==(const GatewayTraffic &) const = default;
};

class Gateway
{
public:
    // rolloutChart is the state chart of this name.
    Gateway(boost::asio::io_context &context, const IngressProtocol &protocol,
            GatewayTraffic settings, StateChart rolloutChart, Metrics &metrics);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    // Accepts callers. Returns what went wrong, if anything.
    std::optional<std::string> listen(const std::string &address, std::uint16_t port);

    std::uint16_t port() const; // of the callers

    // Receives admission messages. Returns what went wrong, if anything.
    std::optional<std::string> openAdmission(const std::string &address, std::uint16_t port);

    // Changes what may change while running: bounds and intervals.
    void reload(const GatewayTraffic &settings);

    void applyState(std::shared_ptr<const DeploymentState> state);
    void tableRead(RowTable table, const ReadProof &proof);

    // When the copy of a shared table was last proven fresh, since boot; zero if never. Safe from
    // any thread.
    Duration provenAt(RowTable table) const;

    GossipReport composeReport() const;

    // Returns the tables in which the peer knows a change that is not applied here.
    std::vector<RowTable> peerReported(const GossipReport &report,
                                       std::optional<Duration> echoedSentAt);
    void setView(const GossipView &view);

    // Called on the traffic thread with what is to be written about a rollout.
    void onRolloutStatus(std::function<void(const RolloutStatus &)> write);

    // Takes the steps of rollouts that are due; false if there are none. To be called several times
    // a second.
    bool tickRollouts();

    // Safe from any thread.
    bool ready() const;

    // Graceful shutdown: announces it to callers, then closes idle connections and the listener
    // after the announcement time, and calls done when no request is left or the limit has passed.
    void drain(Duration announce, Duration limit, std::function<void()> done);

private:
    class Private;
    std::shared_ptr<Private> d; // shared with the handlers of the io_context
};

} // namespace cornelshed

#endif // CORNELSHED_GATEWAY_H
