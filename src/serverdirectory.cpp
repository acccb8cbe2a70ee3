// Directory of connected backend servers.

#include "serverdirectory.h"

#include <algorithm>

namespace cornelshed {

namespace {

// FNV-1a, and a final mix because names often differ in the last digits only. Not std::hash,
// because processes of different builds must agree.
std::uint64_t hashOf(std::string_view name)
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
             hashOf(welcome.backendServer.name),
             true};
    const auto nextPool = static_cast<std::uint32_t>(m_poolNumbers.size());
    entry.poolNumber = m_poolNumbers.try_emplace(entry.pool, nextPool).first->second;
    const auto nextVersion = static_cast<std::uint32_t>(m_versionNumbers.size());
    entry.versionNumber =
            m_versionNumbers.try_emplace({entry.pool, entry.version}, nextVersion).first->second;
    m_slots[entry.id] = slot;
    list(slot);
    return slot;
}

void ServerDirectory::remove(ServerSlot slot)
{
    if (usable(slot))
        unlist(slot);
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

bool ServerDirectory::setBlock(ServerSlot slot, ServerBlock block, bool on)
{
    const bool before = usable(slot);
    const auto bit = static_cast<unsigned>(block);
    const unsigned blocks = m_entries[slot].blocks;
    m_entries[slot].blocks = static_cast<std::uint8_t>(on ? blocks | bit : blocks & ~bit);
    const bool after = usable(slot);
    if (before && !after)
        unlist(slot);
    if (!before && after)
        list(slot);
    return before && !after;
}

std::vector<ServerSlot> &ServerDirectory::slotsOf(const DirectoryEntry &entry,
                                                  const std::string &model)
{
    auto &lists = m_lists[{entry.pool, model}];
    const auto same = [&](const VersionList &it) { return it.version == entry.version; };
    const auto it = std::find_if(lists.begin(), lists.end(), same);
    if (it != lists.end())
        return it->slots;
    return lists.emplace_back(VersionList {entry.version, {}}).slots;
}

void ServerDirectory::list(ServerSlot slot)
{
    const DirectoryEntry &entry = m_entries[slot];
    const auto insert = [&](std::vector<ServerSlot> &slots) {
        const auto place = std::upper_bound(
                slots.begin(), slots.end(), slot, [this](ServerSlot a, ServerSlot b) {
                    return m_entries[a].nameHash < m_entries[b].nameHash;
                });
        slots.insert(place, slot);
    };
    insert(slotsOf(entry, {}));
    for (const std::string &it : entry.models)
        if (!it.empty())
            insert(slotsOf(entry, it));
}

void ServerDirectory::unlist(ServerSlot slot)
{
    const DirectoryEntry &entry = m_entries[slot];
    const auto drop = [&](const std::string &model) {
        std::erase(slotsOf(entry, model), slot);
        // Lists of versions without servers are dropped, so that past versions take no memory.
        std::erase_if(m_lists[{entry.pool, model}],
                      [](const VersionList &it) { return it.slots.empty(); });
    };
    drop({});
    for (const std::string &it : entry.models)
        if (!it.empty())
            drop(it);
}

ServerSlot ServerDirectory::home(const CandidateSet &candidates, std::uint64_t key) const
{
    const std::uint64_t place = key * 0xd6e8feb86659fd93ULL;
    ServerSlot nearest = noServerSlot;
    std::uint64_t distance = UINT64_MAX;
    for (const auto &slots : candidates.lists()) {
        const auto it = std::lower_bound(slots.begin(), slots.end(), place,
                                         [this](ServerSlot slot, std::uint64_t hash) {
                                             return m_entries[slot].nameHash < hash;
                                         });
        const ServerSlot next = it == slots.end() ? slots.front() : *it;
        if (m_entries[next].nameHash - place < distance || nearest == noServerSlot) {
            nearest = next;
            distance = m_entries[next].nameHash - place;
        }
    }
    return nearest;
}

const std::vector<VersionList> *ServerDirectory::lists(std::string_view pool,
                                                       std::string_view model) const
{
    const auto it = m_lists.find(std::pair(pool, model));
    return it == m_lists.end() ? nullptr : &it->second;
}

} // namespace cornelshed
