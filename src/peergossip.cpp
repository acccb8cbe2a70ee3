// Datagrams between gateways, and which of them are heard.

#include "peergossip.h"

#include "datagramcodec.h"
#include "eventlog.h"
#include "monotonicclock.h"
#include "stabledigest.h"

#include "gossip.capnp.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>

namespace cornelshed {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

using namespace std::chrono_literals;

constexpr std::size_t datagramLimitBytes = 60000;
// Interval between reports: the shortest, and for each peer, so that the traffic of a daemon stays
// the same in large fleets.
constexpr Duration leastInterval = 20ms;
constexpr Duration intervalPerPeer = 10ms;
// A peer is heard if a report arrived within this time, and may be alive for a while longer.
constexpr Duration heardTime = 1s;
constexpr Duration mayBeAliveTime = 30s;
// Own reports whose sending times are kept for echoes; older ones would prove little.
constexpr std::size_t sentTimesKept = 64;

// Values of later releases tell nothing.
BackendSign signOf(std::uint8_t value)
{
    return value <= static_cast<std::uint8_t>(BackendSign::Silent) ? BackendSign(value)
                                                                   : BackendSign::None;
}

void encodeRollout(const RolloutReport &report, wire::GossipRollout::Builder out)
{
    out.setName(report.rollout);
    out.setRemainingMicros(report.remaining.count());
    out.setStage(report.progress.stage);
    out.setEnd(static_cast<std::uint8_t>(report.progress.end));
    out.setReason(report.progress.reason);
    auto evidence = out.initEvidence(static_cast<unsigned>(report.evidence.size()));
    unsigned n = 0;
    for (const auto &[key, counts] : report.evidence) {
        auto entry = evidence[n++];
        entry.setRoute(key.route);
        entry.setNewVersion(key.newVersion);
        entry.setAnswers(counts.answers);
        entry.setFailures(counts.failures);
        auto slowness = entry.initSlowness(static_cast<unsigned>(counts.slowness.size()));
        for (unsigned i = 0; i < slowness.size(); ++i)
            slowness.set(i, counts.slowness[i]);
    }
}

RolloutReport decodeRollout(wire::GossipRollout::Reader in, const std::string &sender)
{
    RolloutReport report;
    report.rollout = in.getName().cStr();
    report.remaining = Duration(in.getRemainingMicros());
    report.progress.stage = in.getStage();
    // Ends of later releases stay open here; the status row tells them.
    if (in.getEnd() <= static_cast<std::uint8_t>(RolloutEnd::Infeasible))
        report.progress.end = static_cast<RolloutEnd>(in.getEnd());
    report.progress.reason = in.getReason().cStr();
    for (const auto it : in.getEvidence()) {
        const EvidenceKey key {report.rollout, sender, it.getRoute().cStr(), it.getNewVersion()};
        VersionCounts &counts = report.evidence[key];
        counts.answers = it.getAnswers();
        counts.failures = it.getFailures();
        const auto slowness = it.getSlowness();
        for (unsigned i = 0; i < slowness.size() && i < counts.slowness.size(); ++i)
            counts.slowness[i] = slowness[i];
    }
    return report;
}

} // namespace

std::string encodeGossip(const GossipReport &report, const GossipEchoes &echoes)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::GossipReport>();
    root.setName(report.name);
    root.setIncarnation(report.incarnation);
    root.setSequence(report.sequence);
    root.setLeaving(report.leaving);
    root.setUptimeMicros(report.uptime.count());
    auto loads = root.initLoads(static_cast<unsigned>(report.loads.size()));
    for (unsigned i = 0; i < loads.size(); ++i) {
        loads[i].setBackend(report.loads[i].backendDigest);
        loads[i].setRunning(report.loads[i].running);
        loads[i].setPromptTokens(report.loads[i].promptTokens);
        loads[i].setSign(static_cast<std::uint8_t>(report.loads[i].sign));
    }
    auto allowances = root.initAllowances(static_cast<unsigned>(report.taken.size()));
    unsigned n = 0;
    for (const auto &[organisation, taken] : report.taken) {
        allowances[n].setOrganisation(organisation);
        allowances[n].setTaken(taken);
        ++n;
    }
    auto proofs = root.initProofs(static_cast<unsigned>(report.proofs.size()));
    for (unsigned i = 0; i < proofs.size(); ++i) {
        const auto &proof = report.proofs[i];
        proofs[i].setLastChange(proof ? proof->lastChange : 0);
        proofs[i].setAgeMicros(proof ? proof->age.count() : -1);
    }
    auto rollouts = root.initRollouts(static_cast<unsigned>(report.rollouts.size()));
    for (unsigned i = 0; i < rollouts.size(); ++i)
        encodeRollout(report.rollouts[i], rollouts[i]);
    auto sentEchoes = root.initEchoes(static_cast<unsigned>(echoes.size()));
    n = 0;
    for (const auto &[peer, echo] : echoes) {
        sentEchoes[n].setPeer(peer);
        sentEchoes[n].setIncarnation(echo.incarnation);
        sentEchoes[n].setSequence(echo.sequence);
        ++n;
    }
    return detail::packDatagram(message);
}

