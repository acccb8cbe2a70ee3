// Prefix cache of the engine stand-in: prompt blocks addressed by the hash of everything up to
// their end, in limited memory with least recently used eviction.

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

// Tokens of a text; the stand-in has no tokenizer and counts four bytes as one token.
std::uint64_t countTokens(std::string_view text);

// Hash of each whole block, chained over all blocks before it.
std::vector<std::uint64_t> blockHashes(std::string_view prompt);

class PrefixCache
{
public:
    using Listener = std::function<void(bool stored, std::uint64_t hash)>;

    explicit PrefixCache(std::size_t capacityBlocks, Listener listener = {});

    // Tokens of the longest cached prefix; marks its blocks as used.
    std::uint64_t cachedTokens(const std::vector<std::uint64_t> &hashes);

    void store(const std::vector<std::uint64_t> &hashes);
    void clear();
    [[nodiscard]] std::size_t blockCount() const { return m_index.size(); }

private:
    using Order = std::list<std::uint64_t>;

    void touch(Order::iterator block);
    void evictOldest();
    void notify(bool stored, std::uint64_t hash);

    std::size_t m_capacityBlocks;
    Listener m_listener;
    Order m_order; // most recently used first; has exactly the keys of m_index
    std::unordered_map<std::uint64_t, Order::iterator> m_index;
};

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_PREFIXCACHE_H
