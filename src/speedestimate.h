// Estimates the processing speed and the queueing delay of each backend server. Rates are measured
// from the usage of finished requests and from load reports. As a measurement ages, its weight
// decays in favour of the average of the servers of the same class (pool and version), so that old
// reports are not used as if they were current. Work that this daemon has sent since the last
// report is added to the reported load.

#ifndef CORNELSHED_SPEEDESTIMATE_H
#define CORNELSHED_SPEEDESTIMATE_H

#include "messages.h"
#include "serverslot.h"
#include "types.h"

#include <cstdint>
#include <vector>

namespace cornelshed {

// Index of a class of servers that are expected to be equally fast; assigned by the caller.
using SpeedClass = std::uint32_t;

// Size of a request, from which its time on a server is predicted.
struct WorkSize
{
    std::uint64_t prefillTokens = 0; // prompt tokens not expected in the server's prefix cache
    std::uint64_t outputTokens = 0;

    bool operator==(const WorkSize &) const = default;
};

struct SpeedSettings
{
    Duration reportHalfLife = std::chrono::seconds(1); // half-life of a load report's weight
    Duration rateHalfLife = std::chrono::seconds(30);  // half-life of a measured rate's weight
    double smoothing = 0.2; // weight of a new sample in the exponential moving average

    bool operator==(const SpeedSettings &) const = default;
};

class SpeedEstimate
{
public:
    explicit SpeedEstimate(const SpeedSettings &settings = {});

    void add(ServerSlot slot, SpeedClass speedClass);
    void removeServer(ServerSlot slot);

    void recordLoadReport(ServerSlot slot, const LoadReport &load, Instant now);
    void recordUsage(ServerSlot slot, const Usage &usage, Instant now);

    // Adds work that this daemon has sent to the server; counted until the next load report.
    void recordDispatch(ServerSlot slot, const WorkSize &work);

    // Returns the predicted processing time on the server without queueing delay, or 0 while no
    // rate of the server or its class is known.
    Duration serviceTime(ServerSlot slot, const WorkSize &work, Instant now) const;

    // Returns the expected wait until the server has capacity, from the last report, weighted by
    // its age, and the work sent since.
    Duration queueDelay(ServerSlot slot, Instant now) const;

    // Returns the number of reservations queued at the server's agent according to the last report,
    // whatever its age.
    std::uint32_t lastReportedWaiting(ServerSlot slot) const
    {
        return m_servers[slot].load.waiting;
    }

    // Returns the number of requests running on or queued for the server according to the last
    // report, whatever its age. Used by PowerOfTwoChoicesPlacement.
    std::uint64_t lastReportedRequests(ServerSlot slot) const;

private:
    struct Rate
    {
        double perSecond = 0; // 0 if unknown
        Instant measuredAt {};
    };
    struct Rates
    {
        Rate prefill;
        Rate decode;
        Rate serviceRequests; // requests without output tokens
    };
    struct Server
    {
        SpeedClass speedClass = 0;
        Rates rates;
        LoadReport load;
        Instant reportedAt {};
        double reportedDelaySeconds = 0; // queueing delay predicted when the report arrived
        std::uint64_t sentRequests = 0;  // since the last report
        std::uint64_t sentTokens = 0;    // since the last report
    };
    struct ClassAverage
    {
        Rates rates;
        double queueDelaySeconds = 0; // moving average over load reports
    };

    // Average of the server's own rate and the class average, weighted by the age of the own rate.
    double blendedRate(const Rate &own, const Rate &average, Instant now) const;
    void updateRate(Server &server, Rate Rates::*rate, double perSecond, Instant now);
    double predictedDelaySeconds(const Server &server, double requests) const;

    SpeedSettings m_settings;
    std::vector<Server> m_servers;       // by slot
    std::vector<ClassAverage> m_classes; // by speed class
};

} // namespace cornelshed

#endif // CORNELSHED_SPEEDESTIMATE_H