std::optional<DecodedGossip> decodeGossip(const std::string &datagram)
{
    DecodedGossip decoded;
    GossipReport &report = decoded.report;
    const bool proper = detail::unpackDatagram(datagram, [&](capnp::MessageReader &message) {
        const auto root = message.getRoot<wire::GossipReport>();
        report.name = root.getName().cStr();
        report.incarnation = root.getIncarnation();
        report.sequence = root.getSequence();
        report.leaving = root.getLeaving();
        report.uptime = Duration(root.getUptimeMicros());
        for (const auto it : root.getLoads())
            report.loads.push_back(
                    {it.getBackend(), it.getRunning(), it.getPromptTokens(), signOf(it.getSign())});
        for (const auto it : root.getAllowances())
            report.taken[it.getOrganisation()] = it.getTaken();
        for (const auto it : root.getEchoes())
            decoded.echoes[it.getPeer()] = {it.getIncarnation(), it.getSequence()};
        const std::string sender = report.name + "#" + std::to_string(report.incarnation);
        for (const auto it : root.getRollouts())
            report.rollouts.push_back(decodeRollout(it, sender));
        const auto proofs = root.getProofs();
        for (unsigned i = 0; i < proofs.size() && i < report.proofs.size(); ++i) {
            if (proofs[i].getAgeMicros() >= 0)
                report.proofs[i] =
                        SharedProof {proofs[i].getLastChange(), Duration(proofs[i].getAgeMicros())};
        }
    });
    if (!proper || report.name.empty())
        return std::nullopt;
    return decoded;
}

class PeerGossip::Private : public std::enable_shared_from_this<Private>
{
public:
    struct Peer
    {
        udp::endpoint endpoint;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        bool leaving = false;
        bool wasHeard = false; // as last logged
        Instant heardAt = Instant::min();
        Instant listedAt = Instant::min();
    };

    Private(asio::io_context &context, GatewayRecord given, Compose composes, Received receives)
        : self(std::move(given)), compose(std::move(composes)), received(std::move(receives)),
          socket(context), timer(context)
    { }

    static bool heard(const Peer &peer, Instant now)
    {
        return !peer.leaving && peer.heardAt != Instant::min() && now - peer.heardAt < heardTime;
    }

    static bool mayBeAlive(const Peer &peer, Instant now)
    {
        const Instant last = std::max(peer.heardAt, peer.listedAt);
        return !peer.leaving && last != Instant::min() && now - last < mayBeAliveTime;
    }

    void receive()
    {
        socket.async_receive_from(asio::buffer(buf), sender,
                                  [self = shared_from_this()](auto ec, std::size_t n) {
                                      if (ec == asio::error::operation_aborted)
                                          return;
                                      if (!ec)
                                          self->handle(std::string(self->buf.data(), n));
                                      self->receive();
                                  });
    }

    void handle(const std::string &datagram)
    {
        const auto decoded = decodeGossip(datagram);
        if (!decoded || decoded->report.name == self.name)
            return;
        const GossipReport *report = &decoded->report;
        Peer &peer = peers[report->name];
        // A datagram that was overtaken, or of an earlier life, tells nothing.
        if (peer.incarnation == report->incarnation && report->sequence <= peer.sequence)
            return;
        peer.endpoint = sender;
        peer.incarnation = report->incarnation;
        peer.sequence = report->sequence;
        peer.leaving = report->leaving;
        peer.heardAt = monotonicNow();
        received(*report, echoedSentAt(decoded->echoes));
    }

