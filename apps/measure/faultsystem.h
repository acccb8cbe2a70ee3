// A small system under a random fault schedule: delayed, duplicated and reordered messages, lost
// sessions, agents that crash and restart, and engines that refuse connections, fail requests,
// break streams, slow down or turn cold.

#ifndef CORNELSHED_FAULTSYSTEM_H
#define CORNELSHED_FAULTSYSTEM_H

#include <cstdint>

namespace cornelshed::measure {

struct FaultCounts
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t runTwice = 0;      // requests that were started on engines more than once
    std::uint64_t falseNotRun = 0;   // reported as not run although started on an engine
    std::uint64_t wrongAnswers = 0;  // incomplete or another request's answer, reported as complete
    std::uint64_t withoutEnding = 0; // requests whose end was never reported
    std::uint64_t severalEndings = 0; // requests whose end was reported more than once

    FaultCounts &operator+=(const FaultCounts &other);
    bool operator==(const FaultCounts &) const = default;
};

// Runs one random schedule of a few seconds.
FaultCounts runFaultSchedule(std::uint64_t seed);

} // namespace cornelshed::measure

#endif // CORNELSHED_FAULTSYSTEM_H
