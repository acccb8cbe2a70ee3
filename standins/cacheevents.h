// Log of prefix cache events as the engine stand-in publishes it: late, and with gaps in the
// sequence numbers where events were lost.

#ifndef CORNELSHED_STANDINS_CACHEEVENTS_H
#define CORNELSHED_STANDINS_CACHEEVENTS_H

#include "laggedvalue.h"

#include <cstdint>
#include <deque>
#include <random>
#include <string>

namespace cornelshed::standins {

class CacheEvents
{
public:
    CacheEvents(std::uint64_t seed, double lossShare, std::chrono::milliseconds lag)
        : m_random(seed), m_lossShare(lossShare), m_lag(lag)
    { }

    void add(SteadyTime now, bool stored, std::uint64_t hash);

    // JSON {"events":[{sequence, type: stored|removed, hash}]} of the visible events after the
    // given sequence number.
    [[nodiscard]] std::string toJson(SteadyTime now, std::uint64_t after) const;

private:
    struct Event
    {
        SteadyTime time;
        std::uint64_t sequence = 0;
        bool stored = false;
        std::uint64_t hash = 0;
    };

    std::mt19937_64 m_random;
    double m_lossShare;
    std::chrono::milliseconds m_lag;
    std::uint64_t m_lastSequence = 0;
    std::deque<Event> m_events; // in order of sequence; bounded
};

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_CACHEEVENTS_H
