// Applies the actions that the decision library returns for configuration distribution and claims,
// polls the host list, and runs the timers of the control thread.

#include "controlloop.h"

#include "configurationfile.h"
#include "configurationhead.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace cornelshed::detail {

namespace {

constexpr auto peerPollInterval = std::chrono::milliseconds(5);
constexpr auto hostListPollInterval = std::chrono::seconds(2);

PlatformSettings platformSettings(const ControlSettings &settings)
{
    PlatformSettings platform;
    platform.address = settings.platformAddress;
    platform.port = settings.platformPort;
    return platform;
}

PeerNetworkSettings peerSettings(const ControlSettings &settings)
{
    PeerNetworkSettings peers;
    peers.ownName = settings.entryName;
    peers.listenAddress = settings.listenAddress;
    peers.port = settings.peerPort;
    return peers;
}

Instant steadyNow()
{
    const auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return Instant(std::chrono::duration_cast<Duration>(sinceEpoch));
}

} // namespace

ControlLoop::ControlLoop(boost::asio::io_context &context, const ControlSettings &settings,
                         ControlThread::ViewCallback viewChanged,
                         std::atomic<std::uint64_t> &version)
    : m_settings(settings), m_viewChanged(std::move(viewChanged)), m_version(version),
      m_random(settings.entryIncarnation), m_client(context, platformSettings(settings)),
      m_peers(peerSettings(settings), makeHandlers()),
      m_propagation(
              PropagationLimits {}, m_random,
              [this](const std::string &digest, const std::string &text) {
                  return validateConfiguration(digest, text);
              },
              steadyNow()),
      m_claims(ClaimLimits {}), m_parts(makeControlParts(*this, settings)), m_peersTimer(context),
      m_hostsTimer(context), m_propagationTimer(context), m_claimsTimer(context),
      m_partsTimer(context)
{
    pollHosts();
    pollPeers();
    scheduleSpread();
    scheduleParts();
}

ControlLoop::~ControlLoop()
{
    for (auto &[request, callback] : m_claimCallbacks)
        callback({});
}

Instant ControlLoop::now() const
{
    return steadyNow();
}

PeerHandlers ControlLoop::makeHandlers()
{
    PeerHandlers handlers;
    handlers.spreadReceived = [this](const std::string &from, const PropagationMessage &message) {
        return receiveSpread(from, message);
    };
    handlers.spreadReplied = [this](const std::string &from, const PropagationMessage &message) {
        carryOut(m_propagation.handle(from, message, now()));
    };
    handlers.version = [this] { return m_propagation.version(); };
    handlers.partReceived = [this](const std::string &from, const std::string &part,
                                   const std::string &payload) {
        for (const auto &it : m_parts) {
            if (it->name() == part)
                it->messageReceived(from, payload, now());
        }
        scheduleParts();
    };
    return handlers;
}

// --- configuration distribution ---

bool ControlLoop::validateConfiguration(const std::string &digest, const std::string &text)
{
    if (configurationDigest(text) != digest) {
        LOG(WARNING) << "event=configuration_digest_mismatch digest=" << digest;
        return false;
    }
    auto parsed = parseConfiguration(text, "configuration " + digest);
    if (const auto *problems = std::get_if<TomlProblems>(&parsed)) {
        LOG(WARNING) << "event=configuration_invalid digest=" << digest << " problem=\""
                     << problems->front().toString() << "\"";
        return false;
    }
    m_validatedConfiguration = std::move(std::get<Configuration>(parsed));
    return true;
}

// Messages to the sender are returned as replies, which reach it even if it is not in the host list
// yet.
std::vector<PropagationMessage> ControlLoop::receiveSpread(const std::string &from,
                                                           const PropagationMessage &message)
{
    std::vector<PropagationMessage> replies;
    PropagationActions otherActions;
    for (PropagationAction &it : m_propagation.handle(from, message, now())) {
        auto *send = std::get_if<SendToPeer>(&it);
        if (send != nullptr && send->peer == from)
            replies.push_back(std::move(send->message));
        else
            otherActions.push_back(std::move(it));
    }
    carryOut(otherActions);
    return replies;
}

