// Records the outcome of each request of a run and computes the counts behind the figures.

#ifndef CORNELSHED_RECORDER_H
#define CORNELSHED_RECORDER_H

#include "workload.h"

#include <array>
#include <optional>
#include <vector>

namespace cornelshed::measure {

enum class RequestOutcome { Pending, Answered, NotRun, Unknown };

struct RequestRecord
{
    RequestOutcome outcome = RequestOutcome::Pending;
    Instant endedAt;
    std::optional<Instant> firstTokenAt; // when the entry daemon passes it to the caller
    std::uint32_t starts = 0;            // on any engine
    std::uint64_t computedPrefill = 0;   // prompt tokens computed on any engine
    std::uint64_t repeatedPrefill = 0;   // of these, cached on another engine with a free slot
};

struct Counts
{
    std::array<std::uint64_t, 3> sent {};   // by tier
    std::array<std::uint64_t, 3> inTime {}; // complete answer by the deadline
    std::uint64_t unknown = 0;
    std::uint64_t notRun = 0;
    std::uint64_t computedPrefill = 0;
    std::uint64_t wastedPrefill = 0; // not answered in time, or cached on another engine
    std::uint64_t latePrefill = 0;   // not answered in time
    double firstTokenP95Seconds = 0; // over requests with a first token
    std::uint64_t sheds = 0;
    std::uint64_t localShedInversions = 0; // sheds while a lower tier waited in the same queue
    // Sheds while a lower-tier request waited anywhere that was dispatched later.
    std::uint64_t globalShedInversions = 0;
    std::uint64_t coldOverload = 0;    // starts beyond the concurrency of cold engines
    std::uint64_t withdrawnStarts = 0; // starts in a zone 3 s or more after its withdrawal

    double goodput() const; // share of all requests answered in time
    double goodput(TierRank tier) const;
    double wastedShare() const;
    double latePrefillShare() const;
};

class Recorder
{
public:
    // Requests that arrive before warmUp are not counted. The workload must outlive the recorder.
    Recorder(const Workload &workload, Duration warmUp);

    const Workload &workload() const { return m_workload; }
    RequestRecord &at(std::size_t index) { return m_records[index]; }

    // The first outcome of a request counts; later ones are ignored.
    void recordOutcome(std::size_t index, RequestOutcome outcome, Instant now);
    void recordFirstToken(std::size_t index, Instant now);

    // Leaves the counts of the system and the fleet at 0 (sheds, shed inversions, cold overload,
    // starts in withdrawn zones).
    Counts counts() const;

private:
    bool inTime(std::size_t index) const;

    const Workload &m_workload;
    Duration m_warmUp;
    std::vector<RequestRecord> m_records; // by index in the workload
};

} // namespace cornelshed::measure

#endif // CORNELSHED_RECORDER_H
