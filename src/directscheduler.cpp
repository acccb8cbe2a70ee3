// Keeps a queue for each service and places requests by the expected time to the first event.

#include "directscheduler.h"

#include "outlierdetector.h"
#include "recentrate.h"
#include "stabledigest.h"
#include "urgencygate.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <unordered_map>

namespace cornelshed {

namespace {

using namespace std::chrono_literals;

// The load of a peer is dropped if its last report is older than this: it has stopped or is cut
// off.
constexpr Duration minPeerReportTimeout = 2s;
// A backend server that broke a connection may have restarted. Until its record shows that, it is
// limited to the rate of a cold one for this time.
constexpr Duration restartHoldTime = 3s;
// A backend server that refused a request because it was full gets the next one after this time.
constexpr Duration fullBackoff = 40ms;
// A backend server whose address refuses connections gets the next request after this time; its
// agent tells earlier when it is back.
constexpr Duration refusedBackoff = 200ms;
// The agent of a server that has just been listed answers within a few milliseconds. Until then all
// gateways would start requests there at once, each up to the number of its slots.
constexpr Duration agentDiscoveryTime = 150ms;
// Share of the prompt that needs prefill even on the backend server that ran the session's previous
// request.
constexpr double uncachedPromptShare = 0.25;
// Cost of a full batch: the next token of every stream waits for the same batch step.
constexpr double fullBatchSeconds = 0.030;
constexpr double slownessSmoothing = 0.2;
constexpr double slownessRatioLimit = 10;
// An unanswered slot request is resent once after this time. If that is not answered either, the
// agent counts as unresponsive and its backend server is used without it.
constexpr Duration slotRequestTimeout = 25ms;
// Time after which a request without a grant asks one more agent.
constexpr Duration slotRequestInterval = 20ms;
constexpr double initialServiceSeconds = 0.3;
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
    settings.slowFactor = 4; // healthy engines of one service differ threefold in speed
    settings.firstEjection = 1s;
    settings.longestEjection = 8s;
    return settings;
}

} // namespace

class DirectScheduler::Private
{
public:
    struct Backend : BackendState
    {
        std::uint64_t pendingPrefillTokens = 0; // of own requests before their first event
        std::uint64_t peerPromptTokens = 0;
        double slowness = 1; // ratio of its times to the mean of the service
    };
    // A slot request that was sent to an agent and is not granted yet.
    struct PendingSlotRequest
    {
        Instant sentAt {};
        bool resent = false;
        std::optional<std::uint32_t> ahead; // slot requests before it; set by the agent's answer
    };
    struct QueuedRequest
    {
        DirectRequest request;
        std::map<std::string, PendingSlotRequest> slotRequests; // by backend server
        Instant lastSlotRequestAt {};
    };
    struct Service
    {
        OutlierGroup group = 0;
        std::map<std::pair<std::uint64_t, std::uint64_t>, QueuedRequest> queue; // by order, arrival
        std::vector<Backend *> backends;                                        // only listed ones
        double coldRate = 0;
        Instant pausedUntil {};                        // no backend server pauses longer
        bool hadAgents = false;                        // an agent of a backend server has responded
        RecentRate starts;                             // of requests of this gateway
        double serviceSeconds = initialServiceSeconds; // mean time that a request runs
        double eventSeconds = 0;                       // mean time between events; 0: unknown
    };
    struct StartedRequest
    {
        std::string backend;
        std::string service;
        std::int64_t backendStart = 0;
        std::uint64_t promptTokens = 0;
        std::uint64_t outputTokens = 0;
        std::uint64_t prefillTokens = 0; // of the prompt, without those in the prefix cache
        bool probe = false;              // for the outlier detector
        bool firstEventSeen = false;
    };
    struct PeerState
    {
        std::vector<PeerLoad> loads;
        Instant reportedAt {};
    };

