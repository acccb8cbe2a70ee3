// A cluster under load: sends a day of traffic from a separate thread while the owner injects
// failures, and checks the outcome of each request against the stand-ins' ledgers at the end.

#ifndef CORNELSHED_DEMO_LOADEDCLUSTER_H
#define CORNELSHED_DEMO_LOADEDCLUSTER_H

#include "cluster.h"
#include "day.h"
#include "tally.h"

#include <cstdint>
#include <memory>
#include <string>

namespace cornelshed::demo {

// Options of a day whose requests come from the organisations of the cluster's configuration.
load::DayOptions clusterDayOptions(std::uint64_t seed, double seconds, double requestsPerSecond);

class LoadedCluster
{
public:
    // Starts the cluster and the load. Throws std::runtime_error like Cluster::start().
    LoadedCluster(const ClusterOptions &options, const load::Day &day);
    ~LoadedCluster(); // stops sending and waits for open requests
    LoadedCluster(const LoadedCluster &) = delete;
    LoadedCluster &operator=(const LoadedCluster &) = delete;

    Cluster &cluster();

    // Number of requests that have ended in any way.
    [[nodiscard]] std::uint64_t endedCount() const;

    // Waits until this many requests have ended since the start. Throws std::runtime_error when
    // that takes longer than 60 s.
    void waitForEnded(std::uint64_t count) const;

    // Number of requests that the engines of an availability zone have run so far.
    [[nodiscard]] std::uint64_t runCountInZone(const std::string &zone);

    // Sends the rest of the day if sendRest is set, waits until all sent requests have ended and
    // audits them. All stand-ins must be running. May be called only once.
    load::Tally finish(bool sendRest);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed::demo

#endif // CORNELSHED_DEMO_LOADEDCLUSTER_H
