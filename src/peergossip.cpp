// Sends and receives the reports of gateways and tracks which peers are alive.

#include "peergossip.h"

#include "datagramcodec.h"
#include "eventlog.h"
#include "logthrottle.h"
#include "monotonicclock.h"
#include "reportschedule.h"

#include "gossip.capnp.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace cornelshed {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

using namespace std::chrono_literals;

constexpr std::size_t maxDatagramBytes = 60000;
// A peer that is not heard from counts as possibly alive until its last report, or its registration
// in the store, is older than this.
constexpr Duration mayBeAliveTimeout = 30s;
// Minimum interval between two reports to the same peer that include rollout evidence.
constexpr Duration rolloutReportInterval = 200ms;
// The same for reports that include duties. A gateway that is killed loses the counts of this time.
constexpr Duration dutyReportInterval = 150ms;
// The same for the windows that are fixed, which change once in a window. With the counts of the
// open windows they would be most of what a holder sends.
constexpr Duration fixedReportInterval = 1s;
// Ages in a peer's report are cut to this.
constexpr Duration longestReportedTime = 24h;
// Peers that have no row in the store, as far as this gateway has read it. Each one delays the
// reports to all others, and anybody who reaches the port can invent more.
constexpr std::ptrdiff_t unregisteredPeerLimit = 128;
constexpr std::size_t loggedNameBytes = 64;

// Values that a newer release may send are treated as None.
ReportedLiveness decodeSign(std::uint8_t value)
{
    return value <= static_cast<std::uint8_t>(ReportedLiveness::Unresponsive)
            ? ReportedLiveness(value)
            : ReportedLiveness::None;
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
    // A value that only a newer release knows leaves the rollout running here; the status row in
    // the store provides the result.
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

void encodePromptPart(const PromptPartReport &report, wire::GossipPromptPart::Builder out)
{
    out.setPart(report.part);
    out.setPosition(report.position);
    out.setKind(static_cast<std::uint8_t>(report.kind));
    auto crashes = out.initCrashes(static_cast<unsigned>(report.crashes.size()));
    for (unsigned i = 0; i < crashes.size(); ++i) {
        const PromptCrashReport &it = report.crashes[i];
        crashes[i].setBackend(it.backend);
        crashes[i].setVariant(it.variant);
        crashes[i].setOrganisation(it.organisation);
        crashes[i].setSentAgeMicros(it.sentAge.count());
        crashes[i].setCrashAgeMicros(it.crashAge.count());
        crashes[i].setAnswerAwaited(it.answerAwaited);
    }
    if (report.quarantineAge)
        out.setQuarantineAgeMicros(report.quarantineAge->count());
    out.setQuarantineMicros(report.quarantine.count());
    if (report.clearedAge)
        out.setClearedAgeMicros(report.clearedAge->count());
}

// Bounds a time that a peer sent.
Duration decodeTime(std::int64_t micros)
{
    return std::clamp<Duration>(Duration(micros), Duration::zero(), longestReportedTime);
}

PromptPartReport decodePromptPart(wire::GossipPromptPart::Reader in)
{
    PromptPartReport report;
    report.part = in.getPart();
    report.position = in.getPosition();
    // A kind that only a newer release knows matches no part here.
    if (in.getKind() <= static_cast<std::uint8_t>(PromptPartKind::Whole))
        report.kind = static_cast<PromptPartKind>(in.getKind());
    for (const auto it : in.getCrashes())
        report.crashes.push_back({it.getBackend(), it.getVariant(), it.getOrganisation(),
                                  decodeTime(it.getSentAgeMicros()),
                                  decodeTime(it.getCrashAgeMicros()), it.getAnswerAwaited()});
    if (in.getQuarantineAgeMicros() >= 0)
        report.quarantineAge = decodeTime(in.getQuarantineAgeMicros());
    report.quarantine = decodeTime(in.getQuarantineMicros());
    if (in.getClearedAgeMicros() >= 0)
        report.clearedAge = decodeTime(in.getClearedAgeMicros());
    return report;
}

std::string encodeDuties(DutyReport report, bool includesFixed, std::size_t limitBytes)
{
    if (!includesFixed)
        report.fixed.clear();
    return encodeDutyReport(std::move(report), limitBytes);
}

} // namespace

