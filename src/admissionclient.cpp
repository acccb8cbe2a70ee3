// Exchange of admission messages between a gateway and the agents.

#include "admissionclient.h"

#include "admissionsocket.h"
#include "monotonicclock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>

namespace cornelshed {

namespace asio = boost::asio;

namespace {

using namespace std::chrono_literals;

// Several renewals fit into the term of a lease, so that a few may be lost.
constexpr Duration renewalInterval = 150ms;
// A host from which no agent has been heard for this time gets an empty renewal, which an agent
// answers. Shorter than the time after which an agent counts as absent (see backendliveness.cpp).
constexpr Duration discoveryAge = 3s;
// Time between two empty renewals to the same host.
constexpr Duration discoveryInterval = 1s;
// At most one host in this many, but minDiscoveries in any case, gets an empty renewal at once, so
// that in a large fleet they do not delay other messages.
constexpr std::size_t discoveryShareDivisor = 16;
constexpr std::size_t minDiscoveries = 4;

} // namespace

class AdmissionClient::Private : public std::enable_shared_from_this<Private>
{
public:
    using Endpoint = detail::AdmissionSocket::Endpoint;

    Private(asio::io_context &ioContext, DirectScheduler &directScheduler,
            std::uint64_t gatewayIncarnation, std::uint16_t port,
            std::function<void()> actionsDueCallback)
        : context(ioContext), scheduler(directScheduler), incarnation(gatewayIncarnation),
          agentPort(port), onActionsDue(std::move(actionsDueCallback)), timer(ioContext)
    { }

    struct Agent
    {
        Endpoint endpoint;
        Instant heardAt = Instant::min();
        Instant discoveryAt = Instant::min(); // of the last empty renewal
    };

    void send(const std::string &backend, const AdmissionMessage &message)
    {
        const auto agent = agents.find(backend);
        if (agent != agents.end() && socket)
            socket->send(message, agent->second.endpoint);
    }

    void receive(const AdmissionMessage &message, const Endpoint &sender)
    {
        const auto backend = backendIdByAddress.find(sender.address().to_string());
        if (backend == backendIdByAddress.end())
            return;
        const Instant now = monotonicNow();
        if (const auto agent = agents.find(backend->second); agent != agents.end())
            agent->second.heardAt = now;
        if (const auto *grant = std::get_if<SlotGranted>(&message)) {
            if (grant->key.gateway != incarnation)
                return;
            scheduler.slotGranted({incarnation, grant->key.sequence}, backend->second, now);
            onActionsDue();
        } else if (const auto *queued = std::get_if<SlotQueued>(&message)) {
            if (queued->key.gateway == incarnation
                && scheduler.slotRequestQueued({incarnation, queued->key.sequence}, backend->second,
                                               queued->ahead, now, queued->serverDown))
                onActionsDue();
        } else if (std::holds_alternative<AgentPresent>(message)) {
            scheduler.agentResponded(backend->second, now);
        }
    }

    // Renews the leases of running requests and looks for agents. Schedules its next call.
    void renewAndDiscover()
    {
        const Instant now = monotonicNow();
        const auto running = scheduler.runningByBackend();
        std::vector<Agent *> due;
        for (auto &[id, agent] : agents) {
            const auto it = running.find(id);
            if (it != running.end()) {
                SlotRenewal renewal {incarnation, {}};
                for (const RequestId &request : it->second)
                    renewal.sequences.push_back(request.sequence);
                socket->send(renewal, agent.endpoint);
            } else if (isDiscoveryDue(agent, now)) {
                due.push_back(&agent);
            }
        }
        // The longest untried first, so that hosts without an agent do not keep others waiting.
        std::stable_sort(due.begin(), due.end(), [](const Agent *a, const Agent *b) {
            return a->discoveryAt < b->discoveryAt;
        });
        due.resize(std::min(due.size(),
                            std::max(minDiscoveries, agents.size() / discoveryShareDivisor)));
        for (Agent *it : due)
            discover(*it, now);
        timer.expires_after(renewalInterval);
        timer.async_wait([weak = weak_from_this()](auto ec) {
            const auto self = weak.lock();
            if (!ec && self)
                self->renewAndDiscover();
        });
    }

    static bool isDiscoveryDue(const Agent &agent, Instant now)
    {
        const auto isOlder = [now](Instant at, Duration age) {
            return at == Instant::min() || now - at >= age;
        };
        return isOlder(agent.heardAt, discoveryAge)
                && isOlder(agent.discoveryAt, discoveryInterval);
    }

    void discover(Agent &agent, Instant now)
    {
        agent.discoveryAt = now;
        socket->send(SlotRenewal {incarnation, {}}, agent.endpoint);
    }

    asio::io_context &context;
    DirectScheduler &scheduler;
    std::uint64_t incarnation;
    std::uint16_t agentPort;
    std::function<void()> onActionsDue;
    asio::steady_timer timer;
    std::shared_ptr<detail::AdmissionSocket> socket;                 // null until open() succeeds
    std::map<std::string, Agent> agents;                             // by id of the backend server
    std::unordered_map<std::string, std::string> backendIdByAddress; // by IP address of the host
};

AdmissionClient::AdmissionClient(asio::io_context &context, DirectScheduler &scheduler,
                                 std::uint64_t gatewayIncarnation, std::uint16_t agentPort,
                                 std::function<void()> onActionsDue)
    : d(std::make_shared<Private>(context, scheduler, gatewayIncarnation, agentPort,
                                  std::move(onActionsDue)))
{ }

AdmissionClient::~AdmissionClient()
{
    d->timer.cancel();
    if (d->socket)
        d->socket->close();
}

std::optional<std::string> AdmissionClient::open(const std::string &address, std::uint16_t port)
{
    const std::weak_ptr<Private> weak = d;
    d->socket = std::make_shared<detail::AdmissionSocket>(
            d->context, [weak](const AdmissionMessage &message, const Private::Endpoint &sender) {
                if (const auto self = weak.lock())
                    self->receive(message, sender);
            });
    if (auto problem = d->socket->open(address, port)) {
        d->socket = nullptr;
        return problem;
    }
    d->renewAndDiscover();
    return std::nullopt;
}

void AdmissionClient::setBackends(const std::vector<BackendRecord> &backends)
{
    const Instant now = monotonicNow();
    const auto previous = std::exchange(d->agents, {});
    d->backendIdByAddress.clear();
    for (const BackendRecord &it : backends) {
        boost::system::error_code ec;
        const auto address = asio::ip::make_address(it.address, ec);
        if (ec || d->agentPort == 0)
            continue;
        Private::Agent &agent = d->agents[it.id];
        const auto known = previous.find(it.id);
        if (known != previous.end())
            agent = known->second;
        agent.endpoint = {address, d->agentPort};
        d->backendIdByAddress[it.address] = it.id;
        // A gateway that has just started must learn at once which servers have agents: without
        // their grants it would start requests on servers that others have filled.
        if (known == previous.end() && d->socket)
            d->discover(agent, now);
    }
}

void AdmissionClient::requestSlot(const RequestSlotAction &action, Instant now)
{
    d->send(action.backend.id,
            SlotRequest {{d->incarnation, action.request.id.sequence},
                         action.request.order,
                         action.request.reservedSlots,
                         action.backend.slots,
                         action.coldRate,
                         action.request.waitUntil - now,
                         action.coldRestartLimit,
                         action.namedLimit});
}

void AdmissionClient::release(const ReleaseSlotAction &action)
{
    d->send(action.backend,
            SlotRelease {
                    {d->incarnation, action.request.sequence}, action.unused, action.serverDown});
}

} // namespace cornelshed
