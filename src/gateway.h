// Request handling of a gateway: admits callers' requests, schedules them directly on backend
// servers and forwards the responses. Runs on the traffic thread.

#ifndef CORNELSHED_GATEWAY_H
#define CORNELSHED_GATEWAY_H

#include "deploymentstate.h"
#include "directscheduler.h"
#include "freshness.h"
#include "gatewayrollouts.h"
#include "ingressprotocol.h"
#include "memorybudget.h"
#include "metrics.h"
#include "peergossip.h"
#include "tokenallowance.h"
#include "types.h"
#include "windowedretrybudget.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace boost::asio {
class io_context;
}

namespace cornelshed {

// Settings of a Gateway.
struct GatewayTrafficSettings
{
    std::string name;
    std::uint64_t incarnation = 0; // identifies this run of the process
    DirectSettings scheduling;
    WindowedRetryBudgetSettings retryBudget; // retry budget of each service
    // Keys are accepted only while the configuration was confirmed to be the newest within this
    // time.
    Duration keyCheckMaxProofAge = std::chrono::milliseconds(4500);
    // Length of the window over which the organisations' allowances are enforced.
    Duration allowanceWindow = std::chrono::seconds(8);
    AllowanceTolerance allowanceTolerance;
    // The gateway is not ready for new connections if that confirmation is older than this.
    Duration readyMaxProofAge = std::chrono::milliseconds(2500);
    // Share of a service's requests that may go to a version before its rollout has proven it, and
    // the number of requests allowed beyond that share.
    double exposureShare = 0.1;
    double exposureConstant = 50;
    // Port of the admission agents on the backend servers' hosts; 0: no agents.
    std::uint16_t agentPort = 0;
    // One in this many requests answered without a second attempt is logged; failed, refused and
    // retried requests always are.
    std::uint32_t answeredLogInterval = 20;
    // Limits of responses that are buffered until they are complete: of one, and of all together.
    std::size_t answerLimitBytes = std::size_t {4} << 20U;
    std::size_t bufferedAnswersLimitBytes = std::size_t {32} << 20U;
    // Limit of the response data that is kept for all callers until they read it.
    std::size_t pendingWritesLimitBytes = std::size_t {64} << 20U;
    // Limit of the bodies of all requests that are being received or are in progress.
    std::size_t requestBodiesLimitBytes = std::size_t {48} << 20U;
    // Limits of all that callers make the process use, the three above included.
    MemoryLimits memory;

    bool operator==(const GatewayTrafficSettings &) const = default;
};

class Gateway
{
public:
    // rolloutChart is the state chart "rollout".
    Gateway(boost::asio::io_context &context, const IngressProtocol &protocol,
            GatewayTrafficSettings settings, StateChart rolloutChart, Metrics &metrics);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    // Starts to accept callers' connections. Returns an error message on failure.
    std::optional<std::string> listen(const std::string &address, std::uint16_t port);

    std::uint16_t port() const; // that callers connect to

    // Opens the socket for messages of the admission agents. Returns an error message on failure.
    std::optional<std::string> openAdmissionSocket(const std::string &address, std::uint16_t port);

    // Applies keyCheckMaxProofAge, readyMaxProofAge and answeredLogInterval; the other settings
    // cannot change while the gateway runs.
    void reload(const GatewayTrafficSettings &settings);

    // Applies a new configuration, list of backend servers and list of rollouts. The view must
    // include the gateways of this state: with an older one, a gateway that has just started would
    // claim the shares of all others.
    void applyState(std::shared_ptr<const DeploymentState> state, const GossipView &view);
    // Records that this gateway has read the table. Called after applyState() with what was read.
    void recordTableRead(RowTable table, const ReadProof &proof);

    // Time since boot at which the copy of a shared table was last confirmed to be up to date; zero
    // if never. Thread-safe.
    Duration provenAt(RowTable table) const;

    GossipReport composeReport() const; // for the peers

    // Applies a peer's report. Returns the tables for which the peer knows of a change that has not
    // been applied here.
    std::vector<RowTable> applyPeerReport(const GossipReport &report);
    // Sets which gateways are heard from and which may be alive.
    void setView(const GossipView &view);

    // Sets the function that stores the status of a rollout. It is called on the traffic thread.
    void setRolloutStatusWriter(std::function<void(const RolloutStatus &)> write);

    // Sets the function that stores the quarantined whole prompts whenever they change. It is
    // called on the traffic thread, of the first one of the gateways that are heard.
    void setQuarantineWriter(std::function<void(const std::vector<QuarantineAge> &)> write);

    // Sets the function that is called once for each request that begins to run, with the name of
    // its organisation. It is called on the traffic thread.
    void setUsageCounter(std::function<void(const std::string &organisation)> count);

    // Takes the rollout steps that are due. Returns false if there is no rollout. To be called
    // several times a second.
    bool tickRollouts();

    // Whether new connections should be sent to this gateway. Thread-safe.
    bool ready() const;

    // What all callers hold.
    const MemoryBudget &callerMemory() const;

    // Shuts down gracefully. From now on, responses announce that their connection will be closed.
    // After the time announce, requests that could outlast the shutdown are refused as not run, and
    // the shutdown ends once all connections are closed. Callers may go on to use open connections
    // and to open new ones until shortly before the limit; then the requests that are still running
    // are ended, and the listener and idle connections are closed. Calls done at the end.
    void drain(Duration announce, Duration limit, std::function<void()> done);

private:
    class Private;
    std::shared_ptr<Private> d; // shared with the handlers of the io_context
};

} // namespace cornelshed

#endif // CORNELSHED_GATEWAY_H
