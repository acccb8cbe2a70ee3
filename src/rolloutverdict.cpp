// Log likelihood ratios of binomial counts; see rolloutverdict.h for the tests.

#include "rolloutverdict.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cornelshed {

namespace {

// A failed share below this is not told from zero with the counts of a small deployment.
constexpr double leastFailureBase = 0.005;
constexpr double leastSlowBase = 0.05;

// The old version's share of answers above the threshold for "slow".
constexpr double slowQuantile = 0.95;

// Old evidence is halved beyond this count, so that the base follows the load of the hour.
constexpr std::uint64_t oldAnswersKept = 4000;

double logLikelihoodRatio(std::uint64_t hits, std::uint64_t misses, double base, double bad)
{
    return static_cast<double>(hits) * std::log(bad / base)
            + static_cast<double>(misses) * std::log((1 - bad) / (1 - base));
}

std::uint64_t countAbove(const VersionCounts &counts, std::size_t threshold)
{
    return std::accumulate(counts.slowness.begin() + static_cast<std::ptrdiff_t>(threshold),
                           counts.slowness.end(), std::uint64_t {0});
}

std::uint64_t wholeAnswers(const VersionCounts &counts)
{
    return countAbove(counts, 0);
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
    VersionCounts growth = *this;
    growth.answers -= earlier.answers;
    growth.failures -= earlier.failures;
    for (std::size_t n = 0; n < slowness.size(); ++n)
        growth.slowness[n] -= earlier.slowness[n];
    return growth;
}

void VersionCounts::merge(const VersionCounts &other)
{
    answers = std::max(answers, other.answers);
    failures = std::max(failures, other.failures);
    for (std::size_t n = 0; n < slowness.size(); ++n)
        slowness[n] = std::max(slowness[n], other.slowness[n]);
}

std::size_t slownessClass(std::uint64_t promptTokens, std::uint64_t outputTokens, Duration time)
{
    const double tokens = static_cast<double>(promptTokens) / 16.0
            + static_cast<double>(std::max<std::uint64_t>(outputTokens, 1));
    const double microsPerToken =
            static_cast<double>(std::max<Duration::rep>(time.count(), 1)) / tokens;
    const double index = 4.0 * std::log2(std::max(microsPerToken / 64.0, 1.0));
    return std::min(static_cast<std::size_t>(index), slownessClassCount - 1);
}

double RouteVerdict::failureBase() const
{
    const double observed = m_old.answers == 0
            ? 0
            : static_cast<double>(m_old.failures) / static_cast<double>(m_old.answers);
    return std::clamp(observed, leastFailureBase, 0.5);
}

std::size_t RouteVerdict::slowThreshold() const
{
    const auto needed =
            static_cast<std::uint64_t>(slowQuantile * static_cast<double>(wholeAnswers(m_old)));
    std::uint64_t sum = 0;
    for (std::size_t n = 0; n < slownessClassCount; ++n) {
        sum += m_old.slowness[n];
        if (sum >= needed)
            return std::min(n + 1, slownessClassCount - 1);
    }
    return slownessClassCount - 1;
}

double RouteVerdict::slowBase(std::size_t threshold) const
{
    const double observed = static_cast<double>(countAbove(m_old, threshold))
            / static_cast<double>(std::max<std::uint64_t>(wholeAnswers(m_old), 1));
    return std::clamp(observed, leastSlowBase, 0.5);
}

void RouteVerdict::observe(const VersionCounts &oldGrowth, const VersionCounts &newGrowth)
{
    m_old.add(oldGrowth);
    if (m_old.answers > oldAnswersKept)
        halve(m_old);
    m_stageAnswers += newGrowth.answers;

    const double failBase = failureBase();
    const double failRatio =
            logLikelihoodRatio(newGrowth.failures, newGrowth.answers - newGrowth.failures, failBase,
                               std::min(failBase + m_settings.failureExcess, 0.95));
    m_goodFailures += failRatio;
    m_badFailures = std::max(0.0, m_badFailures + failRatio);

    if (m_old.answers < m_settings.oldAnswersNeeded)
        return;
    const std::size_t threshold =
            std::min(slowThreshold() + m_settings.slowMargin, slownessClassCount - 1);
    const double base = slowBase(threshold);
    const std::uint64_t slow = countAbove(newGrowth, threshold);
    const double slowRatio = logLikelihoodRatio(slow, wholeAnswers(newGrowth) - slow, base,
                                                std::min(base + m_settings.slowExcess, 0.95));
    m_goodSlowness += slowRatio;
    m_badSlowness = std::max(0.0, m_badSlowness + slowRatio);
}

void RouteVerdict::beginStage()
{
    m_goodFailures = 0;
    m_goodSlowness = 0;
    m_stageAnswers = 0;
}

Verdict RouteVerdict::verdict() const
{
    // The cumulative sum test raises a false alarm once in about e^limit answers.
    const double badLimit = std::log(m_settings.answersPerRollout / m_settings.errorRate);
    if (m_badFailures >= badLimit || m_badSlowness >= badLimit)
        return Verdict::Bad;
    const double goodLimit = std::log(m_settings.errorRate);
    if (m_goodFailures <= goodLimit && m_goodSlowness <= goodLimit)
        return Verdict::Good;
    return Verdict::Undecided;
}

bool RouteVerdict::leansGood(std::uint64_t answersNeeded) const
{
    return m_stageAnswers >= answersNeeded && m_goodFailures < 0 && m_goodSlowness < 0;
}

} // namespace cornelshed
