// Slot leases and the queue of slot requests.

#include "slotallocator.h"

#include <algorithm>
#include <iterator>

namespace cornelshed {

namespace {

using namespace std::chrono_literals;

// Gateways renew several times within this time, so that a lost renewal does not end a lease.
constexpr Duration leaseDuration = 700ms;
// A grant that no renewal has listed within this time is taken as lost.
constexpr Duration grantConfirmationTimeout = 350ms;
// After the agent starts, gateways report the requests that they run within this time.
constexpr Duration recoveryDuration = 250ms;
constexpr std::size_t queueLimit = 500;
// A renewal adds no lease beyond this many: a backend server has some tens of slots, and anyone can
// send a datagram that lists thousands.
constexpr std::size_t leaseLimit = 1000;
// Slots of a cold backend server that an agent grants in its first second if the gateway states no
// limit.
constexpr std::uint32_t minColdRestartLimit = 2;
// Grants that may follow each other at once while a limit is named, after a pause.
constexpr double limitedGrantsLimit = 2;
// Delays between the requests that find out whether a server that refused connections is back.
constexpr Duration firstProbeDelay = 50ms;
constexpr Duration longestProbeDelay = 400ms;
// A request that has held its slot for this time has been connected.
constexpr Duration connectedAfter = 60ms;

} // namespace

SlotAllocator::SlotAllocator(Instant now)
    : m_limitedGrantsAt(now), m_startedAt(now), m_recoveryEndsAt(now + recoveryDuration)
{ }

void SlotAllocator::requestSlot(const SlotRequest &request, Instant now)
{
    if (request.namedLimit)
        m_namedLimit.merge(*request.namedLimit, now);
    if (m_leases.contains(request.key)) {
        m_regrants.push_back(request.key);
        return;
    }
    if (m_queueKeys.contains(request.key) || m_queue.size() >= queueLimit)
        return;
    const QueueKey queueKey {request.order, m_arrivalCount++};
    m_queue[queueKey] = {request, now + request.timeout};
    m_queueKeys[request.key] = queueKey;
}

void SlotAllocator::release(const SlotKey &key, bool unused)
{
    if (m_leases.erase(key) > 0 && unused) {
        m_limitedGrants = std::min(m_limitedGrants + 1, limitedGrantsLimit);
        if (key == m_probe)
            m_probeAt = {}; // it found out nothing
    }
    const auto it = m_queueKeys.find(key);
    if (it == m_queueKeys.end())
        return;
    m_queue.erase(it->second);
    m_queueKeys.erase(it);
}

void SlotAllocator::serverRefused(const SlotKey &key, Instant now)
{
    // Requests that were granted together are refused together.
    if (m_refusals > 0 && key != m_probe)
        return;
    m_probe.reset();
    m_probeAt = now
            + std::min<Duration>(firstProbeDelay * (1U << std::min(m_refusals, 3U)),
                                 longestProbeDelay);
    ++m_refusals;
}

void SlotAllocator::serverResponded(const SlotKey &key)
{
    if (key == m_probe)
        m_refusals = 0;
}

void SlotAllocator::renew(std::uint64_t gateway, const std::vector<std::uint64_t> &sequences,
                          Instant now)
{
    for (const std::uint64_t sequence : sequences) {
        if (m_leases.size() >= leaseLimit && !m_leases.contains({gateway, sequence}))
            continue;
        const auto [it, added] = m_leases.try_emplace({gateway, sequence});
        it->second.expiresAt = now + leaseDuration;
        if (added)
            it->second.grantedAt = now;
    }
    std::erase_if(m_leases, [&](const auto &it) {
        return it.first.gateway == gateway && it.second.grantedAt + grantConfirmationTimeout <= now
                && std::find(sequences.begin(), sequences.end(), it.first.sequence)
                == sequences.end();
    });
}

std::vector<SlotKey> SlotAllocator::advance(Instant now)
{
    expire(now);
    std::vector<SlotKey> granted;
    std::swap(granted, m_regrants);
    const auto probe = m_probe ? m_leases.find(*m_probe) : m_leases.end();
    if (probe != m_leases.end() && probe->second.grantedAt + connectedAfter <= now)
        m_refusals = 0;
    if (now < m_recoveryEndsAt || (m_refusals > 0 && now < m_probeAt))
        return granted;
    // Requests that leave at least this many slots free wait behind one that was not granted.
    std::uint32_t blockedReserve = UINT32_MAX;
    const auto limit = m_namedLimit.perSecond();
    accrueLimitedGrants(limit.value_or(0), now);
    for (auto it = m_queue.begin(); it != m_queue.end() && blockedReserve > 0;) {
        if (limit && m_limitedGrants < 1)
            break;
        const SlotRequest &request = it->second.request;
        if (request.reservedSlots >= blockedReserve) {
            ++it;
            continue;
        }
        if (m_leases.size() + request.reservedSlots >= request.slots
            || !withinColdLimit(request, now)) {
            blockedReserve = request.reservedSlots;
            ++it;
            continue;
        }
        m_leases[request.key] = {now + grantConfirmationTimeout, now};
        m_recentGrants.push_back(now);
        if (limit)
            m_limitedGrants -= 1;
        granted.push_back(request.key);
        m_queueKeys.erase(request.key);
        it = m_queue.erase(it);
        if (m_refusals > 0) {
            m_probeAt = now + longestProbeDelay;
            m_probe = granted.back();
            break;
        }
    }
    return granted;
}

std::uint32_t SlotAllocator::ahead(const SlotKey &key) const
{
    const auto it = m_queueKeys.find(key);
    if (it == m_queueKeys.end())
        return 0;
    return static_cast<std::uint32_t>(std::distance(m_queue.begin(), m_queue.find(it->second)));
}

void SlotAllocator::expire(Instant now)
{
    std::erase_if(m_leases, [&](const auto &it) { return it.second.expiresAt <= now; });
    for (auto it = m_queue.begin(); it != m_queue.end();) {
        if (it->second.expiresAt > now) {
            ++it;
            continue;
        }
        m_queueKeys.erase(it->second.request.key);
        it = m_queue.erase(it);
    }
    while (!m_recentGrants.empty() && m_recentGrants.front() + 1s <= now)
        m_recentGrants.pop_front();
}

// perSecond: 0 while no limit is named. Then nothing accrues, so that the first grants under a new
// limit are spread, too.
void SlotAllocator::accrueLimitedGrants(double perSecond, Instant now)
{
    const double seconds = std::chrono::duration<double>(now - m_limitedGrantsAt).count();
    m_limitedGrantsAt = now;
    m_limitedGrants = std::min(m_limitedGrants + seconds * perSecond, limitedGrantsLimit);
}

bool SlotAllocator::withinColdLimit(const SlotRequest &request, Instant now)
{
    if (request.coldRate <= 0)
        return true;
    while (!m_recentGrants.empty() && m_recentGrants.front() + 1s <= now)
        m_recentGrants.pop_front();
    return m_recentGrants.size() < coldLimit(request, now);
}

std::uint32_t SlotAllocator::coldLimit(const SlotRequest &request, Instant now) const
{
    const auto rate = static_cast<std::uint32_t>(std::max(request.coldRate, 1.0));
    return now < m_startedAt + 1s
            ? std::min(std::max(minColdRestartLimit, request.coldRestartLimit), rate)
            : rate;
}

} // namespace cornelshed
