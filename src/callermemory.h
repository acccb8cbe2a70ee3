// Memory of the requests of all callers' connections and the limit of these connections: passes the
// decisions of RequestMemory on to the connections. Thread-safe.

#ifndef CORNELSHED_CALLERMEMORY_H
#define CORNELSHED_CALLERMEMORY_H

#include "metrics.h"
#include "requestmemory.h"

#include <cstddef>
#include <memory>
#include <mutex>
#include <string_view>
#include <unordered_map>

namespace cornelshed {

// A connection. Called on any thread, without a lock.
class DroppableConnection
{
public:
    virtual ~DroppableConnection() = default;

    // The connection must give up the request that it is receiving, or close if it has none.
    virtual void dropped() = 0;
};

class CallerMemory
{
public:
    using Holder = RequestMemory::Holder;

    // metrics must outlive this object.
    CallerMemory(const RequestMemoryLimits &limits, std::shared_ptr<MemoryPool> pool,
                 Metrics &metrics);
    ~CallerMemory();
    CallerMemory(const CallerMemory &) = delete;
    CallerMemory &operator=(const CallerMemory &) = delete;

    // As the function of RequestMemory.
    RequestMemory::Place placeForConnection() const;

    // holder: 0 if the limit of connections permits no other one; otherwise close() must be called
    // once. A provisional connection is there for a request that arrives at once, and is closed
    // after it.
    struct OpenedConnection
    {
        Holder holder = 0;
        bool isProvisional = false;

        bool operator==(const OpenedConnection &) const = default;
    };
    OpenedConnection open(const std::weak_ptr<DroppableConnection> &connection);
    void close(Holder holder);

    // Counts and logs a connection that is closed without open().
    void noteRefusedConnection();

    // As the functions of RequestMemory.
    bool beginRequest(Holder holder);
    bool hold(Holder holder, std::size_t bytes);
    bool expect(Holder holder, std::size_t bytes);
    bool completeRequest(Holder holder);
    bool endRequest(Holder holder);

    std::size_t heldBytes() const;

private:
    using DroppedConnections = std::vector<std::weak_ptr<DroppableConnection>>;

    template<typename Decision> bool decide(Decision decision);
    DroppedConnections connectionsOf(const RequestMemory::Room &room);
    static void notify(const DroppedConnections &dropped);
    void logShortage(const RequestMemory::Room &room, std::string_view limit);

    mutable std::mutex m_mutex; // guards the members below up to m_refusedSinceLine
    RequestMemory m_memory;
    std::unordered_map<Holder, std::weak_ptr<DroppableConnection>> m_connections;
    Holder m_lastHolder = 0;
    Instant m_nextLineTime {};
    std::uint64_t m_droppedSinceLine = 0;
    std::uint64_t m_refusedSinceLine = 0;
    Counter &m_dropped;
    Counter &m_refused;
};

} // namespace cornelshed

#endif // CORNELSHED_CALLERMEMORY_H
