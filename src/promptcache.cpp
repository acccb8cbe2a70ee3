// Keeps the parts of each backend server in order of their last use.

#include "promptcache.h"

#include "ingressprotocol.h"
#include "stabledigest.h"

#include <algorithm>

namespace cornelshed {

namespace {

// Further parts of a prompt are not remembered: a single one could displace all others.
constexpr std::size_t rememberedPartsLimit = 64;

} // namespace

std::vector<PromptCachePart> promptCacheParts(const CallerMetadata &metadata)
{
    std::vector<PromptCachePart> parts;
    parts.reserve(metadata.sharedPromptParts.size() + 1);
    std::uint64_t chain = stableDigest("prompt");
    for (std::size_t i = 0; i < metadata.sharedPromptParts.size(); ++i) {
        chain = stableDigest(metadata.sharedPromptParts[i], chain);
        const bool counted = i < metadata.sharedPartTokens.size();
        parts.push_back({chain, counted ? metadata.sharedPartTokens[i] : 0});
    }
    if (!metadata.sessionAffinityKey.empty())
        parts.push_back(
                {stableDigest(metadata.sessionAffinityKey, chain), metadata.lastPartTokens});
    return parts;
}

void PromptCache::setServer(std::uint64_t server, std::int64_t startedAtMs,
                            const std::string &version, std::uint64_t capacityTokens)
{
    if (!m_settings.enabled)
        return;
    const auto [it, added] = m_servers.try_emplace(server);
    Server &known = it->second;
    known.capacityTokens = capacityTokens > 0 ? capacityTokens : m_settings.defaultCapacityTokens;
    if (added || known.startedAtMs != startedAtMs || known.version != version) {
        forget(known);
        known.startedAtMs = startedAtMs;
        known.version = version;
    }
    while (known.heldTokens > known.capacityTokens)
        dropOldest(known);
}

void PromptCache::removeServer(std::uint64_t server)
{
    const auto it = m_servers.find(server);
    if (it == m_servers.end())
        return;
    forget(it->second);
    m_servers.erase(it);
}

void PromptCache::started(const RequestId &id, std::uint64_t server,
                          const std::vector<PromptCachePart> &prompt)
{
    const auto it = m_servers.find(server);
    if (m_settings.enabled && !prompt.empty() && it != m_servers.end())
        m_started[id] = {server, it->second.generation, prompt};
}

void PromptCache::firstEvent(const RequestId &id, Instant now)
{
    const auto it = m_started.find(id);
    if (it == m_started.end())
        return;
    const StartedRequest request = std::move(it->second);
    m_started.erase(it);
    const auto server = m_servers.find(request.server);
    if (server != m_servers.end() && server->second.generation == request.generation)
        learn(server->second, request.prompt, now);
}

std::uint64_t PromptCache::cachedTokens(std::uint64_t server,
                                        const std::vector<PromptCachePart> &prompt,
                                        std::uint64_t promptTokens, Instant now) const
{
    const auto it = m_servers.find(server);
    if (prompt.empty() || it == m_servers.end() || it->second.entries.empty())
        return 0;
    std::uint64_t cached = 0;
    for (const PromptCachePart &part : prompt) {
        if (part.tokens == 0)
            continue;
        const auto entry = it->second.entryOfChain.find(part.chain);
        if (entry == it->second.entryOfChain.end()
            || entry->second->usedAt + m_settings.maxAge <= now)
            break;
        cached += std::min(entry->second->tokens, part.tokens);
    }
    return std::min(cached, promptTokens);
}

double PromptCache::tieSpreadSeconds(const RequestId &id, std::uint64_t server) const
{
    if (!m_settings.enabled)
        return 0;
    const std::uint64_t digest =
            detail::finishDigest(detail::finishDigest(id.entryIncarnation ^ server) + id.sequence);
    const double unit = static_cast<double>(digest >> 11U) * 0x1.0p-53;
    return unit * std::chrono::duration<double>(m_settings.tieSpread).count();
}

void PromptCache::learn(Server &server, const std::vector<PromptCachePart> &prompt, Instant now)
{
    while (!server.entries.empty() && server.entries.back().usedAt + m_settings.maxAge <= now)
        dropOldest(server);
    // What exceeds the memory of the backend server cannot be held beside the parts before it.
    std::size_t count = 0;
    std::uint64_t tokens = 0;
    while (count < std::min(prompt.size(), rememberedPartsLimit)
           && tokens + prompt[count].tokens <= server.capacityTokens)
        tokens += prompt[count++].tokens;
    // From the last to the first, so that a part is never dropped before one that needs it.
    while (count > 0)
        use(server, prompt[--count], now);
    while (server.heldTokens > server.capacityTokens)
        dropOldest(server);
    while (m_entryCount > m_settings.entryLimit) {
        Server *oldest = nullptr;
        for (auto &[id, it] : m_servers) {
            const bool isOlder = !it.entries.empty()
                    && (oldest == nullptr
                        || it.entries.back().usedAt < oldest->entries.back().usedAt);
            if (isOlder)
                oldest = &it;
        }
        dropOldest(*oldest);
    }
}

void PromptCache::use(Server &server, const PromptCachePart &part, Instant now)
{
    if (part.tokens == 0)
        return;
    const auto [it, added] = server.entryOfChain.try_emplace(part.chain);
    if (added) {
        server.entries.push_front({part.chain});
        it->second = server.entries.begin();
        ++m_entryCount;
    } else {
        server.entries.splice(server.entries.begin(), server.entries, it->second);
    }
    Entry &entry = server.entries.front();
    server.heldTokens += part.tokens;
    server.heldTokens -= entry.tokens;
    entry.tokens = part.tokens;
    entry.usedAt = now;
}

void PromptCache::dropOldest(Server &server)
{
    const Entry &oldest = server.entries.back();
    server.heldTokens -= oldest.tokens;
    server.entryOfChain.erase(oldest.chain);
    server.entries.pop_back();
    --m_entryCount;
}

void PromptCache::forget(Server &server)
{
    m_entryCount -= server.entries.size();
    server.entries.clear();
    server.entryOfChain.clear();
    server.heldTokens = 0;
    server.generation = ++m_generation;
}

} // namespace cornelshed
