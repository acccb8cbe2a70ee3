// Cache event log.

#include "cacheevents.h"

#include <boost/json.hpp>

namespace cornelshed::standins {

namespace {

constexpr std::size_t eventLimitCount = 20000;

} // namespace

void CacheEvents::add(SteadyTime now, bool stored, std::uint64_t hash)
{
    m_lastSequence += 1;
    if (std::uniform_real_distribution<double>()(m_random) < m_lossShare)
        return;
    m_events.push_back({now, m_lastSequence, stored, hash});
    if (m_events.size() > eventLimitCount)
        m_events.pop_front();
}

std::string CacheEvents::toJson(SteadyTime now, std::uint64_t after) const
{
    boost::json::array rows;
    for (const Event &it : m_events) {
        if (it.time + m_lag > now)
            break;
        if (it.sequence <= after)
            continue;
        rows.push_back({{"sequence", it.sequence},
                        {"type", it.stored ? "stored" : "removed"},
                        {"hash", it.hash}});
    }
    return boost::json::serialize(boost::json::object {{"events", std::move(rows)}});
}

} // namespace cornelshed::standins
