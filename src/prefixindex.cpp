// Set-associative table of prefix hashes.

#include "prefixindex.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace cornelshed {

namespace {

// Long prompts have hundreds of prefixes; only these are kept and looked up: all of the first 16,
// where shared instructions end, and every eighth after them.
bool isKept(std::size_t index)
{
    return index < 16 || index % 8 == 7;
}

// Bounds the cost of one prompt; later prefixes of a longer one are not told apart.
constexpr std::size_t largestIndex = 256;

std::size_t consideredHashes(const PromptPrefixes &prompt)
{
    return std::min(prompt.hashes.size(), largestIndex);
}

} // namespace

PrefixIndex::PrefixIndex(const PrefixIndexSettings &settings)
    : m_settings(settings), m_entries(std::bit_ceil(std::max(settings.entryCount, ways)))
{ }

PrefixIndex::Server &PrefixIndex::server(ServerSlot slot)
{
    if (slot >= m_servers.size())
        m_servers.resize(slot + 1);
    return m_servers[slot];
}

bool PrefixIndex::valid(const Entry &entry) const
{
    return entry.slot != noServerSlot && m_servers[entry.slot].generation == entry.generation;
}

std::size_t PrefixIndex::setOf(std::uint64_t hash) const
{
    const std::uint64_t mixed = hash * 0x9e3779b97f4a7c15ULL;
    return (mixed >> 20U) % (m_entries.size() / ways) * ways;
}

void PrefixIndex::collect(std::uint64_t hash, std::uint64_t tokens, Instant now,
                          std::vector<CachedPrefix> &result) const
{
    const std::size_t set = setOf(hash);
    for (std::size_t i = set; i < set + ways && result.size() < m_settings.largestResult; ++i) {
        const Entry &entry = m_entries[i];
        if (entry.hash != hash || !valid(entry))
            continue;
        const auto known = [&](const CachedPrefix &it) { return it.slot == entry.slot; };
        if (std::any_of(result.begin(), result.end(), known))
            continue;
        const double age = std::chrono::duration<double>(now - entry.confirmedAt).count();
        const double halfLife = std::chrono::duration<double>(m_settings.halfLife).count();
        const double belief =
                std::exp2(-std::max(age, 0.0) / halfLife) * m_servers[entry.slot].trust;
        result.push_back(
                {entry.slot, static_cast<std::uint64_t>(static_cast<double>(tokens) * belief)});
    }
}

void PrefixIndex::lookup(const PromptPrefixes &prompt, Instant now,
                         std::vector<CachedPrefix> &result) const
{
    result.clear();
    for (std::size_t i = consideredHashes(prompt); i > 0; --i) {
        if (!isKept(i - 1))
            continue;
        const std::uint64_t tokens = std::min<std::uint64_t>(
                std::uint64_t(i) * prompt.tokensPerHash, prompt.promptTokens);
        collect(prompt.hashes[i - 1], tokens, now, result);
    }
}

void PrefixIndex::insert(std::uint64_t hash, ServerSlot slot, Instant now)
{
    const std::size_t set = setOf(hash);
    Entry *place = nullptr;
    for (std::size_t i = set; i < set + ways; ++i) {
        Entry &entry = m_entries[i];
        if (valid(entry) && entry.hash == hash && entry.slot == slot) {
            entry.confirmedAt = now;
            return;
        }
        const bool better = place == nullptr || (valid(*place) && !valid(entry))
                || (valid(*place) && entry.confirmedAt < place->confirmedAt);
        if (better)
            place = &entry;
    }
    *place = {hash, now, slot, m_servers[slot].generation};
}

void PrefixIndex::answered(ServerSlot slot, const PromptPrefixes &prompt,
                           std::uint64_t expectedTokens, std::uint64_t cachedTokens, Instant now)
{
    Server &answering = server(slot);
    if (expectedTokens > 0) {
        // A server that cached more than expected is trusted fully, not more.
        const double found = std::min(
                static_cast<double>(cachedTokens) / static_cast<double>(expectedTokens), 1.0);
        answering.trust += m_settings.smoothing * (found - answering.trust);
    } else if (cachedTokens > 0) {
        answering.trust += m_settings.smoothing * (1 - answering.trust);
    }
    for (std::size_t i = 0; i < consideredHashes(prompt); ++i)
        if (isKept(i))
            insert(prompt.hashes[i], slot, now);
}

void PrefixIndex::forget(ServerSlot slot)
{
    Server &forgotten = server(slot);
    forgotten = {forgotten.generation + 1, 1};
}

} // namespace cornelshed
