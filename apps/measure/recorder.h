// What became of each request of a run, and the counts that the figures are made of.

#ifndef CORNELSHED_RECORDER_H
#define CORNELSHED_RECORDER_H

#include "workload.h"

#include <array>
#include <optional>
#include <vector>

namespace cornelshed::measure {

enum class RunEnding { Open, Answered, NotRun, Unknown };

struct RunRecord
{
    RunEnding ending = RunEnding::Open;
    Instant endedAt;
    std::optional<Instant> firstTokenAt; // at the caller's side of the entry daemon
    std::uint32_t starts = 0;            // on any engine, less those reported as not run
    std::uint64_t computedPrefill = 0;   // prompt tokens computed on any engine
    std::uint64_t repeatedPrefill = 0;   // of these, cached on another engine with room
};

struct Counts
{
    std::array<std::uint64_t, 3> sent {};   // by tier
    std::array<std::uint64_t, 3> inTime {}; // whole answer before the deadline
    std::uint64_t unknown = 0;
    std::uint64_t notRun = 0;
    std::uint64_t computedPrefill = 0;
    std::uint64_t wastedPrefill = 0; // for late answers, or cached elsewhere
    std::uint64_t latePrefill = 0;   // for late answers alone
    double firstTokenP95Seconds = 0; // over requests with a first token
    std::uint64_t sheds = 0;
    std::uint64_t invertedAtOnePoint = 0; // higher tier shed while a lower one waited there
    std::uint64_t invertedAcross = 0;     // while a lower one, dispatched later, waited anywhere
    std::uint64_t coldOverload = 0;       // starts beyond what a cold engine bears
    std::uint64_t withdrawnStarts = 0;    // in a zone that was withdrawn 3 s before or longer

    double goodput() const; // share of all requests
    double goodput(TierRank tier) const;
    double wastedShare() const;
    double latePrefillShare() const;
};

class Recorder
{
public:
    // Requests that arrive before warmUp are left out of the counts. The workload must outlive it.
    Recorder(const Workload &workload, Duration warmUp);

    const Workload &workload() const { return m_workload; }
    RunRecord &at(std::size_t index) { return m_records[index]; }

    void ended(std::size_t index, RunEnding ending, Instant now);
    void firstToken(std::size_t index, Instant now);

    // Counts the records; the system's own counts (sheds, cold starts) are left at 0.
    Counts counts() const;

private:
    bool inTime(std::size_t index) const;

    const Workload &m_workload;
    Duration m_warmUp;
    std::vector<RunRecord> m_records; // by index in the workload
};

} // namespace cornelshed::measure

#endif // CORNELSHED_RECORDER_H
