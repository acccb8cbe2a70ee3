// Queues by service and placement by the expected time to the first event.

#include "directscheduler.h"

#include "outlierdetector.h"
#include "stabledigest.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <unordered_map>

namespace cornelshed {

namespace {

using namespace std::chrono_literals;

// Reports of a peer older than this are dropped: it is gone or cut off.
constexpr Duration peerReportAge = 2s;
// A backend server that broke a connection may have restarted; until its record tells, it is held
// to the rate of a cold one.
constexpr Duration suspectTime = 3s;
// Between the turns of two daemons to try a backend server whose agent is silent, for each daemon:
// reports of peers come once in up to 10 ms for each of them (see peergossip.cpp).
constexpr Duration trialTurnPerDaemon = 15ms;
// After a refusal for lack of room, when the next request is tried.
constexpr Duration fullPause = 40ms;
// Share of the prompt that a backend server reads although it ran the session's last request.
constexpr double cachedPromptShare = 0.25;
// Cost of another availability zone: a round trip and the priced bytes, as time.
constexpr double otherZoneSeconds = 0.004;
// Cost of a full batch: every stream's next token waits for the same step.
constexpr double occupancySeconds = 0.030;
constexpr double slownessSmoothing = 0.2;
constexpr double slownessLimit = 10;
// At most this part of the slots of a backend server is left free for higher ranks.
constexpr std::uint32_t reserveDivisor = 3;
// An ask without an answer is repeated once after this time; then the agent counts as silent and
// its backend server is used without it.
constexpr Duration askAnswerTime = 25ms;
// Backend servers asked at once, in all, and the time after which one more is asked.
constexpr std::size_t firstAsks = 3;
constexpr std::size_t askLimit = 8;
constexpr Duration askInterval = 20ms;
// Use of a cold server's rate without agents; with them, what is left beside the agent's grants,
// less those that an agent may repeat after its restart.
constexpr double coldUse = 1.25;
constexpr double agentColdMargin = 3;
constexpr double firstServiceSeconds = 0.3;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration durationOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

OutlierSettings outlierSettings()
{
    OutlierSettings settings;
    settings.consecutiveFailures = 3;
    settings.slowFactor = 4; // engines of one service differ threefold in speed without a fault
    settings.firstEjection = 1s;
    settings.longestEjection = 8s;
    return settings;
}

} // namespace

class DirectScheduler::Private
{
public:
    struct Backend
    {
        BackendRecord record;
        std::uint64_t digest = 0;
        ServerSlot slot = noServerSlot;
        bool listed = false;
        std::uint32_t running = 0;            // own
        std::uint64_t unreadPromptTokens = 0; // own, of requests without a first event
        std::uint32_t peerRunning = 0;
        std::uint64_t peerPromptTokens = 0;
        std::uint32_t peersSilent = 0; // peers whose last report says Silent
        double slowness = 1;           // time over the service's mean
        Instant coldUntil {};
        Instant fullUntil {};
        bool misdirected = false;   // its address is another's; until its record changes
        std::deque<Instant> starts; // own, of the last second
        SignsOfLife signs;
    };
    // An ask for a slot under way.
    struct Ask
    {
        Instant askedAt {};
        bool repeated = false;
        std::optional<std::uint32_t> ahead; // set once the agent answered
    };
    struct Waiting
    {
        DirectRequest request;
        std::map<std::string, Ask> asks; // by backend server
        Instant askedAt {};              // last
    };
    struct Service
    {
        OutlierGroup group = 0;
        std::map<std::pair<std::uint64_t, std::uint64_t>, Waiting> queue; // by order, arrival
        std::vector<Backend *> backends;                                  // listed ones
        double coldRate = 0;
        double serviceSeconds = firstServiceSeconds; // mean time of a request on a backend server
        double eventSeconds = 0;                     // mean time between events; 0: unknown
    };
    struct Started
    {
        std::string backend;
        std::string service;
        std::uint64_t promptTokens = 0;
        std::uint64_t outputTokens = 0;
        bool probe = false;
        bool firstEventSeen = false;
    };
    struct PeerState
    {
        std::vector<PeerLoad> loads;
        Instant reportedAt {};
    };

