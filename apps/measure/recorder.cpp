// Computes the counts of one run from its request records.

#include "recorder.h"

#include <algorithm>
#include <numeric>

namespace cornelshed::measure {

namespace {

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

double percentile95(std::vector<double> values)
{
    if (values.empty())
        return 0;
    const std::size_t n = values.size() * 95 / 100;
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(n), values.end());
    return values[n];
}

} // namespace

double Counts::goodput() const
{
    return share(inTime[0] + inTime[1] + inTime[2], sent[0] + sent[1] + sent[2]);
}

double Counts::goodput(TierRank tier) const
{
    return share(inTime[tier], sent[tier]);
}

double Counts::wastedShare() const
{
    return share(wastedPrefill, computedPrefill);
}

double Counts::latePrefillShare() const
{
    return share(latePrefill, computedPrefill);
}

Recorder::Recorder(const Workload &workload, Duration warmUp)
    : m_workload(workload), m_warmUp(warmUp), m_records(workload.size())
{ }

void Recorder::recordOutcome(std::size_t index, RequestOutcome outcome, Instant now)
{
    RequestRecord &record = m_records[index];
    if (record.outcome != RequestOutcome::Pending)
        return;
    record.outcome = outcome;
    record.endedAt = now;
}

void Recorder::recordFirstToken(std::size_t index, Instant now)
{
    if (!m_records[index].firstTokenAt)
        m_records[index].firstTokenAt = now;
}

bool Recorder::inTime(std::size_t index) const
{
    const RequestRecord &record = m_records[index];
    const SimulatedRequest &request = m_workload[index];
    return record.outcome == RequestOutcome::Answered
            && record.endedAt <= request.arrival + request.deadline;
}

Counts Recorder::counts() const
{
    Counts counts;
    std::vector<double> firstTokens;
    for (std::size_t n = 0; n < m_records.size(); ++n) {
        if (m_workload[n].arrival < Instant(m_warmUp))
            continue;
        const RequestRecord &record = m_records[n];
        const TierRank tier = m_workload[n].tier;
        ++counts.sent[tier];
        counts.inTime[tier] += inTime(n) ? 1 : 0;
        counts.unknown += record.outcome == RequestOutcome::Unknown ? 1 : 0;
        counts.notRun += record.outcome == RequestOutcome::NotRun ? 1 : 0;
        counts.computedPrefill += record.computedPrefill;
        counts.wastedPrefill += inTime(n) ? record.repeatedPrefill : record.computedPrefill;
        counts.latePrefill += inTime(n) ? 0 : record.computedPrefill;
        if (record.firstTokenAt) {
            const Duration waited = *record.firstTokenAt - m_workload[n].arrival;
            firstTokens.push_back(static_cast<double>(waited.count()) / 1e6);
        }
    }
    counts.firstTokenP95Seconds = percentile95(std::move(firstTokens));
    return counts;
}

} // namespace cornelshed::measure