    std::optional<Duration> echoedSentAt(const GossipEchoes &echoes) const
    {
        const auto echo = echoes.find(stableDigest(self.name));
        if (echo == echoes.end() || echo->second.incarnation != incarnation)
            return std::nullopt;
        const auto sent = sentTimes.find(echo->second.sequence);
        return sent == sentTimes.end() ? std::nullopt : std::optional(sent->second);
    }

    GossipEchoes echoes() const
    {
        GossipEchoes result;
        for (const auto &[name, peer] : peers) {
            if (peer.incarnation != 0)
                result[stableDigest(name)] = {peer.incarnation, peer.sequence};
        }
        return result;
    }

    void logChanges(Instant now)
    {
        for (auto &[name, peer] : peers) {
            const bool isHeard = heard(peer, now);
            if (isHeard != peer.wasHeard)
                EventLog(isHeard ? "peer_heard" : "peer_silent").field("peer", name);
            peer.wasHeard = isHeard;
        }
    }

    void send()
    {
        const Instant now = monotonicNow();
        logChanges(now);
        const GossipReport report = compose();
        incarnation = report.incarnation;
        sentTimes[report.sequence] = timeSinceBoot();
        if (sentTimes.size() > sentTimesKept)
            sentTimes.erase(sentTimes.begin());
        const std::string datagram = encodeGossip(report, echoes());
        if (datagram.size() > datagramLimitBytes)
            return;
        for (const auto &[name, peer] : peers) {
            if (!mayBeAlive(peer, now))
                continue;
            boost::system::error_code ignored; // a lost report is replaced by the next
            socket.send_to(asio::buffer(datagram), peer.endpoint, 0, ignored);
        }
    }

    Duration interval() const
    {
        return std::max(leastInterval, intervalPerPeer * static_cast<std::int64_t>(peers.size()));
    }

    void tick()
    {
        send();
        timer.expires_after(interval());
        timer.async_wait([self = shared_from_this()](auto ec) {
            if (!ec)
                self->tick();
        });
    }

    GatewayRecord self;
    Compose compose;
    Received received;
    udp::socket socket;
    asio::steady_timer timer;
    udp::endpoint sender;
    std::array<char, datagramLimitBytes + 8> buf {};
    std::map<std::string, Peer> peers; // by name
    std::uint64_t incarnation = 0;
    std::map<std::uint64_t, Duration> sentTimes; // of the last own reports, by sequence
};

PeerGossip::PeerGossip(asio::io_context &context, GatewayRecord self, Compose compose,
                       Received received)
    : d(std::make_shared<Private>(context, std::move(self), std::move(compose),
                                  std::move(received)))
{ }

PeerGossip::~PeerGossip()
{
    boost::system::error_code ignored;
    d->timer.cancel();
    d->socket.close(ignored);
}

std::optional<std::string> PeerGossip::start()
{
    boost::system::error_code ec;
    const udp::endpoint endpoint(asio::ip::make_address(d->self.address, ec), d->self.port);
    if (!ec)
        d->socket.open(endpoint.protocol(), ec);
    if (!ec)
        d->socket.bind(endpoint, ec);
    if (!ec)
        d->socket.non_blocking(true, ec);
    if (ec)
        return "cannot receive peer reports on port " + std::to_string(d->self.port) + ": "
                + ec.message();
    d->receive();
    d->tick();
    return std::nullopt;
}

void PeerGossip::setListed(const std::vector<GatewayRecord> &gateways)
{
    const Instant now = monotonicNow();
    for (const GatewayRecord &it : gateways) {
        boost::system::error_code ec;
        const auto address = asio::ip::make_address(it.address, ec);
        if (ec || it.name == d->self.name)
            continue;
        auto &peer = d->peers[it.name];
        const udp::endpoint endpoint(address, it.port);
        // A row that was seen before is no sign of life.
        if (peer.endpoint == endpoint)
            continue;
        peer.endpoint = endpoint;
        peer.listedAt = now;
    }
}

void PeerGossip::sendNow()
{
    d->send();
}

GossipView PeerGossip::view() const
{
    const Instant now = monotonicNow();
    GossipView view;
    view.interval = d->interval();
    for (const auto &[name, peer] : d->peers) {
        const bool isHeard = Private::heard(peer, now);
        view.heard += isHeard ? 1 : 0;
        view.heardPlace += isHeard && name < d->self.name ? 1 : 0;
        if (!Private::mayBeAlive(peer, now))
            continue;
        ++view.mayBeAlive;
        view.place += name < d->self.name ? 1 : 0;
    }
    return view;
}

} // namespace cornelshed