    explicit Private(const DirectSettings &given)
        : settings(given), outliers(outlierSettings()), availability(given, outliers),
          promptCache(given.promptCache)
    { }

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
            it->second->unresponsiveReports +=
                    load.liveness == ReportedLiveness::Unresponsive ? sign : 0;
        }
    }

    void recountPeers()
    {
        for (auto &[id, backend] : backends) {
            backend.peerRunning = 0;
            backend.peerPromptTokens = 0;
            backend.unresponsiveReports = 0;
        }
        for (const auto &[id, peer] : peers)
            applyPeer(peer, 1);
    }

    void dropExpiredPeers(Instant now)
    {
        const auto erased = std::erase_if(peers, [&](const auto &it) {
            return it.second.reportedAt + peerReportTimeout <= now;
        });
        if (erased > 0)
            recountPeers();
    }

    static bool allowsBackend(const Backend &backend, const DirectRequest &request)
    {
        return !request.excluded.contains(backend.record.id)
                && request.version.allows(backend.record.version);
    }

    bool canStart(const Backend &backend, const DirectRequest &request,
                  std::uint32_t queueAllowance, Instant now) const
    {
        return allowsBackend(backend, request)
                && availability.forStart(backend, request.reservedSlots, now, queueAllowance)
                == AvailabilityReason::Available;
    }

    // Whether a slot for the request may be requested from the agent of the backend server.
    bool canRequestSlot(const Backend &backend, const QueuedRequest &queued, Instant now) const
    {
        return allowsBackend(backend, queued.request)
                && !queued.slotRequests.contains(backend.record.id)
                && availability.forSlotRequest(backend, now) == AvailabilityReason::Available;
    }

    // Expected seconds to the first event, plus the cost of the delay for streams in the same batch
    // and of another availability zone, both expressed as time.
    double cost(const Backend &backend, const DirectRequest &request, const Backend *sessionBackend,
                Instant now) const
    {
        const double uncachedShare = sessionBackend == &backend ? uncachedPromptShare : 1;
        const std::uint64_t uncachedTokens = promptCache.uncachedTokens(
                backend.digest, request.promptParts, request.promptTokens, now);
        const double prefillTokens = static_cast<double>(backend.pendingPrefillTokens)
                + static_cast<double>(backend.peerPromptTokens)
                + uncachedShare * static_cast<double>(uncachedTokens);
        const double occupancy = static_cast<double>(backend.running + backend.peerRunning)
                / std::max(backend.record.slots, 1U);
        double seconds = backend.slowness
                * (prefillTokens / settings.promptTokensPerSecond + occupancy * fullBatchSeconds);
        if (backend.record.availabilityZone != settings.availabilityZone)
            seconds += secondsOf(settings.crossZoneCost);
        return seconds + availability.namedLimitWait(backend, now)
                + promptCache.tieSpreadSeconds(request.id, backend.digest);
    }

    // The backend server that requests of the session prefer, because it caches their prompts. By
    // rendezvous hashing, all gateways choose the same one, and it stays the same for most sessions
    // when the set of backend servers changes.
    const Backend *sessionBackendOf(const Service &service, const DirectRequest &request) const
    {
        if (settings.promptCache.enabled || request.sessionAffinityKey.empty())
            return nullptr;
        const Backend *sessionBackend = nullptr;
        std::uint64_t best = 0;
        for (const Backend *it : service.backends) {
            const std::uint64_t weight = stableDigest(request.sessionAffinityKey, it->digest);
            const bool usable =
                    availability.isUsable(*it) && request.version.allows(it->record.version);
            if (usable && (sessionBackend == nullptr || weight > best)) {
                sessionBackend = it;
                best = weight;
            }
        }
        return sessionBackend;
    }

    // The requests that may wait at a backend server without an agent. Where requests run for less
    // time than a report of the peers takes, the number that run there is known by chance only; a
    // short queue at the server keeps its slots in use, at a cost that is a part of the time that
    // the request may wait.
    std::uint32_t queueAllowance(const Service &service, const Backend &backend,
                                 const DirectRequest &request, Instant now) const
    {
        if (service.hadAgents || settings.serverQueueShare <= 0 || request.waitUntil <= now)
            return 0;
        const double wait = secondsOf(request.waitUntil - now) * settings.serverQueueShare;
        const double batches = std::min(wait / std::max(service.serviceSeconds, 0.001), 1.0);
        return static_cast<std::uint32_t>(batches * backend.record.slots);
    }

    // startable: the backend servers that may get requests without a grant, as far as this does not
    // depend on the request. Where agents respond there are none, which keeps the cost of a long
    // queue low: it is passed many times a second.
    Backend *chooseBackend(Service &service, const std::vector<Backend *> &startable,
                           const DirectRequest &request, Instant now)
    {
        if (startable.empty())
            return nullptr;
        const Backend *sessionBackend = sessionBackendOf(service, request);
        Backend *chosen = nullptr;
        double least = 0;
        for (Backend *it : startable) {
            if (!canStart(*it, request, queueAllowance(service, *it, request, now), now))
                continue;
            const double seconds = cost(*it, request, sessionBackend, now);
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
        serviceOf(request.service).starts.record(now);
        backend.liveness.requestStarted();
        const std::uint64_t prefillTokens = promptCache.uncachedTokens(
                backend.digest, request.promptParts, request.promptTokens, now);
        backend.pendingPrefillTokens += prefillTokens;
        promptCache.started(request.id, backend.digest, request.promptParts);
        backend.recordStart(now);
        StartedRequest started {backend.record.id,    request.service,      backend.latestStart,
                                request.promptTokens, request.outputTokens, prefillTokens};
        started.probe = outliers.state(backend.outlierSlot) == OutlierState::ProbeReady;
        outliers.probeStarted(backend.outlierSlot);
        startedRequests.emplace(request.id, std::move(started));
    }

    // Expected wait of a request behind this many others, by this gateway's share of what the
    // backend servers do. Traffic is uneven: a gateway that starts more than an equal share has
    // that.
    Duration expectedWait(const Service &service, const DirectRequest &request, std::size_t ahead,
                          Instant now) const
    {
        double perSecond = 0;
        for (const Backend *it : service.backends) {
            if (!availability.isUsable(*it) || it->pausedUntil > request.waitUntil)
                continue;
            const double bySlots = it->record.slots / std::max(service.serviceSeconds, 0.001);
            perSecond += std::min(bySlots, it->namedLimit.perSecond().value_or(bySlots));
        }
        perSecond = perSecond <= 0
                ? 0
                : std::max(perSecond / availability.gatewayCount(), service.starts.perSecond(now));
        if (perSecond <= 0)
            return 1s;
        return durationOf(static_cast<double>(ahead + 1) / perSecond);
    }

    void advanceService(Service &service, Instant now, std::vector<DirectAction> &actions)
    {
        std::vector<Backend *> startable;
        for (Backend *it : service.backends) {
            const bool mayQueue = !service.hadAgents && settings.serverQueueShare > 0;
            const std::uint32_t allowance = mayQueue ? it->record.slots : 0;
            if (availability.forStart(*it, 0, now, allowance) == AvailabilityReason::Available)
                startable.push_back(it);
        }
        std::size_t ahead = 0;
        // Requests that leave at least this many slots free wait behind one that was not started.
        std::uint32_t blockedReserve = UINT32_MAX;
        UrgencyGate urgency(settings.yieldAfter);
        for (auto it = service.queue.begin(); it != service.queue.end();) {
            QueuedRequest &queued = it->second;
            const DirectRequest &request = queued.request;
            // A thread that was held up may only now learn of a free slot.
            const bool mayStart = request.deadline > now && request.reservedSlots < blockedReserve;
            Backend *backend = mayStart ? chooseBackend(service, startable, request, now) : nullptr;
            if (backend != nullptr) {
                start(*backend, request, now);
                actions.emplace_back(StartAction {request.id, backend->record.id});
                it = erase(service, it, {});
                continue;
            }
            const bool behindUrgent = urgency.mustYield(request.order);
            if (auto refusal = refuse(service, queued, ahead, behindUrgent, now)) {
                refusal->causes = causesFor(service, request, now);
                actions.emplace_back(std::move(*refusal));
                it = erase(service, it, {});
                continue;
            }
            resendSlotRequests(queued, now, actions);
            if (!behindUrgent)
                requestMoreSlots(service, queued, now, actions);
            // One that may not use all backend servers holds nobody up.
            if (request.excluded.empty())
                urgency.passWaiting(request.order, now - request.arrivedAt);
            // A request that may not use all backend servers does not block the others.
            if (request.excluded.empty() && request.version.version.empty())
                blockedReserve = std::min(blockedReserve, request.reservedSlots);
            ++ahead;
            ++it;
        }
    }

    // Resends unanswered slot requests once, then marks their agents as unresponsive.
    void resendSlotRequests(QueuedRequest &queued, Instant now, std::vector<DirectAction> &actions)
    {
        for (auto it = queued.slotRequests.begin(); it != queued.slotRequests.end();) {
            PendingSlotRequest &slotRequest = it->second;
            const auto backend = backends.find(it->first);
            if (backend == backends.end()) {
                it = queued.slotRequests.erase(it);
                continue;
            }
            if (!slotRequest.ahead && now >= slotRequest.sentAt + slotRequestTimeout) {
                if (slotRequest.resent) {
                    backend->second.liveness.agentUnanswered(now);
                    it = queued.slotRequests.erase(it);
                    continue;
                }
                slotRequest.resent = true;
                slotRequest.sentAt = now;
                actions.emplace_back(slotRequestAction(queued.request, backend->second, now));
            }
            ++it;
        }
    }

    RequestSlotAction slotRequestAction(const DirectRequest &request, const Backend &backend,
                                        Instant now) const
    {
        const auto limit = backend.namedLimit.newest(now);
        if (backend.coldUntil <= now)
            return {request, backend.record, 0, 0, limit};
        return {request, backend.record, backend.coldRate,
                coldLimitsWithAgent(settings, backend.coldRate).agentRestart, limit};
    }

    // Requests slots of the best backend servers from which none was requested yet: of several at
    // first, and of one more whenever no slot was granted for slotRequestInterval.
    void requestMoreSlots(Service &service, QueuedRequest &queued, Instant now,
                          std::vector<DirectAction> &actions)
    {
        const std::size_t newRequests =
                queued.slotRequests.empty() ? settings.initialSlotRequests : 1;
        if (!queued.slotRequests.empty()
            && (queued.slotRequests.size() >= settings.slotRequestLimit
                || now < queued.lastSlotRequestAt + slotRequestInterval))
            return;
        const Backend *sessionBackend = sessionBackendOf(service, queued.request);
        // Those of equal cost are in an order that differs between requests: gateways would ask the
        // same agents otherwise.
        const std::uint64_t salt = std::hash<RequestId>()(queued.request.id);
        std::vector<std::tuple<double, std::uint64_t, Backend *>> candidates;
        for (Backend *it : service.backends) {
            if (canRequestSlot(*it, queued, now))
                candidates.emplace_back(cost(*it, queued.request, sessionBackend, now),
                                        (it->digest ^ salt) * 0x9e3779b97f4a7c15ULL, it);
        }
        const std::size_t n = std::min(newRequests, candidates.size());
        std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(n),
                          candidates.end());
        for (std::size_t i = 0; i < n; ++i) {
            Backend &backend = *std::get<Backend *>(candidates[i]);
            queued.slotRequests[backend.record.id] = {now, false, std::nullopt};
            queued.lastSlotRequestAt = now;
            actions.emplace_back(slotRequestAction(queued.request, backend, now));
        }
    }

    std::optional<RefuseAction> refuse(const Service &service, const QueuedRequest &queued,
                                       std::size_t ahead, bool behindUrgent, Instant now) const
    {
        const DirectRequest &request = queued.request;
        // The expected wait is checked only when a request arrives, and not again while it waits.
        const bool arrived = request.arrivedAt == now && !request.isRetry;
        const bool expired = request.waitUntil <= now;
        if (!arrived && !expired && service.pausedUntil <= now)
            return std::nullopt;
        const CommonPause common = commonPause(service, request, now);
        const Duration pause = common.endsAt ? *common.endsAt - now : Duration::zero();
        const bool paused = pause > Duration::zero();
        // Those ahead that start when the pause ends are no queue any more.
        const std::size_t started = paused ? std::min<std::size_t>(ahead, common.freeSlots) : 0;
        const Duration wait = pause + expectedWait(service, request, ahead - started, now);
        RefuseAction action {request.id, RefusalReason::WaitedTooLong, wait,
                             static_cast<std::uint32_t>(ahead)};
        if (paused && *common.endsAt >= request.waitUntil) {
            action.reason = RefusalReason::Paused;
            return action;
        }
        if (expired) {
            if (!common.endsAt)
                action.reason = RefusalReason::NoBackend;
            return action;
        }
        // It is not checked where agents respond, which know their queues better, unless all
        // backend servers pause.
        if (arrived && ahead > 0 && now + wait > request.waitUntil
            && (paused || behindUrgent || !anyAgent(service, now))) {
            action.reason = RefusalReason::QueueTooLong;
            return action;
        }
        return std::nullopt;
    }

    // The pause that all backend servers keep that the request may use.
    struct CommonPause
    {
        std::optional<Instant> endsAt; // of the first one; nothing: the request may use none
        std::uint32_t freeSlots = 0;   // of those whose pause ends while the request may wait
    };

    CommonPause commonPause(const Service &service, const DirectRequest &request, Instant now) const
    {
        CommonPause pause;
        for (const Backend *it : service.backends) {
            if (!allowsBackend(*it, request) || !availability.isUsable(*it))
                continue;
            const Instant unpaused = std::max(it->pausedUntil, now);
            pause.endsAt = std::min(unpaused, pause.endsAt.value_or(unpaused));
            const std::uint32_t running = it->running + it->peerRunning;
            if (unpaused < request.waitUntil && running < it->record.slots)
                pause.freeSlots += it->record.slots - running;
        }
        pause.freeSlots /= availability.gatewayCount();
        return pause;
    }

    std::map<AvailabilityReason, std::uint32_t>
    causesFor(const Service &service, const DirectRequest &request, Instant now) const
    {
        std::map<AvailabilityReason, std::uint32_t> causes;
        for (const Backend *it : service.backends) {
            if (allowsBackend(*it, request))
                ++causes[availability.forStart(*it, request.reservedSlots, now)];
        }
        return causes;
    }

    // The start of the backend server that the request was sent to, or else the latest one.
    std::int64_t startOf(const RequestId &id, const Backend &backend) const
    {
        const auto it = startedRequests.find(id);
        return it != startedRequests.end() && it->second.backend == backend.record.id
                ? it->second.backendStart
                : backend.latestStart;
    }

    // Releases the slots that were requested for queued requests and are not granted yet. Returns
    // whether there were any.
    bool withdrawSlotRequests(const Backend &backend)
    {
        const std::size_t actionCount = pendingActions.size();
        for (auto &[key, queued] : serviceOf(backend.record.service).queue) {
            if (queued.slotRequests.erase(backend.record.id) > 0)
                pendingActions.emplace_back(
                        ReleaseSlotAction {queued.request.id, backend.record.id, true});
        }
        return pendingActions.size() > actionCount;
    }

    static bool anyAgent(const Service &service, Instant now)
    {
        return std::any_of(service.backends.begin(), service.backends.end(),
                           [&](const Backend *it) { return it->liveness.hasAgent(now); });
    }

    using Queue = std::map<std::pair<std::uint64_t, std::uint64_t>, QueuedRequest>;

    // Removes a request from the queue and releases its slot requests, except the one at the
    // backend server that granted it.
    Queue::iterator erase(Service &service, Queue::iterator it, const std::string &grantedBy)
    {
        const RequestId id = it->second.request.id;
        for (const auto &[backend, slotRequest] : it->second.slotRequests) {
            if (backend != grantedBy)
                pendingActions.emplace_back(ReleaseSlotAction {id, backend, true});
        }
        queueKeys.erase(id);
        return service.queue.erase(it);
    }

    void updateSpeed(Service &service, Backend &backend, const AttemptReport &report)
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
        const double slowness =
                std::clamp(seconds / mean, 1 / slownessRatioLimit, slownessRatioLimit);
        // The times of requests without a stream vary with their size, which is unknown, so they
        // get less weight.
        const double weight = stream ? slownessSmoothing : slownessSmoothing / 4;
        backend.slowness += weight * (slowness - backend.slowness);
    }

    DirectSettings settings;
    OutlierDetector outliers;
    BackendAvailability availability;
    PromptCache promptCache;
    std::map<std::string, Service> services;
    std::unordered_map<std::string, Backend> backends; // by id
    std::unordered_map<std::uint64_t, Backend *> backendOfDigest;
    std::unordered_map<std::uint64_t, PeerState> peers;
    std::unordered_map<RequestId, StartedRequest> startedRequests;
    std::unordered_map<RequestId, std::pair<std::string, Queue::key_type>> queueKeys;
    std::vector<DirectAction> pendingActions; // to be returned by the next advance()
    std::vector<ServerSlot> freeOutlierSlots;
    ServerSlot outlierSlotCount = 0;
    std::uint64_t arrivalCount = 0;
    Duration peerReportTimeout = minPeerReportTimeout;
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
    for (auto &[id, backend] : d->backends) {
        if (backend.listed)
            backend.unlistedAt = now;
        backend.listed = false;
    }
    for (const BackendRecord &record : records) {
        auto [it, added] = d->backends.try_emplace(record.id);
        Private::Backend &backend = it->second;
        const bool restarted = !added && backend.record.startedAtMs != record.startedAtMs;
        if (added) {
            backend.digest = stableDigest(record.id);
            d->backendOfDigest[backend.digest] = &backend;
        }
        if (added || restarted) {
            if (added && d->freeOutlierSlots.empty())
                d->freeOutlierSlots.push_back(d->outlierSlotCount++);
            if (added) {
                backend.outlierSlot = d->freeOutlierSlots.back();
                d->freeOutlierSlots.pop_back();
            } else {
                d->outliers.forget(backend.outlierSlot);
            }
            d->outliers.add(backend.outlierSlot, d->serviceOf(record.service).group);
            backend.slowness = 1;
            backend.namedLimit = {};
        }
        // All servers of the service may have left before.
        if (added && d->settings.agents && d->serviceOf(record.service).hadAgents)
            backend.agentDiscoveryUntil = now + agentDiscoveryTime;
        if (added || restarted || backend.record != record) {
            backend.coldUntil = std::max(backend.coldUntil, now + record.coldRemaining);
            backend.misdirected = false;
        }
        if (!d->outliers.contains(backend.outlierSlot))
            d->outliers.add(backend.outlierSlot, d->serviceOf(record.service).group);
        Private::Service &service = d->serviceOf(record.service);
        backend.setRecord(record);
        d->promptCache.setServer(backend.digest, backend.latestStart, record.version);
        backend.listed = true;
        backend.coldRate = service.coldRate;
        service.backends.push_back(&backend);
    }
    for (auto it = d->backends.begin(); it != d->backends.end();) {
        // One that is not listed any more must not count for the share that may be ejected.
        if (!it->second.listed)
            d->outliers.forget(it->second.outlierSlot);
        if (!it->second.isForgettable(now)) {
            ++it;
            continue;
        }
        d->freeOutlierSlots.push_back(it->second.outlierSlot);
        d->backendOfDigest.erase(it->second.digest);
        d->promptCache.removeServer(it->second.digest);
        it = d->backends.erase(it);
    }
    d->recountPeers();
}

