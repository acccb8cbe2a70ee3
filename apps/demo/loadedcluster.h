// A cluster under load: sends a day from a thread of its own while the owner disturbs the cluster,
// and compares what became of each request with the ledgers at the end.

#ifndef CORNELSHED_DEMO_LOADEDCLUSTER_H
#define CORNELSHED_DEMO_LOADEDCLUSTER_H

#include "cluster.h"
#include "day.h"
#include "tally.h"

#include <cstdint>
#include <memory>
#include <string>

namespace cornelshed::demo {

// Organisations of the cluster's configuration with their shares of the requests.
load::DayOptions clusterDay(std::uint64_t seed, double seconds, double requestsPerSecond);

class LoadedCluster
{
public:
    // Starts the cluster and the load. Throws std::runtime_error like Cluster::start().
    LoadedCluster(const ClusterOptions &options, const load::Day &day);
    ~LoadedCluster(); // stops sending and waits for the requests under way
    LoadedCluster(const LoadedCluster &) = delete;
    LoadedCluster &operator=(const LoadedCluster &) = delete;

    Cluster &cluster();

    // Requests that have ended in any way.
    [[nodiscard]] std::uint64_t endedCount() const;

    // Waits until this many requests have ended since the start. Throws std::runtime_error when the
    // load makes no progress.
    void waitForEnded(std::uint64_t count) const;

    // Requests run so far by the engines of an availability zone.
    [[nodiscard]] std::uint64_t runsIn(const std::string &zone);

    // Sends the rest of the day if wanted, waits until all requests have ended and audits them. All
    // stand-ins must run. Call once.
    load::Tally finish(bool sendRest);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed::demo

#endif // CORNELSHED_DEMO_LOADEDCLUSTER_H
