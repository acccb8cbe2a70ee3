// Chooses which connections and incomplete requests are ended when memory is short.

#include "memorybudget.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cornelshed {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = kilobyte * kilobyte;

// What the process needs for itself: 7 to 11 MiB at rest, the configuration and the reports of a
// large fleet, and one body of 4 MiB that is copied while its memory grows. The allocator loses a
// share of what is used: 27 % with 170,000 short responses that are not read.
constexpr std::size_t ownBytes = 16 * megabyte;
constexpr std::size_t allocatorLossDivisor = 4;
constexpr std::size_t minTotalBytes = 8 * megabyte;
constexpr std::size_t reservedDivisor = 8;
// A connection without a request: its objects, timer and entry in the reactor.
constexpr std::size_t connectionBytes = 4 * kilobyte;

// Descriptors for files, for the metrics and readiness listeners, and for connections to backend
// servers.
constexpr std::size_t fileDescriptors = 200;
constexpr std::size_t adminDescriptors = 64;
constexpr std::size_t backendDivisor = 8;
constexpr std::size_t minBackendDescriptors = 64;
constexpr std::size_t minConnectionLimit = 16;

// Unread data counts toward the memory, so that thousands of connections may not keep the kernel's
// default of 128 KiB and more. 16 KiB hold the largest head; a body of 4 MiB takes 256 round trips.
constexpr std::size_t receiveBufferDivisor = 4096; // of the memory
constexpr std::size_t minReceiveBuffer = 16 * kilobyte;
constexpr std::size_t maxReceiveBuffer = 256 * kilobyte;
constexpr std::size_t sendBufferFactor = 4;

// A request that has not received this much within this time makes no progress.
constexpr std::size_t progressStepBytes = 4 * kilobyte;
constexpr Duration stallTime = 1s;
// A new connection is given this time to send its request.
constexpr Duration unusedTime = 1s;
// Large requests cause a search at most this often.
constexpr Duration searchInterval = 100ms;
// A search frees this part of the total beyond what is needed, so that the next one is later. The
// same part is left to responses by requests.
constexpr std::size_t spareDivisor = 16;

} // namespace

MemoryLimits divideResources(const HostResources &resources)
{
    MemoryLimits limits;
    const std::size_t own = ownBytes + resources.memoryBytes / allocatorLossDivisor;
    limits.totalBytes =
            std::max(resources.memoryBytes - std::min(resources.memoryBytes, own), minTotalBytes);
    limits.reservedBytes = limits.totalBytes / reservedDivisor;
    limits.receiveBufferBytes = std::clamp(resources.memoryBytes / receiveBufferDivisor,
                                           minReceiveBuffer, maxReceiveBuffer);
    limits.sendBufferBytes = limits.receiveBufferBytes * sendBufferFactor;
    const std::size_t others = fileDescriptors + adminDescriptors
            + std::max(resources.descriptors / backendDivisor, minBackendDescriptors);
    const std::size_t byDescriptors =
            resources.descriptors - std::min(resources.descriptors, others);
    const std::size_t byMemory = (resources.memoryBytes - std::min(resources.memoryBytes, ownBytes))
            / (connectionBytes + limits.receiveBufferBytes);
    limits.connectionLimit = std::max(std::min(byDescriptors, byMemory), minConnectionLimit);
    return limits;
}

bool MemoryBudget::fits(std::size_t bytes, MemoryUse use) const
{
    const std::size_t used = m_usedBytes + bytes;
    if (use == MemoryUse::Response)
        return used <= m_limits.totalBytes;
    if (m_requestBytes == 0)
        return true;
    const std::size_t spare = use == MemoryUse::SmallRequest ? m_limits.totalBytes / spareDivisor
                                                             : m_limits.reservedBytes;
    if (used + spare > m_limits.totalBytes)
        return false;
    const std::size_t requestSpare = m_limits.requestBytes
            / (use == MemoryUse::SmallRequest ? spareDivisor : reservedDivisor);
    return m_limits.requestBytes == 0
            || m_requestBytes + bytes + requestSpare <= m_limits.requestBytes;
}

bool MemoryBudget::makeRoom(std::size_t bytes, MemoryUse use, const ConnectionShare *except,
                            Instant now)
{
    if (m_makingRoom || (use == MemoryUse::LargeRequest && now < m_nextSearchAt))
        return fits(bytes, use);
    m_makingRoom = true;
    const Entry *entry = except != nullptr && except->m_isOpen ? &*except->m_entry : nullptr;
    while (!fits(bytes, use) && endOldest(ConnectionPhase::Closing, instantNever)) { }
    const Instant idleBefore = now - m_idleTimeout / 5 * 4;
    while (!fits(bytes, use) && endOldest(ConnectionPhase::Idle, idleBefore)) { }
    while (!fits(bytes, use) && endOldest(ConnectionPhase::Unused, now - unusedTime)) { }
    if (!fits(bytes, use))
        endSlowest(ConnectionPhase::Receiving, bytes, use, entry, now);
    if (!fits(bytes, use) && use != MemoryUse::LargeRequest)
        endSlowest(ConnectionPhase::Waiting, bytes, use, entry, now);
    if (!fits(bytes, use))
        m_nextSearchAt = now + searchInterval;
    m_makingRoom = false;
    return fits(bytes, use);
}

