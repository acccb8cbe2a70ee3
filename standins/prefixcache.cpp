// Prefix cache with LRU eviction and chained block hashes.

#include "prefixcache.h"

#include <xxhash.h>

#include <algorithm>

namespace cornelshed::standins {

std::uint64_t countTokens(std::string_view text)
{
    return (text.size() + bytesPerToken - 1) / bytesPerToken;
}

std::vector<std::uint64_t> blockHashes(std::string_view prompt)
{
    constexpr std::size_t blockBytes = bytesPerToken * tokensPerBlock;
    std::vector<std::uint64_t> hashes;
    std::uint64_t previousHash = 0;
    while (prompt.size() >= blockBytes) {
        previousHash = XXH64(prompt.data(), blockBytes, previousHash);
        hashes.push_back(previousHash);
        prompt.remove_prefix(blockBytes);
    }
    return hashes;
}

PrefixCache::PrefixCache(std::size_t capacityBlocks, Listener listener)
    : m_capacityBlocks(capacityBlocks), m_listener(std::move(listener))
{ }

std::uint64_t PrefixCache::cachedTokens(const std::vector<std::uint64_t> &hashes)
{
    std::uint64_t tokens = 0;
    for (const std::uint64_t it : hashes) {
        const auto found = m_index.find(it);
        if (found == m_index.end())
            break;
        touch(found->second);
        tokens += tokensPerBlock;
    }
    return tokens;
}

void PrefixCache::store(const std::vector<std::uint64_t> &hashes)
{
    // Storing more blocks than the capacity would evict the prefix on which the later ones depend.
    const std::size_t storedCount = std::min(hashes.size(), m_capacityBlocks);
    for (std::size_t i = 0; i < storedCount; ++i) {
        const auto found = m_index.find(hashes[i]);
        if (found != m_index.end()) {
            touch(found->second);
            continue;
        }
        if (m_index.size() == m_capacityBlocks)
            evictLeastRecentlyUsed();
        m_usageOrder.push_front(hashes[i]);
        m_index[hashes[i]] = m_usageOrder.begin();
        notify(true, hashes[i]);
    }
}

void PrefixCache::clear()
{
    while (!m_usageOrder.empty())
        evictLeastRecentlyUsed();
}

void PrefixCache::touch(Order::iterator block)
{
    m_usageOrder.splice(m_usageOrder.begin(), m_usageOrder, block);
}

void PrefixCache::evictLeastRecentlyUsed()
{
    const std::uint64_t hash = m_usageOrder.back();
    m_usageOrder.pop_back();
    m_index.erase(hash);
    notify(false, hash);
}

void PrefixCache::notify(bool stored, std::uint64_t hash)
{
    if (m_listener)
        m_listener(stored, hash);
}

} // namespace cornelshed::standins
