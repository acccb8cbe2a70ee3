// The gateways, agents and servers of the deployment under load.

#include "loadedfleet.h"

#include "directscheduler.h"
#include "eventqueue.h"
#include "slotallocator.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace cornelshed::measure {

namespace {

using namespace std::chrono_literals;

// As in gateway.cpp: the part of the objective that a request waits for a slot.
constexpr double waitShare = 0.75;
// As in admissionclient.cpp.
constexpr Duration renewalInterval = 150ms;
// As in gateway.cpp, while requests wait, and in admissionagent.cpp.
constexpr Duration pollInterval = 10ms;
// Attempts of a request whose connections are refused.
constexpr int attemptLimit = 3;

Duration durationOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

class LoadedFleet
{
public:
    LoadedFleet(const LoadedScenario &scenario, const DirectSettings &settings, std::uint64_t seed)
        : m_scenario(scenario), m_requests(loadedRequests(scenario, seed)),
          m_servers(scenario.servers)
    {
        for (std::uint32_t n = 0; n < scenario.servers; ++n) {
            m_allocators.emplace_back(m_events.now());
            m_indexOf[idOf(n)] = n;
        }
        for (std::uint32_t n = 0; n < scenario.gateways; ++n) {
            DirectSettings own = settings;
            own.availabilityZone = zoneOf(n);
            m_gateways.push_back({std::make_unique<DirectScheduler>(own), false, {}});
            m_gateways.back().scheduler->setGateways(scenario.gateways, n);
        }
    }

    LoadedCounts run()
    {
        list(true);
        for (std::uint32_t n = 0; n < m_scenario.gateways; ++n) {
            m_events.at(phaseOf(m_scenario.reportInterval, n), [this, n] { report(n); });
            m_events.at(phaseOf(renewalInterval, n), [this, n] { renew(n); });
        }
        m_states.resize(m_requests.size());
        for (std::size_t n = 0; n < m_requests.size(); ++n)
            m_events.at(m_requests[n].arrival, [this, n] { submit(n); });
        m_events.at(Instant(m_scenario.failAt), [this] { crash(); });
        m_events.at(Instant(m_scenario.failAt + m_scenario.unlistedAfter), [this] { list(false); });
        m_events.at(Instant(m_scenario.failAt + m_scenario.failFor), [this] {
            for (Server &it : m_servers)
                it.down = false;
            list(true);
        });
        m_events.runUntil(Instant(m_scenario.length + 5s));
        for (std::size_t n = 0; n < m_requests.size(); ++n)
            m_counts.record(m_scenario, m_requests[n], m_states[n].inTime);
        return m_counts;
    }

private:
    struct Gateway
    {
        std::unique_ptr<DirectScheduler> scheduler;
        bool polls = false;                             // while requests wait
        std::map<std::uint64_t, std::size_t> requestOf; // by sequence of its place in the queue
    };
    struct Server
    {
        bool down = false;
        std::map<RequestId, std::uint64_t> running; // with the number of the start
    };
    struct RequestState
    {
        bool inTime = false;
        int attempts = 1;
        std::set<std::string> excluded;
    };

    static std::string idOf(std::uint32_t server) { return "server-" + std::to_string(server); }

    std::string zoneOf(std::uint32_t n) const { return std::to_string(n % m_scenario.zones); }

    Instant phaseOf(Duration interval, std::uint32_t gateway) const
    {
        return Instant(interval * gateway / m_scenario.gateways);
    }

    // Crashing servers are spread over the zones.
    bool mayCrash(std::uint32_t server) const { return server < m_scenario.failingServers; }

    // The messages of a gateway and an agent to each other.
    void send(EventQueue::Action action)
    {
        m_events.after(m_scenario.messageDelay, std::move(action));
    }

    // Gateways ask the host of each server that is new in the list for its agent.
    void list(bool all)
    {
        std::vector<BackendRecord> records;
        for (std::uint32_t n = 0; n < m_scenario.servers; ++n) {
            if (!all && mayCrash(n))
                continue;
            BackendRecord record;
            record.id = idOf(n);
            record.service = "model";
            record.address = "10.0.0." + std::to_string(n);
            record.port = 80;
            record.availabilityZone = zoneOf(n);
            record.slots = m_scenario.slots;
            records.push_back(record);
        }
        for (std::uint32_t n = 0; n < m_scenario.gateways; ++n) {
            m_gateways[n].scheduler->setBackends(records, {}, m_events.now());
            for (const BackendRecord &it : records) {
                m_events.after(2 * m_scenario.messageDelay, [this, n, id = it.id] {
                    m_gateways[n].scheduler->agentResponded(id, m_events.now());
                });
            }
            advance(n);
        }
    }