void DirectScheduler::setWithdrawnZones(std::set<std::string> zones)
{
    d->availability.setWithdrawnZones(std::move(zones));
}

void DirectScheduler::setGateways(std::uint32_t count, std::uint32_t index, Duration heardTimeout)
{
    d->availability.setGateways(count, index);
    d->peerReportTimeout = std::max<Duration>(minPeerReportTimeout, heardTimeout);
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
        if (it == d->backendOfDigest.end())
            continue;
        it->second->liveness.peerReported(load.liveness, now);
        if (load.namedLimit)
            it->second->namedLimit.merge(*load.namedLimit, now);
        if (load.leavingStart && it->second->recordLeaving(*load.leavingStart))
            d->withdrawSlotRequests(*it->second);
    }
}

std::vector<PeerLoad> DirectScheduler::ownLoads(Instant now) const
{
    std::vector<PeerLoad> loads;
    for (const auto &[id, backend] : d->backends) {
        const ReportedLiveness report = backend.liveness.ownReport(now);
        const auto limit = backend.namedLimit.ownReport(now);
        // What another gateway heard is passed on too: it does not change any more.
        const auto leavingStart =
                backend.listed && backend.isLeaving() ? backend.leavingStart : std::nullopt;
        if (backend.running > 0 || report != ReportedLiveness::None || limit || leavingStart)
            loads.push_back({backend.digest, backend.running, backend.pendingPrefillTokens, report,
                             limit, leavingStart});
    }
    return loads;
}

