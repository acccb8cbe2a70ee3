// The memory that a daemon may use for its peers: one budget for their connections, for requests,
// for answers and for data that the kernel has received and the daemon has not read yet. Each of
// these has limits of its own, too; the pool keeps their sum within the memory of the host.
//
// Thread-safe without a lock: requests are counted on the threads of their connections, answers on
// those of the sessions on which they arrive. Part of the decision library.

#ifndef CORNELSHED_MEMORYPOOL_H
#define CORNELSHED_MEMORYPOOL_H

#include <atomic>
#include <cstddef>

namespace cornelshed {

// What takes memory, from the one that is refused first to the one that is refused last.
enum class PoolUse {
    Large, // a large request, or a large answer
    SmallRequest,
    ShortAnswer // of a request that has run
};

class MemoryPool
{
public:
    explicit MemoryPool(std::size_t totalBytes) : m_totalBytes(totalBytes) { }
    MemoryPool(const MemoryPool &) = delete;
    MemoryPool &operator=(const MemoryPool &) = delete;

    std::size_t totalBytes() const { return m_totalBytes; }
    std::size_t usedBytes() const { return m_usedBytes; }

    bool hasRoom(std::size_t bytes, PoolUse use) const { return m_usedBytes + bytes <= limit(use); }

    // Takes the bytes, or none if there is no room.
    bool tryTake(std::size_t bytes, PoolUse use);

    // Takes them whether there is room or not.
    void take(std::size_t bytes) { m_usedBytes += bytes; }
    void release(std::size_t bytes) { m_usedBytes -= bytes; }

private:
    std::size_t limit(PoolUse use) const;

    const std::size_t m_totalBytes;
    std::atomic<std::size_t> m_usedBytes {0};
};

// How a daemon divides the memory of its host.
struct PoolDivision
{
    std::size_t totalBytes = 0;         // of the pool
    std::size_t receiveBufferBytes = 0; // of each connection, in the kernel
    std::size_t connectionLimit = 0;
    std::size_t requestBytes = 0; // of the pool, for requests

    bool operator==(const PoolDivision &) const = default;
};

// Tells when much less of a pool is in use than before, so that it is worth while to return the
// pages of what was freed: small blocks that are left in use keep the allocator from doing so.
class FreedMemoryCheck
{
public:
    // To be called regularly. Returns true once for each time that the use has fallen.
    bool hasFallen(std::size_t usedBytes);

private:
    std::size_t m_highestBytes = 0; // since it returned true
};

// memoryBytes: of the host. connectionBytes: of a connection without a request. The buffer is at
// most maxReceiveBufferBytes.
PoolDivision divideMemory(std::size_t memoryBytes, std::size_t connectionBytes,
                          std::size_t maxReceiveBufferBytes);

} // namespace cornelshed

#endif // CORNELSHED_MEMORYPOOL_H
