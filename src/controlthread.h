// The one thread of an entry daemon that owns control state: the accepted configuration,
// membership, rollouts, leases, claims, the table client and the peers' RPC. Traffic threads talk
// to it through this class only; callbacks run on the control thread and must hand over quickly
// (boost::asio::post).

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

// Where the agent of a backend server listens, by the platform's host list.
struct AgentAddress
{
    std::string name;
    std::string address;
    std::uint16_t port = 0;
    std::string availabilityZone;

    auto operator<=>(const AgentAddress &) const = default;
};

// Everything the traffic side needs; replaced as a whole whenever a part of it changes.
struct ControlView
{
    std::shared_ptr<const RoutingView> routing;
    std::shared_ptr<const std::string> configurationText; // for ConfigurationNotice
    std::vector<AgentAddress> agents;                     // sorted by name
};

// The end of a valid request as its caller sees it.
struct RequestEnding
{
    std::string organisation;
    TierRank tier = 0;
    bool good = false; // answered whole before the deadline

    bool operator==(const RequestEnding &) const = default;
};

class ControlThread
{
public:
    using ViewCallback = std::function<void(std::shared_ptr<const ControlView>)>;
    using ClaimCallback = std::function<void(ClaimResult)>;

    ControlThread(const ControlSettings &settings, ViewCallback viewChanged);
    ~ControlThread(); // stops the thread
    ControlThread(const ControlThread &) = delete;
    ControlThread &operator=(const ControlThread &) = delete;

    void start();

    // Claims a key for the request before it is dispatched. bodyDigest is a hash of method, path
    // and body. The callback runs exactly once.
    void claim(const ClaimKey &key, RequestId request, std::uint64_t bodyDigest,
               ClaimCallback callback);

    // The claimed request ended with an answer, or was truly not run: the claim is then released.
    // A claim whose request ended unknown stays open.
    void finishClaim(const ClaimKey &key, RequestId request, StoredAnswer answer);
    void releaseClaim(const ClaimKey &key, RequestId request);

    // Evidence for rollouts.
    void recordOutcome(const ReportOutcome &outcome);

    // How a request ended for its caller, for the service-level burn report.
    void recordEnding(const RequestEnding &ending);

    // An agent said that it leaves, or told a newer configuration version than is in force here.
    void agentLeaving(const std::string &name);

    // Version in force; 0 while none is known. Safe from any thread.
    std::uint64_t configurationVersion() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_CONTROLTHREAD_H