bool DirectScheduler::hasUsableBackend(const DirectRequest &request) const
{
    const auto service = d->services.find(request.service);
    return service != d->services.end()
            && std::any_of(service->second.backends.begin(), service->second.backends.end(),
                           [&](const Private::Backend *it) {
                               return d->availability.isUsable(*it)
                                       && Private::allowsBackend(*it, request);
                           });
}

void DirectScheduler::add(DirectRequest request)
{
    const Private::Queue::key_type key {request.order, d->arrivalCount++};
    d->queueKeys[request.id] = {request.service, key};
    Private::QueuedRequest queued;
    queued.request = std::move(request);
    const std::string service = queued.request.service;
    d->serviceOf(service).queue.emplace(key, std::move(queued));
}

void DirectScheduler::remove(const RequestId &id)
{
    const auto it = d->queueKeys.find(id);
    if (it == d->queueKeys.end())
        return;
    Private::Service &service = d->services[it->second.first];
    d->erase(service, service.queue.find(it->second.second), {});
}

void DirectScheduler::agentResponded(const std::string &backend, Instant now)
{
    const auto it = d->backends.find(backend);
    if (it == d->backends.end())
        return;
    it->second.liveness.agentResponded(now);
    d->serviceOf(it->second.record.service).hadAgents = true;
}

