// Estimates which prompt prefixes each backend server has in its cache. An entry's weight decays
// with time, because engines evict prefixes without notice, and is scaled by the share of expected
// tokens that the server's responses reported as cached. The size of the table is fixed at
// construction.

#ifndef CORNELSHED_PREFIXINDEX_H
#define CORNELSHED_PREFIXINDEX_H

#include "serverslot.h"
#include "types.h"

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace cornelshed {

struct PrefixIndexSettings
{
    std::size_t entryCount = 65536;              // rounded up to a power of two
    Duration halfLife = std::chrono::minutes(5); // of an entry's weight since its confirmation
    double smoothing = 0.2;                      // weight of a new sample in cacheHitShare
    std::size_t maxResults = 8;                  // servers returned by one lookup

    bool operator==(const PrefixIndexSettings &) const = default;
};

// Number of prompt tokens that a server is expected to have in its cache.
struct CachedPrefix
{
    ServerSlot slot = noServerSlot;
    std::uint64_t tokens = 0;

    bool operator==(const CachedPrefix &) const = default;
};

// A prompt, described by the hashes of its prefixes.
struct PromptPrefixes
{
    std::span<const std::uint64_t> hashes; // shortest first
    std::uint32_t tokensPerHash = 0;       // tokens by which each prefix is longer than the last
    std::uint64_t promptTokens = 0;
};

class PrefixIndex
{
public:
    explicit PrefixIndex(const PrefixIndexSettings &settings = {});

    // Replaces result by the servers expected to have a prefix of the prompt in their cache,
    // longest prefix first.
    void lookup(const PromptPrefixes &prompt, Instant now, std::vector<CachedPrefix> &result) const;

    // Records that the server has processed the prompt and so has its prefixes in the cache.
    // expectedTokens is the result of lookup() when the request was sent, cachedTokens the number
    // reported in the response.
    void recordPromptProcessed(ServerSlot slot, const PromptPrefixes &prompt,
                               std::uint64_t expectedTokens, std::uint64_t cachedTokens,
                               Instant now);

    // Invalidates all entries of the server; its slot may then be reused.
    void removeServer(ServerSlot slot);

private:
    // 16 bytes, so that a set fills exactly two cache lines. Reading the table is the largest part
    // of the cost of a placement decision.
    struct Entry
    {
        std::uint32_t tag = 0;            // short form of the hash, compared within the set
        std::uint32_t confirmedTicks = 0; // time of the last confirmation, see ticks()
        ServerSlot slot = noServerSlot;
        std::uint32_t generation = 0; // of the slot; the entry is invalid if the slot's is newer
    };
    struct alignas(64) EntrySet
    {
        std::array<Entry, 8> entries;
    };
    struct Server
    {
        std::uint32_t generation = 0;
        // Moving average of the share of expected tokens that were cached, in [0, 1].
        double cacheHitShare = 1;
    };

    static std::uint32_t ticks(Instant at);
    static std::uint32_t hashTag(std::uint64_t hash);

    Server &server(ServerSlot slot);
    bool isValid(const Entry &entry) const;
    std::size_t setIndex(std::uint64_t hash) const;
    bool hasValidEntry(std::uint64_t hash) const;
    std::size_t matchedHashCount(const PromptPrefixes &prompt) const;
    void insert(std::uint64_t hash, ServerSlot slot, Instant now);
    void appendServers(std::uint64_t hash, std::uint64_t tokens, Instant now,
                       std::vector<CachedPrefix> &result) const;

    PrefixIndexSettings m_settings;
    std::vector<EntrySet> m_sets;  // indexed by setIndex()
    std::vector<Server> m_servers; // by slot
};

} // namespace cornelshed

#endif // CORNELSHED_PREFIXINDEX_H
