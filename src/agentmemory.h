// Memory of an agent for its peers: sessions, large frames while they arrive, and the bodies of
// requests until the backend server has answered. Used on the agent's single thread.

#ifndef CORNELSHED_AGENTMEMORY_H
#define CORNELSHED_AGENTMEMORY_H

#include "frameroom.h"
#include "metrics.h"
#include "requestmemory.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace cornelshed {

class AgentMemory : public std::enable_shared_from_this<AgentMemory>
{
public:
    // limitBytes: of frames and bodies. sessionBytes: that each session takes from the pool.
    // metrics must outlive this object.
    AgentMemory(std::size_t limitBytes, std::size_t sessionBytes, std::shared_ptr<MemoryPool> pool,
                Metrics &metrics);

    // Room for one connection and its frames. onDropped is called when another one needs it; the
    // connection is then to be closed.
    std::unique_ptr<FrameRoom> makeFrameRoom(std::function<void()> onDropped);

    // Room for the body of a running request, or null if there is none. Released with the last
    // reference.
    std::shared_ptr<void> holdBody(std::size_t bytes);

    std::size_t heldBytes() const { return m_memory.heldBytes(); }

    // Counts and logs a session that was refused or closed for others, at most one line a second.
    void noteSessionRefused(std::string_view reason);

private:
    class SessionRoom;
    class HeldBody;

    RequestMemory::Holder open(std::function<void()> onDropped);
    void close(RequestMemory::Holder holder);
    bool hold(RequestMemory::Holder holder, std::size_t bytes);
    bool holdInAdvance(RequestMemory::Holder holder, std::size_t bytes);
    // Closes the sessions that were dropped. Returns whether the room was granted.
    bool carryOut(const RequestMemory::Room &room);
    void log(std::string_view reason);

    std::size_t m_sessionBytes;
    std::shared_ptr<MemoryPool> m_pool;
    RequestMemory m_memory;
    std::unordered_map<RequestMemory::Holder, std::function<void()>> m_onDropped;
    RequestMemory::Holder m_lastHolder = 0;
    Instant m_nextLineTime {};
    std::uint64_t m_countSinceLine = 0;
    Counter &m_dropped;
    Counter &m_refused;
    Counter &m_sessionsRefused;
};

} // namespace cornelshed

#endif // CORNELSHED_AGENTMEMORY_H
