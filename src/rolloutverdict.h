// Sequential comparison of a new version with the old one on one route, from counts that many
// daemons add up. Two tests run side by side:
//  - goodness: Wald's sequential probability ratio test (A. Wald, 1945), restarted for each stage;
//  - badness: a cumulative sum test (E. S. Page, 1954) that forgets a good past, so that a version
//    that fails late or under load is found as fast as one that fails at once.
// Both test the share of failed answers and the share of slow ones against what the old version
// shows on the same route at the same time.

#ifndef CORNELSHED_ROLLOUTVERDICT_H
#define CORNELSHED_ROLLOUTVERDICT_H

#include "types.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace cornelshed {

// Slowness is kept as counts over logarithmic classes of normalised time, because counts of many
// daemons add up exactly. Each class is 2^(1/4) wide.
constexpr std::size_t slownessClassCount = 64;

// Counts of one version on one route at one daemon; they only grow.
struct VersionCounts
{
    std::uint64_t answers = 0; // whole or failed
    std::uint64_t failures = 0;
    std::array<std::uint64_t, slownessClassCount> slowness {}; // whole answers by normalised time

    bool operator==(const VersionCounts &) const = default;

    void add(const VersionCounts &other);

    // Counts since an earlier state of the same counters.
    VersionCounts since(const VersionCounts &earlier) const;

    // Takes the larger of each count: merges two states of the same daemon's counters.
    void merge(const VersionCounts &other);
};

// Class of an answer's time. tokens counts prompt tokens at a sixteenth and output tokens in full,
// which is about the ratio of their costs, so that short and long requests can be compared.
std::size_t slownessClass(std::uint64_t promptTokens, std::uint64_t outputTokens, Duration time);

struct VerdictSettings
{
    double answersPerRollout = 1e5;      // for which errorRate holds
    double errorRate = 0.01;             // of a wrong verdict over a whole rollout, each direction
    double failureExcess = 0.05;         // failed share over the old version's that counts as bad
    double slowExcess = 0.25;            // slow share over the old version's that counts as bad
    std::uint64_t oldAnswersNeeded = 30; // before slowness can be judged
    std::size_t slowMargin = 0; // classes by which an answer must exceed the threshold to be slow

    bool operator==(const VerdictSettings &) const = default;
};

enum class Verdict { Undecided, Good, Bad };

// Judges one route. Feed it the growth of both versions' total counts in turn.
class RouteVerdict
{
public:
    explicit RouteVerdict(const VerdictSettings &settings) : m_settings(settings) { }

    // New answers of both versions since the last call.
    void observe(const VersionCounts &oldGrowth, const VersionCounts &newGrowth);

    // Starts the goodness test anew for a further stage; evidence of badness is kept.
    void beginStage();

    Verdict verdict() const;

    // Leaning without a decision: true if the evidence so far is for the new version.
    bool leansGood(std::uint64_t answersNeeded) const;

    std::uint64_t stageAnswers() const { return m_stageAnswers; }

private:
    double failureBase() const;
    std::size_t slowThreshold() const;
    double slowBase(std::size_t threshold) const;

    VerdictSettings m_settings;
    VersionCounts m_old;       // all growth of the old version so far, fading
    double m_goodFailures = 0; // log likelihood ratio of the stage, failures
    double m_goodSlowness = 0; // the same for slow answers
    double m_badFailures = 0;  // cumulative sum of failures; invariant: never negative
    double m_badSlowness = 0;  // the same for slow answers
    std::uint64_t m_stageAnswers = 0;
};

} // namespace cornelshed

#endif // CORNELSHED_ROLLOUTVERDICT_H