    explicit Private(const DirectSettings &given) : settings(given), outliers(outlierSettings()) { }

    Service &serviceOf(const std::string &name)
    {
        const auto [it, added] = services.try_emplace(name);
        if (added)
            it->second.group = static_cast<OutlierGroup>(services.size() - 1);
        return it->second;
    }

    void applyPeer(const PeerState &peer, int sign)
    {
        for (const PeerLoad &load : peer.loads) {
            const auto it = backendOfDigest.find(load.backendDigest);
            if (it == backendOfDigest.end())
                continue;
            it->second->peerRunning += sign * load.running;
            it->second->peerPromptTokens += sign * load.promptTokens;
            it->second->peersSilent += load.sign == BackendSign::Silent ? sign : 0;
        }
    }

    void recountPeers()
    {
        for (auto &[id, backend] : backends) {
            backend.peerRunning = 0;
            backend.peerPromptTokens = 0;
            backend.peersSilent = 0;
        }
        for (const auto &[id, peer] : peers)
            applyPeer(peer, 1);
    }

    void dropSilentPeers(Instant now)
    {
        const auto erased = std::erase_if(
                peers, [&](const auto &it) { return it.second.reportedAt + peerReportAge <= now; });
        if (erased > 0)
            recountPeers();
    }

    // Requests a second that this daemon may send to a cold backend server.
    std::uint32_t coldShare(const Backend &backend, double coldRate) const
    {
        const double bound = coldRate * settings.coldOver + settings.coldConstant;
        const double usable = settings.agents ? bound - coldRate - agentColdMargin
                                              : std::min(bound - 1, coldRate * coldUse);
        const auto limit = static_cast<std::uint32_t>(std::max(usable, 0.0));
        if (limit >= daemonCount)
            return limit / daemonCount;
        // More daemons than requests: each backend server is left to some of them.
        const std::uint64_t turn = (daemonPlace + backend.digest) % daemonCount;
        return turn < limit ? 1 : 0;
    }

    bool bearsOneMore(Backend &backend, const Service &service, Instant now) const
    {
        if (service.coldRate <= 0 || backend.coldUntil <= now)
            return true;
        while (!backend.starts.empty() && backend.starts.front() + 1s <= now)
            backend.starts.pop_front();
        return backend.starts.size() < coldShare(backend, service.coldRate);
    }

    bool mayUse(const Backend &backend) const
    {
        return backend.listed && !backend.record.draining && !backend.misdirected
                && !withdrawnZones.contains(backend.record.availabilityZone);
    }

    static bool maySend(const Backend &backend, const DirectRequest &request)
    {
        return !request.excluded.contains(backend.record.id)
                && request.version.allows(backend.record.version);
    }

    bool hasRoom(Backend &backend, const Service &service, const DirectRequest &request,
                 Instant now) const
    {
        const std::uint32_t slots = backend.record.slots;
        const std::uint32_t reserve = std::min(request.leaveFree, slots / reserveDivisor);
        if (!mayUse(backend) || backend.signs.hasAgent(now)
            || backend.signs.mayBeSilent(turnDelay(backend), backend.peersSilent, now)
            || backend.running + backend.peerRunning + reserve >= slots || backend.fullUntil > now
            || !maySend(backend, request))
            return false;
        const OutlierState state = outliers.state(backend.slot);
        return (state == OutlierState::Admitted || state == OutlierState::ProbeReady)
                && bearsOneMore(backend, service, now);
    }

    // How long after a sign of silence this daemon's turn to try the backend server comes.
    Duration turnDelay(const Backend &backend) const
    {
        const auto turn = static_cast<std::int64_t>((daemonPlace + backend.digest) % daemonCount);
        return turn * trialTurnPerDaemon * static_cast<std::int64_t>(daemonCount);
    }

