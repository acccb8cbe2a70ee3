// Log likelihood ratios of binomial counts for the tests described in rolloutverdict.h.

#include "rolloutverdict.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cornelshed {

namespace {

// With the counts of a small deployment, smaller failed shares cannot be distinguished from zero.
constexpr double minBaselineFailureShare = 0.005;
constexpr double minBaselineSlowShare = 0.05;

// Quantile of the old version's slowness above which an answer counts as slow.
constexpr double slowQuantile = 0.95;

// Counts of the old version are halved above this number of answers, so that the baseline follows
// the current load.
constexpr std::uint64_t maxOldAnswers = 4000;

// Log likelihood ratio of the event rate badRate against baselineRate, for the given number of
// answers with and without the event.
double logLikelihoodRatio(std::uint64_t events, std::uint64_t nonEvents, double baselineRate,
                          double badRate)
{
    return static_cast<double>(events) * std::log(badRate / baselineRate)
            + static_cast<double>(nonEvents) * std::log((1 - badRate) / (1 - baselineRate));
}

std::uint64_t countAtOrAbove(const VersionCounts &counts, std::size_t threshold)
{
    return std::accumulate(counts.slowness.begin() + static_cast<std::ptrdiff_t>(threshold),
                           counts.slowness.end(), std::uint64_t {0});
}

std::uint64_t completeAnswers(const VersionCounts &counts)
{
    return countAtOrAbove(counts, 0);
}

void halve(VersionCounts &counts)
{
    counts.answers /= 2;
    counts.failures /= 2;
    for (std::uint64_t &it : counts.slowness)
        it /= 2;
}

} // namespace

void VersionCounts::add(const VersionCounts &other)
{
    answers += other.answers;
    failures += other.failures;
    for (std::size_t n = 0; n < slowness.size(); ++n)
        slowness[n] += other.slowness[n];
}

VersionCounts VersionCounts::since(const VersionCounts &earlier) const
{
    VersionCounts delta = *this;
    delta.answers -= earlier.answers;
    delta.failures -= earlier.failures;
    for (std::size_t n = 0; n < slowness.size(); ++n)
        delta.slowness[n] -= earlier.slowness[n];
    return delta;
}

void VersionCounts::merge(const VersionCounts &other)
{
    answers = std::max(answers, other.answers);
    failures = std::max(failures, other.failures);
    for (std::size_t n = 0; n < slowness.size(); ++n)
        slowness[n] = std::max(slowness[n], other.slowness[n]);
}

std::size_t slownessBucket(std::uint64_t promptTokens, std::uint64_t outputTokens, Duration time)
{
    const double tokens = static_cast<double>(promptTokens) / 16.0
            + static_cast<double>(std::max<std::uint64_t>(outputTokens, 1));
    const double microsPerToken =
            static_cast<double>(std::max<Duration::rep>(time.count(), 1)) / tokens;
    const double index = 4.0 * std::log2(std::max(microsPerToken / 64.0, 1.0));
    return std::min(static_cast<std::size_t>(index), slownessBucketCount - 1);
}

double RouteVerdict::baselineFailureShare() const
{
    const double observed = m_oldCounts.answers == 0
            ? 0
            : static_cast<double>(m_oldCounts.failures) / static_cast<double>(m_oldCounts.answers);
    return std::clamp(observed, minBaselineFailureShare, 0.5);
}

std::size_t RouteVerdict::slowThreshold() const
{
    const auto needed = static_cast<std::uint64_t>(
            slowQuantile * static_cast<double>(completeAnswers(m_oldCounts)));
    std::uint64_t sum = 0;
    for (std::size_t n = 0; n < slownessBucketCount; ++n) {
        sum += m_oldCounts.slowness[n];
        if (sum >= needed)
            return std::min(n + 1, slownessBucketCount - 1);
    }
    return slownessBucketCount - 1;
}

double RouteVerdict::baselineSlowShare(std::size_t threshold) const
{
    const double observed = static_cast<double>(countAtOrAbove(m_oldCounts, threshold))
            / static_cast<double>(std::max<std::uint64_t>(completeAnswers(m_oldCounts), 1));
    return std::clamp(observed, minBaselineSlowShare, 0.5);
}

void RouteVerdict::observe(const VersionCounts &oldDelta, const VersionCounts &newDelta)
{
    m_oldCounts.add(oldDelta);
    if (m_oldCounts.answers > maxOldAnswers)
        halve(m_oldCounts);
    m_stageAnswers += newDelta.answers;

    const double failureBaseline = baselineFailureShare();
    const double failureLlr = logLikelihoodRatio(
            newDelta.failures, newDelta.answers - newDelta.failures, failureBaseline,
            std::min(failureBaseline + m_settings.failureExcess, 0.95));
    m_stageFailureLlr += failureLlr;
    m_failureCusum = std::max(0.0, m_failureCusum + failureLlr);

    if (m_oldCounts.answers < m_settings.minOldAnswers)
        return;
    const std::size_t threshold =
            std::min(slowThreshold() + m_settings.slowMarginBuckets, slownessBucketCount - 1);
    const double slowBaseline = baselineSlowShare(threshold);
    const std::uint64_t slowAnswers = countAtOrAbove(newDelta, threshold);
    const double slowLlr =
            logLikelihoodRatio(slowAnswers, completeAnswers(newDelta) - slowAnswers, slowBaseline,
                               std::min(slowBaseline + m_settings.slowExcess, 0.95));
    m_stageSlowLlr += slowLlr;
    m_slowCusum = std::max(0.0, m_slowCusum + slowLlr);
}

void RouteVerdict::beginStage()
{
    m_stageFailureLlr = 0;
    m_stageSlowLlr = 0;
    m_stageAnswers = 0;
}

Verdict RouteVerdict::verdict() const
{
    // The cumulative sum test raises a false alarm about once in e^cusumLimit answers.
    const double cusumLimit = std::log(m_settings.answersPerRollout / m_settings.errorRate);
    if (m_failureCusum >= cusumLimit || m_slowCusum >= cusumLimit)
        return Verdict::Bad;
    const double llrLimit = std::log(m_settings.errorRate);
    if (m_stageFailureLlr <= llrLimit && m_stageSlowLlr <= llrLimit)
        return Verdict::Good;
    return Verdict::Undecided;
}

bool RouteVerdict::favoursNewVersion(std::uint64_t minAnswers) const
{
    return m_stageAnswers >= minAnswers && m_stageFailureLlr < 0 && m_stageSlowLlr < 0;
}

} // namespace cornelshed