    void crash()
    {
        for (std::uint32_t n = 0; n < m_scenario.servers; ++n) {
            if (!mayCrash(n))
                continue;
            m_servers[n].down = true;
            const auto broken = std::move(m_servers[n].running);
            m_servers[n].running.clear();
            for (const auto &it : broken)
                send([this, id = it.first] { end(id, AttemptOutcome::Broken, false); });
        }
    }

    void report(std::uint32_t sender)
    {
        const auto loads = m_gateways[sender].scheduler->ownLoads(m_events.now());
        send([this, sender, loads] {
            for (std::uint32_t n = 0; n < m_scenario.gateways; ++n) {
                if (n != sender)
                    m_gateways[n].scheduler->peerReport(sender, loads, m_events.now());
            }
        });
        m_events.after(m_scenario.reportInterval, [this, sender] { report(sender); });
    }

    void renew(std::uint32_t gateway)
    {
        for (const auto &[backend, ids] : m_gateways[gateway].scheduler->runningByBackend()) {
            std::vector<std::uint64_t> sequences;
            for (const RequestId &it : ids)
                sequences.push_back(it.sequence);
            send([this, gateway, sequences, server = m_indexOf[backend]] {
                m_allocators[server].renew(gateway + 1, sequences, m_events.now());
                sendGrants(server);
            });
        }
        m_events.after(renewalInterval, [this, gateway] { renew(gateway); });
    }

    void submit(std::size_t index)
    {
        const LoadedRequest &arrived = m_requests[index];
        Gateway &gateway = m_gateways[arrived.gateway];
        RequestState &state = m_states[index];
        const std::uint64_t sequence = ++m_sequence;
        gateway.requestOf[sequence] = index;
        DirectRequest request;
        request.id = {arrived.gateway + 1, sequence};
        request.service = "model";
        request.order = arrived.rank;
        request.isRetry = state.attempts > 1;
        request.reservedSlots = request.isRetry
                ? 0
                : std::min<std::uint32_t>(static_cast<std::uint32_t>(arrived.rank), 1);
        request.arrivedAt = m_events.now();
        const LoadedKind &kind = m_scenario.kinds[arrived.rank];
        request.waitUntil = m_events.now() + durationOf(waitShare * kind.objectiveSeconds);
        request.promptTokens = static_cast<std::uint64_t>(kind.firstEventSeconds * 112000);
        request.excluded = state.excluded;
        gateway.scheduler->add(std::move(request));
        advance(arrived.gateway);
    }

    void advance(std::uint32_t gateway)
    {
        DirectScheduler &scheduler = *m_gateways[gateway].scheduler;
        for (const DirectAction &it : scheduler.advance(m_events.now())) {
            if (const auto *started = std::get_if<StartAction>(&it))
                start(*started);
            else if (const auto *asked = std::get_if<RequestSlotAction>(&it))
                send([this, action = *asked] { requestSlot(action); });
            else if (const auto *released = std::get_if<ReleaseSlotAction>(&it))
                send([this, action = *released] { release(action); });
            else if (const auto *refused = std::get_if<RefuseAction>(&it))
                m_gateways[gateway].requestOf.erase(refused->request.sequence);
        }
        if (scheduler.waiting() == 0 || m_gateways[gateway].polls)
            return;
        m_gateways[gateway].polls = true;
        m_events.after(pollInterval, [this, gateway] {
            m_gateways[gateway].polls = false;
            advance(gateway);
        });
    }

    static SlotKey keyOf(const RequestId &id) { return {id.entryIncarnation, id.sequence}; }

    void requestSlot(const RequestSlotAction &action)
    {
        const std::uint32_t server = m_indexOf[action.backend.id];
        SlotAllocator &allocator = m_allocators[server];
        const RequestId id = action.request.id;
        allocator.requestSlot({keyOf(id), action.request.order, action.request.reservedSlots,
                               action.backend.slots, 0, action.request.waitUntil - m_events.now()},
                              m_events.now());
        sendGrants(server);
        if (!allocator.isQueued(keyOf(id)))
            return;
        send([this, id, server, ahead = allocator.ahead(keyOf(id)),
              down = allocator.isServerDown()] {
            if (schedulerOf(id).slotRequestQueued(id, idOf(server), ahead, m_events.now(), down))
                advance(gatewayOf(id));
        });
    }

    // As in admissionagent.cpp.
    void release(const ReleaseSlotAction &action)
    {
        const std::uint32_t server = m_indexOf[action.backend];
        const SlotKey key = keyOf(action.request);
        m_allocators[server].release(key, action.unused);
        if (action.serverDown)
            m_allocators[server].serverRefused(key, m_events.now());
        else if (!action.unused)
            m_allocators[server].serverResponded(key);
        sendGrants(server);
    }