    // Whether the agent of the backend server is to be asked for the request.
    bool mayAsk(const Backend &backend, const Waiting &waiting, Instant now) const
    {
        const OutlierState state = outliers.state(backend.slot);
        return mayUse(backend) && backend.signs.hasAgent(now) && backend.fullUntil <= now
                && (state == OutlierState::Admitted || state == OutlierState::ProbeReady)
                && maySend(backend, waiting.request) && !waiting.asks.contains(backend.record.id);
    }

    // Expected seconds to the first event, with what the placement costs others.
    double cost(const Backend &backend, const DirectRequest &request, const Backend *home) const
    {
        const double cached = home == &backend ? cachedPromptShare : 1;
        const double unread = static_cast<double>(backend.unreadPromptTokens)
                + static_cast<double>(backend.peerPromptTokens)
                + cached * static_cast<double>(request.promptTokens);
        const double occupancy = static_cast<double>(backend.running + backend.peerRunning)
                / std::max(backend.record.slots, 1U);
        double seconds = backend.slowness
                * (unread / settings.promptTokensPerSecond + occupancy * occupancySeconds);
        if (backend.record.availabilityZone != settings.availabilityZone)
            seconds += otherZoneSeconds;
        return seconds;
    }

    // The backend server on which requests of the session meet, by rendezvous hashing; it stays
    // the same for all daemons and for most sessions when the set changes.
    const Backend *homeOf(const Service &service, const DirectRequest &request) const
    {
        if (request.sessionPart.empty())
            return nullptr;
        const Backend *home = nullptr;
        std::uint64_t best = 0;
        for (const Backend *it : service.backends) {
            const std::uint64_t weight = stableDigest(request.sessionPart, it->digest);
            const bool usable = mayUse(*it) && request.version.allows(it->record.version);
            if (usable && (home == nullptr || weight > best)) {
                home = it;
                best = weight;
            }
        }
        return home;
    }

    Backend *place(Service &service, const DirectRequest &request, Instant now)
    {
        const Backend *home = homeOf(service, request);
        Backend *chosen = nullptr;
        double least = 0;
        for (Backend *it : service.backends) {
            if (!hasRoom(*it, service, request, now))
                continue;
            const double seconds = cost(*it, request, home);
            if (chosen == nullptr || seconds < least) {
                chosen = it;
                least = seconds;
            }
        }
        return chosen;
    }

    void start(Backend &backend, const DirectRequest &request, Instant now)
    {
        ++backend.running;
        backend.signs.requestStarted();
        backend.unreadPromptTokens += request.promptTokens;
        backend.starts.push_back(now);
        while (backend.starts.front() + 1s <= now)
            backend.starts.pop_front();
        Started started {backend.record.id, request.service, request.promptTokens,
                         request.outputTokens};
        started.probe = outliers.state(backend.slot) == OutlierState::ProbeReady;
        outliers.probeStarted(backend.slot);
        startedRequests.emplace(request.id, std::move(started));
    }

    // Time that a request behind this many others waits, by the places that this daemon can use.
    Duration expectedWait(const Service &service, std::size_t ahead) const
    {
        double places = 0;
        for (const Backend *it : service.backends) {
            if (mayUse(*it))
                places += it->record.slots;
        }
        places /= daemonCount;
        if (places <= 0)
            return 1s;
        return durationOf(static_cast<double>(ahead + 1) * service.serviceSeconds / places);
    }

    bool anyUsable(const Service &service) const
    {
        return std::any_of(service.backends.begin(), service.backends.end(),
                           [&](const Backend *it) { return mayUse(*it); });
    }

