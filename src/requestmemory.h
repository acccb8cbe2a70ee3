// Decides which requests may hold memory while they are received and run, and which connections may
// stay open. Part of the decision library: callers serialise the calls and pass the time.
//
// One limit holds for all requests. A part of it is reserved for small requests, so that an
// ordinary one finds room whatever large ones hold. When room is short, requests that have stopped
// arriving are dropped first, then, for a small request, the largest incomplete one. A request that
// has been received completely is never dropped, because it may be running.

#ifndef CORNELSHED_REQUESTMEMORY_H
#define CORNELSHED_REQUESTMEMORY_H

#include "memorypool.h"
#include "types.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cornelshed {

struct RequestMemoryLimits
{
    std::size_t totalBytes = 0;    // of all requests
    std::size_t reservedBytes = 0; // of these, for small requests
    std::size_t connectionCount = 0;
    // Connections beyond this. Each is there for one request, and its owner closes it unless the
    // request arrives at once: a crowd of slow callers cannot keep ordinary ones out.
    std::size_t provisionalCount = 0;
    // A request that holds no more than this is small.
    std::size_t smallRequestBytes = std::size_t {64} << 10U;
    // An incomplete request that has not grown by progressBytes within stallTime is stalled. It is
    // dropped only while room is short, so a pause of the network does no harm otherwise.
    std::size_t progressBytes = 1024;
    Duration stallTime = std::chrono::seconds(1);
    // A connection that has been idle for less may have a request on its way.
    Duration idleTime = std::chrono::milliseconds(250);
    // A request that takes its room in advance is stalled also if it grows by less than this part
    // of it, or a few slow ones could keep all room.
    std::size_t advanceProgressDivisor = 32;
    // Of the pool, for each connection. Includes its receive buffer in the kernel, because all
    // connections may have unread data while the daemon is late.
    std::size_t connectionBytes = 0;

    bool operator==(const RequestMemoryLimits &) const = default;
};

class RequestMemory
{
public:
    // A connection. It has one request at a time.
    using Holder = std::uint64_t;

    // Answer to a request for room: whether it is granted, and the connections that are dropped for
    // it. What a dropped one held counts as released.
    struct Room
    {
        bool isGranted = false;
        std::vector<Holder> dropped;
        bool isProvisional = false; // the place of the connection that open() has granted

        bool operator==(const Room &) const = default;
    };

    // pool: null: none.
    explicit RequestMemory(const RequestMemoryLimits &limits,
                           std::shared_ptr<MemoryPool> pool = nullptr)
        : m_limits(limits), m_pool(std::move(pool))
    { }

    // Whether open() has a place for a connection: now; soon, because a provisional one waits for
    // its request; or perhaps not for long, because requests run on all connections.
    enum class Place { Free, Soon, None };
    Place placeForConnection(Instant now) const;

    // A new connection, which is idle. If it is not granted, the holder is not known afterwards. At
    // the limit of connections, one of these is dropped: the one that has been idle longest, for
    // idleTime at least; the one whose incomplete request began over stallTime ago and progressed
    // least lately. If there is none, the new one is provisional. If there are too many of these,
    // any idle one is dropped.
    Room open(Holder holder, Instant now);

    // The connection begins to receive a request. Returns false if it was dropped.
    bool beginRequest(Holder holder, Instant now);

    // The request holds this many bytes from now on. If it is not granted, it holds what it held.
    Room hold(Holder holder, std::size_t bytes, Instant now);

    // Like hold(), for a request that has begun and takes all of its room before its bytes arrive.
    // Only noteArrived() counts as progress then.
    Room holdInAdvance(Holder holder, std::size_t bytes, Instant now);

    // Like hold(), for bytes that are still to come: makes room, but takes none.
    Room expect(Holder holder, std::size_t bytes, Instant now);

    // The bytes of the request that have arrived, for holders that take their room in advance.
    void noteArrived(Holder holder, std::size_t bytes, Instant now);

    // The request was received completely. Returns false if it was dropped: it must not run.
    bool completeRequest(Holder holder);

    // The request has ended, and the connection waits for the next one. Returns false if it was
    // dropped.
    bool endRequest(Holder holder, Instant now);

    // The connection was closed. Does nothing for a holder that is not known.
    void close(Holder holder);

    const RequestMemoryLimits &limits() const { return m_limits; }
    std::size_t heldBytes() const { return m_heldBytes; }
    std::size_t connectionCount() const { return m_openCount; }

private:
    enum class State { Idle, Receiving, Complete, Dropped };

    struct Entry
    {
        State state = State::Idle;
        std::size_t bytes = 0;
        std::size_t poolBytes = 0; // taken from the pool
        std::size_t bytesAtProgress = 0;
        std::size_t progressBytes = 0; // by which it must grow
        bool isProvisional = false;
        Instant begunAt; // of the request that is received
        Instant progressAt;
        std::list<Holder>::iterator position; // in m_idle or m_receiving
    };

    Entry *find(Holder holder);
    bool makeRoom(Holder holder, std::size_t bytes, Instant now, std::vector<Holder> &dropped);
    bool fits(const Entry &entry, std::size_t bytes) const;
    void countInPool(Entry &entry);
    bool hasRegularPlace() const;
    std::optional<Holder> unusedHolder(Instant now) const;
    std::optional<Holder> slowestHolder(std::optional<Holder> exceptHolder, Instant now) const;
    std::optional<Holder> stalledHolder(Holder exceptHolder, Instant now) const;
    std::optional<Holder> largestHolder(Holder exceptHolder) const;
    void noteProgress(Entry &entry, std::size_t bytes, Instant now);
    void setBytes(Holder holder, Entry &entry, std::size_t bytes);
    void leaveState(Holder holder, Entry &entry);
    void leaveOpen(Entry &entry);
    void drop(Holder holder);

    RequestMemoryLimits m_limits;
    std::shared_ptr<MemoryPool> m_pool; // null: none
    std::unordered_map<Holder, Entry> m_entries;
    std::list<Holder> m_idle;      // longest idle first
    std::list<Holder> m_receiving; // oldest progress first
    // Incomplete requests that are not small.
    std::set<std::pair<std::size_t, Holder>> m_largeReceiving;
    std::size_t m_heldBytes = 0;
    std::size_t m_openCount = 0;                // entries that are not dropped
    std::size_t m_provisionalCount = 0;         // of these
    std::size_t m_completeProvisionalCount = 0; // of these, with a complete request
};

} // namespace cornelshed

#endif // CORNELSHED_REQUESTMEMORY_H
