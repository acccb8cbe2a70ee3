// Connections are notified after the lock is released, because the last reference to one may end
// there, and its destructor calls close().

#include "callermemory.h"

#include "eventlog.h"
#include "monotonicclock.h"

#include <utility>

namespace cornelshed {

namespace {

// Callers that ignore limits must not fill the log: what happens meanwhile is summed up.
constexpr Duration lineInterval = std::chrono::seconds(1);

} // namespace

CallerMemory::CallerMemory(const RequestMemoryLimits &limits, std::shared_ptr<MemoryPool> pool,
                           Metrics &metrics)
    : m_memory(limits, std::move(pool)),
      m_dropped(metrics.counter("cornelshed_entry_dropped_connections_total",
                                "Incomplete requests and idle connections given up for others.")),
      m_refused(metrics.counter("cornelshed_entry_refused_for_room_total",
                                "Requests and connections refused for want of room."))
{
    metrics.gauge("cornelshed_entry_request_bytes",
                  "Bytes of requests that are received or in progress.",
                  [this] { return static_cast<double>(heldBytes()); });
}

CallerMemory::~CallerMemory() = default;

RequestMemory::Place CallerMemory::placeForConnection() const
{
    const std::lock_guard lock(m_mutex);
    return m_memory.placeForConnection(monotonicNow());
}

CallerMemory::OpenedConnection
CallerMemory::open(const std::weak_ptr<DroppableConnection> &connection)
{
    DroppedConnections dropped;
    OpenedConnection opened;
    {
        const std::lock_guard lock(m_mutex);
        const RequestMemory::Room room = m_memory.open(m_lastHolder + 1, monotonicNow());
        logShortage(room, "connection_limit_count");
        dropped = connectionsOf(room);
        if (room.isGranted) {
            opened = {++m_lastHolder, room.isProvisional};
            m_connections[opened.holder] = connection;
        }
    }
    notify(dropped);
    return opened;
}

void CallerMemory::close(Holder holder)
{
    const std::lock_guard lock(m_mutex);
    m_memory.close(holder);
    m_connections.erase(holder);
}

void CallerMemory::noteRefusedConnection()
{
    const std::lock_guard lock(m_mutex);
    logShortage({}, "connection_limit_count");
}

bool CallerMemory::beginRequest(Holder holder)
{
    const std::lock_guard lock(m_mutex);
    return m_memory.beginRequest(holder, monotonicNow());
}

bool CallerMemory::hold(Holder holder, std::size_t bytes)
{
    return decide([holder, bytes](RequestMemory &memory) {
        return memory.hold(holder, bytes, monotonicNow());
    });
}

bool CallerMemory::expect(Holder holder, std::size_t bytes)
{
    return decide([holder, bytes](RequestMemory &memory) {
        return memory.expect(holder, bytes, monotonicNow());
    });
}

// Returns whether the decision granted the room.
template<typename Decision> bool CallerMemory::decide(Decision decision)
{
    DroppedConnections dropped;
    bool isGranted = false;
    {
        const std::lock_guard lock(m_mutex);
        const RequestMemory::Room room = decision(m_memory);
        logShortage(room, "request_memory_limit_bytes");
        dropped = connectionsOf(room);
        isGranted = room.isGranted;
    }
    notify(dropped);
    return isGranted;
}

bool CallerMemory::completeRequest(Holder holder)
{
    const std::lock_guard lock(m_mutex);
    return m_memory.completeRequest(holder);
}

bool CallerMemory::endRequest(Holder holder)
{
    const std::lock_guard lock(m_mutex);
    return m_memory.endRequest(holder, monotonicNow());
}

std::size_t CallerMemory::heldBytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_memory.heldBytes();
}

CallerMemory::DroppedConnections CallerMemory::connectionsOf(const RequestMemory::Room &room)
{
    DroppedConnections connections;
    for (const Holder it : room.dropped)
        connections.push_back(m_connections.at(it));
    return connections;
}

void CallerMemory::notify(const DroppedConnections &dropped)
{
    for (const auto &it : dropped) {
        if (const auto connection = it.lock())
            connection->dropped();
    }
}

void CallerMemory::logShortage(const RequestMemory::Room &room, std::string_view limit)
{
    if (room.isGranted && room.dropped.empty())
        return;
    m_dropped.add(room.dropped.size());
    m_droppedSinceLine += room.dropped.size();
    if (!room.isGranted) {
        m_refused.add();
        ++m_refusedSinceLine;
    }
    const Instant now = monotonicNow();
    if (now < m_nextLineTime)
        return;
    m_nextLineTime = now + lineInterval;
    EventLog("callers_over_limit", EventLevel::Warning)
            .field("limit", limit)
            .field("dropped", m_droppedSinceLine)
            .field("refused", m_refusedSinceLine)
            .field("held_bytes", m_memory.heldBytes())
            .field("connections", m_memory.connectionCount());
    m_droppedSinceLine = m_refusedSinceLine = 0;
}

} // namespace cornelshed
