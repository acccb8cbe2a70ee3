// Estimate of which backend server has which prompt prefix in its cache. Beliefs fade with time,
// since engines evict without telling, and each server's beliefs are scaled by how often they came
// true in the answers it gave. The memory is fixed at construction.

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
    Duration halfLife = std::chrono::minutes(5); // of a belief that is not confirmed
    double smoothing = 0.2;                      // of a server's trust
    std::size_t largestResult = 8;               // servers returned by one lookup

    bool operator==(const PrefixIndexSettings &) const = default;
};

// Prompt tokens that a server is expected to have in its cache.
struct CachedPrefix
{
    ServerSlot slot = noServerSlot;
    std::uint64_t tokens = 0;

    bool operator==(const CachedPrefix &) const = default;
};

// A prompt as its growing prefixes.
struct PromptPrefixes
{
    std::span<const std::uint64_t> hashes; // shortest first
    std::uint32_t tokensPerHash = 0;       // tokens that each further hash covers
    std::uint64_t promptTokens = 0;
};

class PrefixIndex
{
public:
    explicit PrefixIndex(const PrefixIndexSettings &settings = {});

    // Servers expected to have a prefix of the prompt, longest prefix first; result is cleared.
    void lookup(const PromptPrefixes &prompt, Instant now, std::vector<CachedPrefix> &result) const;

    // The server has processed the prompt, so it has the prefixes now. expectedTokens is what
    // lookup() told when the request was sent, cachedTokens what the answer reported.
    void answered(ServerSlot slot, const PromptPrefixes &prompt, std::uint64_t expectedTokens,
                  std::uint64_t cachedTokens, Instant now);

    // Drops all beliefs on the server; its number may be reused.
    void forget(ServerSlot slot);

private:
    // 16 bytes, so that the entries one hash competes for fill two cache lines: reading the table
    // is the greatest part of the cost of a decision.
    struct Entry
    {
        std::uint32_t tag = 0;            // of the hash
        std::uint32_t confirmedTicks = 0; // time of the last confirmation
        ServerSlot slot = noServerSlot;
        std::uint32_t generation = 0; // of the slot; an older one is void
    };
    struct alignas(64) EntrySet
    {
        std::array<Entry, 8> entries;
    };
    struct Server
    {
        std::uint32_t generation = 0;
        double trust = 1; // share of expected tokens that were found cached, in [0, 1]
    };

    static std::uint32_t ticks(Instant at);
    static std::uint32_t tagOf(std::uint64_t hash);

    Server &server(ServerSlot slot);
    bool valid(const Entry &entry) const;
    std::size_t setOf(std::uint64_t hash) const;
    bool known(std::uint64_t hash) const;
    std::size_t knownDepth(const PromptPrefixes &prompt) const;
    void insert(std::uint64_t hash, ServerSlot slot, Instant now);
    void collect(std::uint64_t hash, std::uint64_t tokens, Instant now,
                 std::vector<CachedPrefix> &result) const;

    PrefixIndexSettings m_settings;
    std::vector<EntrySet> m_sets;  // by hash
    std::vector<Server> m_servers; // by slot
};

} // namespace cornelshed

#endif // CORNELSHED_PREFIXINDEX_H
