// Implements the prefix index as a set-associative table of prefix hashes.

#include "prefixindex.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace cornelshed {

namespace {

// Long prompts have hundreds of prefixes. Only the first 16, within which shared instructions end,
// and every eighth of the others are stored and looked up.
bool isIndexed(std::size_t index)
{
    return index < 16 || index % 8 == 7;
}

// Limits the cost of one prompt; prefixes of a longer prompt beyond this limit are ignored.
constexpr std::size_t maxHashesPerPrompt = 256;

std::size_t limitedHashCount(const PromptPrefixes &prompt)
{
    return std::min(prompt.hashes.size(), maxHashesPerPrompt);
}

} // namespace

PrefixIndex::PrefixIndex(const PrefixIndexSettings &settings)
    : m_settings(settings), m_sets(std::bit_ceil(std::max<std::size_t>(settings.entryCount / 8, 1)))
{ }

// Time in tenths of a second, which is precise enough for weights that decay over minutes.
std::uint32_t PrefixIndex::ticks(Instant at)
{
    return static_cast<std::uint32_t>(at.time_since_epoch() / std::chrono::milliseconds(100));
}

std::uint32_t PrefixIndex::hashTag(std::uint64_t hash)
{
    return static_cast<std::uint32_t>(hash ^ (hash >> 32U));
}

PrefixIndex::Server &PrefixIndex::server(ServerSlot slot)
{
    if (slot >= m_servers.size())
        m_servers.resize(slot + 1);
    return m_servers[slot];
}

bool PrefixIndex::isValid(const Entry &entry) const
{
    return entry.slot != noServerSlot && m_servers[entry.slot].generation == entry.generation;
}

std::size_t PrefixIndex::setIndex(std::uint64_t hash) const
{
    const std::uint64_t mixed = hash * 0x9e3779b97f4a7c15ULL;
    return (mixed >> 20U) % m_sets.size();
}

bool PrefixIndex::hasValidEntry(std::uint64_t hash) const
{
    const auto &entries = m_sets[setIndex(hash)].entries;
    return std::any_of(entries.begin(), entries.end(),
                       [&](const Entry &it) { return it.tag == hashTag(hash) && isValid(it); });
}

// Returns the number of hashes up to the longest prefix that has a valid entry. A server that has a
// prefix has all shorter ones as well, so the search can stop at the first prefix without an entry.
// This saves most look-ups, because most prompts share only a short prefix.
std::size_t PrefixIndex::matchedHashCount(const PromptPrefixes &prompt) const
{
    std::size_t depth = 0;
    for (std::size_t i = 0; i < limitedHashCount(prompt); ++i) {
        if (!isIndexed(i))
            continue;
        if (!hasValidEntry(prompt.hashes[i]))
            return depth;
        depth = i + 1;
    }
    return depth;
}

void PrefixIndex::appendServers(std::uint64_t hash, std::uint64_t tokens, Instant now,
                                std::vector<CachedPrefix> &result) const
{
    for (const Entry &entry : m_sets[setIndex(hash)].entries) {
        if (result.size() >= m_settings.maxResults)
            return;
        if (entry.tag != hashTag(hash) || !isValid(entry))
            continue;
        const auto sameSlot = [&](const CachedPrefix &it) { return it.slot == entry.slot; };
        if (std::any_of(result.begin(), result.end(), sameSlot))
            continue;
        const double age = 0.1 * (ticks(now) - std::min(entry.confirmedTicks, ticks(now)));
        const double halfLife = std::chrono::duration<double>(m_settings.halfLife).count();
        const double entryWeight = std::exp2(-age / halfLife) * m_servers[entry.slot].cacheHitShare;
        result.push_back({entry.slot,
                          static_cast<std::uint64_t>(static_cast<double>(tokens) * entryWeight)});
    }
}

void PrefixIndex::lookup(const PromptPrefixes &prompt, Instant now,
                         std::vector<CachedPrefix> &result) const
{
    result.clear();
    for (std::size_t i = matchedHashCount(prompt); i > 0; --i) {
        if (!isIndexed(i - 1))
            continue;
        const std::uint64_t tokens = std::min<std::uint64_t>(
                std::uint64_t(i) * prompt.tokensPerHash, prompt.promptTokens);
        appendServers(prompt.hashes[i - 1], tokens, now, result);
    }
}

void PrefixIndex::insert(std::uint64_t hash, ServerSlot slot, Instant now)
{
    Entry *victim = nullptr;
    for (Entry &entry : m_sets[setIndex(hash)].entries) {
        if (isValid(entry) && entry.tag == hashTag(hash) && entry.slot == slot) {
            entry.confirmedTicks = ticks(now);
            return;
        }
        const bool betterVictim = victim == nullptr || (isValid(*victim) && !isValid(entry))
                || (isValid(*victim) && entry.confirmedTicks < victim->confirmedTicks);
        if (betterVictim)
            victim = &entry;
    }
    *victim = {hashTag(hash), ticks(now), slot, m_servers[slot].generation};
}

void PrefixIndex::recordPromptProcessed(ServerSlot slot, const PromptPrefixes &prompt,
                                        std::uint64_t expectedTokens, std::uint64_t cachedTokens,
                                        Instant now)
{
    Server &respondingServer = server(slot);
    if (expectedTokens > 0) {
        // The share is limited to 1 if the server had more tokens cached than expected.
        const double hitShare = std::min(
                static_cast<double>(cachedTokens) / static_cast<double>(expectedTokens), 1.0);
        respondingServer.cacheHitShare +=
                m_settings.smoothing * (hitShare - respondingServer.cacheHitShare);
    } else if (cachedTokens > 0) {
        respondingServer.cacheHitShare +=
                m_settings.smoothing * (1 - respondingServer.cacheHitShare);
    }
    for (std::size_t i = 0; i < limitedHashCount(prompt); ++i)
        if (isIndexed(i))
            insert(prompt.hashes[i], slot, now);
}

void PrefixIndex::removeServer(ServerSlot slot)
{
    Server &removed = server(slot);
    removed = {removed.generation + 1, 1};
}

} // namespace cornelshed
