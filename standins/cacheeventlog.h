// Log of prefix cache events as the engine stand-in publishes it. Events become visible after a
// delay; a lost event leaves a gap in the sequence numbers, by which a reader can detect the loss.

#ifndef CORNELSHED_STANDINS_CACHEEVENTLOG_H
#define CORNELSHED_STANDINS_CACHEEVENTLOG_H

#include "laggedvalue.h"

#include <cstdint>
#include <deque>
#include <random>
#include <string>

namespace cornelshed::standins {

class CacheEventLog
{
public:
    CacheEventLog(std::uint64_t seed, double lossProbability, std::chrono::milliseconds lag)
        : m_random(seed), m_lossProbability(lossProbability), m_lag(lag)
    { }

    // Assigns the next sequence number to the event, and drops the event with the loss probability.
    void add(SteadyTime now, bool stored, std::uint64_t hash);

    // Returns {"events":[{sequence, type: stored|removed, hash}]} as JSON, with the visible events
    // whose sequence number is greater than afterSequence.
    [[nodiscard]] std::string toJson(SteadyTime now, std::uint64_t afterSequence) const;

private:
    struct Event
    {
        SteadyTime time;
        std::uint64_t sequence = 0;
        bool stored = false; // otherwise removed
        std::uint64_t hash = 0;
    };

    std::mt19937_64 m_random;
    double m_lossProbability;
    std::chrono::milliseconds m_lag;
    std::uint64_t m_lastSequence = 0;
    std::deque<Event> m_events; // in order of sequence numbers; the oldest are discarded
};

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_CACHEEVENTLOG_H
