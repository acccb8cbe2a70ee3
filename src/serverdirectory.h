// Connected backend servers and the lists of those that may get new work, indexed by pool, model
// and version, so that a request finds its candidates without looking at the others.

#ifndef CORNELSHED_SERVERDIRECTORY_H
#define CORNELSHED_SERVERDIRECTORY_H

#include "messages.h"
#include "placement.h"
#include "serverslot.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cornelshed {

// Reasons for which a connected backend server gets no new work; several can hold at once.
enum class ServerBlock : std::uint8_t {
    Leaving = 1,     // its agent said so
    HostLeaving = 2, // the platform's host list says so
    ZoneWithdrawn = 4,
    Ejected = 8
};

struct DirectoryEntry
{
    BackendServerId id;
    std::string pool;
    std::string availabilityZone;
    std::string version;
    std::vector<std::string> models;
    std::uint8_t blocks = 0;         // bits of ServerBlock
    std::uint32_t poolNumber = 0;    // dense number of the pool
    std::uint32_t versionNumber = 0; // dense number of the pool and version
    std::uint64_t nameHash = 0;
    bool connected = false; // false: the slot is free
};

// Usable servers of one pool and model that run one version.
struct VersionList
{
    std::string version;
    std::vector<ServerSlot> slots; // by the hash of their names, alike in all entry daemons
};

class ServerDirectory
{
public:
    // The server must not be in the directory. Its models must differ from each other.
    ServerSlot add(const Welcome &welcome);
    void remove(ServerSlot slot);

    std::optional<ServerSlot> find(const BackendServerId &id) const;
    const DirectoryEntry &at(ServerSlot slot) const { return m_entries[slot]; }
    std::size_t slotCount() const { return m_entries.size(); } // free ones included

    // Returns true if the server was usable and is no longer.
    bool setBlock(ServerSlot slot, ServerBlock block, bool on);
    bool usable(ServerSlot slot) const;
    bool blockedOnlyBy(ServerSlot slot, ServerBlock block) const;

    // Usable servers of the pool; an empty model means any. nullptr if the pool and model were
    // never seen.
    const std::vector<VersionList> *lists(std::string_view pool, std::string_view model) const;

    // The candidate that consistent hashing assigns to the key; noServerSlot if there is none. All
    // entry daemons with the same candidates choose the same.
    ServerSlot home(const CandidateSet &candidates, std::uint64_t key) const;

private:
    using PoolModel = std::pair<std::string, std::string>;
    struct PoolModelLess
    {
        using is_transparent = void; // NOLINT(readability-identifier-naming): required name

        template<typename A, typename B> bool operator()(const A &a, const B &b) const
        {
            const int order = std::string_view(a.first).compare(b.first);
            return order != 0 ? order < 0 : std::string_view(a.second) < std::string_view(b.second);
        }
    };

    void list(ServerSlot slot);
    void unlist(ServerSlot slot);
    std::vector<ServerSlot> &slotsOf(const DirectoryEntry &entry, const std::string &model);

    std::vector<DirectoryEntry> m_entries; // by slot
    std::vector<ServerSlot> m_freeSlots;
    std::map<BackendServerId, ServerSlot> m_slots;
    std::map<PoolModel, std::vector<VersionList>, PoolModelLess> m_lists;
    std::map<std::string, std::uint32_t> m_poolNumbers;
    std::map<std::pair<std::string, std::string>, std::uint32_t> m_versionNumbers;
};

} // namespace cornelshed

#endif // CORNELSHED_SERVERDIRECTORY_H
