// Events under a virtual clock, for tests of several processes in one.

#ifndef CORNELSHED_TEST_EVENTQUEUE_H
#define CORNELSHED_TEST_EVENTQUEUE_H

#include "types.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

namespace cornelshed::testing {

class EventQueue
{
public:
    Instant now() const { return m_now; }

    // Events of the same instant run in the order in which they were added.
    void after(Duration delay, std::function<void()> run)
    {
        m_events.push({m_now + std::max(delay, Duration(0)), ++m_order, std::move(run)});
    }

    void runFor(Duration duration)
    {
        const Instant end = m_now + duration;
        while (!m_events.empty() && m_events.top().at <= end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.run();
        }
        m_now = end;
    }

private:
    struct Event
    {
        Instant at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order); // earliest on top
        }
    };

    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    Instant m_now {};
};

} // namespace cornelshed::testing

#endif // CORNELSHED_TEST_EVENTQUEUE_H