    void advanceService(Service &service, Instant now, std::vector<DirectAction> &actions)
    {
        std::size_t ahead = 0;
        // Requests that leave at least this many slots free come after one that found no place.
        std::uint32_t blockedFrom = UINT32_MAX;
        for (auto it = service.queue.begin(); it != service.queue.end();) {
            Waiting &waiting = it->second;
            const DirectRequest &request = waiting.request;
            Backend *backend =
                    request.leaveFree < blockedFrom ? place(service, request, now) : nullptr;
            if (backend != nullptr) {
                start(*backend, request, now);
                actions.emplace_back(StartAction {request.id, backend->record.id});
                it = erase(service, it, {});
                continue;
            }
            if (const auto refusal = refuse(service, waiting, ahead, now)) {
                actions.emplace_back(*refusal);
                it = erase(service, it, {});
                continue;
            }
            checkAsks(waiting, now, actions);
            askMore(service, waiting, now, actions);
            // A request that is kept from some backend servers does not hold up the others.
            if (request.excluded.empty() && request.version.version.empty())
                blockedFrom = std::min(blockedFrom, request.leaveFree);
            ++ahead;
            ++it;
        }
    }

    // Repeats asks that were not answered, and gives up on agents that do not answer.
    void checkAsks(Waiting &waiting, Instant now, std::vector<DirectAction> &actions)
    {
        for (auto it = waiting.asks.begin(); it != waiting.asks.end();) {
            Ask &ask = it->second;
            const auto backend = backends.find(it->first);
            if (backend == backends.end()) {
                it = waiting.asks.erase(it);
                continue;
            }
            if (!ask.ahead && now >= ask.askedAt + askAnswerTime) {
                if (ask.repeated) {
                    backend->second.signs.agentUnanswered(now);
                    it = waiting.asks.erase(it);
                    continue;
                }
                ask.repeated = true;
                ask.askedAt = now;
                actions.emplace_back(askAction(waiting.request, backend->second, now));
            }
            ++it;
        }
    }

    AskAction askAction(const DirectRequest &request, const Backend &backend, Instant now) const
    {
        const auto service = services.find(request.service);
        const bool cold = service != services.end() && backend.coldUntil > now;
        return {request, backend.record, cold ? service->second.coldRate : 0};
    }

    // Asks at the best backend servers that were not asked: a few at once, and one more each time
    // that none of them granted for a while.
    void askMore(Service &service, Waiting &waiting, Instant now,
                 std::vector<DirectAction> &actions)
    {
        const std::size_t wanted = waiting.asks.empty() ? firstAsks : 1;
        if (!waiting.asks.empty()
            && (waiting.asks.size() >= askLimit || now < waiting.askedAt + askInterval))
            return;
        const Backend *home = homeOf(service, waiting.request);
        std::vector<std::pair<double, Backend *>> candidates;
        for (Backend *it : service.backends) {
            if (mayAsk(*it, waiting, now))
                candidates.emplace_back(cost(*it, waiting.request, home), it);
        }
        const std::size_t n = std::min(wanted, candidates.size());
        std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(n),
                          candidates.end());
        for (std::size_t i = 0; i < n; ++i) {
            Backend &backend = *candidates[i].second;
            waiting.asks[backend.record.id] = {now, false, std::nullopt};
            waiting.askedAt = now;
            actions.emplace_back(askAction(waiting.request, backend, now));
        }
    }

    std::optional<RefuseAction> refuse(const Service &service, const Waiting &waiting,
                                       std::size_t ahead, Instant now) const
    {
        const DirectRequest &request = waiting.request;
        const Duration wait = expectedWait(service, ahead);
        RefuseAction action {request.id, RefusalReason::WaitedTooLong, wait,
                             static_cast<std::uint32_t>(ahead)};
        if (request.waitUntil <= now)
            return action;
        // The rest of the queue is judged when it arrives, and not again while it waits. Agents
        // know their queues better.
        const bool arrived = request.arrivedAt == now && !request.repeat;
        if (arrived && ahead > 0 && !anyAgent(service, now) && now + wait > request.waitUntil) {
            action.reason = RefusalReason::QueueTooLong;
            return action;
        }
        return std::nullopt;
    }

    static bool anyAgent(const Service &service, Instant now)
    {
        return std::any_of(service.backends.begin(), service.backends.end(),
                           [&](const Backend *it) { return it->signs.hasAgent(now); });
    }

