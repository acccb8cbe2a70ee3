// The single thread of an entry daemon that owns all control state: the accepted configuration, the
// membership, rollouts, leases, claims, the table client and the RPC between peers. Traffic threads
// use it only through this class. Callbacks run on the control thread and must not block; they pass
// work on with boost::asio::post.

#ifndef CORNELSHED_CONTROLTHREAD_H
#define CORNELSHED_CONTROLTHREAD_H

#include "claims.h"
#include "entryscheduler.h"
#include "types.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cornelshed {

struct ControlSettings
{
    std::string entryName;
    std::uint64_t entryIncarnation = 0;
    std::string availabilityZone;
    std::string listenAddress;
    std::uint16_t peerPort = 0;
    std::string platformAddress;
    std::uint16_t platformPort = 0;
    std::string chartsDirectory;

    bool operator==(const ControlSettings &) const = default;
};

// Address on which a backend server's agent listens, from the platform's host list.
struct AgentAddress
{
    std::string name;
    std::string address;
    std::uint16_t port = 0;
    std::string availabilityZone;

    auto operator<=>(const AgentAddress &) const = default;
};

// Immutable snapshot of the control state that traffic threads need. Any change publishes a new
// one.
struct ControlView
{
    std::shared_ptr<const RoutingView> routing;
    std::shared_ptr<const std::string> configurationText; // for ConfigurationNotice
    std::vector<AgentAddress> agents;                     // sorted by name
    // The table gave out the version again with this text, which replaced another one here.
    bool configurationReplacesText = false;
};

// How a valid request ended from its caller's point of view.
struct EndedRequest
{
    std::string organisation;
    TierRank tier = 0;
    bool good = false; // complete answer before the deadline

    bool operator==(const EndedRequest &) const = default;
};

class ControlThread
{
public:
    using ViewCallback = std::function<void(std::shared_ptr<const ControlView>)>;
    using ClaimCallback = std::function<void(ClaimResult)>;

    ControlThread(const ControlSettings &settings, ViewCallback viewChanged);
    ~ControlThread(); // stops and joins the thread
    ControlThread(const ControlThread &) = delete;
    ControlThread &operator=(const ControlThread &) = delete;

    // Throws PeerNetworkError if the port for peers cannot be opened, ControlPartError if a state
    // chart cannot be read.
    void start();

    // Claims an idempotency key for the request before it is dispatched. bodyDigest is a hash of
    // method, path and body. The callback runs exactly once.
    void claim(const ClaimKey &key, RequestId request, std::uint64_t bodyDigest,
               ClaimCallback callback);

    // finishClaim: the claimed request ended with this answer. releaseClaim: it certainly did not
    // run. If it is unknown whether it ran, neither is called and the claim stays open.
    void finishClaim(const ClaimKey &key, RequestId request, StoredResponse answer);
    void releaseClaim(const ClaimKey &key, RequestId request);

    // Counts an attempt's outcome as evidence for rollouts.
    void recordOutcome(const ReportOutcome &outcome);

    // Counts a request for the service-level burn report.
    void recordEndedRequest(const EndedRequest &ending);

    // The agent reported that it is leaving; the published views then list it among leavingServers.
    void agentLeaving(const std::string &name);

    // Configuration version in force; 0 if none. May be called from any thread.
    std::uint64_t configurationVersion() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_CONTROLTHREAD_H
