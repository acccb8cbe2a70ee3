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
    : m_settings(settings), m_sets(std::bit_ceil(std::max<std::size_t>(settings.entryCount / 8, 1)))
{ }

// Tenths of a second are fine enough for beliefs that fade over minutes.
std::uint32_t PrefixIndex::ticks(Instant at)
{
    return static_cast<std::uint32_t>(at.time_since_epoch() / std::chrono::milliseconds(100));
}

std::uint32_t PrefixIndex::tagOf(std::uint64_t hash)
{
    return static_cast<std::uint32_t>(hash ^ (hash >> 32U));
}

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
    return (mixed >> 20U) % m_sets.size();
}

bool PrefixIndex::known(std::uint64_t hash) const
{
    const auto &entries = m_sets[setOf(hash)].entries;
    return std::any_of(entries.begin(), entries.end(),
                       [&](const Entry &it) { return it.tag == tagOf(hash) && valid(it); });
}

// Number of hashes up to the longest known prefix. A server that has a prefix has all shorter ones,
// so the search ends at the first unknown one; most prompts share a short prefix only.
std::size_t PrefixIndex::knownDepth(const PromptPrefixes &prompt) const
{
    std::size_t depth = 0;
    for (std::size_t i = 0; i < consideredHashes(prompt); ++i) {
        if (!isKept(i))
            continue;
        if (!known(prompt.hashes[i]))
            return depth;
        depth = i + 1;
    }
    return depth;
}

void PrefixIndex::collect(std::uint64_t hash, std::uint64_t tokens, Instant now,
                          std::vector<CachedPrefix> &result) const
{
    for (const Entry &entry : m_sets[setOf(hash)].entries) {
        if (result.size() >= m_settings.largestResult)
            return;
        if (entry.tag != tagOf(hash) || !valid(entry))
            continue;
        const auto same = [&](const CachedPrefix &it) { return it.slot == entry.slot; };
        if (std::any_of(result.begin(), result.end(), same))
            continue;
        const double age = 0.1 * (ticks(now) - std::min(entry.confirmedTicks, ticks(now)));
        const double halfLife = std::chrono::duration<double>(m_settings.halfLife).count();
        const double belief = std::exp2(-age / halfLife) * m_servers[entry.slot].trust;
        result.push_back(
                {entry.slot, static_cast<std::uint64_t>(static_cast<double>(tokens) * belief)});
    }
}

void PrefixIndex::lookup(const PromptPrefixes &prompt, Instant now,
                         std::vector<CachedPrefix> &result) const
{
    result.clear();
    for (std::size_t i = knownDepth(prompt); i > 0; --i) {
        if (!isKept(i - 1))
            continue;
        const std::uint64_t tokens = std::min<std::uint64_t>(
                std::uint64_t(i) * prompt.tokensPerHash, prompt.promptTokens);
        collect(prompt.hashes[i - 1], tokens, now, result);
    }
}

void PrefixIndex::insert(std::uint64_t hash, ServerSlot slot, Instant now)
{
    Entry *place = nullptr;
    for (Entry &entry : m_sets[setOf(hash)].entries) {
        if (valid(entry) && entry.tag == tagOf(hash) && entry.slot == slot) {
            entry.confirmedTicks = ticks(now);
            return;
        }
        const bool older = place == nullptr || (valid(*place) && !valid(entry))
                || (valid(*place) && entry.confirmedTicks < place->confirmedTicks);
        if (older)
            place = &entry;
    }
    *place = {tagOf(hash), ticks(now), slot, m_servers[slot].generation};
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