void DirectScheduler::answered(const std::string &backend, std::optional<double> requestsPerSecond,
                               Instant now)
{
    const auto it = d->backends.find(backend);
    if (it != d->backends.end())
        it->second.namedLimit.recordAnswer(requestsPerSecond, now);
}

bool DirectScheduler::announcedLeaving(const RequestId &id, const std::string &backend)
{
    const auto it = d->backends.find(backend);
    if (it == d->backends.end() || !it->second.recordLeaving(d->startOf(id, it->second)))
        return false;
    d->withdrawSlotRequests(it->second);
    return true;
}

bool DirectScheduler::askedForPause(const RequestId &id, const std::string &backend, Duration pause,
                                    Instant now)
{
    const auto it = d->backends.find(backend);
    if (it == d->backends.end())
        return false;
    Private::Backend &target = it->second;
    const bool isNew = target.recordPause(d->startOf(id, target), pause, now);
    Private::Service &service = d->serviceOf(target.record.service);
    service.pausedUntil = std::max(service.pausedUntil, target.pausedUntil);
    if (isNew)
        d->withdrawSlotRequests(target);
    return isNew;
}

std::size_t DirectScheduler::countUnavailable(AvailabilityReason reason, Instant now) const
{
    return static_cast<std::size_t>(
            std::count_if(d->backends.begin(), d->backends.end(), [&](const auto &it) {
                return d->availability.forStart(it.second, 0, now) == reason;
            }));
}

