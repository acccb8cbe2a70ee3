// The demonstration: sends a day of traffic in three tiers to a cluster while processes are killed
// and an availability zone is withdrawn.

#ifndef CORNELSHED_DEMO_DEMORUN_H
#define CORNELSHED_DEMO_DEMORUN_H

#include "cluster.h"

#include <iosfwd>

namespace cornelshed::demo {

struct DemoOptions
{
    ClusterOptions cluster;
    std::uint64_t seed = 1;
    double seconds = 20;           // duration of the load
    double requestsPerSecond = 60; // mean over the day
};

// Prints each step and the table of outcomes. Returns the number of violations: those of
// load::Tally::violationCount(), such as requests that ran twice, got another request's answer or a
// truncated one, or were lost without a report; requests that ran in a withdrawn availability zone;
// and processes that did not end with status 0. Throws std::runtime_error when a step fails.
std::uint64_t runDemo(const DemoOptions &options, std::ostream &out);

} // namespace cornelshed::demo

#endif // CORNELSHED_DEMO_DEMORUN_H
