// All operations take constant time, or logarithmic time for requests that are not small, apart
// from the connections that they drop.

#include "requestmemory.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cornelshed {

RequestMemory::Entry *RequestMemory::find(Holder holder)
{
    const auto it = m_entries.find(holder);
    return it == m_entries.end() || it->second.state == State::Dropped ? nullptr : &it->second;
}

RequestMemory::Place RequestMemory::placeForConnection(Instant now) const
{
    if (hasRegularPlace() || m_provisionalCount < m_limits.provisionalCount || unusedHolder(now))
        return Place::Free;
    return m_completeProvisionalCount < m_provisionalCount ? Place::Soon : Place::None;
}

bool RequestMemory::hasRegularPlace() const
{
    return m_openCount - m_provisionalCount < m_limits.connectionCount;
}

RequestMemory::Room RequestMemory::open(Holder holder, Instant now)
{
    Room room;
    if (!hasRegularPlace()) {
        std::optional<Holder> victim = unusedHolder(now);
        room.isProvisional = !victim && m_provisionalCount < m_limits.provisionalCount;
        if (!victim && !room.isProvisional && !m_idle.empty())
            victim = m_idle.front();
        if (!victim && !room.isProvisional)
            return room;
        if (victim) {
            drop(*victim);
            room.dropped.push_back(*victim);
        }
    }
    Entry &entry = m_entries[holder];
    entry.progressAt = now;
    entry.position = m_idle.insert(m_idle.end(), holder);
    entry.isProvisional = room.isProvisional;
    countInPool(entry);
    ++m_openCount;
    m_provisionalCount += entry.isProvisional ? 1 : 0;
    room.isGranted = true;
    return room;
}

bool RequestMemory::beginRequest(Holder holder, Instant now)
{
    Entry *entry = find(holder);
    if (entry == nullptr)
        return false;
    leaveState(holder, *entry);
    entry->state = State::Receiving;
    entry->begunAt = now;
    entry->progressAt = now;
    entry->bytesAtProgress = entry->bytes;
    entry->progressBytes = m_limits.progressBytes;
    entry->position = m_receiving.insert(m_receiving.end(), holder);
    return true;
}

RequestMemory::Room RequestMemory::hold(Holder holder, std::size_t bytes, Instant now)
{
    Room room;
    Entry *entry = find(holder);
    if (entry == nullptr)
        return room;
    room.isGranted = makeRoom(holder, bytes, now, room.dropped);
    if (!room.isGranted)
        return room;
    setBytes(holder, *entry, bytes);
    noteProgress(*entry, bytes, now);
    return room;
}

RequestMemory::Room RequestMemory::holdInAdvance(Holder holder, std::size_t bytes, Instant now)
{
    Room room;
    Entry *entry = find(holder);
    if (entry == nullptr)
        return room;
    room.isGranted = makeRoom(holder, bytes, now, room.dropped);
    if (!room.isGranted)
        return room;
    setBytes(holder, *entry, bytes);
    entry->progressBytes =
            std::max(m_limits.progressBytes, bytes / m_limits.advanceProgressDivisor);
    return room;
}

RequestMemory::Room RequestMemory::expect(Holder holder, std::size_t bytes, Instant now)
{
    Room room;
    if (find(holder) != nullptr)
        room.isGranted = makeRoom(holder, bytes, now, room.dropped);
    return room;
}

void RequestMemory::noteArrived(Holder holder, std::size_t bytes, Instant now)
{
    if (Entry *entry = find(holder))
        noteProgress(*entry, bytes, now);
}

void RequestMemory::noteProgress(Entry &entry, std::size_t bytes, Instant now)
{
    if (entry.state != State::Receiving || bytes < entry.bytesAtProgress + entry.progressBytes)
        return;
    entry.bytesAtProgress = bytes;
    entry.progressAt = now;
    m_receiving.splice(m_receiving.end(), m_receiving, entry.position);
}

bool RequestMemory::completeRequest(Holder holder)
{
    Entry *entry = find(holder);
    if (entry == nullptr)
        return false;
    leaveState(holder, *entry);
    entry->state = State::Complete;
    m_completeProvisionalCount += entry->isProvisional ? 1 : 0;
    return true;
}

bool RequestMemory::endRequest(Holder holder, Instant now)
{
    Entry *entry = find(holder);
    if (entry == nullptr)
        return false;
    leaveState(holder, *entry);
    m_heldBytes -= entry->bytes;
    entry->bytes = 0;
    entry->state = State::Idle;
    entry->progressAt = now;
    entry->position = m_idle.insert(m_idle.end(), holder);
    countInPool(*entry);
    return true;
}

void RequestMemory::close(Holder holder)
{
    const auto it = m_entries.find(holder);
    if (it == m_entries.end())
        return;
    if (it->second.state != State::Dropped) {
        leaveState(holder, it->second);
        m_heldBytes -= it->second.bytes;
        leaveOpen(it->second);
        it->second.state = State::Dropped;
        countInPool(it->second);
    }
    m_entries.erase(it);
}