bool MemoryBudget::makeConnectionRoom(Instant now)
{
    if (m_limits.connectionLimit == 0 || m_connectionCount < m_limits.connectionLimit)
        return true;
    const Instant idleBefore = now - m_idleTimeout / 5 * 4;
    endOldest(ConnectionPhase::Closing, instantNever)
            || endOldest(ConnectionPhase::Idle, idleBefore)
            || endOldest(ConnectionPhase::Unused, now - unusedTime)
            || endOldest(ConnectionPhase::Idle, instantNever)
            || endOldest(ConnectionPhase::Unused, instantNever);
    if (m_connectionCount < m_limits.connectionLimit)
        return true;
    // The slowest request gets an error response; its connection is closed at once as well.
    endSlowest(ConnectionPhase::Receiving, 0, MemoryUse::LargeRequest, nullptr, now);
    endOldest(ConnectionPhase::Closing, instantNever);
    return m_connectionCount < m_limits.connectionLimit;
}

// Ends the connection whose phase began first, if it began before this time.
bool MemoryBudget::endOldest(ConnectionPhase phase, Instant before)
{
    constexpr int maxTries = 8; // connections that may not be ended now are passed over
    Entries &entries = entriesIn(phase);
    auto it = entries.begin();
    for (int n = 0; n < maxTries && it != entries.end() && it->since < before; ++n) {
        const auto holder = it->holder; // ending the connection removes the entry
        ++it;
        if (end(holder))
            return true;
    }
    return false;
}

// Ends requests in the order of what they hold times the time without progress.
void MemoryBudget::endSlowest(ConnectionPhase phase, std::size_t bytes, MemoryUse use,
                              const Entry *except, Instant now)
{
    struct Candidate
    {
        double cost;
        std::size_t heldBytes;
        std::weak_ptr<MemoryHolder> holder;
    };
    std::vector<Candidate> candidates;
    const bool onlyStalled = use == MemoryUse::LargeRequest;
    for (const Entry &it : entriesIn(phase)) {
        const bool isStalled = it.progressAt + stallTime <= now;
        const bool isEndable = phase == ConnectionPhase::Receiving || it.hasUnreadRequests;
        if (&it == except || !isEndable || (onlyStalled && !isStalled))
            continue;
        const double time = std::chrono::duration<double>(now - it.progressAt + 1ms).count();
        candidates.push_back({static_cast<double>(it.heldBytes + connectionBytes) * time,
                              it.heldBytes, it.holder});
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &a, const Candidate &b) { return a.cost > b.cost; });
    // Without a need for memory, a connection is needed: one is enough.
    const std::size_t spare = bytes > 0 ? m_limits.totalBytes / spareDivisor : 0;
    for (const Candidate &it : candidates) {
        if (end(it.holder) && fits(bytes + spare, use))
            return;
    }
}

bool MemoryBudget::end(const std::weak_ptr<MemoryHolder> &holder)
{
    const auto locked = holder.lock();
    if (!locked || !locked->giveUpMemory())
        return false;
    ++m_closedForRoom;
    return true;
}

void ConnectionShare::open(std::weak_ptr<MemoryHolder> holder, Instant now)
{
    MemoryBudget::Entries &entries = m_budget->entriesIn(ConnectionPhase::Unused);
    MemoryBudget::Entry entry;
    entry.holder = std::move(holder);
    entry.since = now;
    entry.progressAt = now;
    m_entry = entries.insert(entries.end(), std::move(entry));
    m_isOpen = true;
    ++m_budget->m_connectionCount;
    m_budget->m_usedBytes += connectionBytes;
}

void ConnectionShare::close()
{
    if (!m_isOpen)
        return;
    hold(0);
    m_budget->m_usedBytes -= m_budget->unreadBytes(*m_entry);
    m_budget->entriesIn(m_entry->phase).erase(m_entry);
    m_isOpen = false;
    --m_budget->m_connectionCount;
    m_budget->m_usedBytes -= connectionBytes;
}

void ConnectionShare::setPhase(ConnectionPhase phase, Instant now)
{
    if (!m_isOpen)
        return;
    m_budget->m_usedBytes -= m_budget->unreadBytes(*m_entry);
    MemoryBudget::Entries &from = m_budget->entriesIn(m_entry->phase);
    MemoryBudget::Entries &to = m_budget->entriesIn(phase);
    to.splice(to.end(), from, m_entry);
    m_entry->phase = phase;
    m_entry->hasUnreadRequests = false;
    m_budget->m_usedBytes += m_budget->unreadBytes(*m_entry);
    m_entry->since = now;
    m_entry->progressAt = now;
    m_entry->stepBytes = 0;
}

void ConnectionShare::hold(std::size_t bytes)
{
    if (!m_isOpen)
        return;
    const std::size_t before = std::exchange(m_entry->heldBytes, bytes);
    m_budget->m_usedBytes += bytes - before; // unsigned arithmetic also subtracts
    m_budget->m_requestBytes += bytes - before;
}

void ConnectionShare::recordProgress(std::size_t bytes, Instant now)
{
    if (!m_isOpen)
        return;
    m_entry->stepBytes += bytes;
    if (m_entry->stepBytes < progressStepBytes)
        return;
    m_entry->stepBytes = 0;
    m_entry->progressAt = now;
}

void ConnectionShare::setHasUnreadRequests(bool hasUnread)
{
    if (!m_isOpen || hasUnread == m_entry->hasUnreadRequests)
        return;
    m_budget->m_usedBytes -= m_budget->unreadBytes(*m_entry);
    m_entry->hasUnreadRequests = hasUnread;
    m_budget->m_usedBytes += m_budget->unreadBytes(*m_entry);
}

} // namespace cornelshed
