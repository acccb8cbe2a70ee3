// Decides whether a backend server may get a request from this gateway now. All causes that keep
// requests from a backend server are known here, and each answer names one.

#ifndef CORNELSHED_BACKENDAVAILABILITY_H
#define CORNELSHED_BACKENDAVAILABILITY_H

#include "backendliveness.h"
#include "backendrecord.h"
#include "directsettings.h"
#include "namedlimit.h"
#include "outlierdetector.h"
#include "types.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>

namespace cornelshed {

// Why a backend server gets no request.
enum class AvailabilityReason : std::uint8_t {
    Available,
    NotListed,     // it has no record any more
    Draining,      // by its record
    Leaving,       // it said in an answer that it leaves
    Misdirected,   // another backend server has its address
    ZoneWithdrawn, // no requests go to its availability zone
    Paused,        // it asked for a pause
    AgentDecides,  // its agent responds, so that it gets requests only with a grant
    NoAgent,       // a slot cannot be requested, as its agent does not respond
    Unresponsive,  // neither its agent nor the server responds, and this gateway must not probe it
    Full,          // it refused a request a moment ago
    Down,          // its address refused a connection a moment ago, or its agent said so
    NoFreeSlot,    // as many requests run on it as it has slots for
    Ejected,       // it fails or is slow compared with the others of its service
    ColdLimit,     // it warms up, and this gateway has used its share of what it sustains
    NamedLimit     // this gateway has used its share of the limit that it named
};

// Name in logs.
const char *nameOf(AvailabilityReason reason);

// How the requests per second that a cold backend server sustains are divided where it has an
// agent. The agent grants up to the cold rate. What the bound leaves beyond that is shared by an
// agent that has restarted, and may grant again what it granted before, and by the gateways that do
// not reach the agent.
struct ColdLimits
{
    std::uint32_t agentRestart = 0; // grants of an agent in its first second
    std::uint32_t gateways = 0;     // requests per second of all gateways without a grant

    bool operator==(const ColdLimits &) const = default;
};

ColdLimits coldLimitsWithAgent(const DirectSettings &settings, double coldRate);

// What this gateway knows of a backend server.
struct BackendState
{
    BackendRecord record;
    std::uint64_t digest = 0; // stableDigest() of its id
    ServerSlot outlierSlot = noServerSlot;
    double coldRate = 0; // requests per second that it may get while cold; 0: no limit
    bool listed = false;
    Instant unlistedAt {};     // if not listed
    bool misdirected = false;  // another one has its address; reset when its record changes
    std::uint32_t running = 0; // requests of this gateway
    std::uint32_t peerRunning = 0;
    std::uint32_t unresponsiveReports = 0; // peers that report it as unresponsive
    Instant coldUntil {};
    Instant fullUntil {};
    Instant refusedUntil {};        // its address refused a connection, or its agent said so
    Instant agentDiscoveryUntil {}; // whether it has an agent is not known before
    // The latest startedAtMs of its records. A store that was restored from a copy lists an earlier
    // one for a while, but the answers come from the latest.
    std::int64_t latestStart = 0;
    Instant pausedUntil {}; // at the request of the latest start
    // The latest start of it that said in an answer that it leaves.
    std::optional<std::int64_t> leavingStart;
    std::deque<Instant> recentStarts; // of this gateway, in the last window of named limits
    NamedLimit namedLimit;
    BackendLiveness liveness;

    bool isLeaving() const { return leavingStart && latestStart <= *leavingStart; }

    // The start of the backend server that has this startedAtMs said that it leaves, or asked for a
    // pause of this length. Returns whether that keeps requests from it that it could get before.
    bool recordLeaving(std::int64_t startedAtMs);
    bool recordPause(std::int64_t startedAtMs, Duration pause, Instant now);

    // Takes over a record of the backend server. What an earlier start asked for ends with a new
    // one; that it leaves holds for all records of the same or an earlier start.
    void setRecord(const BackendRecord &newRecord);

    // Whether nothing of it is needed any more. What it said is kept for a while after its record
    // is gone: the record may come back, such as after an outage of the store or from a copy of it.
    bool isForgettable(Instant now) const;

    void recordStart(Instant now);
    // Requests of this gateway that were started within this time, at most the window.
    std::size_t startsWithin(Duration time, Instant now) const;
};

class BackendAvailability
{
public:
    // outliers: asked about the outlierSlot of a backend server; must outlive this object.
    BackendAvailability(const DirectSettings &settings, const OutlierDetector &outliers);

    void setWithdrawnZones(std::set<std::string> zones);

    // See DirectScheduler::setGateways().
    void setGateways(std::uint32_t count, std::uint32_t index);
    std::uint32_t gatewayCount() const { return m_gatewayCount; }

    // Whether the backend server takes part in the service at all, apart from its load.
    AvailabilityReason standing(const BackendState &backend) const;
    bool isUsable(const BackendState &backend) const
    {
        return standing(backend) == AvailabilityReason::Available;
    }

    // Whether a request may be started without a grant. reservedSlots: see DirectRequest.
    // queueAllowance: requests that may wait at the backend server itself.
    AvailabilityReason forStart(const BackendState &backend, std::uint32_t reservedSlots,
                                Instant now, std::uint32_t queueAllowance = 0) const;
    // Whether a slot may be requested from its agent.
    AvailabilityReason forSlotRequest(const BackendState &backend, Instant now) const;
    // Whether a slot that its agent granted may be used.
    AvailabilityReason forGrant(const BackendState &backend, Instant now) const;

    // Cost of choosing a backend server that has named a limit, in seconds. Nothing while this
    // gateway has not used its part of the limit: without a request, nobody would learn that the
    // backend server no longer names one.
    double namedLimitWait(const BackendState &backend, Instant now) const;

private:
    std::uint32_t coldShare(const BackendState &backend) const;
    bool withinColdLimit(const BackendState &backend, Instant now) const;
    bool withinNamedLimit(const BackendState &backend, Instant now) const;
    Duration probeDelay(const BackendState &backend) const;
    bool isEjected(const BackendState &backend) const;

    DirectSettings m_settings;
    const OutlierDetector &m_outliers;
    std::set<std::string> m_withdrawnZones;
    std::uint32_t m_gatewayCount = 1;
    std::uint32_t m_gatewayIndex = 0;
};

} // namespace cornelshed

#endif // CORNELSHED_BACKENDAVAILABILITY_H
