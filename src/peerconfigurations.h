// Compares the version of the operators' configuration in force here with those in force at peers.
//
// Versions of a configuration only rise, but the store can return from an older copy of itself that
// lacks the newest ones. A gateway that starts then must not take what it reads for the newest
// while its peers hold a newer one. The time for which a peer's version counts against the store is
// limited, so that a wrong one, or one that operators do not write again, keeps no gateway out of
// service for good.

#ifndef CORNELSHED_PEERCONFIGURATIONS_H
#define CORNELSHED_PEERCONFIGURATIONS_H

#include "types.h"

#include <cstdint>
#include <optional>

namespace cornelshed {

// Times are since boot.
class PeerConfigurations
{
public:
    // A peer has the version in force; 0: none.
    void recordPeer(std::uint64_t version, Duration now);

    // The store was read by a call sent at this time, after which the version is in force.
    void recordRead(std::uint64_t version, Duration sentAt);

    // Whether the version in force here is not to be taken for the newest. hasPeers: other gateways
    // are known.
    bool outdates(std::uint64_t version, bool hasPeers, Duration now);

    std::uint64_t newest() const { return m_newest; } // of all versions that peers had in force

private:
    std::uint64_t m_newest = 0;
    Duration m_heardAt {};    // when m_newest was first heard of
    bool m_heardPeer = false; // a report of a peer was received
    // Start of the first read after m_heardAt that did not show m_newest.
    std::optional<Duration> m_missingSince;
    std::optional<Duration> m_firstRead; // start of the first read
    bool m_isEstablished = false;        // outdates() has once returned false
};

} // namespace cornelshed

#endif // CORNELSHED_PEERCONFIGURATIONS_H
