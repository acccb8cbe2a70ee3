// The demonstration: a day of load in three tiers on a cluster with injected failures.

#ifndef CORNELSHED_DEMO_DEMORUN_H
#define CORNELSHED_DEMO_DEMORUN_H

#include "cluster.h"

#include <iosfwd>

namespace cornelshed::demo {

struct DemoOptions
{
    ClusterOptions cluster;
    std::uint64_t seed = 1;
    double seconds = 20; // of load
    double requestsPerSecond = 60;
};

// Prints each step and the table. Returns the number of violations: requests that ran twice, got
// another's or a truncated answer or were lost without a report, work in a withdrawn zone, and
// processes that did not end gracefully. Throws std::runtime_error when a step fails.
std::uint64_t runDemo(const DemoOptions &options, std::ostream &out);

} // namespace cornelshed::demo

#endif // CORNELSHED_DEMO_DEMORUN_H
