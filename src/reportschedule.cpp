// Intervals and recipients of reports between gateways.

#include "reportschedule.h"

#include "stabledigest.h"

#include <algorithm>

namespace cornelshed {

namespace {

using namespace std::chrono_literals;

// A gateway sends one datagram in this time on average, unless it has only one or two peers.
constexpr Duration timePerDatagram = 10ms;
constexpr Duration minInterval = 20ms;
// With a longer interval, a proof of freshness would need too long to reach a large fleet.
constexpr Duration maxInterval = 50ms;
constexpr Duration minHeardTimeout = 1s;
// A peer counts as heard from until this many of its reports have been lost in a row.
constexpr std::int64_t lostReportsTolerated = 3;

} // namespace

ReportTiming reportTiming(std::size_t peers)
{
    const auto n = static_cast<std::int64_t>(peers);
    ReportTiming timing;
    timing.interval = std::clamp<Duration>(timePerDatagram * n, minInterval, maxInterval);
    timing.recipients =
            std::min(peers, static_cast<std::size_t>(timing.interval / timePerDatagram));
    const auto perReport = std::max<std::int64_t>(1, static_cast<std::int64_t>(timing.recipients));
    timing.cycle = timing.interval * std::max<std::int64_t>(1, (n + perReport - 1) / perReport);
    timing.heardTimeout = std::max<Duration>(minHeardTimeout, timing.cycle * lostReportsTolerated);
    return timing;
}

ReportSchedule::ReportSchedule(std::string ownName) : m_ownName(std::move(ownName)) { }

void ReportSchedule::setPeers(const std::vector<std::string> &names)
{
    const auto rank = [this](const std::string &name) {
        return stableDigest(name, stableDigest(m_ownName));
    };
    const std::string nextName = m_order.empty() ? std::string() : m_order[m_next];
    m_order = names;
    std::sort(m_order.begin(), m_order.end(),
              [&](const std::string &a, const std::string &b) { return rank(a) < rank(b); });
    // Continues the cycle where it was, so that a change of the fleet delays no peer's report.
    const auto resume = std::find_if(m_order.begin(), m_order.end(), [&](const std::string &it) {
        return rank(it) >= rank(nextName);
    });
    m_next = nextName.empty() || resume == m_order.end()
            ? 0
            : static_cast<std::size_t>(resume - m_order.begin());
}

std::vector<std::string> ReportSchedule::nextRecipients()
{
    std::vector<std::string> recipients;
    const std::size_t n = timing().recipients;
    for (std::size_t i = 0; i < n; ++i) {
        recipients.push_back(m_order[m_next]);
        m_next = (m_next + 1) % m_order.size();
    }
    return recipients;
}

} // namespace cornelshed