    void sendGrants(std::uint32_t server)
    {
        SlotAllocator &allocator = m_allocators[server];
        for (const SlotKey &key : allocator.advance(m_events.now())) {
            const RequestId id {key.gateway, key.sequence};
            send([this, id, server] {
                schedulerOf(id).slotGranted(id, idOf(server), m_events.now());
                advance(gatewayOf(id));
            });
        }
        if (allocator.waiting() > 0 && m_checked.insert(server).second) {
            m_events.after(5ms, [this, server] {
                m_checked.erase(server);
                sendGrants(server);
            });
        }
    }

    static std::uint32_t gatewayOf(const RequestId &id)
    {
        return static_cast<std::uint32_t>(id.entryIncarnation - 1);
    }

    DirectScheduler &schedulerOf(const RequestId &id)
    {
        return *m_gateways[gatewayOf(id)].scheduler;
    }

    std::size_t indexOf(const RequestId &id)
    {
        return m_gateways[gatewayOf(id)].requestOf.at(id.sequence);
    }

    void start(const StartAction &action)
    {
        const RequestId id = action.request;
        const std::uint32_t server = m_indexOf[action.backend];
        const std::size_t index = indexOf(id);
        const LoadedRequest &request = m_requests[index];
        const LoadedKind &kind = m_scenario.kinds[request.rank];
        if (m_servers[server].down) {
            ++m_counts.refusedConnections;
            m_states[index].excluded.insert(action.backend);
            m_events.after(2 * m_scenario.messageDelay,
                           [this, id] { end(id, AttemptOutcome::Broken, true); });
            return;
        }
        auto &running = m_servers[server].running;
        running.emplace(id, ++m_startCount);
        m_counts.maxRunning = std::max<std::uint64_t>(m_counts.maxRunning, running.size());
        // One beyond the slots waits at the server; on average, the next slot is free after this
        // time.
        const double waitFor = running.size() <= m_scenario.slots ? 0
                                                                  : kind.serviceSeconds
                        * static_cast<double>(running.size() - m_scenario.slots) / m_scenario.slots;
        const Duration toFirst = durationOf(waitFor + kind.firstEventSeconds);
        const auto ifRunning = [this, id, server, n = m_startCount](auto action) {
            return [this, id, server, n, action] {
                const auto it = m_servers[server].running.find(id);
                if (it != m_servers[server].running.end() && it->second == n)
                    action();
            };
        };
        m_events.after(toFirst, ifRunning([this, id] {
                           schedulerOf(id).firstEvent(id, m_events.now());
                           m_firstEvents[id] = m_events.now();
                       }));
        m_events.after(durationOf(waitFor) + request.service, ifRunning([this, id, server] {
                           m_servers[server].running.erase(id);
                           end(id, AttemptOutcome::Answered, false);
                       }));
    }

    void end(const RequestId &id, AttemptOutcome outcome, bool connectionRefused)
    {
        const std::size_t index = indexOf(id);
        const LoadedRequest &request = m_requests[index];
        RequestState &state = m_states[index];
        AttemptReport report {outcome, request.service, {}};
        report.connectionRefused = connectionRefused;
        schedulerOf(id).ended(id, report, m_events.now());
        m_gateways[gatewayOf(id)].requestOf.erase(id.sequence);
        const auto first = m_firstEvents.find(id);
        const Duration objective = durationOf(m_scenario.kinds[request.rank].objectiveSeconds);
        if (first != m_firstEvents.end()) {
            state.inTime = outcome == AttemptOutcome::Answered
                    && first->second <= request.arrival + objective;
            m_firstEvents.erase(first);
        }
        // A request whose connection was refused has not run.
        if (connectionRefused && state.attempts++ < attemptLimit)
            submit(index);
        advance(gatewayOf(id));
    }

    LoadedScenario m_scenario;
    EventQueue m_events;
    std::vector<LoadedRequest> m_requests;
    std::vector<RequestState> m_states; // by index of the request
    std::vector<Gateway> m_gateways;
    std::vector<Server> m_servers;
    std::vector<SlotAllocator> m_allocators; // by server
    std::map<std::string, std::uint32_t> m_indexOf;
    std::map<RequestId, Instant> m_firstEvents; // of running requests
    std::set<std::uint32_t> m_checked;          // servers whose allocator will be advanced
    std::uint64_t m_sequence = 0;
    std::uint64_t m_startCount = 0;
    LoadedCounts m_counts;
};

} // namespace

LoadedCounts runLoadedFleet(const LoadedScenario &scenario, const DirectSettings &settings,
                            std::uint64_t seed)
{
    return LoadedFleet(scenario, settings, seed).run();
}

} // namespace cornelshed::measure
