// Reservation part of the entry decisions: where a waiting request is reserved, and when its
// reservations are replaced or withdrawn.

#include "entrydecisions.h"

#include <algorithm>
#include <utility>

namespace cornelshed::detail {

namespace {

// A request whose reservations were all rejected for full queues is offered again after this pause,
// which doubles with each round up to the longest.
constexpr Duration firstRetryPause = std::chrono::milliseconds(25);
constexpr Duration longestRetryPause = std::chrono::milliseconds(400);

// Rejections per wanted reservation in one round. Without a bound, a request would ask each of the
// 1,200 servers of an overloaded region in turn.
constexpr std::size_t rejectionsPerReservation = 3;

// Requests that get further reservations when a server connects; bounds the cost of a reconnect
// after an outage. The others get theirs when their retry pause ends.
constexpr std::size_t topUpLimit = 64;

// Servers due for a probe that one request is compared with.
constexpr std::size_t probesConsidered = 4;

// Prefixes of fewer tokens are computed faster than it takes to wait for a grant.
constexpr std::uint64_t leastCachedTokens = 512;

// A server with room grants after one round trip, which takes under 1 ms within a region. A longer
// wait of up to 200 ms avoided a little more repeated prefill in the experiments, but let more
// requests of the top tier miss their deadline under overload.
constexpr Duration homePatience = std::chrono::milliseconds(3);
constexpr Duration longestCachePatience = std::chrono::milliseconds(30);

// A request that got no grant for this time is reserved at one more server, and again after twice
// the time. If its prefix is cached, the first wait is a multiple of the time that the cache
// saves: the other servers would have to compute the prefix again. Without extra reservations,
// requests waited behind cold servers that looked idle: in the experiment of a returned
// availability zone, 7% of the top tier missed its deadline while warm servers were idle.
constexpr Duration firstExtraDelay = std::chrono::milliseconds(20);
constexpr std::uint32_t extraReservationLimit = 6;
constexpr int cachePatience = 4;

// A server is waited for if its predicted queue takes less than this part of the time saved.
constexpr int longestWaitShare = 4;

std::size_t temporarilyAvoided(const EntryRequest &request)
{
    return static_cast<std::size_t>(
            std::count_if(request.avoided.begin(), request.avoided.end(),
                          [](const AvoidedServer &it) { return !it.forGood; }));
}

} // namespace

std::size_t EntryDecisions::wantedReservations(const EntryRequest &request) const
{
    return std::size_t(m_limits.reservationCount) + request.extraReservations;
}

CandidateRequest EntryDecisions::candidateRequest(const EntryRequest &request) const
{
    return {request.arrival.route, request.arrival.model, request.versionDraw};
}

void EntryDecisions::collectExcluded(const EntryRequest &request)
{
    m_excluded.clear();
    for (const EntryReservation &it : request.reservations)
        m_excluded.push_back(it.slot);
    for (const AvoidedServer &it : request.avoided)
        m_excluded.push_back(it.slot);
    for (const BackendServerId &it : request.offeredBackBy)
        if (const auto slot = m_directory.find(it))
            m_excluded.push_back(*slot);
}

// Servers with a cached prefix that are candidates as well.
void EntryDecisions::collectCached(const EntryRequest &request, Instant now)
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

// A prefix that no server is known to have is sent to a server that all entry daemons choose alike
// from its hash, so that it is computed once and not once for each daemon.
CachedPrefix EntryDecisions::homeOf(const EntryRequest &request) const
{
    const RequestArrival &arrival = request.arrival;
    if (arrival.prefixHashes.empty())
        return {};
    const std::uint64_t prefixTokens = std::min<std::uint64_t>(
            std::uint64_t(arrival.prefixTokensPerHash) * arrival.prefixHashes.size(),
            arrival.promptTokens);
    return {m_directory.home(m_candidates, arrival.prefixHashes.front()), prefixTokens / 2};
}

PlacementQuery EntryDecisions::query(const EntryRequest &request, Instant now) const
{
    const RequestArrival &arrival = request.arrival;
    return {&m_candidates,
            m_cached,
            m_excluded,
            &m_speeds,
            arrival.promptTokens,
            arrival.outputTokens,
            arrival.deadline - m_limits.answerMargin - now,
            wantedReservations(request) - request.reservations.size(),
            now};
}

Duration EntryDecisions::savedByCache(const EntryRequest &request, const PlacementChoice &choice,
                                      Instant now) const
{
    if (choice.cachedTokens < leastCachedTokens)
        return Duration::zero();
    const RequestArrival &arrival = request.arrival;
    return m_speeds.serviceTime(choice.slot, {arrival.promptTokens, arrival.outputTokens}, now)
            - choice.service;
}

void EntryDecisions::reserveChoices(EntryRequest &request, Instant now)
{
    for (const PlacementChoice &it : m_choices) {
        request.extraDelay =
                std::max(request.extraDelay, savedByCache(request, it, now) * cachePatience);
        addReservation(request, {it.slot, it.service, it.cachedTokens, false}, now);
    }
}

// Offers the request for a short time only to the server with its prefix. Otherwise another server
// that grants first would compute the prefix again. Under overload the server's queue is long, and
// the request is offered everywhere at once.
bool EntryDecisions::reserveWhereCached(EntryRequest &request, Instant now)
{
    const bool guessed = m_cached.empty();
    const CachedPrefix home = homeOf(request);
    PlacementQuery cachedOnly = query(request, now);
    if (guessed)
        cachedOnly.cached = {&home, 1};
    if (m_limits.reservationCount < 2 || cachedOnly.cached.front().slot == noServerSlot
        || cachedOnly.cached.front().tokens < leastCachedTokens)
        return false;
    cachedOnly.candidates = &m_noCandidates;
    cachedOnly.count = 1;
    m_placement->choose(cachedOnly, m_random, m_choices);
    if (m_choices.empty())
        return false;
    PlacementChoice &best = m_choices.front();
    const Duration saved = savedByCache(request, best, now);
    if (m_speeds.lastReportedWaiting(best.slot) > 0
        || best.finish > best.service + saved / longestWaitShare)
        return false;
    request.fillUpAt = now
            + (guessed ? homePatience : std::clamp(saved / 2, homePatience, longestCachePatience));
    // The latest start must not rest on a guess.
    if (guessed)
        best = {best.slot, best.service + saved, best.finish + saved, 0};
    request.extraDelay = saved * cachePatience;
    reserveChoices(request, now);
    return true;
}

EntryDecisions::Reserved EntryDecisions::reserve(EntryRequest &request, Instant now)
{
    const std::size_t count = wantedReservations(request);
    if (request.reservations.size() >= count)
        return Reserved::Some;
    if (temporarilyAvoided(request) >= rejectionsPerReservation * count)
        return Reserved::NoServer;
    collectExcluded(request);
    collectCached(request, now);
    if (!std::exchange(request.cacheTried, true) && reserveWhereCached(request, now))
        return Reserved::Some;
    const std::size_t looked = m_placement->choose(query(request, now), m_random, m_choices);
    reserveChoices(request, now);
    const bool probing = addProbe(request, now);
    if (probing || !m_choices.empty())
        return Reserved::Some;
    return looked > 0 ? Reserved::Unreachable : Reserved::NoServer;
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

// Adds a reservation at an ejected server that is due for a probe.
bool EntryDecisions::addProbe(EntryRequest &request, Instant now)
{
    const CandidateRequest wanted = candidateRequest(request);
    const std::size_t n = std::min(probesConsidered, m_probing.size());
    for (std::size_t i = 0; i < n; ++i) {
        const ServerSlot slot = m_probing[i];
        const bool excluded =
                std::find(m_excluded.begin(), m_excluded.end(), slot) != m_excluded.end();
        if (excluded || !m_directory.blockedOnlyBy(slot, ServerBlock::Ejected)
            || m_selector.rankOf(wanted, slot) == VersionRank::Forbidden)
            continue;
        m_probing.erase(m_probing.begin() + static_cast<std::ptrdiff_t>(i));
        m_outliers.probeStarted(slot);
        addReservation(request, {slot, Duration::zero(), 0, true}, now);
        return true;
    }
    return false;
}

void EntryDecisions::dropProbe(const EntryReservation &reservation)
{
    if (!reservation.probe || m_outliers.state(reservation.slot) != OutlierState::ProbeRunning)
        return;
    m_outliers.probeReleased(reservation.slot);
    m_probing.push_back(reservation.slot);
}

// Latest grant time with which the fastest reserved server finishes before the deadline.
void EntryDecisions::refreshLatestStart(EntryRequest &request) const
{
    Duration fastest = Duration::max();
    for (const EntryReservation &it : request.reservations)
        fastest = std::min(fastest, it.service);
    if (request.reservations.empty())
        fastest = Duration::zero();
    request.latestStart = request.arrival.deadline - m_limits.answerMargin - fastest;
}

// Fills up the reservations of a waiting request; refuses it if none is left.
void EntryDecisions::reserveOrRefuse(EntryRequest &request, Instant now)
{
    if (now + m_limits.answerMargin >= request.arrival.deadline) {
        refuse(request, NotRunReason::DeadlinePassed);
        return;
    }
    const Reserved result = reserve(request, now);
    refreshLatestStart(request);
    if (!request.reservations.empty() || temporarilyAvoided(request) > 0)
        setWaitTimer(request, now);
    else if (!request.offeredBackBy.empty())
        refuse(request, NotRunReason::RetryBudget);
    else if (result == Reserved::Unreachable || request.tooSlowSomewhere)
        refuse(request, NotRunReason::DeadlineUnreachable);
    else
        refuse(request, NotRunReason::NoBackendServer);
}

// Wakes at the latest start, or earlier to ask further servers: those without the prefix, or those
// whose queues were full. The latter also while some reservations are left, because these may be at
// servers that never grant.
void EntryDecisions::setWaitTimer(EntryRequest &request, Instant now)
{
    Instant at = request.latestStart;
    if (request.extraAt == instantNever)
        request.extraAt = now + std::max(firstExtraDelay, request.extraDelay);
    if (request.extraReservations < extraReservationLimit)
        at = std::min(at, request.extraAt);
    const bool full = request.reservations.size() >= wantedReservations(request);
    if (!full && request.fillUpAt > now)
        at = std::min(at, request.fillUpAt);
    if (!full && temporarilyAvoided(request) > 0) {
        // A pause under way is not started anew by another wake-up.
        if (request.retryAt == instantNever) {
            const std::uint32_t doublings = std::min(request.rounds, 8U);
            request.retryAt = now + std::min(firstRetryPause * (1 << doublings), longestRetryPause);
            ++request.rounds;
        }
        at = std::min(at, request.retryAt);
    }
    m_requests.setTimer(request, at);
}

bool EntryDecisions::extraIsDue(const EntryRequest &request, Instant now) const
{
    return request.extraReservations < extraReservationLimit && now >= request.extraAt;
}

void EntryDecisions::reserveExtra(EntryRequest &request, Instant now)
{
    ++request.extraReservations;
    const Duration first = std::max(firstExtraDelay, request.extraDelay);
    request.extraAt = now + first * (1 << request.extraReservations);
    reserveOrRefuse(request, now);
}

bool EntryDecisions::mayGetDispatch(const EntryRequest &request,
                                    const EntryReservation &reservation) const
{
    const bool open = m_directory.usable(reservation.slot)
            || (reservation.probe
                && m_directory.blockedOnlyBy(reservation.slot, ServerBlock::Ejected));
    return open
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
        dropProbe(it);
    }
    request.reservations.clear();
}

// Withdraws reservations at servers that may no longer get their request, and replaces them.
void EntryDecisions::withdrawWhereForbidden(Instant now)
{
    for (const RequestId &id : m_requests.waiting()) {
        EntryRequest &request = *m_requests.find(id);
        const std::size_t before = request.reservations.size();
        std::erase_if(request.reservations, [&](const EntryReservation &it) {
            if (mayGetDispatch(request, it))
                return false;
            send(it.slot, Withdraw {id});
            dropProbe(it);
            return true;
        });
        if (request.reservations.size() < before)
            reserveOrRefuse(request, now);
    }
}

// A new server gives room to requests that have fewer reservations than wanted.
void EntryDecisions::topUp(Instant now)
{
    std::size_t n = 0;
    for (const RequestId &id : m_requests.waiting()) {
        EntryRequest &request = *m_requests.find(id);
        if (request.reservations.size() >= wantedReservations(request))
            continue;
        reserveOrRefuse(request, now);
        if (++n >= topUpLimit)
            return;
    }
}

} // namespace cornelshed::detail