bool DirectScheduler::isStopping(const std::string &backend) const
{
    const auto it = d->backends.find(backend);
    return it == d->backends.end() || !it->second.listed || it->second.record.draining
            || it->second.isLeaving();
}

std::optional<double> DirectScheduler::namedLimit(const std::string &backend) const
{
    const auto it = d->backends.find(backend);
    return it == d->backends.end() ? std::nullopt : it->second.namedLimit.perSecond();
}

void DirectScheduler::slotGranted(const RequestId &id, const std::string &backend, Instant now)
{
    agentResponded(backend, now);
    const auto it = d->queueKeys.find(id);
    const auto target = d->backends.find(backend);
    if (it == d->queueKeys.end() || target == d->backends.end()) {
        // The request was started elsewhere or refused, so the slot is released, or the grant is a
        // repeated one for the attempt that runs there.
        const auto started = d->startedRequests.find(id);
        if (started == d->startedRequests.end() || started->second.backend != backend)
            d->pendingActions.emplace_back(ReleaseSlotAction {id, backend, true});
        return;
    }
    Private::Service &service = d->services[it->second.first];
    const auto entry = service.queue.find(it->second.second);
    const DirectRequest request = entry->second.request;
    if (!entry->second.slotRequests.contains(backend) || request.deadline <= now
        || d->availability.forGrant(target->second, now) != AvailabilityReason::Available) {
        d->pendingActions.emplace_back(ReleaseSlotAction {id, backend, true});
        entry->second.slotRequests.erase(backend);
        return;
    }
    d->erase(service, entry, backend);
    d->start(target->second, request, now);
    d->pendingActions.emplace_back(StartAction {id, backend});
}

