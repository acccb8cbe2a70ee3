// Leases on slots and the queue for them.

#include "slotledger.h"

#include <algorithm>
#include <iterator>

namespace cornelshed {

namespace {

using namespace std::chrono_literals;

// Gateways renew several times in this time.
constexpr Duration leaseTime = 700ms;
// A grant that no renewal lists by then did not arrive.
constexpr Duration grantTime = 350ms;
// Gateways tell what they run within this time.
constexpr Duration learnTime = 250ms;
constexpr std::size_t waitingLimit = 500;
// An agent that has just started does not know what was granted in the last second, and grants only
// this many starts of a cold server in its first one.
constexpr std::uint32_t firstColdGrants = 2;

} // namespace

SlotLedger::SlotLedger(Instant now) : m_startedAt(now), m_grantsFrom(now + learnTime) { }

void SlotLedger::ask(const SlotAsk &ask, Instant now)
{
    if (m_held.contains(ask.key)) {
        m_again.push_back(ask.key);
        return;
    }
    if (m_places.contains(ask.key) || m_queue.size() >= waitingLimit)
        return;
    const Place place {ask.order, m_arrivals++};
    m_queue[place] = {ask, now + ask.wait};
    m_places[ask.key] = place;
}

void SlotLedger::release(const SlotKey &key)
{
    m_held.erase(key);
    const auto it = m_places.find(key);
    if (it == m_places.end())
        return;
    m_queue.erase(it->second);
    m_places.erase(it);
}

void SlotLedger::renew(std::uint64_t gateway, const std::vector<std::uint64_t> &sequences,
                       Instant now)
{
    for (const std::uint64_t sequence : sequences) {
        const auto [it, added] = m_held.try_emplace({gateway, sequence});
        it->second.until = now + leaseTime;
        if (added)
            it->second.grantedAt = now;
    }
    std::erase_if(m_held, [&](const auto &it) {
        return it.first.gateway == gateway && it.second.grantedAt + grantTime <= now
                && std::find(sequences.begin(), sequences.end(), it.first.sequence)
                == sequences.end();
    });
}

std::vector<SlotKey> SlotLedger::advance(Instant now)
{
    expire(now);
    std::vector<SlotKey> granted;
    std::swap(granted, m_again);
    if (now < m_grantsFrom)
        return granted;
    std::uint32_t blockedFrom = UINT32_MAX; // asks that leave as many slots free wait
    for (auto it = m_queue.begin(); it != m_queue.end() && blockedFrom > 0;) {
        const SlotAsk &ask = it->second.ask;
        if (ask.leaveFree >= blockedFrom) {
            ++it;
            continue;
        }
        if (m_held.size() + ask.leaveFree >= ask.slots || !bearsOneMore(ask, now)) {
            blockedFrom = ask.leaveFree;
            ++it;
            continue;
        }
        m_held[ask.key] = {now + grantTime, now};
        m_grants.push_back(now);
        granted.push_back(ask.key);
        m_places.erase(ask.key);
        it = m_queue.erase(it);
    }
    return granted;
}

std::uint32_t SlotLedger::ahead(const SlotKey &key) const
{
    const auto it = m_places.find(key);
    if (it == m_places.end())
        return 0;
    return static_cast<std::uint32_t>(std::distance(m_queue.begin(), m_queue.find(it->second)));
}

void SlotLedger::expire(Instant now)
{
    std::erase_if(m_held, [&](const auto &it) { return it.second.until <= now; });
    for (auto it = m_queue.begin(); it != m_queue.end();) {
        if (it->second.until > now) {
            ++it;
            continue;
        }
        m_places.erase(it->second.ask.key);
        it = m_queue.erase(it);
    }
    while (!m_grants.empty() && m_grants.front() + 1s <= now)
        m_grants.pop_front();
}

bool SlotLedger::bearsOneMore(const SlotAsk &ask, Instant now)
{
    if (ask.coldRate <= 0)
        return true;
    while (!m_grants.empty() && m_grants.front() + 1s <= now)
        m_grants.pop_front();
    return m_grants.size() < coldLimit(ask, now);
}

std::uint32_t SlotLedger::coldLimit(const SlotAsk &ask, Instant now) const
{
    const auto rate = static_cast<std::uint32_t>(std::max(ask.coldRate, 1.0));
    return now < m_startedAt + 1s ? std::min(firstColdGrants, rate) : rate;
}

} // namespace cornelshed