    using Queue = std::map<std::pair<std::uint64_t, std::uint64_t>, Waiting>;

    // Takes a request out of the queue; asks at others than the given backend server are void.
    Queue::iterator erase(Service &service, Queue::iterator it, const std::string &takenAt)
    {
        const RequestId id = it->second.request.id;
        for (const auto &[backend, ask] : it->second.asks) {
            if (backend != takenAt)
                pending.emplace_back(ReleaseAction {id, backend});
        }
        queued.erase(id);
        return service.queue.erase(it);
    }

    void learn(Service &service, Backend &backend, const AttemptReport &report)
    {
        const bool stream = report.eventInterval > Duration::zero();
        double &mean = stream ? service.eventSeconds : service.serviceSeconds;
        const double seconds = secondsOf(stream ? report.eventInterval : report.total);
        if (stream) {
            const double total = secondsOf(report.total);
            service.serviceSeconds += 0.02 * (total - service.serviceSeconds);
        }
        if (mean <= 0)
            mean = seconds;
        mean += 0.02 * (seconds - mean);
        const double slowness = std::clamp(seconds / mean, 1 / slownessLimit, slownessLimit);
        // Times of requests without a stream vary with their size, which is not known.
        const double weight = stream ? slownessSmoothing : slownessSmoothing / 4;
        backend.slowness += weight * (slowness - backend.slowness);
    }

    DirectSettings settings;
    OutlierDetector outliers;
    std::map<std::string, Service> services;
    std::unordered_map<std::string, Backend> backends; // by id
    std::unordered_map<std::uint64_t, Backend *> backendOfDigest;
    std::unordered_map<std::uint64_t, PeerState> peers;
    std::set<std::string> withdrawnZones;
    std::unordered_map<RequestId, Started> startedRequests;
    std::unordered_map<RequestId, std::pair<std::string, Queue::key_type>> queued;
    std::vector<DirectAction> pending; // to be returned by the next advance()
    std::vector<ServerSlot> freeSlots;
    ServerSlot slotCount = 0;
    std::uint64_t arrivals = 0;
    std::uint32_t daemonCount = 1;
    std::uint32_t daemonPlace = 0;
};

DirectScheduler::DirectScheduler(const DirectSettings &settings)
    : d(std::make_unique<Private>(settings))
{ }

DirectScheduler::~DirectScheduler() = default;

void DirectScheduler::setBackends(const std::vector<BackendRecord> &records,
                                  const std::map<std::string, double> &coldRateOfService,
                                  Instant now)
{
    for (auto &[name, service] : d->services)
        service.backends.clear();
    for (const auto &[name, rate] : coldRateOfService)
        d->serviceOf(name).coldRate = rate;
    for (auto &[id, backend] : d->backends)
        backend.listed = false;
    for (const BackendRecord &record : records) {
        auto [it, added] = d->backends.try_emplace(record.id);
        Private::Backend &backend = it->second;
        const bool reborn = !added && backend.record.startedAtMs != record.startedAtMs;
        if (added) {
            backend.digest = stableDigest(record.id);
            d->backendOfDigest[backend.digest] = &backend;
        }
        if (added || reborn) {
            if (added && d->freeSlots.empty())
                d->freeSlots.push_back(d->slotCount++);
            if (added) {
                backend.slot = d->freeSlots.back();
                d->freeSlots.pop_back();
            } else {
                d->outliers.forget(backend.slot);
            }
            d->outliers.add(backend.slot, d->serviceOf(record.service).group);
            backend.slowness = 1;
        }
        if (added || reborn || backend.record != record) {
            backend.coldUntil = std::max(backend.coldUntil, now + record.coldRemaining);
            backend.misdirected = false;
        }
        backend.record = record;
        backend.listed = true;
        d->serviceOf(record.service).backends.push_back(&backend);
    }
    for (auto it = d->backends.begin(); it != d->backends.end();) {
        if (it->second.listed || it->second.running > 0) {
            ++it;
            continue;
        }
        d->outliers.forget(it->second.slot);
        d->freeSlots.push_back(it->second.slot);
        d->backendOfDigest.erase(it->second.digest);
        it = d->backends.erase(it);
    }
    d->recountPeers();
}

