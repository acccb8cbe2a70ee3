// Bounded log of prefix cache events with simulated delay and loss.

#include "cacheeventlog.h"

#include <boost/json.hpp>

namespace cornelshed::standins {

namespace {

constexpr std::size_t maxEventCount = 20000;

} // namespace

void CacheEventLog::add(SteadyTime now, bool stored, std::uint64_t hash)
{
    m_lastSequence += 1;
    if (std::uniform_real_distribution<double>()(m_random) < m_lossProbability)
        return;
    m_events.push_back({now, m_lastSequence, stored, hash});
    if (m_events.size() > maxEventCount)
        m_events.pop_front();
}

std::string CacheEventLog::toJson(SteadyTime now, std::uint64_t afterSequence) const
{
    boost::json::array events;
    for (const Event &it : m_events) {
        if (it.time + m_lag > now)
            break;
        if (it.sequence <= afterSequence)
            continue;
        events.push_back({{"sequence", it.sequence},
                          {"type", it.stored ? "stored" : "removed"},
                          {"hash", it.hash}});
    }
    return boost::json::serialize(boost::json::object {{"events", std::move(events)}});
}

} // namespace cornelshed::standins
