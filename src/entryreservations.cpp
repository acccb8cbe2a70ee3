// Reservations of the entry scheduler: at which servers a waiting request is reserved, and when its
// reservations are added, replaced or withdrawn.

#include "entrydecisions.h"

#include <algorithm>
#include <utility>

namespace cornelshed::detail {

namespace {

// Backoff before servers that rejected a request temporarily, because their queue was full, are
// asked again. It doubles with each round up to the maximum.
constexpr Duration initialRetryBackoff = std::chrono::milliseconds(25);
constexpr Duration maxRetryBackoff = std::chrono::milliseconds(400);

// Maximum number of temporary rejections in one round, for each reservation the request should
// have. Without a limit, a request would ask each of the 1,200 servers of an overloaded region in
// turn.
constexpr std::size_t maxRejectionsPerReservation = 3;

// Maximum number of requests that get further reservations when a server connects or the routing
// view changes. Bounds the cost of reconnects after an outage; the other requests follow after
// their backoff.
constexpr std::size_t maxRefilledRequests = 64;

// Maximum number of servers due for a probe that are considered for one request.
constexpr std::size_t maxProbeCandidates = 4;

// A request does not wait for a server that caches a shorter prefix: computing the prefix again
// takes less time than waiting for the grant.
constexpr std::uint64_t minCachedTokens = 512;

// How long a request is reserved only at the server that caches its prefix. If no server is known
// to cache it, the minimum applies to the server chosen by consistent hashing. A server with room
// grants after one round trip, which takes under 1 ms within a region. In experiments, delays of up
// to 200 ms avoided slightly more repeated prefill, but under overload more requests of the top
// tier missed their deadline.
constexpr Duration minCacheOnlyDelay = std::chrono::milliseconds(3);
constexpr Duration maxCacheOnlyDelay = std::chrono::milliseconds(30);

// A request without a grant after this delay is reserved at one more server; the delay doubles for
// each further one. If its prefix is cached, the first delay is at least extraDelaySavingsFactor
// times the time that the cache saves, because other servers would have to compute the prefix
// again. Without extra reservations, requests queued at servers with cold caches that looked idle:
// in an experiment in which an availability zone returned, 7% of the requests of the top tier
// missed their deadline while warm servers were idle.
constexpr Duration minExtraDelay = std::chrono::milliseconds(20);
constexpr std::uint32_t maxExtraReservations = 6;
constexpr int extraDelaySavingsFactor = 4;

// A request is reserved only at the server that caches its prefix if the predicted queueing delay
// there is at most the time that the cache saves, divided by this.
constexpr int queueDelayDivisor = 4;

std::size_t temporarilyAvoidedCount(const EntryRequest &request)
{
    return static_cast<std::size_t>(
            std::count_if(request.avoided.begin(), request.avoided.end(),
                          [](const AvoidedServer &it) { return !it.permanent; }));
}

} // namespace

std::size_t EntryDecisions::targetReservationCount(const EntryRequest &request) const
{
    return std::size_t(m_limits.reservationCount) + request.extraReservations;
}

CandidateRequest EntryDecisions::candidateRequest(const EntryRequest &request) const
{
    return {request.arrival.route, request.arrival.model, request.versionDraw};
}

void EntryDecisions::collectExcludedServers(const EntryRequest &request)
{
    m_excluded.clear();
    for (const EntryReservation &it : request.reservations)
        m_excluded.push_back(it.slot);
    for (const AvoidedServer &it : request.avoided)
        m_excluded.push_back(it.slot);
    for (const BackendServerId &it : request.reportedNotRunBy)
        if (const auto slot = m_directory.find(it))
            m_excluded.push_back(*slot);
}

// Collects the candidates, and those of them that are expected to cache a prefix of the prompt.
void EntryDecisions::collectCandidates(const EntryRequest &request, Instant now)
{
    const CandidateRequest wanted = candidateRequest(request);
    const VersionRank collected = m_selector.collect(wanted, m_candidates);
    m_cached.clear();
    if (collected == VersionRank::Forbidden)
        return;
    const RequestArrival &arrival = request.arrival;
    m_prefixes.lookup({arrival.prefixHashes, arrival.prefixTokensPerHash, arrival.promptTokens},
                      now, m_cached);
    std::erase_if(m_cached, [&](const CachedPrefix &it) {
        return !m_directory.usable(it.slot) || m_selector.rankOf(wanted, it.slot) != collected;
    });
}

// The server for a prefix that no server is known to cache. All entry daemons derive the same
// server from the prefix hash, so that the prefix is computed once rather than once for each
// daemon.
CachedPrefix EntryDecisions::consistentHashChoice(const EntryRequest &request) const
{
    const RequestArrival &arrival = request.arrival;
    if (arrival.prefixHashes.empty())
        return {};
    const std::uint64_t prefixTokens = std::min<std::uint64_t>(
            std::uint64_t(arrival.prefixTokensPerHash) * arrival.prefixHashes.size(),
            arrival.promptTokens);
    return {m_directory.consistentHashOwner(m_candidates, arrival.prefixHashes.front()),
            prefixTokens / 2};
}

PlacementQuery EntryDecisions::placementQuery(const EntryRequest &request, Instant now) const
{
    const RequestArrival &arrival = request.arrival;
    return {&m_candidates,
            m_cached,
            m_excluded,
            &m_speeds,
            arrival.promptTokens,
            arrival.outputTokens,
            arrival.deadline - m_limits.answerMargin - now,
            targetReservationCount(request) - request.reservations.size(),
            now};
}

Duration EntryDecisions::timeSavedByCache(const EntryRequest &request,
                                          const PlacementChoice &choice, Instant now) const
{
    if (choice.cachedTokens < minCachedTokens)
        return Duration::zero();
    const RequestArrival &arrival = request.arrival;
    return m_speeds.serviceTime(choice.slot, {arrival.promptTokens, arrival.outputTokens}, now)
            - choice.serviceTime;
}

void EntryDecisions::reserveChoices(EntryRequest &request, Instant now)
{
    for (const PlacementChoice &it : m_choices) {
        request.extraDelay = std::max(request.extraDelay,
                                      timeSavedByCache(request, it, now) * extraDelaySavingsFactor);
        addReservation(request, {it.slot, it.serviceTime, it.cachedTokens, false}, now);
    }
}

// For a short time, reserves the request only at the server that caches its prefix, or that should
// cache it by consistent hashing: another server that grants first would have to compute the prefix
// again. Returns false, and reserves nothing, if that server has a long queue, as under overload,
// or if its cache would save too little; the request is then reserved at several servers at once.
bool EntryDecisions::reserveCachedOnly(EntryRequest &request, Instant now)
{
    const bool holderUnknown = m_cached.empty();
    const CachedPrefix hashChoice = consistentHashChoice(request);
    PlacementQuery cachedOnly = placementQuery(request, now);
    if (holderUnknown)
        cachedOnly.cached = {&hashChoice, 1};
    if (m_limits.reservationCount < 2 || cachedOnly.cached.front().slot == noServerSlot
        || cachedOnly.cached.front().tokens < minCachedTokens)
        return false;
    cachedOnly.candidates = &m_noCandidates;
    cachedOnly.count = 1;
    m_placement->choose(cachedOnly, m_random, m_choices);
    if (m_choices.empty())
        return false;
    PlacementChoice &best = m_choices.front();
    const Duration saved = timeSavedByCache(request, best, now);
    if (m_speeds.lastReportedWaiting(best.slot) > 0
        || best.finishTime > best.serviceTime + saved / queueDelayDivisor)
        return false;
    request.cacheOnlyUntil = now
            + (holderUnknown ? minCacheOnlyDelay
                             : std::clamp(saved / 2, minCacheOnlyDelay, maxCacheOnlyDelay));
    // The prefix may not be cached there, so the latest start is computed as if it were not.
    if (holderUnknown)
        best = {best.slot, best.serviceTime + saved, best.finishTime + saved, 0};
    request.extraDelay = saved * extraDelaySavingsFactor;
    reserveChoices(request, now);
    return true;
}

EntryDecisions::ReservationResult EntryDecisions::reserve(EntryRequest &request, Instant now)
{
    const std::size_t count = targetReservationCount(request);
    if (request.reservations.size() >= count)
        return ReservationResult::Reserved;
    if (temporarilyAvoidedCount(request) >= maxRejectionsPerReservation * count)
        return ReservationResult::NoServer;
    collectExcludedServers(request);
    collectCandidates(request, now);
    if (!std::exchange(request.cacheOnlyTried, true) && reserveCachedOnly(request, now))
        return ReservationResult::Reserved;
    const std::size_t consideredCount =
            m_placement->choose(placementQuery(request, now), m_random, m_choices);
    reserveChoices(request, now);
    const bool probeAdded = addProbe(request, now);
    if (probeAdded || !m_choices.empty())
        return ReservationResult::Reserved;
    return consideredCount > 0 ? ReservationResult::NoTimelyServer : ReservationResult::NoServer;
}

void EntryDecisions::addReservation(EntryRequest &request, const EntryReservation &reservation,
                                    Instant now)
{
    request.reservations.push_back(reservation);
    const RequestArrival &arrival = request.arrival;
    send(reservation.slot,
         Reserve {arrival.request, arrival.tier, arrival.organisation, arrival.organisationWeight,
                  arrival.route, arrival.model, arrival.promptTokens, arrival.outputTokens,
                  arrival.deadline - now, arrival.prefixHashes});
}

// Reserves the request as a probe at an ejected server that is due for one, if there is any.
bool EntryDecisions::addProbe(EntryRequest &request, Instant now)
{
    const CandidateRequest wanted = candidateRequest(request);
    const std::size_t count = std::min(maxProbeCandidates, m_probeReady.size());
    for (std::size_t i = 0; i < count; ++i) {
        const ServerSlot slot = m_probeReady[i];
        const bool excluded =
                std::find(m_excluded.begin(), m_excluded.end(), slot) != m_excluded.end();
        if (excluded || !m_directory.blockedOnlyBy(slot, ServerBlock::Ejected)
            || m_selector.rankOf(wanted, slot) == VersionRank::Forbidden)
            continue;
        m_probeReady.erase(m_probeReady.begin() + static_cast<std::ptrdiff_t>(i));
        m_outliers.probeStarted(slot);
        addReservation(request, {slot, Duration::zero(), 0, true}, now);
        return true;
    }
    return false;
}

void EntryDecisions::releaseProbe(const EntryReservation &reservation)
{
    if (!reservation.probe || m_outliers.state(reservation.slot) != OutlierState::ProbeRunning)
        return;
    m_outliers.probeInconclusive(reservation.slot);
    m_probeReady.push_back(reservation.slot);
}

// Sets the latest time of a grant at which the fastest reserved server still meets the deadline.
void EntryDecisions::refreshLatestStart(EntryRequest &request) const
{
    Duration shortestServiceTime = Duration::max();
    for (const EntryReservation &it : request.reservations)
        shortestServiceTime = std::min(shortestServiceTime, it.serviceTime);
    if (request.reservations.empty())
        shortestServiceTime = Duration::zero();
    request.latestStart = request.arrival.deadline - m_limits.answerMargin - shortestServiceTime;
}

// Adds missing reservations to a waiting request. Refuses it if it has none and cannot get one
// later.
void EntryDecisions::reserveOrRefuse(EntryRequest &request, Instant now)
{
    if (now + m_limits.answerMargin >= request.arrival.deadline) {
        refuse(request, NotRunReason::DeadlinePassed);
        return;
    }
    const ReservationResult result = reserve(request, now);
    refreshLatestStart(request);
    if (!request.reservations.empty() || temporarilyAvoidedCount(request) > 0)
        setWaitTimer(request, now);
    else if (!request.reportedNotRunBy.empty())
        refuse(request, NotRunReason::RetryBudget);
    else if (result == ReservationResult::NoTimelyServer || request.deadlineMissPredicted)
        refuse(request, NotRunReason::DeadlineUnreachable);
    else
        refuse(request, NotRunReason::NoBackendServer);
}

// Sets the request's timer to its latest start, or to an earlier time at which further servers are
// asked: one extra, those that do not cache the prefix, or those whose queues were full. The latter
// are asked even if the request has reservations left, as these may be at servers that never grant.
void EntryDecisions::setWaitTimer(EntryRequest &request, Instant now)
{
    Instant at = request.latestStart;
    if (request.nextExtraAt == instantNever)
        request.nextExtraAt = now + std::max(minExtraDelay, request.extraDelay);
    if (request.extraReservations < maxExtraReservations)
        at = std::min(at, request.nextExtraAt);
    const bool targetReached = request.reservations.size() >= targetReservationCount(request);
    if (!targetReached && request.cacheOnlyUntil > now)
        at = std::min(at, request.cacheOnlyUntil);
    if (!targetReached && temporarilyAvoidedCount(request) > 0) {
        // Other timer events do not restart a backoff that is under way.
        if (request.retryAt == instantNever) {
            const std::uint32_t doublings = std::min(request.retryRounds, 8U);
            request.retryAt =
                    now + std::min(initialRetryBackoff * (1 << doublings), maxRetryBackoff);
            ++request.retryRounds;
        }
        at = std::min(at, request.retryAt);
    }
    m_requests.setTimer(request, at);
}

bool EntryDecisions::extraReservationDue(const EntryRequest &request, Instant now) const
{
    return request.extraReservations < maxExtraReservations && now >= request.nextExtraAt;
}

void EntryDecisions::addExtraReservation(EntryRequest &request, Instant now)
{
    ++request.extraReservations;
    const Duration firstDelay = std::max(minExtraDelay, request.extraDelay);
    request.nextExtraAt = now + firstDelay * (1 << request.extraReservations);
    reserveOrRefuse(request, now);
}

bool EntryDecisions::dispatchAllowed(const EntryRequest &request,
                                     const EntryReservation &reservation) const
{
    const bool serverAvailable = m_directory.usable(reservation.slot)
            || (reservation.probe
                && m_directory.blockedOnlyBy(reservation.slot, ServerBlock::Ejected));
    return serverAvailable
            && m_selector.rankOf(candidateRequest(request), reservation.slot)
            != VersionRank::Forbidden;
}

bool EntryDecisions::takeReservation(EntryRequest &request, ServerSlot slot,
                                     EntryReservation &taken)
{
    const auto it = std::find_if(request.reservations.begin(), request.reservations.end(),
                                 [&](const EntryReservation &r) { return r.slot == slot; });
    if (it == request.reservations.end())
        return false;
    taken = *it;
    request.reservations.erase(it);
    return true;
}

void EntryDecisions::withdrawAll(EntryRequest &request)
{
    for (const EntryReservation &it : request.reservations) {
        send(it.slot, Withdraw {request.arrival.request});
        releaseProbe(it);
    }
    request.reservations.clear();
}

// Withdraws and replaces the reservations at servers to which their request may no longer be
// dispatched.
void EntryDecisions::withdrawDisallowed(Instant now)
{
    for (const RequestId &id : m_requests.waiting()) {
        EntryRequest &request = *m_requests.find(id);
        const std::size_t before = request.reservations.size();
        std::erase_if(request.reservations, [&](const EntryReservation &it) {
            if (dispatchAllowed(request, it))
                return false;
            send(it.slot, Withdraw {id});
            releaseProbe(it);
            return true;
        });
        if (request.reservations.size() < before)
            reserveOrRefuse(request, now);
    }
}

// Adds reservations to waiting requests that have fewer than they should, after a server connected
// or the routing view changed.
void EntryDecisions::refillReservations(Instant now)
{
    std::size_t refilled = 0;
    for (const RequestId &id : m_requests.waiting()) {
        EntryRequest &request = *m_requests.find(id);
        if (request.reservations.size() >= targetReservationCount(request))
            continue;
        reserveOrRefuse(request, now);
        if (++refilled >= maxRefilledRequests)
            return;
    }
}

} // namespace cornelshed::detail