std::string encodeGossip(const GossipReport &report)
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
        loads[i].setSign(static_cast<std::uint8_t>(report.loads[i].liveness));
        if (const auto &limit = report.loads[i].namedLimit) {
            loads[i].setLimit(limit->perSecond.value_or(-1));
            loads[i].setLimitAgeMicros(limit->age.count());
        }
        if (report.loads[i].leavingStart)
            loads[i].setLeavingStartMs(*report.loads[i].leavingStart);
    }
    auto allowances = root.initAllowances(static_cast<unsigned>(report.consumedTokens.size()));
    unsigned n = 0;
    for (const auto &[organisationDigest, consumed] : report.consumedTokens) {
        allowances[n].setOrganisation(organisationDigest);
        allowances[n].setTaken(consumed);
        ++n;
    }
    auto proofs = root.initProofs(static_cast<unsigned>(report.proofs.size()));
    for (unsigned i = 0; i < proofs.size(); ++i) {
        const auto &proof = report.proofs[i];
        proofs[i].setLastChange(proof ? proof->lastChange.version : 0);
        proofs[i].setEra(proof ? proof->lastChange.era : 0);
        proofs[i].setAgeMicros(-1);
        proofs[i].setStoreTimeMicros(proof ? proof->storeTime.count() : 0);
    }
    auto rollouts = root.initRollouts(static_cast<unsigned>(report.rollouts.size()));
    for (unsigned i = 0; i < rollouts.size(); ++i)
        encodeRollout(report.rollouts[i], rollouts[i]);
    auto promptParts = root.initPromptParts(static_cast<unsigned>(report.promptParts.size()));
    for (unsigned i = 0; i < promptParts.size(); ++i)
        encodePromptPart(report.promptParts[i], promptParts[i]);
    root.setConfigurationVersion(report.configurationVersion);
    if (report.storeReturn) {
        root.setStoreReturnEra(report.storeReturn->era);
        root.setStoreReturnAgeMicros(report.storeReturn->age.count());
    }
    return detail::packDatagram(message) + (report.duties ? encodeDutyReport(*report.duties) : "");
}

