// Guards against requests that wait at the agent of a crashed server while others have free slots,
// and against servers that stay unused after they are back. Gateways, agents and servers in virtual
// time.

#include "directscheduler.h"
#include "slotallocator.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace cornelshed;
using namespace std::chrono_literals;

namespace {

const Instant start {1h};
constexpr Duration messageDelay = 1ms;
constexpr Duration serviceTime = 60ms;
constexpr Duration reportInterval = 20ms;
// Of slotallocator.cpp and directscheduler.cpp.
constexpr Duration longestProbeDelay = 400ms;
constexpr Duration refusedBackoff = 200ms;
// The slot request, the grant, and the steps of the model in which they are handled.
constexpr Duration messageAllowance = 10ms;

struct FleetSettings
{
    std::uint32_t gateways = 9;
    std::uint32_t servers = 8;
    bool agentsSayDown = true; // older agents do not
};

class Fleet
{
public:
    explicit Fleet(const FleetSettings &settings) : m_settings(settings)
    {
        std::vector<BackendRecord> records;
        for (std::uint32_t n = 0; n < settings.servers; ++n) {
            BackendRecord record;
            record.id = std::to_string(n);
            record.service = "writer";
            record.address = "10.0.0.1";
            record.port = 80;
            record.availabilityZone = "a";
            record.slots = 7;
            records.push_back(record);
            m_servers.emplace(record.id, Server {SlotAllocator(start - 1s), false, {}, {}});
        }
        for (std::uint32_t n = 0; n < settings.gateways; ++n) {
            m_gateways.push_back(
                    std::make_unique<DirectScheduler>(DirectSettings {"a", 38000, 1.5, 5, true}));
            m_gateways.back()->setGateways(settings.gateways, n);
            m_gateways.back()->setBackends(records, {{"writer", 0}}, start);
            for (const BackendRecord &it : records)
                m_gateways.back()->agentResponded(it.id, start);
        }
    }

    // Each gateway adds a request in each interval, at its own phase.
    void run(Duration length, Duration interval)
    {
        for (const Instant end = now + length; now < end; now += 1ms) {
            for (std::uint32_t n = 0; n < m_settings.gateways; ++n) {
                const Duration phase = interval * n / m_settings.gateways;
                if ((now - start) / 1ms % (interval / 1ms) == phase / 1ms)
                    add(n, {});
            }
            step();
        }
    }

    // The servers whose number is below the count crash.
    void crash(std::uint32_t count)
    {
        for (std::uint32_t n = 0; n < count; ++n) {
            Server &server = m_servers.at(std::to_string(n));
            server.down = true;
            server.returnedAt.reset();
            for (const RequestId &id : std::exchange(server.running, {}))
                later(messageDelay, [this, id] { end(id, AttemptOutcome::Broken, false); });
        }
    }

    void bringBack()
    {
        for (auto &[id, server] : m_servers) {
            if (std::exchange(server.down, false))
                server.returnedAt = now;
        }
    }

    // Time from the return of the servers until a request ran on the last of them; nothing if one
    // was not found.
    std::optional<Duration> longestUnused() const
    {
        Duration longest {};
        for (const auto &[id, server] : m_servers) {
            if (server.returnedAt && !server.foundAfter)
                return std::nullopt;
            longest = std::max(longest, server.foundAfter.value_or(Duration::zero()));
        }
        return longest;
    }

    bool anyServerDown() const
    {
        return std::any_of(m_servers.begin(), m_servers.end(),
                           [](const auto &it) { return it.second.allocator.isServerDown(); });
    }

    std::size_t waitingAt(std::uint32_t server) const
    {
        return m_servers.at(std::to_string(server)).allocator.waiting();
    }

    Instant now = start;
    Duration longestWait {}; // of the requests that started on a server that was not down
    std::size_t refusals = 0;

private:
    struct Server
    {
        SlotAllocator allocator;
        bool down = false;
        std::set<RequestId> running;
        std::optional<Instant> returnedAt;
        std::optional<Duration> foundAfter {};
    };
    struct Request
    {
        Instant arrivedAt {};
        std::set<std::string> excluded;
    };

    void later(Duration delay, std::function<void()> action)
    {
        m_events.emplace(now + delay, std::move(action));
    }

