// Shares of the pool, and of the host's memory.

#include "memorypool.h"

#include <algorithm>

namespace cornelshed {

namespace {

constexpr std::size_t megabyte = std::size_t {1} << 20U;

// What a daemon needs besides the pool: its code, its state and the copies of the requests that its
// threads are working on. The allocator loses a share of what is used.
constexpr std::size_t ownBytes = 16 * megabyte;
constexpr std::size_t allocatorLossDivisor = 4;
constexpr std::size_t minTotalBytes = 8 * megabyte;
constexpr std::size_t minConnectionLimit = 16;

// Parts of the pool that large requests and answers leave to small ones, and small requests to
// short answers.
constexpr std::size_t smallShareDivisor = 8;
constexpr std::size_t answerShareDivisor = 32;

// A head of 16 KiB fits the smallest buffer.
constexpr std::size_t receiveBufferDivisor = 4096; // of the memory
constexpr std::size_t minReceiveBufferBytes = std::size_t {16} << 10U;

// The use has fallen if it is below half of the highest one and this much below it.
constexpr std::size_t fallBytes = 4 * megabyte;

} // namespace

std::size_t MemoryPool::limit(PoolUse use) const
{
    switch (use) {
    case PoolUse::Large:
        return m_totalBytes - m_totalBytes / smallShareDivisor;
    case PoolUse::SmallRequest:
        return m_totalBytes - m_totalBytes / answerShareDivisor;
    case PoolUse::ShortAnswer:
        break;
    }
    return m_totalBytes;
}

bool MemoryPool::tryTake(std::size_t bytes, PoolUse use)
{
    std::size_t used = m_usedBytes;
    do {
        if (used + bytes > limit(use))
            return false;
    } while (!m_usedBytes.compare_exchange_weak(used, used + bytes));
    return true;
}

bool FreedMemoryCheck::hasFallen(std::size_t usedBytes)
{
    m_highestBytes = std::max(m_highestBytes, usedBytes);
    if (usedBytes > m_highestBytes / 2 || usedBytes + fallBytes > m_highestBytes)
        return false;
    m_highestBytes = usedBytes;
    return true;
}

PoolDivision divideMemory(std::size_t memoryBytes, std::size_t connectionBytes,
                          std::size_t maxReceiveBufferBytes)
{
    PoolDivision division;
    const std::size_t own = ownBytes + memoryBytes / allocatorLossDivisor;
    division.totalBytes = std::max(memoryBytes - std::min(memoryBytes, own), minTotalBytes);
    division.receiveBufferBytes =
            std::min(std::max(memoryBytes / receiveBufferDivisor, minReceiveBufferBytes),
                     maxReceiveBufferBytes);
    // Together these leave an eighth to answers.
    division.connectionLimit =
            std::max(division.totalBytes / 8 * 3 / (connectionBytes + division.receiveBufferBytes),
                     minConnectionLimit);
    division.requestBytes = division.totalBytes / 2;
    return division;
}

} // namespace cornelshed
