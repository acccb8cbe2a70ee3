// Maintains the lists of usable servers as servers connect, disconnect or are blocked.

#include "serverdirectory.h"

#include <algorithm>

namespace cornelshed {

namespace {

// FNV-1a with a final mixing step, because server names often differ only in their last digits.
// std::hash is not used, because it may differ between builds and all processes must agree.
std::uint64_t stableHash(std::string_view name)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char it : name)
        hash = (hash ^ static_cast<unsigned char>(it)) * 0x100000001b3ULL;
    hash ^= hash >> 32U;
    return hash * 0x9e3779b97f4a7c15ULL;
}

} // namespace

ServerSlot ServerDirectory::add(const Welcome &welcome)
{
    ServerSlot slot = static_cast<ServerSlot>(m_entries.size());
    if (m_freeSlots.empty()) {
        m_entries.emplace_back();
    } else {
        slot = m_freeSlots.back();
        m_freeSlots.pop_back();
    }
    DirectoryEntry &entry = m_entries[slot];
    entry = {welcome.backendServer,
             welcome.pool,
             welcome.availabilityZone,
             welcome.version,
             welcome.models,
             std::uint8_t(0),
             0,
             0,
             stableHash(welcome.backendServer.name),
             true};
    const auto nextPool = static_cast<std::uint32_t>(m_poolNumbers.size());
    entry.poolNumber = m_poolNumbers.try_emplace(entry.pool, nextPool).first->second;
    const auto nextVersion = static_cast<std::uint32_t>(m_versionNumbers.size());
    entry.versionNumber =
            m_versionNumbers.try_emplace({entry.pool, entry.version}, nextVersion).first->second;
    m_slots[entry.id] = slot;
    addToLists(slot);
    return slot;
}

void ServerDirectory::remove(ServerSlot slot)
{
    if (usable(slot))
        removeFromLists(slot);
    m_slots.erase(m_entries[slot].id);
    m_entries[slot] = DirectoryEntry {};
    m_freeSlots.push_back(slot);
}

std::optional<ServerSlot> ServerDirectory::find(const BackendServerId &id) const
{
    const auto it = m_slots.find(id);
    return it == m_slots.end() ? std::nullopt : std::optional(it->second);
}

bool ServerDirectory::usable(ServerSlot slot) const
{
    return m_entries[slot].connected && m_entries[slot].blocks == 0;
}

bool ServerDirectory::blockedOnlyBy(ServerSlot slot, ServerBlock block) const
{
    return m_entries[slot].connected && m_entries[slot].blocks == static_cast<std::uint8_t>(block);
}

bool ServerDirectory::setBlock(ServerSlot slot, ServerBlock block, bool blocked)
{
    const bool wasUsable = usable(slot);
    const auto bit = static_cast<unsigned>(block);
    const unsigned blocks = m_entries[slot].blocks;
    m_entries[slot].blocks = static_cast<std::uint8_t>(blocked ? blocks | bit : blocks & ~bit);
    const bool isUsable = usable(slot);
    if (wasUsable && !isUsable)
        removeFromLists(slot);
    if (!wasUsable && isUsable)
        addToLists(slot);
    return wasUsable && !isUsable;
}

std::vector<ServerSlot> &ServerDirectory::usableSlots(const DirectoryEntry &entry,
                                                      const std::string &model)
{
    auto &lists = m_lists[{entry.pool, model}];
    const auto sameVersion = [&](const VersionCandidates &it) {
        return it.version == entry.version;
    };
    const auto it = std::find_if(lists.begin(), lists.end(), sameVersion);
    if (it != lists.end())
        return it->slots;
    return lists.emplace_back(VersionCandidates {entry.version, {}}).slots;
}

void ServerDirectory::addToLists(ServerSlot slot)
{
    const DirectoryEntry &entry = m_entries[slot];
    const auto insert = [&](std::vector<ServerSlot> &slots) {
        const auto position = std::upper_bound(
                slots.begin(), slots.end(), slot, [this](ServerSlot a, ServerSlot b) {
                    return m_entries[a].nameHash < m_entries[b].nameHash;
                });
        slots.insert(position, slot);
    };
    insert(usableSlots(entry, {}));
    for (const std::string &it : entry.models)
        if (!it.empty())
            insert(usableSlots(entry, it));
}

void ServerDirectory::removeFromLists(ServerSlot slot)
{
    const DirectoryEntry &entry = m_entries[slot];
    const auto removeFromModel = [&](const std::string &model) {
        std::erase(usableSlots(entry, model), slot);
        // Removes empty version lists, so that versions no longer in use occupy no memory.
        std::erase_if(m_lists[{entry.pool, model}],
                      [](const VersionCandidates &it) { return it.slots.empty(); });
    };
    removeFromModel({});
    for (const std::string &it : entry.models)
        if (!it.empty())
            removeFromModel(it);
}

ServerSlot ServerDirectory::consistentHashOwner(const CandidateSet &candidates,
                                                std::uint64_t key) const
{
    const std::uint64_t keyPosition = key * 0xd6e8feb86659fd93ULL;
    ServerSlot nearest = noServerSlot;
    std::uint64_t distance = UINT64_MAX;
    for (const auto &slots : candidates.lists()) {
        const auto it = std::lower_bound(slots.begin(), slots.end(), keyPosition,
                                         [this](ServerSlot slot, std::uint64_t hash) {
                                             return m_entries[slot].nameHash < hash;
                                         });
        const ServerSlot next = it == slots.end() ? slots.front() : *it;
        if (m_entries[next].nameHash - keyPosition < distance || nearest == noServerSlot) {
            nearest = next;
            distance = m_entries[next].nameHash - keyPosition;
        }
    }
    return nearest;
}

const std::vector<VersionCandidates> *ServerDirectory::lists(std::string_view pool,
                                                             std::string_view model) const
{
    const auto it = m_lists.find(std::pair(pool, model));
    return it == m_lists.end() ? nullptr : &it->second;
}

} // namespace cornelshed
