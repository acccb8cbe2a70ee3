// Outgoing connections are opened for the first message and closed when idle: a daemon exchanges
// messages with only a few peers at a time, and hundreds of idle connections would cost memory.

#include "peernetwork.h"

#include "messageroom.h"
#include "peercodec.h"

#include <capnp/rpc-twoparty.h>
#include <glog/logging.h>
#include <kj/async-io.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace cornelshed {

namespace {

constexpr kj::Duration acceptRetryDelay = 100 * kj::MILLISECONDS;

using VatSystem = capnp::RpcSystem<capnp::rpc::twoparty::VatId>;

kj::Own<kj::NetworkAddress> parseAddress(kj::Network &network, const std::string &address,
                                         std::uint16_t port)
{
    sockaddr_in v4 {};
    if (inet_pton(AF_INET, address.c_str(), &v4.sin_addr) == 1) {
        v4.sin_family = AF_INET;
        v4.sin_port = htons(port);
        return network.getSockaddr(&v4, sizeof v4);
    }
    sockaddr_in6 v6 {};
    KJ_REQUIRE(inet_pton(AF_INET6, address.c_str(), &v6.sin6_addr) == 1, "not an IP address");
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(port);
    return network.getSockaddr(&v6, sizeof v6);
}

// A connection with its RPC state. Members are destroyed in reverse order, as each uses those above
// it.
struct Connection
{
    Connection(kj::Own<kj::AsyncIoStream> opened, capnp::rpc::twoparty::Side side,
               capnp::ReaderOptions options)
        : stream(kj::mv(opened)), network(*stream, side, options)
    { }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    kj::Maybe<VatSystem> system;
};

// Outgoing connection to a peer. The client queues calls until the connection is open.
struct OutgoingConnection
{
    explicit OutgoingConnection(wire::Peer::Client promised) : client(kj::mv(promised)) { }

    std::unique_ptr<Connection> connection;
    wire::Peer::Client client;
    kj::TimePoint lastUse = kj::origin<kj::TimePoint>();
};

class PeerService final : public wire::Peer::Server
{
public:
    explicit PeerService(PeerHandlers &handlers) : m_handlers(handlers) { }

    kj::Promise<void> spread(SpreadContext context) override
    {
        const auto params = context.getParams();
        const auto message = detail::readPropagationMessage(params.getMessage());
        if (!message.has_value())
            return kj::READY_NOW;
        const auto replies = m_handlers.spreadReceived(params.getFrom().cStr(), *message);
        auto list = context.getResults().initReplies(static_cast<unsigned>(replies.size()));
        for (unsigned n = 0; n < list.size(); ++n)
            detail::writePropagationMessage(replies[n], list[n]);
        return kj::READY_NOW;
    }

    kj::Promise<void> version(VersionContext context) override
    {
        context.getResults().setVersion(m_handlers.version());
        return kj::READY_NOW;
    }

    kj::Promise<void> part(PartContext context) override
    {
        const auto params = context.getParams();
        const auto payload = params.getPayload();
        m_handlers.partReceived(params.getFrom().cStr(), params.getPart().cStr(),
                                {reinterpret_cast<const char *>(payload.begin()), payload.size()});
        return kj::READY_NOW;
    }

private:
    PeerHandlers &m_handlers;
};

} // namespace

class PeerNetwork::Private final : private kj::TaskSet::ErrorHandler
{
public:
    Private(PeerNetworkSettings settings, PeerHandlers handlers)
        : m_settings(std::move(settings)), m_handlers(std::move(handlers)),
          m_io(kj::setupAsyncIo()), m_messageRoom(m_settings.messageLimitBytes),
          m_service(kj::heap<PeerService>(m_handlers)), m_tasks(*this)
    {
        if (!m_settings.listenAddress.empty())
            listen();
    }

    void setPeers(const std::vector<PeerAddress> &peers)
    {
        std::map<std::string, PeerAddress> next;
        for (const PeerAddress &it : peers)
            next[it.name] = it;
        for (const auto &[name, peer] : m_peers) {
            const auto kept = next.find(name);
            if (kept == next.end() || kept->second != peer)
                closeConnection(name);
        }
        m_peers = std::move(next);
    }

    void sendSpread(const std::string &peer, const PropagationMessage &message)
    {
        OutgoingConnection *outgoing = findOrOpenConnection(peer);
        if (outgoing == nullptr)
            return;
        auto request = outgoing->client.spreadRequest();
        request.setFrom(m_settings.ownName);
        detail::writePropagationMessage(message, request.initMessage());
        addCall(peer, request.send().then([this, peer](auto response) {
            for (const auto it : response.getReplies()) {
                if (const auto reply = detail::readPropagationMessage(it))
                    m_handlers.spreadReplied(peer, *reply);
            }
        }));
    }