    void step()
    {
        while (!m_events.empty() && m_events.begin()->first <= now) {
            const auto action = m_events.begin()->second;
            m_events.erase(m_events.begin());
            action();
        }
        if ((now - start) % reportInterval == Duration::zero())
            report();
        for (const auto &gateway : m_gateways) {
            for (const DirectAction &it : gateway->advance(now))
                perform(it);
        }
        for (auto &[id, server] : m_servers) {
            std::map<std::uint64_t, std::vector<std::uint64_t>> held;
            for (const RequestId &it : server.running)
                held[it.entryIncarnation].push_back(it.sequence);
            for (const auto &[gateway, sequences] : held)
                server.allocator.renew(gateway, sequences, now);
            sendGrants(id);
        }
    }

    // The reports show that crashed servers run nothing.
    void report()
    {
        for (std::size_t sender = 0; sender < m_gateways.size(); ++sender) {
            const auto loads = m_gateways[sender]->ownLoads(now);
            for (std::size_t n = 0; n < m_gateways.size(); ++n) {
                if (n != sender)
                    m_gateways[n]->peerReport(sender, loads, now);
            }
        }
    }

    void add(std::uint32_t gateway, Request state, bool isRetry = false)
    {
        if (!isRetry)
            state.arrivedAt = now;
        DirectRequest request;
        request.id = {gateway + 1, ++m_sequence};
        request.service = "writer";
        request.arrivedAt = now;
        request.waitUntil = now + 10s;
        request.promptTokens = 1000;
        request.excluded = state.excluded;
        request.isRetry = isRetry;
        m_requests[request.id] = state;
        m_gateways[gateway]->add(std::move(request));
    }

    void perform(const DirectAction &action)
    {
        if (const auto *started = std::get_if<StartAction>(&action))
            begin(*started);
        else if (const auto *asked = std::get_if<RequestSlotAction>(&action))
            later(messageDelay, [this, it = *asked] { requestSlot(it); });
        else if (const auto *released = std::get_if<ReleaseSlotAction>(&action))
            later(messageDelay, [this, it = *released] { release(it); });
    }

    void begin(const StartAction &action)
    {
        const RequestId id = action.request;
        Server &server = m_servers.at(action.backend);
        if (server.down) {
            ++refusals;
            m_requests[id].excluded.insert(action.backend);
            later(2 * messageDelay, [this, id] { end(id, AttemptOutcome::Broken, true); });
            return;
        }
        longestWait = std::max<Duration>(longestWait, now - m_requests[id].arrivedAt);
        if (server.returnedAt && !server.foundAfter)
            server.foundAfter = now - *server.returnedAt;
        server.running.insert(id);
        later(serviceTime, [this, id, backend = action.backend] {
            if (m_servers.at(backend).running.erase(id) > 0)
                end(id, AttemptOutcome::Answered, false);
        });
    }

    void end(const RequestId &id, AttemptOutcome outcome, bool refused)
    {
        const auto gateway = static_cast<std::uint32_t>(id.entryIncarnation - 1);
        AttemptReport report {outcome, serviceTime, {}};
        report.connectionRefused = refused;
        m_gateways[gateway]->ended(id, report, now);
        const Request state = m_requests[id];
        m_requests.erase(id);
        if (refused && state.excluded.size() < m_settings.servers)
            add(gateway, state, true);
    }

    // As in admissionagent.cpp.
    void requestSlot(const RequestSlotAction &action)
    {
        const RequestId id = action.request.id;
        const SlotKey key {id.entryIncarnation, id.sequence};
        SlotAllocator &allocator = m_servers.at(action.backend.id).allocator;
        allocator.requestSlot({key, action.request.order, action.request.reservedSlots,
                               action.backend.slots, 0, action.request.waitUntil - now},
                              now);
        sendGrants(action.backend.id);
        if (!allocator.isQueued(key))
            return;
        const std::uint32_t ahead = allocator.ahead(key);
        const bool down = m_settings.agentsSayDown && allocator.isServerDown();
        later(messageDelay, [this, id, ahead, down, backend = action.backend.id] {
            m_gateways[id.entryIncarnation - 1]->slotRequestQueued(id, backend, ahead, now, down);
        });
    }

    void release(const ReleaseSlotAction &action)
    {
        const SlotKey key {action.request.entryIncarnation, action.request.sequence};
        SlotAllocator &allocator = m_servers.at(action.backend).allocator;
        allocator.release(key, action.unused);
        if (action.serverDown)
            allocator.serverRefused(key, now);
        else if (!action.unused)
            allocator.serverResponded(key);
        sendGrants(action.backend);
    }

