// Sequential comparison of a new version with the old one on one route, from counts that are summed
// over all daemons. Two statistical tests run side by side:
//  - goodness: Wald's sequential probability ratio test (A. Wald, 1945), restarted for each stage;
//  - badness: a cumulative sum (CUSUM) test (E. S. Page, 1954). It does not accumulate good
//    evidence, so a version that starts to fail late or under load is detected as fast as one that
//    fails from the start.
// Both compare the share of failed answers and the share of slow answers with those of the old
// version on the same route over the same time.

#ifndef CORNELSHED_ROLLOUTVERDICT_H
#define CORNELSHED_ROLLOUTVERDICT_H

#include "types.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace cornelshed {

// Number of buckets of the slowness histogram, whose value is the response time per token.
// Histograms of several daemons can be summed exactly. Buckets are logarithmic, each a factor of
// 2^(1/4) wide.
constexpr std::size_t slownessBucketCount = 64;

// Monotonic counters of one version on one route at one daemon.
struct VersionCounts
{
    std::uint64_t answers = 0; // complete or failed
    std::uint64_t failures = 0;
    std::array<std::uint64_t, slownessBucketCount> slowness {}; // histogram of complete answers

    bool operator==(const VersionCounts &) const = default;

    void add(const VersionCounts &other);

    // Returns the increase since an earlier state of the same counters.
    VersionCounts since(const VersionCounts &earlier) const;

    // Merges two states of the same daemon's counters by taking the larger value of each.
    void merge(const VersionCounts &other);
};

// Returns the histogram bucket of an answer. The time is divided by the number of output tokens
// plus a sixteenth of the prompt tokens, which is about the ratio of their costs, so that short and
// long requests can be compared.
std::size_t slownessBucket(std::uint64_t promptTokens, std::uint64_t outputTokens, Duration time);

struct VerdictSettings
{
    double answersPerRollout = 1e5; // to which errorRate applies
    // Probability of a wrong verdict over a whole rollout, for each of the two directions.
    double errorRate = 0.01;
    double failureExcess = 0.05;      // failed share above the old version's that is considered bad
    double slowExcess = 0.25;         // slow share above the old version's that is considered bad
    std::uint64_t minOldAnswers = 30; // required before slowness is compared
    // Number of buckets by which an answer must exceed the threshold to count as slow.
    std::size_t slowMarginBuckets = 0;

    bool operator==(const VerdictSettings &) const = default;
};

enum class Verdict { Undecided, Good, Bad };

// Runs the tests for one route. The caller passes the increase of both versions' total counts.
class RouteVerdict
{
public:
    explicit RouteVerdict(const VerdictSettings &settings) : m_settings(settings) { }

    // Adds the answers of both versions since the last call.
    void observe(const VersionCounts &oldDelta, const VersionCounts &newDelta);

    // Restarts the goodness test for the next stage. The state of the badness test is kept.
    void beginStage();

    Verdict verdict() const;

    // Returns true if the stage has at least minAnswers answers and its evidence favours the new
    // version, even if it does not suffice for a verdict.
    bool favoursNewVersion(std::uint64_t minAnswers) const;

    std::uint64_t stageAnswers() const { return m_stageAnswers; }

private:
    double baselineFailureShare() const;
    std::size_t slowThreshold() const;
    double baselineSlowShare(std::size_t threshold) const;

    VerdictSettings m_settings;
    VersionCounts m_oldCounts;    // counts of the old version, with older evidence decayed
    double m_stageFailureLlr = 0; // log likelihood ratio of failures in the current stage
    double m_stageSlowLlr = 0;    // log likelihood ratio of slow answers in the current stage
    double m_failureCusum = 0;    // cumulative sum for failures; invariant: never negative
    double m_slowCusum = 0;       // cumulative sum for slow answers; invariant: never negative
    std::uint64_t m_stageAnswers = 0;
};

} // namespace cornelshed

#endif // CORNELSHED_ROLLOUTVERDICT_H