void ControlLoop::carryOut(const PropagationActions &actions)
{
    for (const PropagationAction &it : actions)
        std::visit([this](const auto &action) { perform(action); }, it);
    scheduleSpread();
}

void ControlLoop::perform(const PollHead &)
{
    const Instant startedAt = now();
    const auto handleRows = [this, startedAt](const Result<TableRows, TableError> &answer) {
        const auto *rows = std::get_if<TableRows>(&answer);
        if (rows == nullptr || rows->empty())
            return;
        const auto head = parseHead(rows->begin()->second.value);
        if (!head.has_value()) {
            LOG(WARNING) << "event=configuration_head_malformed";
            return;
        }
        carryOut(m_propagation.headRowRead(head->version, head->digest, startedAt));
    };
    m_client.read({configurationHeadKey}, handleRows);
}

void ControlLoop::perform(const FetchText &action)
{
    m_client.getObject(configurationObjectKey(action.digest),
                       [this, action](const Result<std::string, TableError> &answer) {
                           if (const auto *text = std::get_if<std::string>(&answer))
                               carryOut(m_propagation.textFetched(action.version, action.digest,
                                                                  *text, now()));
                       });
}

void ControlLoop::perform(const SendToPeer &action)
{
    m_peers.sendSpread(action.peer, action.message);
}

void ControlLoop::perform(const InstallConfiguration &action)
{
    m_validatedConfiguration.version = action.version;
    m_configuration = std::make_shared<const Configuration>(std::move(m_validatedConfiguration));
    m_configurationText = action.text;
    m_configurationReplacesText = action.replacesText;
    LOG(INFO) << "event=configuration_installed version=" << action.version
              << " replaces_text=" << action.replacesText;
    for (const auto &it : m_parts)
        it->configurationInstalled(m_configuration, now());
    m_version.store(action.version);
    publish();
    scheduleParts();
}

void ControlLoop::publish()
{
    if (m_configuration == nullptr)
        return; // the daemon is not ready before the first configuration
    auto routing = std::make_shared<RoutingView>();
    routing->configuration = m_configuration;
    routing->leavingServers = m_hostsLeaving;
    for (const std::string &it : m_agentsLeaving) {
        if (!std::binary_search(m_hostsLeaving.begin(), m_hostsLeaving.end(), it))
            routing->leavingServers.push_back(it);
    }
    for (const auto &it : m_parts)
        it->addToView(*routing);
    auto view = std::make_shared<ControlView>();
    view->routing = std::move(routing);
    view->configurationText = m_configurationText;
    view->configurationReplacesText = m_configurationReplacesText;
    view->agents = m_agents;
    m_viewChanged(std::move(view));
}

// --- claims ---

void ControlLoop::claim(const ClaimKey &key, RequestId request, std::uint64_t bodyDigest,
                        ControlThread::ClaimCallback callback)
{
    m_claimCallbacks[request] = std::move(callback);
    carryOut(m_claims.claim(key, request, bodyDigest, now()));
}

void ControlLoop::finishClaim(const ClaimKey &key, RequestId request, const StoredResponse &answer)
{
    carryOut(m_claims.finish(key, request, answer, now()));
}

void ControlLoop::releaseClaim(const ClaimKey &key, RequestId request)
{
    carryOut(m_claims.release(key, request, now()));
}

void ControlLoop::carryOut(const ClaimActions &actions)
{
    for (const ClaimAction &it : actions)
        std::visit([this](const auto &action) { perform(action); }, it);
    scheduleClaims();
}

void ControlLoop::perform(const CommitClaims &action)
{
    m_client.transact(action.transaction,
                      [this, id = action.id](const std::optional<TableError> &error) {
                          carryOut(m_claims.committed(id, error, now()));
                      });
}

void ControlLoop::perform(const ReadClaims &action)
{
    m_client.read(action.keys, [this, id = action.id](const Result<TableRows, TableError> &rows) {
        carryOut(m_claims.rowsRead(id, rows, now()));
    });
}

void ControlLoop::perform(const ClaimDecided &action)
{
    auto found = m_claimCallbacks.extract(action.request);
    if (!found.empty())
        found.mapped()(action.result);
}

