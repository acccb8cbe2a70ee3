// Reservation part of the entry decisions: where a waiting request is reserved, and when its
// reservations are replaced or withdrawn.

#include "entrydecisions.h"

#include <algorithm>

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

std::size_t temporarilyAvoided(const EntryRequest &request)
{
    return static_cast<std::size_t>(
            std::count_if(request.avoided.begin(), request.avoided.end(),
                          [](const AvoidedServer &it) { return !it.forGood; }));
}

} // namespace

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

EntryDecisions::Reserved EntryDecisions::reserve(EntryRequest &request, Instant now)
{
    const std::size_t count = m_limits.reservationCount;
    if (request.reservations.size() >= count)
        return Reserved::Some;
    if (temporarilyAvoided(request) >= rejectionsPerReservation * count)
        return Reserved::NoServer;
    collectExcluded(request);
    collectCached(request, now);
    const RequestArrival &arrival = request.arrival;
    const PlacementQuery query {&m_candidates,
                                m_cached,
                                m_excluded,
                                &m_speeds,
                                arrival.promptTokens,
                                arrival.outputTokens,
                                arrival.deadline - m_limits.answerMargin - now,
                                count - request.reservations.size(),
                                now};
    const std::size_t looked = m_placement->choose(query, m_random, m_choices);
    for (const PlacementChoice &it : m_choices)
        addReservation(request, {it.slot, it.service, it.cachedTokens, false}, now);
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
    const bool full = request.reservations.size() >= m_limits.reservationCount;
    // Also with some reservations left: they may be at servers that never grant.
    if (!full && temporarilyAvoided(request) > 0)
        waitForRetry(request, now);
    else if (!request.reservations.empty())
        m_requests.setTimer(request, request.latestStart);
    else if (!request.offeredBackBy.empty())
        refuse(request, NotRunReason::RetryBudget);
    else if (result == Reserved::Unreachable || request.tooSlowSomewhere)
        refuse(request, NotRunReason::DeadlineUnreachable);
    else
        refuse(request, NotRunReason::NoBackendServer);
}

void EntryDecisions::waitForRetry(EntryRequest &request, Instant now)
{
    const std::uint32_t doublings = std::min(request.rounds, 8U);
    const Duration pause = std::min(firstRetryPause * (1 << doublings), longestRetryPause);
    ++request.rounds;
    m_requests.setTimer(request, std::min(request.latestStart, now + pause));
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
        if (request.reservations.size() >= m_limits.reservationCount)
            continue;
        reserveOrRefuse(request, now);
        if (++n >= topUpLimit)
            return;
    }
}

} // namespace cornelshed::detail