bool DirectScheduler::slotRequestQueued(const RequestId &id, const std::string &backend,
                                        std::uint32_t ahead, Instant now, bool serverDown)
{
    agentResponded(backend, now);
    const auto target = d->backends.find(backend);
    const bool withdrawn =
            serverDown && target != d->backends.end() && d->withdrawSlotRequests(target->second);
    if (serverDown && target != d->backends.end())
        target->second.refusedUntil = now + refusedBackoff;
    const auto it = d->queueKeys.find(id);
    if (it == d->queueKeys.end()) {
        d->pendingActions.emplace_back(ReleaseSlotAction {id, backend, true});
        return withdrawn;
    }
    auto &slotRequests = d->services[it->second.first].queue.at(it->second.second).slotRequests;
    const auto slotRequest = slotRequests.find(backend);
    if (slotRequest != slotRequests.end())
        slotRequest->second.ahead = ahead;
    return withdrawn;
}

bool DirectScheduler::otherVersionsIdle(const std::string &service,
                                        const std::string &version) const
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
    d->dropExpiredPeers(now);
    std::vector<DirectAction> actions;
    std::swap(actions, d->pendingActions);
    for (auto &[name, service] : d->services) {
        if (!service.queue.empty())
            d->advanceService(service, now, actions);
    }
    actions.insert(actions.end(), d->pendingActions.begin(), d->pendingActions.end());
    d->pendingActions.clear();
    return actions;
}

