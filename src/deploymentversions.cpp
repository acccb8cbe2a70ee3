// Uses the peers' RPC as a client only.

#include "deploymentversions.h"

#include "peernetwork.h"

#include <chrono>
#include <thread>

namespace cornelshed {

std::vector<EntryVersion> readEntryVersions(const std::vector<PlatformHost> &hosts,
                                            Duration timeout)
{
    PeerNetworkSettings settings;
    settings.callTimeout = timeout;
    PeerNetwork network(settings, {}); // accepts no calls, so that no handler is needed
    std::vector<PeerAddress> peers;
    std::vector<EntryVersion> versions;
    for (const PlatformHost &it : hosts) {
        if (it.role != "entry" || it.peerPort == 0)
            continue;
        peers.push_back({it.name, it.address, it.peerPort});
        versions.push_back({it.name, std::nullopt});
    }
    network.setPeers(peers);
    std::size_t waiting = versions.size();
    for (EntryVersion &entry : versions) {
        network.queryVersion(entry.name, [&waiting, &entry](std::optional<std::uint64_t> it) {
            entry.version = it;
            --waiting;
        });
    }
    for (; waiting > 0; std::this_thread::sleep_for(std::chrono::milliseconds(1)))
        network.poll(); // each call ends by its timeout
    return versions;
}

} // namespace cornelshed
