// Virtual clock and event queue of the experiments. Events run in the order of their time, and
// events of the same time in the order in which they were added.

#ifndef CORNELSHED_EVENTQUEUE_H
#define CORNELSHED_EVENTQUEUE_H

#include "types.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <vector>

namespace cornelshed::measure {

class EventQueue
{
public:
    using Action = std::function<void()>;

    Instant now() const { return m_now; }
    bool empty() const { return m_events.empty(); }

    // Schedules the action for the given time, or for now if that time has passed.
    void at(Instant time, Action action)
    {
        m_events.push_back({std::max(time, m_now), m_sequence++, std::move(action)});
        std::push_heap(m_events.begin(), m_events.end(), later);
    }

    void after(Duration delay, Action action) { at(m_now + delay, std::move(action)); }

    void runFor(Duration duration) { runUntil(m_now + duration); }

    // Runs all events up to and including the given time and advances the clock to it.
    void runUntil(Instant end)
    {
        while (!m_events.empty() && m_events.front().time <= end) {
            std::pop_heap(m_events.begin(), m_events.end(), later);
            Event event = std::move(m_events.back());
            m_events.pop_back();
            m_now = event.time;
            event.action();
        }
        m_now = std::max(m_now, end);
    }

private:
    struct Event
    {
        Instant time;
        std::uint64_t sequence = 0;
        Action action;
    };

    static bool later(const Event &a, const Event &b)
    {
        return a.time != b.time ? a.time > b.time : a.sequence > b.sequence;
    }

    std::vector<Event> m_events; // heap with the earliest event at the front
    std::uint64_t m_sequence = 0;
    Instant m_now;
};

} // namespace cornelshed::measure

#endif // CORNELSHED_EVENTQUEUE_H