std::optional<GossipReport> decodeGossip(const std::string &datagram)
{
    GossipReport report;
    const auto readReport = [&](capnp::MessageReader &message) {
        const auto root = message.getRoot<wire::GossipReport>();
        report.name = root.getName().cStr();
        report.incarnation = root.getIncarnation();
        report.sequence = root.getSequence();
        report.leaving = root.getLeaving();
        report.uptime = Duration(root.getUptimeMicros());
        for (const auto it : root.getLoads())
            report.loads.push_back({it.getBackend(), it.getRunning(), it.getPromptTokens(),
                                    decodeSign(it.getSign()),
                                    decodeNamedLimit(it.getLimit(), it.getLimitAgeMicros()),
                                    it.getLeavingStartMs() < 0
                                            ? std::nullopt
                                            : std::optional<std::int64_t>(it.getLeavingStartMs())});
        for (const auto it : root.getAllowances())
            report.consumedTokens[it.getOrganisation()] = it.getTaken();
        const std::string sender = report.name + "#" + std::to_string(report.incarnation);
        for (const auto it : root.getRollouts())
            report.rollouts.push_back(decodeRollout(it, sender));
        for (const auto it : root.getPromptParts())
            report.promptParts.push_back(decodePromptPart(it));
        report.configurationVersion = root.getConfigurationVersion();
        if (root.getStoreReturnAgeMicros() >= 0)
            report.storeReturn = StoreReturn {root.getStoreReturnEra(),
                                              decodeTime(root.getStoreReturnAgeMicros())};
        const auto proofs = root.getProofs();
        for (unsigned i = 0; i < proofs.size() && i < report.proofs.size(); ++i) {
            if (proofs[i].getStoreTimeMicros() > 0)
                report.proofs[i] = SharedProof {{proofs[i].getEra(), proofs[i].getLastChange()},
                                                Duration(proofs[i].getStoreTimeMicros())};
        }
    };
    std::string rest;
    if (!detail::unpackDatagram(datagram, readReport, &rest) || report.name.empty())
        return std::nullopt;
    if (!rest.empty())
        report.duties = decodeDutyReport(rest);
    return report;
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
        bool loggedAsHeard = false;
        Instant heardAt = Instant::min();
        // When the row in the store was first seen with its present endpoint.
        Instant registeredAt = Instant::min();
        bool registered = false; // has a row in the store
        Instant rolloutsSentAt = Instant::min();
        Instant dutiesSentAt = Instant::min();
        Instant fixedSentAt = Instant::min();
    };

    Private(asio::io_context &context, GatewayRecord gateway, ReportComposer reportComposer,
            ReportHandler reportHandler)
        : ownRecord(std::move(gateway)), composeReport(std::move(reportComposer)),
          handleReport(std::move(reportHandler)), socket(context), timer(context),
          schedule(ownRecord.name)
    { }

    bool heardRecently(const Peer &peer, Instant now) const
    {
        return !peer.leaving && peer.heardAt != Instant::min()
                && now - peer.heardAt < schedule.timing().heardTimeout;
    }

    static bool isPossiblyAlive(const Peer &peer, Instant now)
    {
        const Instant last = std::max(peer.heardAt, peer.registeredAt);
        return !peer.leaving && last != Instant::min() && now - last < mayBeAliveTimeout;
    }

    void receive()
    {
        socket.async_receive_from(asio::buffer(buf), sender,
                                  [self = shared_from_this()](auto ec, std::size_t n) {
                                      if (ec == asio::error::operation_aborted)
                                          return;
                                      if (!ec)
                                          self->handleDatagram(std::string(self->buf.data(), n));
                                      self->receive();
                                  });
    }

    void handleDatagram(const std::string &datagram)
    {
        const auto report = decodeGossip(datagram);
        if (!report || report->name == ownRecord.name)
            return;
        if (!peers.contains(report->name) && !hasRoomForPeer()) {
            logRefusedPeer(report->name);
            return;
        }
        const auto [it, added] = peers.try_emplace(report->name);
        Peer &peer = it->second;
        // Ignore duplicated and reordered datagrams.
        if (peer.incarnation == report->incarnation && report->sequence <= peer.sequence)
            return;
        peer.endpoint = sender;
        peer.incarnation = report->incarnation;
        peer.sequence = report->sequence;
        peer.leaving = report->leaving;
        peer.heardAt = monotonicNow();
        if (added)
            updateSchedule(peer.heardAt);
        handleReport(*report);
    }

    bool hasRoomForPeer() const
    {
        return std::count_if(peers.begin(), peers.end(),
                             [](const auto &it) { return !it.second.registered; })
                < unregisteredPeerLimit;
    }

    void logRefusedPeer(const std::string &name)
    {
        if (const auto more = refusalLog.admit(monotonicNow()))
            EventLog("peer_refused", EventLevel::Warning)
                    .field("peer", name.substr(0, loggedNameBytes))
                    .field("limit", unregisteredPeerLimit)
                    .field("more", *more);
    }

    // Removes peers that are neither registered nor possibly alive, and schedules the others.
    void updateSchedule(Instant now)
    {
        std::erase_if(peers, [&](const auto &it) {
            return !it.second.registered && !isPossiblyAlive(it.second, now);
        });
        std::vector<std::string> names;
        for (const auto &[name, peer] : peers) {
            if (isPossiblyAlive(peer, now))
                names.push_back(name);
        }
        if (names == scheduledNames)
            return;
        schedule.setPeers(names);
        scheduledNames = std::move(names);
    }

    void logChanges(Instant now)
    {
        for (auto &[name, peer] : peers) {
            const bool isHeard = heardRecently(peer, now);
            if (isHeard != peer.loggedAsHeard)
                EventLog(isHeard ? "peer_heard" : "peer_silent").field("peer", name);
            peer.loggedAsHeard = isHeard;
        }
    }

    // isLast: the report is sent with all it has, as another one may not follow.
    void send(const std::vector<std::string> &recipients, bool isLast = false)
    {
        const Instant now = monotonicNow();
        GossipReport report = composeReport();
        const auto duties = std::exchange(report.duties, std::nullopt);
        // With and without the fixed windows, once a recipient is due.
        std::string encodedDuties;
        std::string encodedCounts;
        const std::string complete = encodeGossip(report);
        const bool hasRollouts = !report.rollouts.empty();
        report.rollouts.clear();
        const std::string withoutRollouts = hasRollouts ? encodeGossip(report) : complete;
        for (const std::string &name : recipients) {
            Peer &peer = peers.at(name);
            const bool due = hasRollouts && now >= peer.rolloutsSentAt + rolloutReportInterval;
            if (due)
                peer.rolloutsSentAt = now;
            std::string datagram = due ? complete : withoutRollouts;
            if (duties && (isLast || now >= peer.dutiesSentAt + dutyReportInterval)) {
                peer.dutiesSentAt = now;
                const bool fixedDue = isLast || now >= peer.fixedSentAt + fixedReportInterval;
                if (fixedDue)
                    peer.fixedSentAt = now;
                std::string &text = fixedDue ? encodedDuties : encodedCounts;
                if (text.empty())
                    text = encodeDuties(*duties, fixedDue,
                                        maxDatagramBytes
                                                - std::min(maxDatagramBytes, complete.size()));
                datagram += text;
            }
            if (datagram.size() > maxDatagramBytes)
                continue;
            boost::system::error_code ignored; // the next report replaces a lost one
            socket.send_to(asio::buffer(datagram), peer.endpoint, 0, ignored);
        }
    }

    void sendPeriodically()
    {
        const Instant now = monotonicNow();
        logChanges(now);
        updateSchedule(now);
        send(schedule.nextRecipients());
        timer.expires_after(schedule.timing().interval);
        timer.async_wait([self = shared_from_this()](auto ec) {
            if (!ec)
                self->sendPeriodically();
        });
    }

    GatewayRecord ownRecord;
    ReportComposer composeReport;
    ReportHandler handleReport;
    udp::socket socket;
    asio::steady_timer timer;
    udp::endpoint sender;
    std::array<char, maxDatagramBytes + 8> buf {};
    std::map<std::string, Peer> peers; // by name
    LogThrottle refusalLog {0.2, 2};
    ReportSchedule schedule;
    std::vector<std::string> scheduledNames; // peers that schedule knows; all are in peers
};