    void sendPart(const std::string &peer, const std::string &part, const std::string &payload)
    {
        OutgoingConnection *outgoing = findOrOpenConnection(peer);
        if (outgoing == nullptr)
            return;
        auto request = outgoing->client.partRequest();
        request.setFrom(m_settings.ownName);
        request.setPart(part);
        request.setPayload({reinterpret_cast<const kj::byte *>(payload.data()), payload.size()});
        addCall(peer, request.send().ignoreResult());
    }

    void queryVersion(const std::string &peer, const VersionCallback &callback)
    {
        OutgoingConnection *outgoing = findOrOpenConnection(peer);
        if (outgoing == nullptr) {
            callback(std::nullopt);
            return;
        }
        auto call = outgoing->client.versionRequest().send().then(
                [](auto response) { return response.getVersion(); });
        m_tasks.add(timer().timeoutAfter(timeout(), kj::mv(call))
                            .then([callback](std::uint64_t version) { callback(version); },
                                  [this, peer, callback](const kj::Exception &) {
                                      closeConnection(peer);
                                      callback(std::nullopt);
                                  }));
    }

    void poll()
    {
        // Connections are destroyed here, since none may be destroyed from its own callback.
        m_closedConnections.clear();
        closeIdleConnections();
        kj::Promise<void>(kj::NEVER_DONE).poll(m_io.waitScope);
    }

    std::uint16_t port() const { return m_port; }

private:
    kj::Timer &timer() { return m_io.provider->getTimer(); }
    kj::Duration timeout() const { return m_settings.callTimeout.count() * kj::MICROSECONDS; }

    capnp::ReaderOptions readerOptions() const
    {
        capnp::ReaderOptions options;
        options.traversalLimitInWords = m_settings.messageLimitBytes / sizeof(capnp::word);
        return options;
    }

    void listen()
    {
        const auto error = kj::runCatchingExceptions([&] {
            auto address = parseAddress(m_io.provider->getNetwork(), m_settings.listenAddress,
                                        m_settings.port);
            m_listener = address->listen();
            m_port = static_cast<std::uint16_t>(m_listener->getPort());
        });
        KJ_IF_MAYBE (it, error) {
            throw PeerNetworkError("cannot listen for peers on " + m_settings.listenAddress + ":"
                                   + std::to_string(m_settings.port) + ": "
                                   + it->getDescription().cStr());
        }
        acceptNext();
    }

    void acceptNext()
    {
        m_tasks.add(m_listener->accept()
                            .then([this](kj::Own<kj::AsyncIoStream> stream) {
                                if (m_accepted.size() < m_settings.connectionLimitCount)
                                    serve(kj::mv(stream));
                            })
                            .catch_([this](const kj::Exception &error) {
                                LOG(WARNING) << "event=peer_accept_failed reason=\""
                                             << error.getDescription().cStr() << "\"";
                                // Probably out of file descriptors, so retrying at once is no use.
                                return timer().afterDelay(acceptRetryDelay);
                            })
                            .then([this] { acceptNext(); }));
    }

    void serve(kj::Own<kj::AsyncIoStream> stream)
    {
        const std::uint64_t id = ++m_lastAccepted;
        auto connection = std::make_unique<Connection>(
                detail::limitMessages(kj::mv(stream), m_messageRoom, timer()),
                capnp::rpc::twoparty::Side::SERVER, readerOptions());
        connection->system.emplace(capnp::makeRpcServer(connection->network, m_service));
        m_tasks.add(connection->network.onDisconnect().then([this, id] { closeAccepted(id); }));
        m_accepted[id] = std::move(connection);
    }

    void closeAccepted(std::uint64_t id)
    {
        const auto it = m_accepted.find(id);
        if (it == m_accepted.end())
            return;
        m_closedConnections.push_back(
                std::make_shared<std::unique_ptr<Connection>>(std::move(it->second)));
        m_accepted.erase(it);
    }

    // Opens the connection if needed; null if the peer is not known.
    OutgoingConnection *findOrOpenConnection(const std::string &peer)
    {
        const auto known = m_peers.find(peer);
        if (known == m_peers.end())
            return nullptr;
        std::shared_ptr<OutgoingConnection> &outgoing = m_outgoing[peer];
        if (outgoing == nullptr)
            outgoing = openConnection(known->second);
        outgoing->lastUse = timer().now();
        return outgoing.get();
    }