void DirectScheduler::setWithdrawnZones(std::set<std::string> zones)
{
    d->withdrawnZones = std::move(zones);
}

void DirectScheduler::setDaemons(std::uint32_t count, std::uint32_t place)
{
    d->daemonCount = std::max(count, 1U);
    d->daemonPlace = place;
}

void DirectScheduler::peerReport(std::uint64_t peer, const std::vector<PeerLoad> &loads,
                                 Instant now)
{
    Private::PeerState &state = d->peers[peer];
    d->applyPeer(state, -1);
    state = {loads, now};
    d->applyPeer(state, 1);
    for (const PeerLoad &load : loads) {
        const auto it = d->backendOfDigest.find(load.backendDigest);
        if (it != d->backendOfDigest.end())
            it->second->signs.peerReported(load.sign, now);
    }
}

std::vector<PeerLoad> DirectScheduler::ownLoads(Instant now) const
{
    std::vector<PeerLoad> loads;
    for (const auto &[id, backend] : d->backends) {
        const BackendSign sign = backend.signs.ownSign(now);
        if (backend.running > 0 || sign != BackendSign::None)
            loads.push_back({backend.digest, backend.running, backend.unreadPromptTokens, sign});
    }
    return loads;
}

void DirectScheduler::add(DirectRequest request)
{
    const Private::Queue::key_type key {request.order, d->arrivals++};
    d->queued[request.id] = {request.service, key};
    Private::Waiting waiting;
    waiting.request = std::move(request);
    const std::string service = waiting.request.service;
    d->serviceOf(service).queue.emplace(key, std::move(waiting));
}

void DirectScheduler::remove(const RequestId &id)
{
    const auto it = d->queued.find(id);
    if (it == d->queued.end())
        return;
    Private::Service &service = d->services[it->second.first];
    d->erase(service, service.queue.find(it->second.second), {});
}

void DirectScheduler::agentHeard(const std::string &backend, Instant now)
{
    const auto it = d->backends.find(backend);
    if (it == d->backends.end())
        return;
    it->second.signs.agentHeard(now);
}

void DirectScheduler::granted(const RequestId &id, const std::string &backend, Instant now)
{
    agentHeard(backend, now);
    const auto it = d->queued.find(id);
    const auto target = d->backends.find(backend);
    if (it == d->queued.end() || target == d->backends.end()) {
        // Started elsewhere, refused, or granted twice while it runs there.
        const auto started = d->startedRequests.find(id);
        if (started == d->startedRequests.end() || started->second.backend != backend)
            d->pending.emplace_back(ReleaseAction {id, backend});
        return;
    }
    Private::Service &service = d->services[it->second.first];
    const auto entry = service.queue.find(it->second.second);
    const DirectRequest request = entry->second.request;
    if (!entry->second.asks.contains(backend) || !d->mayUse(target->second)) {
        d->pending.emplace_back(ReleaseAction {id, backend});
        entry->second.asks.erase(backend);
        return;
    }
    d->erase(service, entry, backend);
    d->start(target->second, request, now);
    d->pending.emplace_back(StartAction {id, backend});
}

void DirectScheduler::queuedAt(const RequestId &id, const std::string &backend, std::uint32_t ahead,
                               Instant now)
{
    agentHeard(backend, now);
    const auto it = d->queued.find(id);
    if (it == d->queued.end()) {
        d->pending.emplace_back(ReleaseAction {id, backend});
        return;
    }
    auto &asks = d->services[it->second.first].queue.at(it->second.second).asks;
    const auto ask = asks.find(backend);
    if (ask != asks.end())
        ask->second.ahead = ahead;
}

bool DirectScheduler::idleOutside(const std::string &service, const std::string &version) const
{
    return std::none_of(d->backends.begin(), d->backends.end(), [&](const auto &it) {
        const Private::Backend &backend = it.second;
        return backend.record.service == service && backend.record.version != version
                && backend.running + backend.peerRunning > 0;
    });
}

