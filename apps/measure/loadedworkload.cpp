// Requests and counts of the deployment under load, and its bound: one queue for all servers.

#include "eventqueue.h"
#include "loadedfleet.h"

#include <cmath>
#include <set>

namespace cornelshed::measure {

namespace {

Duration durationOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

double uniform(SeededRandom &random)
{
    return static_cast<double>(random.next() >> 11U) * 0x1.0p-53;
}

} // namespace

std::vector<LoadedRequest> loadedRequests(const LoadedScenario &scenario, std::uint64_t seed)
{
    SeededRandom random(seed);
    double slotSeconds = 0; // of a request, on average
    for (const LoadedKind &it : scenario.kinds)
        slotSeconds += it.share * it.serviceSeconds;
    const double perSecond = scenario.load * scenario.servers * scenario.slots / slotSeconds;
    std::vector<LoadedRequest> requests;
    Instant now {};
    while (true) {
        now += durationOf(-std::log(1 - uniform(random)) / perSecond);
        if (now >= Instant(scenario.length))
            return requests;
        double share = uniform(random);
        std::size_t rank = 0;
        while (rank + 1 < scenario.kinds.size() && share >= scenario.kinds[rank].share)
            share -= scenario.kinds[rank++].share;
        const double seconds = scenario.kinds[rank].serviceSeconds * (0.6 + 0.8 * uniform(random));
        requests.push_back({now, static_cast<std::uint32_t>(random.next() % scenario.gateways),
                            rank, durationOf(seconds)});
    }
}

void LoadedCounts::record(const LoadedScenario &scenario, const LoadedRequest &request,
                          bool servedInTime)
{
    if (request.arrival < Instant(scenario.warmUp))
        return;
    ++requests[request.rank];
    inTime[request.rank] += servedInTime ? 1 : 0;
}

double LoadedCounts::share(std::size_t rank) const
{
    return requests[rank] == 0
            ? 1
            : static_cast<double>(inTime[rank]) / static_cast<double>(requests[rank]);
}

double LoadedCounts::share() const
{
    std::uint64_t all = 0;
    std::uint64_t served = 0;
    for (std::size_t rank = 0; rank < loadedRankCount; ++rank) {
        all += requests[rank];
        served += inTime[rank];
    }
    return all == 0 ? 1 : static_cast<double>(served) / static_cast<double>(all);
}

namespace {

// The slots of all servers as one pool. Requests that hold slots of crashing servers are cut off:
// each slot has a number, and the first ones crash.
class OneQueue
{
public:
    OneQueue(const LoadedScenario &scenario, std::uint64_t seed)
        : m_scenario(scenario), m_requests(loadedRequests(scenario, seed)),
          m_failingSlots(std::size_t {scenario.failingServers} * scenario.slots),
          m_slots(std::size_t {scenario.servers} * scenario.slots)
    {
        // Those of the servers that crash are used last until then, so that this is a bound.
        for (std::size_t n = 0; n < m_slots.size(); ++n)
            m_free.insert(m_slots.size() - 1 - n);
    }

    LoadedCounts run()
    {
        for (std::size_t n = 0; n < m_requests.size(); ++n) {
            m_events.at(m_requests[n].arrival, [this, n] {
                m_queue.emplace(m_requests[n].rank, n);
                serve();
            });
        }
        m_events.at(Instant(m_scenario.failAt), [this] { crash(); });
        m_events.at(Instant(m_scenario.failAt + m_scenario.failFor), [this] {
            for (std::size_t n = 0; n < m_failingSlots; ++n)
                m_free.insert(n);
            serve();
        });
        m_events.runUntil(Instant(m_scenario.length + std::chrono::seconds(5)));
        LoadedCounts counts;
        for (std::size_t n = 0; n < m_requests.size(); ++n)
            counts.record(m_scenario, m_requests[n], m_inTime.contains(n));
        return counts;
    }

private:
    static constexpr std::size_t noRequest = SIZE_MAX;

    struct Slot
    {
        std::size_t request = noRequest;
    };

    void crash()
    {
        for (std::size_t n = 0; n < m_failingSlots; ++n) {
            m_slots[n].request = noRequest;
            m_free.erase(n);
        }
    }

    void serve()
    {
        while (!m_free.empty() && !m_queue.empty()) {
            const std::size_t request = m_queue.begin()->second;
            m_queue.erase(m_queue.begin());
            const LoadedKind &kind = m_scenario.kinds[m_requests[request].rank];
            const Instant latest = m_requests[request].arrival
                    + durationOf(kind.objectiveSeconds - kind.firstEventSeconds);
            if (m_events.now() > latest)
                continue;
            const auto last = std::prev(m_free.end());
            const std::size_t slot = *last;
            m_free.erase(last);
            m_slots[slot].request = request;
            m_events.after(m_requests[request].service, [this, slot, request] {
                if (m_slots[slot].request != request)
                    return;
                m_slots[slot].request = noRequest;
                m_inTime.insert(request);
                m_free.insert(slot);
                serve();
            });
        }
    }

    LoadedScenario m_scenario;
    EventQueue m_events;
    std::vector<LoadedRequest> m_requests;
    std::size_t m_failingSlots;
    std::vector<Slot> m_slots;
    std::set<std::size_t> m_free;
    std::set<std::pair<std::size_t, std::size_t>> m_queue; // rank, request
    std::set<std::size_t> m_inTime;
};

} // namespace

LoadedCounts runOneQueue(const LoadedScenario &scenario, std::uint64_t seed)
{
    return OneQueue(scenario, seed).run();
}

} // namespace cornelshed::measure
