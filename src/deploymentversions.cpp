// Acts as a client of the RPC between entry daemons; does not listen itself.

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
    PeerNetwork network(settings, {}); // does not listen, so it needs no handlers
    std::vector<PeerAddress> peers;
    std::vector<EntryVersion> versions;
    for (const PlatformHost &it : hosts) {
        if (it.role != "entry" || it.peerPort == 0)
            continue;
        peers.push_back({it.name, it.address, it.peerPort});
        versions.push_back({it.name, std::nullopt});
    }
    network.setPeers(peers);
    std::size_t pendingCount = versions.size();
    for (EntryVersion &entry : versions) {
        network.queryVersion(entry.name, [&pendingCount, &entry](std::optional<std::uint64_t> it) {
            entry.version = it;
            --pendingCount;
        });
    }
    for (; pendingCount > 0; std::this_thread::sleep_for(std::chrono::milliseconds(1)))
        network.poll(); // the calls' timeouts bound this loop
    return versions;
}

} // namespace cornelshed
