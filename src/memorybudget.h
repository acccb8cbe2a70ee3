// The memory that callers may make a process use, and the connections that it may have. Everything
// that callers cause is counted here: connections, heads, bodies, buffered responses and data that
// is still to be written. When a request does not fit, connections are closed or incomplete
// requests are ended to make room: first idle connections and those that have never sent a request,
// then the incomplete requests that hold most for the least progress.
//
// Counting takes constant time. Connections are searched only when there is no room, and then so
// much is freed that the next search is far away.

#ifndef CORNELSHED_MEMORYBUDGET_H
#define CORNELSHED_MEMORYBUDGET_H

#include "types.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>

namespace cornelshed {

// What a process may use.
struct HostResources
{
    std::size_t memoryBytes = 0;
    std::size_t descriptors = 0;

    // In bytes: the memory that a setting in MiB gives; 0: all.
    std::size_t memoryFor(std::uint32_t settingMb) const
    {
        return settingMb > 0 ? std::size_t {settingMb} << 20U : memoryBytes;
    }

    bool operator==(const HostResources &) const = default;
};

struct MemoryLimits
{
    std::size_t totalBytes = std::size_t {1} << 30U;
    std::size_t reservedBytes = 0;      // part of the total that large requests may not use
    std::size_t requestBytes = 0;       // part of the total that requests may use; 0: all
    std::size_t connectionLimit = 0;    // 0: none
    std::size_t receiveBufferBytes = 0; // of each connection, in the kernel; 0: its default
    std::size_t sendBufferBytes = 0;

    bool operator==(const MemoryLimits &) const = default;
};

// Divides the memory and the descriptors of a process that serves callers and backend servers.
MemoryLimits divideResources(const HostResources &resources);

// A request whose body is at most this large is small: it may use the reserved part.
constexpr std::size_t smallBodyBytes = std::size_t {64} << 10U;

enum class MemoryUse { SmallRequest, LargeRequest, Response };

inline MemoryUse requestUse(std::size_t bodyBytes)
{
    return bodyBytes <= smallBodyBytes ? MemoryUse::SmallRequest : MemoryUse::LargeRequest;
}

// A connection. Implemented by the runtime.
class MemoryHolder
{
public:
    virtual ~MemoryHolder() = default;

    // Releases what the connection holds, by an error response or by closing it. Returns false if
    // it may not be ended now.
    virtual bool giveUpMemory() = 0;
};

enum class ConnectionPhase : std::uint8_t {
    Unused,    // has not sent a byte yet
    Idle,      // after a request
    Receiving, // a part of a request has arrived
    Waiting,   // a request is in progress, or its response is being written
    Closing    // only waits for the caller to close
};

class ConnectionShare;

class MemoryBudget
{
public:
    explicit MemoryBudget(const MemoryLimits &limits) : m_limits(limits) { }
    MemoryBudget(const MemoryBudget &) = delete;
    MemoryBudget &operator=(const MemoryBudget &) = delete;

    const MemoryLimits &limits() const { return m_limits; }
    std::size_t usedBytes() const { return m_usedBytes; }
    std::size_t connectionCount() const { return m_connectionCount; }
    std::uint64_t closedForRoom() const { return m_closedForRoom; }

    // A request that is the only one always fits.
    bool fits(std::size_t bytes, MemoryUse use) const;
    bool isExceeded() const { return m_usedBytes > m_limits.totalBytes; }

    // Memory that is not held by a connection.
    void take(std::size_t bytes) { m_usedBytes += bytes; }
    void release(std::size_t bytes) { m_usedBytes -= bytes; }

    // Ends connections and incomplete requests, but not that of `except`, until so many more bytes
    // fit. For large requests only those that have made no progress for a while are ended. Returns
    // whether the bytes fit now.
    bool makeRoom(std::size_t bytes, MemoryUse use, const ConnectionShare *except, Instant now);

    // Ends a connection if there are as many as permitted. Returns whether another one may be
    // opened.
    bool makeConnectionRoom(Instant now);

    // Callers use connections again that were idle for up to four fifths of this time.
    void setIdleTimeout(Duration idleTimeout) { m_idleTimeout = idleTimeout; }

private:
    friend class ConnectionShare;

    struct Entry
    {
        std::weak_ptr<MemoryHolder> holder;
        ConnectionPhase phase = ConnectionPhase::Unused;
        Instant since {};      // when the phase began
        Instant progressAt {}; // when the last step of progress of the current request was complete
        std::size_t stepBytes = 0; // received since then
        std::size_t heldBytes = 0;
        bool hasUnreadRequests = false; // more requests were sent before the response was received
    };
    // One list for each phase, each in the order in which the phases began.
    using Entries = std::list<Entry>;
    static constexpr std::size_t phaseCount = 5;

    // Unread data in the kernel, which a connection may have that sends faster than it is read.
    std::size_t unreadBytes(const Entry &entry) const
    {
        const bool mayHave = entry.phase == ConnectionPhase::Receiving
                || (entry.phase == ConnectionPhase::Waiting && entry.hasUnreadRequests);
        return mayHave ? m_limits.receiveBufferBytes : 0;
    }
    Entries &entriesIn(ConnectionPhase phase) { return m_entries[static_cast<std::size_t>(phase)]; }
    bool endOldest(ConnectionPhase phase, Instant before);
    void endSlowest(ConnectionPhase phase, std::size_t bytes, MemoryUse use, const Entry *except,
                    Instant now);
    bool end(const std::weak_ptr<MemoryHolder> &holder);

    MemoryLimits m_limits;
    Duration m_idleTimeout = std::chrono::seconds(15);
    Entries m_entries[phaseCount];
    std::size_t m_usedBytes = 0;
    std::size_t m_requestBytes = 0; // part of m_usedBytes that requests of connections hold
    std::size_t m_connectionCount = 0;
    std::uint64_t m_closedForRoom = 0;
    Instant m_nextSearchAt {}; // for the sake of large requests
    bool m_makingRoom = false; // ending a connection may add data to be written
};

// What one connection holds of the budget. The destructor releases it.
class ConnectionShare
{
public:
    explicit ConnectionShare(std::shared_ptr<MemoryBudget> budget) : m_budget(std::move(budget)) { }
    ~ConnectionShare() { close(); }
    ConnectionShare(const ConnectionShare &) = delete;
    ConnectionShare &operator=(const ConnectionShare &) = delete;

    void open(std::weak_ptr<MemoryHolder> holder, Instant now);
    void close();

    void setPhase(ConnectionPhase phase, Instant now);

    // Sets how much the current request holds, whether or not it fits.
    void hold(std::size_t bytes);
    std::size_t heldBytes() const { return m_isOpen ? m_entry->heldBytes : 0; }

    // Bytes of the current request have arrived.
    void recordProgress(std::size_t bytes, Instant now);
    void setHasUnreadRequests(bool hasUnread);

    MemoryBudget &budget() { return *m_budget; }

    // As MemoryBudget::makeRoom() for this connection.
    bool makeRoom(std::size_t bytes, MemoryUse use, Instant now)
    {
        return m_budget->fits(bytes, use) || m_budget->makeRoom(bytes, use, this, now);
    }

private:
    friend class MemoryBudget;

    std::shared_ptr<MemoryBudget> m_budget;
    MemoryBudget::Entries::iterator m_entry; // valid while m_isOpen
    bool m_isOpen = false;
};

} // namespace cornelshed

#endif // CORNELSHED_MEMORYBUDGET_H