    void sendGrants(const std::string &backend)
    {
        for (const SlotKey &key : m_servers.at(backend).allocator.advance(now)) {
            later(messageDelay, [this, key, backend] {
                m_gateways[key.gateway - 1]->slotGranted({key.gateway, key.sequence}, backend, now);
            });
        }
    }

    FleetSettings m_settings;
    std::vector<std::unique_ptr<DirectScheduler>> m_gateways;
    std::map<std::string, Server> m_servers;
    std::multimap<Instant, std::function<void()>> m_events;
    std::map<RequestId, Request> m_requests;
    std::uint64_t m_sequence = 0;
};

} // namespace

// Failure: half of the servers crash. They run nothing, so they seem the least loaded ones, and
// requests waited at their agents although the others had free slots.
TEST_CASE("crashed servers: requests start at once on those that have free slots")
{
    Fleet fleet({27, 14, true});
    fleet.run(500ms, 108ms);
    fleet.crash(7);
    // The first requests after the crash find out about it.
    fleet.run(100ms, 108ms);
    fleet.longestWait = {};
    fleet.run(1500ms, 108ms);
    // Three servers are asked at first and each of the others once; an answer and the next slot
    // request take two messages and a step, and so does a refused connection.
    CHECK(fleet.longestWait / 1ms <= 7 * 2 * 3);
    CHECK(fleet.longestUnused() == Duration::zero());
}

// Failure: no gateway asks the agent of a server that is back, so that no probe finds it.
TEST_CASE("crashed servers: found within the longest probe delay and the backoff of their return")
{
    for (const bool agentsSayDown : {true, false}) {
        for (Duration downFor = 20ms; downFor < 1500ms; downFor += 37ms) {
            CAPTURE(agentsSayDown);
            CAPTURE(downFor / 1ms);
            Fleet fleet({9, 8, agentsSayDown});
            fleet.run(500ms, 12ms);
            fleet.crash(4);
            fleet.run(downFor, 12ms);
            fleet.bringBack();
            fleet.run(longestProbeDelay + refusedBackoff + messageAllowance, 12ms);
            const auto unused = fleet.longestUnused();
            REQUIRE(unused);
            CHECK(*unused <= longestProbeDelay + refusedBackoff + messageAllowance);
            // A request that runs ends the circuit breaker.
            fleet.run(serviceTime + messageAllowance, 12ms);
            CHECK_FALSE(fleet.anyServerDown());
        }
    }
}

// Failure: the probes of a few gateways were refused three times in a row, which ejected the server
// as an outlier for 1 s and more, also after its return.
TEST_CASE("crashed servers: found as fast where only one or two gateways probe them")
{
    for (const std::uint32_t gateways : {1U, 2U}) {
        for (Duration downFor = 20ms; downFor < 3000ms; downFor += 111ms) {
            CAPTURE(gateways);
            CAPTURE(downFor / 1ms);
            Fleet fleet({gateways, 8, true});
            fleet.run(500ms, 4ms);
            fleet.crash(4);
            fleet.run(downFor, 4ms);
            fleet.bringBack();
            fleet.run(longestProbeDelay + refusedBackoff + messageAllowance, 4ms);
            CHECK(fleet.longestUnused());
        }
    }
}

// Failure: all slot requests are withdrawn, and there is no other server whose grants would make
// the gateways look again.
TEST_CASE("crashed servers: the only server of a service is found as fast, and nothing is lost")
{
    for (Duration downFor = 20ms; downFor < 1500ms; downFor += 37ms) {
        CAPTURE(downFor / 1ms);
        Fleet fleet({9, 1, true});
        fleet.run(200ms, 180ms);
        fleet.crash(1);
        fleet.run(downFor, 180ms);
        fleet.bringBack();
        fleet.run(longestProbeDelay + refusedBackoff + messageAllowance, 180ms);
        CHECK(fleet.longestUnused());
    }
}

TEST_CASE("crashed servers: the agent of one keeps no queue of the gateways that heard from it")
{
    Fleet fleet({9, 1, true});
    fleet.run(200ms, 180ms);
    fleet.crash(1);
    fleet.run(400ms, 180ms);
    std::size_t idle = 0;
    for (int n = 0; n < 400; ++n) {
        fleet.run(1ms, 180ms);
        idle += fleet.waitingAt(0) == 0 ? 1 : 0;
    }
    // In 400 ms each of the gateways asks at most three times, and withdraws within two messages
    // and a step of the model.
    CHECK(idle >= 400 - 3 * 9 * 3);
}
