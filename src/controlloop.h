// Code and state of the control thread: applies the actions of the decision library and runs the
// timers. Internal to the runtime; includes Asio.
//
// The thread runs two event loops. Asio's is the main one, used by the table client, the timers and
// calls posted from traffic threads. KJ's loop, used by the RPC between peers, is polled every
// 5 ms, because neither loop exposes the file descriptor it waits on. Distributing a configuration
// takes five rounds, so polling adds 25 ms on average to the 4 s within which a change must be in
// force.

#ifndef CORNELSHED_CONTROLLOOP_H
#define CORNELSHED_CONTROLLOOP_H

#include "claims.h"
#include "configpropagation.h"
#include "controlpart.h"
#include "controlthread.h"
#include "peernetwork.h"
#include "platformclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornelshed::detail {

class ControlLoop final : private ControlPartHost
{
public:
    // Opens the port for peers; throws PeerNetworkError on failure. version is updated whenever
    // another configuration version comes into force.
    ControlLoop(boost::asio::io_context &context, const ControlSettings &settings,
                ControlThread::ViewCallback viewChanged, std::atomic<std::uint64_t> &version);
    ~ControlLoop() override; // outstanding claims end with ClaimVerdict::Unavailable

    void claim(const ClaimKey &key, RequestId request, std::uint64_t bodyDigest,
               ControlThread::ClaimCallback callback);
    void finishClaim(const ClaimKey &key, RequestId request, const StoredResponse &answer);
    void releaseClaim(const ClaimKey &key, RequestId request);
    void recordOutcome(const ReportOutcome &outcome);
    void recordEndedRequest(const EndedRequest &ending);
    void agentLeaving(const std::string &name);

private:
    PlatformTable &table() override { return m_client; }
    RandomSource &random() override { return m_random; }
    Instant now() const override;
    const std::vector<std::string> &peers() const override { return m_peerNames; }
    void sendToPeer(const std::string &peer, const std::string &part,
                    const std::string &payload) override;
    void viewChanged() override { publish(); }
    void reschedule() override { scheduleParts(); }

    PeerHandlers makeHandlers();
    bool validateConfiguration(const std::string &digest, const std::string &text);
    std::vector<PropagationMessage> receiveSpread(const std::string &from,
                                                  const PropagationMessage &message);

    void carryOut(const PropagationActions &actions);
    void perform(const PollHead &action);
    void perform(const FetchText &action);
    void perform(const SendToPeer &action);
    void perform(const InstallConfiguration &action);

    void carryOut(const ClaimActions &actions);
    void perform(const CommitClaims &action);
    void perform(const ReadClaims &action);
    void perform(const ClaimDecided &action);

    void pollPeers();
    void pollHosts();
    void hostsRead(const std::vector<PlatformHost> &hosts);
    void setPeers(const std::vector<PlatformHost> &hosts);
    void setAgents(const std::vector<PlatformHost> &hosts);
    void publish();

    void scheduleSpread();
    void scheduleClaims();
    void scheduleParts();
    void schedule(boost::asio::steady_timer &timer, Instant at, std::function<void()> run);

    ControlSettings m_settings;
    ControlThread::ViewCallback m_viewChanged;
    std::atomic<std::uint64_t> &m_version;
    SeededRandom m_random;
    PlatformClient m_client;
    PeerNetwork m_peers;
    ConfigurationPropagation m_propagation;
    ClaimTracker m_claims;
    std::unordered_map<RequestId, ControlThread::ClaimCallback> m_claimCallbacks;

    // Parsed from the last text that passed validation; installed by the next InstallConfiguration.
    Configuration m_validatedConfiguration;
    std::shared_ptr<const Configuration> m_configuration; // in force; null if none
    std::shared_ptr<const std::string> m_configurationText;
    bool m_configurationReplacesText = false; // of the same version
    std::vector<std::string> m_peerNames;
    std::vector<AgentAddress> m_agents;      // sorted by name
    std::vector<std::string> m_hostsLeaving; // according to the host list; sorted by name
    std::set<std::string> m_agentsLeaving;   // reported by the agents; newer than the host list
    std::vector<std::unique_ptr<ControlPart>> m_parts;

    boost::asio::steady_timer m_peersTimer;
    boost::asio::steady_timer m_hostsTimer;
    boost::asio::steady_timer m_propagationTimer;
    boost::asio::steady_timer m_claimsTimer;
    boost::asio::steady_timer m_partsTimer;
    // Expires when this object is destroyed; checked by timer callbacks.
    std::shared_ptr<const bool> m_alive = std::make_shared<const bool>(true);
};

} // namespace cornelshed::detail

#endif // CORNELSHED_CONTROLLOOP_H
