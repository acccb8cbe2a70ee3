// Versions of the configuration in force at other gateways.

#include "peerconfigurations.h"

namespace cornelshed {

namespace {

using namespace std::chrono_literals;

// Operators write what the store has lost again within seconds of its return. A version that the
// store lacks for longer is given up.
constexpr Duration missingVersionLimit = 10s;
// A gateway that starts waits this long for the first report of a peer. Peers report several times
// a second.
constexpr Duration firstReportLimit = 300ms;

} // namespace

void PeerConfigurations::recordPeer(std::uint64_t version, Duration now)
{
    m_heardPeer = m_heardPeer || version != 0;
    if (version <= m_newest)
        return;
    m_newest = version;
    m_heardAt = now;
    m_missingSince.reset();
}

void PeerConfigurations::recordRead(std::uint64_t version, Duration sentAt)
{
    if (!m_firstRead)
        m_firstRead = sentAt;
    if (version < m_newest && sentAt > m_heardAt && !m_missingSince)
        m_missingSince = sentAt;
}

bool PeerConfigurations::outdates(std::uint64_t version, bool hasPeers, Duration now)
{
    // A newer version that was just heard of is usually about to be read. Until then the one in
    // force was the newest at its last proof, unless this gateway has just started.
    const bool counts = m_missingSince || !m_isEstablished;
    if (version < m_newest && counts
        && now - m_missingSince.value_or(m_heardAt) < missingVersionLimit)
        return true;
    if (!m_isEstablished && hasPeers && !m_heardPeer
        && (!m_firstRead || now - *m_firstRead < firstReportLimit))
        return true;
    m_isEstablished = m_isEstablished || version != 0;
    return false;
}

} // namespace cornelshed