Instant DirectScheduler::nextDue() const
{
    Instant due = instantNever;
    for (const auto &[name, service] : d->services) {
        for (const auto &[key, queued] : service.queue)
            due = std::min(due, queued.request.waitUntil);
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
    backend.pendingPrefillTokens -= it->second.prefillTokens;
    d->promptCache.firstEvent(id, now);
    backend.liveness.responseReceived(now);
}

void DirectScheduler::ended(const RequestId &id, const AttemptReport &report, Instant now)
{
    const auto it = d->startedRequests.find(id);
    if (it == d->startedRequests.end())
        return;
    const Private::StartedRequest started = it->second;
    d->startedRequests.erase(it);
    d->promptCache.ended(id);
    Private::Backend &backend = d->backends[started.backend];
    --backend.running;
    const bool silent = report.outcome == AttemptOutcome::TimedOut;
    if (!started.firstEventSeen) {
        backend.pendingPrefillTokens -= started.prefillTokens;
        if (report.outcome == AttemptOutcome::NeverSent)
            backend.liveness.requestNeverSent();
        else if (silent || report.outcome == AttemptOutcome::Abandoned
                 || report.outcome == AttemptOutcome::Broken)
            backend.liveness.requestUnanswered(silent, now);
        else
            backend.liveness.responseReceived(now);
    } else if (silent) {
        backend.liveness.streamTimedOut(now);
    }
    if (backend.liveness.hadAgent())
        d->pendingActions.emplace_back(ReleaseSlotAction {
                id, started.backend,
                report.outcome == AttemptOutcome::NeverSent || report.connectionRefused,
                report.connectionRefused});
    if (report.connectionRefused)
        backend.refusedUntil = now + refusedBackoff;
    if (report.outcome == AttemptOutcome::NotRun)
        backend.fullUntil = now + fullBackoff;
    if (report.outcome == AttemptOutcome::Misdirected)
        backend.misdirected = true;
    if (report.outcome == AttemptOutcome::Broken)
        backend.coldUntil = std::max(backend.coldUntil, now + restartHoldTime);
    if (report.outcome == AttemptOutcome::NotRun || report.outcome == AttemptOutcome::Misdirected
        || report.outcome == AttemptOutcome::Abandoned
        || report.outcome == AttemptOutcome::NeverSent
        || (report.connectionRefused && backend.liveness.hasAgent(now))) { // its agent decides
        if (started.probe)
            d->outliers.probeInconclusive(backend.outlierSlot);
        return;
    }
    const bool failed = report.outcome != AttemptOutcome::Answered;
    if (!failed)
        d->updateSpeed(d->serviceOf(started.service), backend, report);
    d->outliers.record(
            backend.outlierSlot,
            {failed, started.promptTokens, started.outputTokens, report.total, started.probe}, now);
}

std::optional<BackendRecord> DirectScheduler::backend(const std::string &id) const
{
    const auto it = d->backends.find(id);
    if (it == d->backends.end())
        return std::nullopt;
    return it->second.record;
}

std::vector<RequestId> DirectScheduler::queuedRequests() const
{
    std::vector<RequestId> ids;
    for (const auto &[id, key] : d->queueKeys)
        ids.push_back(id);
    return ids;
}

std::size_t DirectScheduler::waiting() const
{
    return d->queueKeys.size();
}

std::size_t DirectScheduler::running() const
{
    return d->startedRequests.size();
}

} // namespace cornelshed
