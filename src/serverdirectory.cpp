// Directory of connected backend servers.

#include "serverdirectory.h"

#include <algorithm>

namespace cornelshed {

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
    slotsOf(entry, {}).push_back(slot);
    for (const std::string &it : entry.models)
        if (!it.empty())
            slotsOf(entry, it).push_back(slot);
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

const std::vector<VersionList> *ServerDirectory::lists(std::string_view pool,
                                                       std::string_view model) const
{
    const auto it = m_lists.find(std::pair(pool, model));
    return it == m_lists.end() ? nullptr : &it->second;
}

} // namespace cornelshed
