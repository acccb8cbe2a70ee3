// Frames are held by RequestMemory as requests that are received, bodies as complete ones, which
// are never dropped.

#include "agentmemory.h"

#include "eventlog.h"
#include "monotonicclock.h"

#include <limits>
#include <utility>

namespace cornelshed {

namespace {

// Peers that ignore limits must not fill the log.
constexpr Duration lineInterval = std::chrono::seconds(1);

// Sessions have a limit of their own.
RequestMemoryLimits makeLimits(std::size_t limitBytes)
{
    RequestMemoryLimits limits;
    limits.totalBytes = limitBytes;
    limits.reservedBytes = limitBytes / 8;
    limits.connectionCount = std::numeric_limits<std::size_t>::max();
    return limits;
}

} // namespace

class AgentMemory::SessionRoom final : public FrameRoom
{
public:
    SessionRoom(std::shared_ptr<AgentMemory> memory, std::function<void()> onDropped)
        : m_memory(std::move(memory)), m_holder(m_memory->open(std::move(onDropped)))
    {
        m_memory->m_pool->take(m_memory->m_sessionBytes);
    }

    ~SessionRoom() override
    {
        m_memory->m_pool->release(m_memory->m_sessionBytes);
        m_memory->close(m_holder);
    }

    bool take(std::size_t frameBytes) override
    {
        m_memory->m_memory.beginRequest(m_holder, monotonicNow());
        if (m_memory->holdInAdvance(m_holder, frameBytes))
            return true;
        release();
        return false;
    }

    void noteArrived(std::size_t bytes) override
    {
        m_memory->m_memory.noteArrived(m_holder, bytes, monotonicNow());
    }

    void release() override { m_memory->m_memory.endRequest(m_holder, monotonicNow()); }

private:
    std::shared_ptr<AgentMemory> m_memory;
    RequestMemory::Holder m_holder;
};

class AgentMemory::HeldBody
{
public:
    HeldBody(std::shared_ptr<AgentMemory> memory, RequestMemory::Holder holder)
        : m_memory(std::move(memory)), m_holder(holder)
    { }
    ~HeldBody() { m_memory->close(m_holder); }
    HeldBody(const HeldBody &) = delete;
    HeldBody &operator=(const HeldBody &) = delete;

private:
    std::shared_ptr<AgentMemory> m_memory;
    RequestMemory::Holder m_holder;
};

AgentMemory::AgentMemory(std::size_t limitBytes, std::size_t sessionBytes,
                         std::shared_ptr<MemoryPool> pool, Metrics &metrics)
    : m_sessionBytes(sessionBytes), m_pool(pool), m_memory(makeLimits(limitBytes), std::move(pool)),
      m_dropped(metrics.counter("cornelshed_agent_dropped_sessions_total",
                                "Sessions closed because others needed the room of their frame.")),
      m_refused(metrics.counter("cornelshed_agent_refused_for_room_total",
                                "Requests not run for want of room for their body.")),
      m_sessionsRefused(metrics.counter("cornelshed_agent_refused_sessions_total",
                                        "Sessions refused or closed at the limit of sessions."))
{
    metrics.gauge("cornelshed_agent_request_bytes",
                  "Bytes of large frames that arrive and of the bodies of running requests.",
                  [this] { return static_cast<double>(heldBytes()); });
}

std::unique_ptr<FrameRoom> AgentMemory::makeFrameRoom(std::function<void()> onDropped)
{
    return std::make_unique<SessionRoom>(shared_from_this(), std::move(onDropped));
}

std::shared_ptr<void> AgentMemory::holdBody(std::size_t bytes)
{
    const RequestMemory::Holder holder = open(nullptr);
    auto body = std::make_shared<HeldBody>(shared_from_this(), holder);
    m_memory.beginRequest(holder, monotonicNow());
    m_memory.completeRequest(holder);
    if (hold(holder, bytes))
        return body;
    m_refused.add();
    log("request_memory_limit_bytes");
    return nullptr;
}

RequestMemory::Holder AgentMemory::open(std::function<void()> onDropped)
{
    m_memory.open(++m_lastHolder, monotonicNow());
    m_onDropped[m_lastHolder] = std::move(onDropped);
    return m_lastHolder;
}

void AgentMemory::close(RequestMemory::Holder holder)
{
    m_memory.close(holder);
    m_onDropped.erase(holder);
}

bool AgentMemory::hold(RequestMemory::Holder holder, std::size_t bytes)
{
    return carryOut(m_memory.hold(holder, bytes, monotonicNow()));
}

bool AgentMemory::holdInAdvance(RequestMemory::Holder holder, std::size_t bytes)
{
    return carryOut(m_memory.holdInAdvance(holder, bytes, monotonicNow()));
}

bool AgentMemory::carryOut(const RequestMemory::Room &room)
{
    for (const RequestMemory::Holder it : room.dropped) {
        m_dropped.add();
        log("request_memory_limit_bytes");
        // A copy, because closing the connection may end the holder.
        const std::function<void()> onDropped = m_onDropped.at(it);
        onDropped();
    }
    return room.isGranted;
}

void AgentMemory::noteSessionRefused(std::string_view reason)
{
    m_sessionsRefused.add();
    log(reason);
}

void AgentMemory::log(std::string_view reason)
{
    ++m_countSinceLine;
    const Instant now = monotonicNow();
    if (now < m_nextLineTime)
        return;
    m_nextLineTime = now + lineInterval;
    EventLog("peers_over_limit", EventLevel::Warning)
            .field("limit", reason)
            .field("refused", std::exchange(m_countSinceLine, 0))
            .field("held_bytes", heldBytes());
}

} // namespace cornelshed