    std::shared_ptr<OutgoingConnection> openConnection(const PeerAddress &peer)
    {
        const auto weakOutgoing = std::make_shared<std::weak_ptr<OutgoingConnection>>();
        auto client = kj::evalNow([&] {
                          auto address = parseAddress(m_io.provider->getNetwork(), peer.address,
                                                      peer.port);
                          auto connecting = address->connect();
                          return connecting.attach(kj::mv(address));
                      }).then([this, weakOutgoing](kj::Own<kj::AsyncIoStream> stream) {
            return handleConnected(weakOutgoing->lock(), kj::mv(stream));
        });
        auto outgoing = std::make_shared<OutgoingConnection>(wire::Peer::Client(kj::mv(client)));
        *weakOutgoing = outgoing;
        return outgoing;
    }

    wire::Peer::Client handleConnected(const std::shared_ptr<OutgoingConnection> &outgoing,
                                       kj::Own<kj::AsyncIoStream> stream)
    {
        if (outgoing == nullptr)
            kj::throwFatalException(KJ_EXCEPTION(
                    DISCONNECTED, "the connection was closed before it was established"));
        outgoing->connection = std::make_unique<Connection>(
                kj::mv(stream), capnp::rpc::twoparty::Side::CLIENT, readerOptions());
        Connection &connection = *outgoing->connection;
        connection.system.emplace(capnp::makeRpcClient(connection.network));
        capnp::MallocMessageBuilder message;
        auto server = message.initRoot<capnp::rpc::twoparty::VatId>();
        server.setSide(capnp::rpc::twoparty::Side::SERVER);
        return KJ_ASSERT_NONNULL(connection.system).bootstrap(server).castAs<wire::Peer>();
    }

    // If a call fails or times out, the connection is closed; the next message opens a new one.
    void addCall(const std::string &peer, kj::Promise<void> call)
    {
        m_tasks.add(timer().timeoutAfter(timeout(), kj::mv(call))
                            .catch_([this, peer](const kj::Exception &error) {
                                LOG_EVERY_N(INFO, 100)
                                        << "event=peer_call_failed peer=" << peer << " reason=\""
                                        << error.getDescription().cStr() << "\"";
                                closeConnection(peer);
                            }));
    }

    void closeConnection(const std::string &peer)
    {
        const auto it = m_outgoing.find(peer);
        if (it == m_outgoing.end())
            return;
        m_closedConnections.push_back(std::move(it->second));
        m_outgoing.erase(it);
    }

    void closeIdleConnections()
    {
        const kj::Duration idle = m_settings.idleTimeout.count() * kj::MICROSECONDS;
        std::erase_if(m_outgoing,
                      [&](const auto &it) { return timer().now() - it.second->lastUse > idle; });
    }

    void taskFailed(kj::Exception &&error) override
    {
        LOG(WARNING) << "event=peer_task_failed reason=\"" << error.getDescription().cStr() << "\"";
    }

    PeerNetworkSettings m_settings;
    PeerHandlers m_handlers;
    kj::AsyncIoContext m_io;
    detail::MessageRoom m_messageRoom; // of the accepted connections, which use it
    wire::Peer::Client m_service;
    kj::Own<kj::ConnectionReceiver> m_listener;
    std::uint16_t m_port = 0;
    std::map<std::string, PeerAddress> m_peers;
    std::map<std::string, std::shared_ptr<OutgoingConnection>> m_outgoing;
    std::map<std::uint64_t, std::unique_ptr<Connection>> m_accepted;
    std::uint64_t m_lastAccepted = 0;
    std::vector<std::shared_ptr<void>> m_closedConnections; // destroyed by the next poll()
    kj::TaskSet m_tasks; // destroyed first: cancels the tasks, which use the members above
};

PeerNetwork::PeerNetwork(PeerNetworkSettings settings, PeerHandlers handlers)
    : d(std::make_unique<Private>(std::move(settings), std::move(handlers)))
{ }

PeerNetwork::~PeerNetwork() = default;

void PeerNetwork::setPeers(const std::vector<PeerAddress> &peers)
{
    d->setPeers(peers);
}

void PeerNetwork::sendSpread(const std::string &peer, const PropagationMessage &message)
{
    d->sendSpread(peer, message);
}

void PeerNetwork::sendPart(const std::string &peer, const std::string &part,
                           const std::string &payload)
{
    d->sendPart(peer, part, payload);
}

void PeerNetwork::queryVersion(const std::string &peer, const VersionCallback &callback)
{
    d->queryVersion(peer, callback);
}

void PeerNetwork::poll()
{
    d->poll();
}

std::uint16_t PeerNetwork::port() const
{
    return d->port();
}

} // namespace cornelshed
