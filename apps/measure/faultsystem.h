// A small system under a random schedule of faults: messages late, doubled and out of order, lost
// sessions, agents that die and come back, engines that refuse, fail, cut streams or turn cold.

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
    std::uint64_t runTwice = 0;       // requests that reached engines more than once
    std::uint64_t falseNotRun = 0;    // reported as not run but reached an engine
    std::uint64_t wrongAnswers = 0;   // of another request, or incomplete, given as whole
    std::uint64_t withoutEnding = 0;  // never reported to the caller
    std::uint64_t severalEndings = 0; // reported more than once

    FaultCounts &operator+=(const FaultCounts &other);
    bool operator==(const FaultCounts &) const = default;
};

// One schedule of a few seconds.
FaultCounts runFaultSchedule(std::uint64_t seed);

} // namespace cornelshed::measure

#endif // CORNELSHED_FAULTSYSTEM_H