std::map<std::string, std::vector<RequestId>> DirectScheduler::runningByBackend() const
{
    std::map<std::string, std::vector<RequestId>> running;
    for (const auto &[id, started] : d->startedRequests)
        running[started.backend].push_back(id);
    return running;
}

std::vector<DirectAction> DirectScheduler::advance(Instant now)
{
    std::vector<ServerSlot> changed;
    d->outliers.expire(now, changed);
    d->dropSilentPeers(now);
    std::vector<DirectAction> actions;
    std::swap(actions, d->pending);
    for (auto &[name, service] : d->services) {
        if (!service.queue.empty())
            d->advanceService(service, now, actions);
    }
    actions.insert(actions.end(), d->pending.begin(), d->pending.end());
    d->pending.clear();
    return actions;
}

Instant DirectScheduler::nextDue() const
{
    Instant due = instantNever;
    for (const auto &[name, service] : d->services) {
        for (const auto &[key, waiting] : service.queue)
            due = std::min(due, waiting.request.waitUntil);
    }
    return due;
}

void DirectScheduler::firstEvent(const RequestId &id, Instant now)
{
    const auto it = d->startedRequests.find(id);
    if (it == d->startedRequests.end() || it->second.firstEventSeen)
        return;
    it->second.firstEventSeen = true;
    Private::Backend &backend = d->backends[it->second.backend];
    backend.unreadPromptTokens -= it->second.promptTokens;
    backend.signs.requestHeard(now);
}

void DirectScheduler::ended(const RequestId &id, const AttemptReport &report, Instant now)
{
    const auto it = d->startedRequests.find(id);
    if (it == d->startedRequests.end())
        return;
    const Private::Started started = it->second;
    d->startedRequests.erase(it);
    Private::Backend &backend = d->backends[started.backend];
    --backend.running;
    const bool silent = report.outcome == AttemptOutcome::Silent;
    if (!started.firstEventSeen) {
        backend.unreadPromptTokens -= started.promptTokens;
        if (report.outcome == AttemptOutcome::NeverSent)
            backend.signs.requestNeverSent();
        else if (silent || report.outcome == AttemptOutcome::Abandoned
                 || report.outcome == AttemptOutcome::Broken)
            backend.signs.requestUnheard(silent, now);
        else
            backend.signs.requestHeard(now);
    } else if (silent) {
        backend.signs.streamSilent(now);
    }
    if (backend.signs.hadAgent())
        d->pending.emplace_back(ReleaseAction {id, started.backend});
    if (report.outcome == AttemptOutcome::NotRun)
        backend.fullUntil = now + fullPause;
    if (report.outcome == AttemptOutcome::Misdirected)
        backend.misdirected = true;
    if (report.outcome == AttemptOutcome::Broken)
        backend.coldUntil = std::max(backend.coldUntil, now + suspectTime);
    if (report.outcome == AttemptOutcome::NotRun || report.outcome == AttemptOutcome::Misdirected
        || report.outcome == AttemptOutcome::Abandoned
        || report.outcome == AttemptOutcome::NeverSent) {
        if (started.probe)
            d->outliers.probeReleased(backend.slot);
        return;
    }
    const bool failed = report.outcome != AttemptOutcome::Answered;
    if (!failed)
        d->learn(d->serviceOf(started.service), backend, report);
    d->outliers.record(
            backend.slot,
            {failed, started.promptTokens, started.outputTokens, report.total, started.probe}, now);
}

std::optional<BackendRecord> DirectScheduler::backend(const std::string &id) const
{
    const auto it = d->backends.find(id);
    if (it == d->backends.end())
        return std::nullopt;
    return it->second.record;
}

std::size_t DirectScheduler::waiting() const
{
    return d->queued.size();
}

std::size_t DirectScheduler::running() const
{
    return d->startedRequests.size();
}

} // namespace cornelshed
