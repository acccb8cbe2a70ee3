// Ejects backend servers that fail or are slow relative to the other servers of their group and to
// the size of their requests, and lets them back after a probe by a single request. At most a set
// share of a group is ejected, so that a fault common to all of them does not empty the group.

#ifndef CORNELSHED_OUTLIERDETECTOR_H
#define CORNELSHED_OUTLIERDETECTOR_H

#include "serverslot.h"
#include "types.h"

#include <array>
#include <cstdint>
#include <vector>

namespace cornelshed {

// Number of a group of comparable servers (a pool), chosen by the owner.
using OutlierGroup = std::uint32_t;

struct OutlierSettings
{
    double ejectedShareLimit = 0.34; // share of a group
    std::uint32_t consecutiveFailures = 5;
    std::uint32_t minimumSamples = 10; // before rates count
    double failureShare = 0.5;         // ejected above this share of failures
    double slowFactor = 3;             // ejected above this multiple of the group's time
    double smoothing = 0.1;
    Duration firstEjection = std::chrono::seconds(5); // doubles with each further ejection
    Duration longestEjection = std::chrono::minutes(2);

    bool operator==(const OutlierSettings &) const = default;
};

// One ended attempt.
struct AttemptResult
{
    bool failed = false;
    std::uint64_t prefillTokens = 0; // prompt tokens that were not cached
    std::uint64_t outputTokens = 0;
    Duration totalTime {}; // ignored for failures
    bool probe = false;    // the request was the server's probe

    bool operator==(const AttemptResult &) const = default;
};

enum class OutlierState : std::uint8_t {
    Admitted,
    Ejected,
    ProbeReady,  // the next single request may go to it
    ProbeRunning // that request is on its way
};

class OutlierDetector
{
public:
    explicit OutlierDetector(const OutlierSettings &settings = {});

    void add(ServerSlot slot, OutlierGroup group);
    void forget(ServerSlot slot);

    // Returns true if the server's state changed.
    bool record(ServerSlot slot, const AttemptResult &result, Instant now);

    OutlierState state(ServerSlot slot) const { return m_servers[slot].state; }

    // A request is offered to a server that is ready for its probe.
    void probeStarted(ServerSlot slot);
    // The probe ended without telling anything about the server.
    void probeReleased(ServerSlot slot);

    // Moves servers whose ejection is over to ProbeReady and appends them to changed.
    void expire(Instant now, std::vector<ServerSlot> &changed);
    Instant nextExpiry() const;

private:
    // Sizes are compared within a power of two of both token counts.
    static constexpr std::size_t sizeSteps = 24;

    struct Server
    {
        OutlierGroup group = 0;
        OutlierState state = OutlierState::Admitted;
        bool present = false;
        std::uint32_t samples = 0;
        std::uint32_t failuresInARow = 0;
        std::uint32_t ejections = 0; // in a row, for the length of the next
        double failureShare = 0;
        double logSlowness = 0; // average of log(time / time of the group)
        Instant ejectedUntil = instantNever;
    };
    struct Group
    {
        std::uint32_t size = 0;
        std::uint32_t ejected = 0;
        // Average log of seconds by size; NaN until observed.
        std::array<std::array<float, sizeSteps>, sizeSteps> logSeconds;
    };

    double learnSlowness(Group &group, const AttemptResult &result);
    bool isOutlier(const Server &server) const;
    bool mayEject(const Group &group) const;
    void eject(ServerSlot slot, Instant now);
    bool endProbe(ServerSlot slot, bool good, Instant now);

    OutlierSettings m_settings;
    std::vector<Server> m_servers; // by slot
    std::vector<Group> m_groups;
    std::vector<ServerSlot> m_ejected; // few: a capped share, and scanned only when one expires
};

} // namespace cornelshed

#endif // CORNELSHED_OUTLIERDETECTOR_H
