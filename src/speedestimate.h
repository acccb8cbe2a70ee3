// Estimate of how fast each backend server works and how much work is queued on it. Rates come from
// the usage of finished requests and from load reports. Both age: an old figure is blended towards
// the average of the servers of the same class (pool and version), so that a report is never used
// as if it were fresh. Work that this daemon sent after the last report is added to it.

#ifndef CORNELSHED_SPEEDESTIMATE_H
#define CORNELSHED_SPEEDESTIMATE_H

#include "messages.h"
#include "serverslot.h"
#include "types.h"

#include <cstdint>
#include <vector>

namespace cornelshed {

// Number of a class of servers that should be equally fast, chosen by the owner.
using SpeedClass = std::uint32_t;

// Size of a request for the purpose of prediction.
struct WorkSize
{
    std::uint64_t prefillTokens = 0; // prompt tokens that are not expected in the cache
    std::uint64_t outputTokens = 0;

    bool operator==(const WorkSize &) const = default;
};

struct SpeedSettings
{
    Duration reportHalfLife = std::chrono::seconds(1); // weight of a load report halves in this
    Duration rateHalfLife = std::chrono::seconds(30);  // weight of a measured rate halves in this
    double smoothing = 0.2;                            // weight of a new sample

    bool operator==(const SpeedSettings &) const = default;
};

class SpeedEstimate
{
public:
    explicit SpeedEstimate(const SpeedSettings &settings = {});

    void add(ServerSlot slot, SpeedClass speedClass);
    void forget(ServerSlot slot);

    void report(ServerSlot slot, const LoadReport &load, Instant now);
    void finished(ServerSlot slot, const Usage &usage, Instant now);

    // Work that this daemon handed over, until a later report includes it.
    void sent(ServerSlot slot, const WorkSize &work);

    // Time on the server without waiting; 0 while nothing is known about the class.
    Duration serviceTime(ServerSlot slot, const WorkSize &work, Instant now) const;

    // Expected wait until the server has room, by the aged report and the work sent since.
    Duration queueDelay(ServerSlot slot, Instant now) const;

    // Reservations queued at the server's agent by the last report alone.
    std::uint32_t lastReportedWaiting(ServerSlot slot) const
    {
        return m_servers[slot].load.waiting;
    }

    // Requests on or queued at the server by the last report alone, whatever its age (for the
    // baseline policy).
    std::uint64_t lastReportedRequests(ServerSlot slot) const;

private:
    struct Rate
    {
        double perSecond = 0; // 0: unknown
        Instant measuredAt {};
    };
    struct Rates
    {
        Rate prefill;
        Rate decode;
        Rate plainRequests; // requests without output tokens
    };
    struct Server
    {
        SpeedClass speedClass = 0;
        Rates rates;
        LoadReport load;
        Instant reportedAt {};
        double reportedDelaySeconds = 0; // predicted from the report when it arrived
        std::uint64_t sentRequests = 0;  // since the report
        std::uint64_t sentTokens = 0;
    };
    struct Class
    {
        Rates rates;
        double delaySeconds = 0; // average over reports
    };

    double blended(const Rate &own, const Rate &average, Instant now) const;
    void learn(Server &server, Rate Rates::*rate, double perSecond, Instant now);
    double delaySeconds(const Server &server, double requests) const;

    SpeedSettings m_settings;
    std::vector<Server> m_servers; // by slot
    std::vector<Class> m_classes;  // by class
};

} // namespace cornelshed

#endif // CORNELSHED_SPEEDESTIMATE_H