// --- membership ---

void ControlLoop::pollHosts()
{
    schedule(m_hostsTimer, now() + hostListPollInterval, [this] { pollHosts(); });
    m_client.hosts([this](const Result<std::vector<PlatformHost>, TableError> &answer) {
        if (const auto *hosts = std::get_if<std::vector<PlatformHost>>(&answer))
            hostsRead(*hosts);
    });
}

void ControlLoop::hostsRead(const std::vector<PlatformHost> &hosts)
{
    const std::vector<AgentAddress> agentsBefore = m_agents;
    const std::vector<std::string> leavingBefore = m_hostsLeaving;
    setPeers(hosts);
    setAgents(hosts);
    if (m_agents != agentsBefore || m_hostsLeaving != leavingBefore)
        publish();
}

void ControlLoop::setPeers(const std::vector<PlatformHost> &hosts)
{
    std::vector<PeerAddress> peers;
    m_peerNames.clear();
    for (const PlatformHost &it : hosts) {
        if (it.role != "entry" || it.name == m_settings.entryName || it.peerPort == 0)
            continue;
        peers.push_back({it.name, it.address, it.peerPort});
        m_peerNames.push_back(it.name);
    }
    m_peers.setPeers(peers);
    m_propagation.setPeers(m_peerNames);
}

void ControlLoop::setAgents(const std::vector<PlatformHost> &hosts)
{
    m_agents.clear();
    m_hostsLeaving.clear();
    std::set<std::string> listed;
    for (const PlatformHost &it : hosts) {
        if (it.role != "agent")
            continue;
        listed.insert(it.name);
        m_agents.push_back({it.name, it.address, it.port, it.availabilityZone});
        if (it.state == "leaving")
            m_hostsLeaving.push_back(it.name);
    }
    // Forget agents that are no longer listed: a new agent may reuse the name later.
    std::erase_if(m_agentsLeaving, [&](const auto &it) { return listed.count(it) == 0; });
}

void ControlLoop::agentLeaving(const std::string &name)
{
    if (m_agentsLeaving.insert(name).second)
        publish();
}

// --- parts and timers ---

void ControlLoop::recordOutcome(const ReportOutcome &outcome)
{
    for (const auto &it : m_parts)
        it->outcomeRecorded(outcome, now());
    scheduleParts();
}

void ControlLoop::recordEndedRequest(const EndedRequest &ending)
{
    for (const auto &it : m_parts)
        it->requestEnded(ending, now());
    scheduleParts();
}

void ControlLoop::sendToPeer(const std::string &peer, const std::string &part,
                             const std::string &payload)
{
    m_peers.sendPart(peer, part, payload);
}

void ControlLoop::pollPeers()
{
    schedule(m_peersTimer, now() + peerPollInterval, [this] { pollPeers(); });
    m_peers.poll();
}

void ControlLoop::scheduleSpread()
{
    schedule(m_propagationTimer, m_propagation.nextWakeTime(),
             [this] { carryOut(m_propagation.tick(now())); });
}

void ControlLoop::scheduleClaims()
{
    schedule(m_claimsTimer, m_claims.nextWakeTime(), [this] { carryOut(m_claims.tick(now())); });
}

void ControlLoop::scheduleParts()
{
    Instant wake = instantNever;
    for (const auto &it : m_parts)
        wake = std::min(wake, it->nextWakeTime());
    schedule(m_partsTimer, wake, [this] {
        for (const auto &it : m_parts) {
            if (it->nextWakeTime() <= now())
                it->wake(now());
        }
        scheduleParts();
    });
}

// Replaces a previously scheduled call; instantNever only cancels it.
void ControlLoop::schedule(boost::asio::steady_timer &timer, Instant at, std::function<void()> run)
{
    timer.cancel();
    if (at == instantNever)
        return;
    timer.expires_after(std::max(at - now(), Duration(0)));
    // A callback that was already queued may run after this object has been destroyed.
    timer.async_wait([run = std::move(run),
                      alive = std::weak_ptr<const bool>(m_alive)](boost::system::error_code ec) {
        if (!ec && !alive.expired())
            run();
    });
}

} // namespace cornelshed::detail
