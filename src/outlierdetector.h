// Ejects backend servers that fail, or that are slow compared with the other servers of their group
// for requests of the same size. An ejected server is readmitted after a probe by a single request.
// At most a fixed share of a group is ejected, so that a fault common to all servers does not empty
// the group.

#ifndef CORNELSHED_OUTLIERDETECTOR_H
#define CORNELSHED_OUTLIERDETECTOR_H

#include "serverslot.h"
#include "types.h"

#include <array>
#include <cstdint>
#include <vector>

namespace cornelshed {

// Number of a group of comparable servers (a pool), assigned by the owner of the detector.
using OutlierGroup = std::uint32_t;

struct OutlierSettings
{
    double ejectedShareLimit = 0.34; // of a group's servers
    std::uint32_t consecutiveFailures = 5;
    std::uint32_t minimumSamples = 10; // before failureShare and slowFactor apply
    double failureShare = 0.5;         // a server with a higher share of failures is ejected
    double slowFactor = 3; // a server slower than the group by more than this factor is ejected
    double smoothing = 0.1;
    Duration firstEjection = std::chrono::seconds(5); // doubles with each further ejection in a row
    Duration longestEjection = std::chrono::minutes(2);

    bool operator==(const OutlierSettings &) const = default;
};

// A completed attempt.
struct AttemptResult
{
    bool failed = false;
    std::uint64_t prefillTokens = 0; // prompt tokens that were not cached
    std::uint64_t outputTokens = 0;
    Duration totalTime {}; // not used if failed
    bool probe = false;    // the request was the probe of the server

    bool operator==(const AttemptResult &) const = default;
};

enum class OutlierState : std::uint8_t {
    Admitted,
    Ejected,
    ProbeReady,  // the next single request may be sent to it as a probe
    ProbeRunning // the probe has been sent
};

class OutlierDetector
{
public:
    explicit OutlierDetector(const OutlierSettings &settings = {});

    void add(ServerSlot slot, OutlierGroup group);
    void forget(ServerSlot slot);
    bool contains(ServerSlot slot) const;

    // Records the result of an attempt. Returns true if the server's state changed.
    bool record(ServerSlot slot, const AttemptResult &result, Instant now);

    OutlierState state(ServerSlot slot) const { return m_servers[slot].state; }

    // A request is sent as a probe to a server in state ProbeReady.
    void probeStarted(ServerSlot slot);
    // The probe ended without a result that concerns the server.
    void probeInconclusive(ServerSlot slot);

    // Sets servers whose ejection time is over to ProbeReady and appends them to changed.
    void expire(Instant now, std::vector<ServerSlot> &changed);
    Instant nextExpiry() const;

private:
    // Times are compared among requests whose prefill and output token counts fall into the same
    // power-of-two buckets.
    static constexpr std::size_t sizeBucketCount = 24;

    struct Server
    {
        OutlierGroup group = 0;
        OutlierState state = OutlierState::Admitted;
        bool present = false;
        std::uint32_t samples = 0;
        std::uint32_t failureStreak = 0;
        std::uint32_t ejections = 0;   // in a row; sets the length of the next one
        double failureRate = 0;        // moving average
        double averageLogSlowdown = 0; // moving average of log(time / group's time)
        Instant ejectedUntil = instantNever;
    };
    struct Group
    {
        std::uint32_t size = 0;
        std::uint32_t ejected = 0;
        // Moving average of log(seconds) by request size; NaN until observed.
        std::array<std::array<float, sizeBucketCount>, sizeBucketCount> averageLogSeconds;
    };

    double updateGroupTime(Group &group, const AttemptResult &result);
    bool isOutlier(const Server &server) const;
    bool mayEject(const Group &group) const;
    void eject(ServerSlot slot, Instant now);
    bool endProbe(ServerSlot slot, bool succeeded, Instant now);

    OutlierSettings m_settings;
    std::vector<Server> m_servers; // by slot
    std::vector<Group> m_groups;
    std::vector<ServerSlot> m_ejected; // few, as their share is limited; searched only for expiry
};

} // namespace cornelshed

#endif // CORNELSHED_OUTLIERDETECTOR_H