PeerGossip::PeerGossip(asio::io_context &context, GatewayRecord self, ReportComposer composeReport,
                       ReportHandler handleReport)
    : d(std::make_shared<Private>(context, std::move(self), std::move(composeReport),
                                  std::move(handleReport)))
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
    const udp::endpoint endpoint(asio::ip::make_address(d->ownRecord.address, ec),
                                 d->ownRecord.port);
    if (!ec)
        d->socket.open(endpoint.protocol(), ec);
    if (!ec)
        d->socket.bind(endpoint, ec);
    if (!ec)
        d->socket.non_blocking(true, ec);
    if (ec)
        return "cannot receive peer reports on port " + std::to_string(d->ownRecord.port) + ": "
                + ec.message();
    d->receive();
    d->sendPeriodically();
    return std::nullopt;
}

void PeerGossip::setRegisteredGateways(const std::vector<GatewayRecord> &gateways)
{
    const Instant now = monotonicNow();
    for (auto &[name, peer] : d->peers)
        peer.registered = false;
    for (const GatewayRecord &it : gateways) {
        boost::system::error_code ec;
        const auto address = asio::ip::make_address(it.address, ec);
        if (ec || it.name == d->ownRecord.name)
            continue;
        auto &peer = d->peers[it.name];
        peer.registered = true;
        const udp::endpoint endpoint(address, it.port);
        // An unchanged row does not show that the gateway is alive.
        if (peer.endpoint == endpoint)
            continue;
        peer.endpoint = endpoint;
        peer.registeredAt = now;
    }
    d->updateSchedule(now);
}

void PeerGossip::sendNow()
{
    d->send(d->scheduledNames, true);
}

GossipView PeerGossip::view() const
{
    const Instant now = monotonicNow();
    GossipView view;
    const ReportTiming timing = d->schedule.timing();
    view.interval = timing.cycle;
    view.heardTimeout = timing.heardTimeout;
    for (const auto &[name, peer] : d->peers) {
        const bool isHeard = d->heardRecently(peer, now);
        view.heardCount += isHeard ? 1 : 0;
        view.rankAmongHeard += isHeard && name < d->ownRecord.name ? 1 : 0;
        if (!Private::isPossiblyAlive(peer, now))
            continue;
        ++view.possiblyAliveCount;
        view.rank += name < d->ownRecord.name ? 1 : 0;
    }
    return view;
}

} // namespace cornelshed
