// Desired number of backend servers of one service in one availability zone.
//
// The demand that is forecast is the number of slots that the service's work wants at once when a
// server that is ordered now begins to serve, a boot time later: requests that run, that wait, and
// that were refused for lack of room. Slots are what a server adds, so that requests of different
// length need no common measure; utilisation would not show how much is missing once all servers
// are full, and a rate of requests would miss that servers have become slower.
//
// - Growth follows the forecast at once. A server is ordered if the work that it is expected to do
//   is worth its price from the order until it can be released again; the longer demand has
//   exceeded the capacity, the longer it is expected to go on. Servers that boot are part of the
//   desired number, and what has queued up while they boot is not counted again.
// - A shrink needs a lower forecast throughout the hold time, which is several boot times. After a
//   growth, the number therefore does not fall for the hold time.
// - A trend is an increase that has gone on through all quarters of the hold time. A step, a spike
//   and a wave shorter than the hold time have none.
//
// See docs/design/fleet-sizing.md.

#ifndef CORNELSHED_FLEETSIZING_H
#define CORNELSHED_FLEETSIZING_H

#include "routetable.h"
#include "types.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace cornelshed {

struct FleetSizingSettings
{
    double serverPrice = 0;         // of a server for a second; 0: growth is free
    double targetUtilisation = 0.8; // of the slots; above it, random arrivals begin to queue
    double shrinkMargin = 0.1;      // by which a smaller fleet must exceed the demand
    std::uint32_t holdBootTimes = 4;
    // Longer than the swings of demand seen by operators, which have a period of 17 s, so that the
    // servers of one crest are still there at the next one if they boot fast.
    Duration minHold = std::chrono::seconds(20);

    bool operator==(const FleetSizingSettings &) const = default;
};

// State of the service in the zone at one time, over all gateways.
struct FleetObservation
{
    Instant at {};
    std::uint32_t readyServers = 0; // without those that drain
    std::uint32_t bootingServers = 0;
    double slotsPerServer = 0; // average; 0: unknown, as there is no server
    double running = 0;        // requests at the servers
    double waiting = 0;        // requests that wait for a slot
    // Slots that requests refused for lack of room would have used: their number a second times
    // the seconds that a request holds a slot.
    double refused = 0;
    double slotValue = 0; // worth of a slot's work for a second; 0: unknown, worth any price

    bool operator==(const FleetObservation &) const = default;
};

enum class FleetChange : std::uint8_t { None, Growth, Shrink };

struct FleetOrder
{
    std::uint32_t desired = 0; // servers that are ready or boot
    FleetChange change = FleetChange::None;
    // The number of servers has differed from the desired one for a boot time: servers or the last
    // order may have been lost, so the order should be sent again.
    bool repeat = false;

    bool operator==(const FleetOrder &) const = default;
};

class FleetSizing
{
public:
    explicit FleetSizing(const FleetSizingSettings &settings = {});

    // Called with each new observation, about once a second; observations that are not newer than
    // the last one change nothing. Returns nothing, and forgets what it knows, without a scale.
    std::optional<FleetOrder> update(const std::optional<ServiceScale> &scale,
                                     const FleetObservation &observation);

    // Time for which the demand must be lower before a shrink.
    Duration holdTime(const ServiceScale &scale) const;

private:
    struct Sample
    {
        Instant at {};
        double demand = 0;   // slots
        double forecast = 0; // slots, a boot time later
    };

    void recordSample(const ServiceScale &scale, const FleetObservation &observation);
    double demandOf(const FleetObservation &observation) const;
    double increasePerSecond(Instant now, Duration window) const;
    double capacity(std::uint32_t servers) const;
    std::uint32_t serversFor(double slots, const ServiceScale &scale) const;
    bool isWorthItsPrice(std::uint32_t servers, const ServiceScale &scale,
                         const FleetObservation &observation) const;
    void grow(const ServiceScale &scale, const FleetObservation &observation);
    void shrink(const ServiceScale &scale, Instant now);
    bool isRepeatDue(const ServiceScale &scale, const FleetObservation &observation);

    FleetSizingSettings m_settings;
    std::deque<Sample> m_samples; // of the last hold time, oldest first, and one before
    std::optional<std::uint32_t> m_desired;
    Instant m_lastObservation {};
    Instant m_countDiffersSince {};
    double m_slotsPerServer = 0; // last known
};

} // namespace cornelshed

#endif // CORNELSHED_FLEETSIZING_H
