// Prefix cache of the engine stand-in. It holds a limited number of prompt blocks with LRU
// eviction. A block is identified by the hash of the prompt up to the end of the block.

#ifndef CORNELSHED_STANDINS_PREFIXCACHE_H
#define CORNELSHED_STANDINS_PREFIXCACHE_H

#include <cstdint>
#include <functional>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cornelshed::standins {

constexpr std::uint64_t bytesPerToken = 4;
constexpr std::uint64_t tokensPerBlock = 16;

// Returns the number of tokens of a text. The stand-in has no tokenizer, and counts four bytes as
// one token.
std::uint64_t countTokens(std::string_view text);

// Returns the hash of each full block, which also covers all blocks before it. The rest of the
// prompt after the last full block is ignored.
std::vector<std::uint64_t> blockHashes(std::string_view prompt);

class PrefixCache
{
public:
    // Called when a block is stored, or with stored = false when it is evicted.
    using Listener = std::function<void(bool stored, std::uint64_t hash)>;

    explicit PrefixCache(std::size_t capacityBlocks, Listener listener = {});

    // Returns the number of tokens of the longest cached prefix, and marks its blocks as used.
    std::uint64_t cachedTokens(const std::vector<std::uint64_t> &hashes);

    void store(const std::vector<std::uint64_t> &hashes);
    void clear();
    [[nodiscard]] std::size_t blockCount() const { return m_index.size(); }

private:
    using Order = std::list<std::uint64_t>;

    void touch(Order::iterator block);
    void evictLeastRecentlyUsed();
    void notify(bool stored, std::uint64_t hash);

    std::size_t m_capacityBlocks;
    Listener m_listener;
    Order m_usageOrder; // most recently used first; holds exactly the keys of m_index
    std::unordered_map<std::uint64_t, Order::iterator> m_index;
};

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_PREFIXCACHE_H
