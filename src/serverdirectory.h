// Directory of the connected backend servers. The servers that may receive new work are also listed
// by pool, model and version, so that the candidates of a request are found without a search
// through all servers.

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

// Reasons to send no new work to a connected backend server; several can apply at once.
enum class ServerBlock : std::uint8_t {
    Leaving = 1,       // its agent has announced that it accepts no new work
    HostLeaving = 2,   // the platform's host list marks its host as leaving
    ZoneWithdrawn = 4, // the configuration withdraws its availability zone
    Ejected = 8        // outlier detection has ejected it
};

struct DirectoryEntry
{
    BackendServerId id;
    std::string pool;
    std::string availabilityZone;
    std::string version;
    std::vector<std::string> models;
    std::uint8_t blocks = 0;         // bits of ServerBlock
    std::uint32_t poolNumber = 0;    // dense index of the pool
    std::uint32_t versionNumber = 0; // dense index of the pair of pool and version
    std::uint64_t nameHash = 0;      // position on the consistent-hash ring
    bool connected = false;          // false if the slot is free
};

// Usable servers of a pool and model that run the same version.
struct VersionCandidates
{
    std::string version;
    std::vector<ServerSlot> slots; // sorted by nameHash, so in the same order in all entry daemons
};

class ServerDirectory
{
public:
    // The server must not be in the directory yet, and its models must be distinct.
    ServerSlot add(const Welcome &welcome);
    void remove(ServerSlot slot);

    std::optional<ServerSlot> find(const BackendServerId &id) const;
    const DirectoryEntry &at(ServerSlot slot) const { return m_entries[slot]; }
    std::size_t slotCount() const { return m_entries.size(); } // includes free slots

    // Returns true if this made a usable server unusable.
    bool setBlock(ServerSlot slot, ServerBlock block, bool blocked);
    bool usable(ServerSlot slot) const;
    bool blockedOnlyBy(ServerSlot slot, ServerBlock block) const;

    // Returns the usable servers of the pool that serve the model, by version; an empty model
    // matches all servers. Returns nullptr if no server of the pool and model was ever added.
    const std::vector<VersionCandidates> *lists(std::string_view pool,
                                                std::string_view model) const;

    // Returns the candidate that consistent hashing assigns to the key, or noServerSlot if there
    // are no candidates. All entry daemons with the same candidates get the same server.
    ServerSlot consistentHashOwner(const CandidateSet &candidates, std::uint64_t key) const;

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

    void addToLists(ServerSlot slot);
    void removeFromLists(ServerSlot slot);
    std::vector<ServerSlot> &usableSlots(const DirectoryEntry &entry, const std::string &model);

    std::vector<DirectoryEntry> m_entries; // by slot
    std::vector<ServerSlot> m_freeSlots;
    std::map<BackendServerId, ServerSlot> m_slots;
    std::map<PoolModel, std::vector<VersionCandidates>, PoolModelLess> m_lists;
    std::map<std::string, std::uint32_t> m_poolNumbers;
    std::map<std::pair<std::string, std::string>, std::uint32_t> m_versionNumbers;
};

} // namespace cornelshed

#endif // CORNELSHED_SERVERDIRECTORY_H