bool RequestMemory::makeRoom(Holder holder, std::size_t bytes, Instant now,
                             std::vector<Holder> &dropped)
{
    const Entry &entry = *find(holder);
    // What can never fit must not drop others.
    if (bytes > m_limits.totalBytes)
        return false;
    while (!fits(entry, bytes)) {
        std::optional<Holder> victim = stalledHolder(holder, now);
        const bool isSmall = bytes <= m_limits.smallRequestBytes;
        if (!victim && isSmall)
            victim = largestHolder(holder);
        if (!victim && isSmall)
            victim = slowestHolder(holder, now);
        if (!victim)
            return false;
        drop(*victim);
        dropped.push_back(*victim);
    }
    return true;
}

bool RequestMemory::fits(const Entry &entry, std::size_t bytes) const
{
    if (bytes <= entry.bytes)
        return true;
    const bool isSmall = bytes <= m_limits.smallRequestBytes;
    const std::size_t limit =
            isSmall ? m_limits.totalBytes : m_limits.totalBytes - m_limits.reservedBytes;
    const std::size_t othersBytes = m_heldBytes - entry.bytes;
    if (othersBytes + bytes > limit)
        return false;
    return !m_pool || othersBytes == 0
            || m_pool->hasRoom(bytes - entry.bytes,
                               isSmall ? PoolUse::SmallRequest : PoolUse::Large);
}

void RequestMemory::countInPool(Entry &entry)
{
    if (!m_pool)
        return;
    const std::size_t after =
            entry.state == State::Dropped ? 0 : m_limits.connectionBytes + entry.bytes;
    const std::size_t before = std::exchange(entry.poolBytes, after);
    if (after > before)
        m_pool->take(after - before);
    else
        m_pool->release(before - after);
}

// Of the connections that serve no request at present.
std::optional<RequestMemory::Holder> RequestMemory::unusedHolder(Instant now) const
{
    if (!m_idle.empty() && m_entries.at(m_idle.front()).progressAt + m_limits.idleTime <= now)
        return m_idle.front();
    return slowestHolder(std::nullopt, now);
}

// Of the incomplete requests that began long enough ago, the one whose last progress is the longest
// ago. Ordinary small requests arrive in less time.
std::optional<RequestMemory::Holder>
RequestMemory::slowestHolder(std::optional<Holder> exceptHolder, Instant now) const
{
    constexpr int maxTries = 8;
    auto it = m_receiving.begin();
    for (int n = 0; n < maxTries && it != m_receiving.end(); ++n, ++it) {
        if (*it != exceptHolder && m_entries.at(*it).begunAt + m_limits.stallTime <= now)
            return *it;
    }
    return std::nullopt;
}

std::optional<RequestMemory::Holder> RequestMemory::stalledHolder(Holder exceptHolder,
                                                                  Instant now) const
{
    auto it = m_receiving.begin();
    if (it != m_receiving.end() && *it == exceptHolder)
        ++it;
    if (it == m_receiving.end() || m_entries.at(*it).progressAt + m_limits.stallTime > now)
        return std::nullopt;
    return *it;
}

std::optional<RequestMemory::Holder> RequestMemory::largestHolder(Holder exceptHolder) const
{
    auto it = m_largeReceiving.rbegin();
    if (it != m_largeReceiving.rend() && it->second == exceptHolder)
        ++it;
    return it == m_largeReceiving.rend() ? std::nullopt : std::optional(it->second);
}

void RequestMemory::setBytes(Holder holder, Entry &entry, std::size_t bytes)
{
    m_heldBytes += bytes - entry.bytes;
    if (entry.state == State::Receiving) {
        if (entry.bytes > m_limits.smallRequestBytes)
            m_largeReceiving.erase({entry.bytes, holder});
        if (bytes > m_limits.smallRequestBytes)
            m_largeReceiving.insert({bytes, holder});
    }
    entry.bytes = bytes;
    countInPool(entry);
}

void RequestMemory::leaveState(Holder holder, Entry &entry)
{
    if (entry.state == State::Idle) {
        m_idle.erase(entry.position);
    } else if (entry.state == State::Receiving) {
        m_receiving.erase(entry.position);
        m_largeReceiving.erase({entry.bytes, holder});
    } else if (entry.state == State::Complete && entry.isProvisional) {
        --m_completeProvisionalCount;
    }
}

void RequestMemory::leaveOpen(Entry &entry)
{
    --m_openCount;
    m_provisionalCount -= entry.isProvisional ? 1 : 0;
}

void RequestMemory::drop(Holder holder)
{
    Entry &entry = m_entries.at(holder);
    leaveState(holder, entry);
    leaveOpen(entry);
    m_heldBytes -= entry.bytes;
    entry.bytes = 0;
    entry.state = State::Dropped;
    countInPool(entry);
}

} // namespace cornelshed
