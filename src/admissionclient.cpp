// Exchange of admission messages between a gateway and the agents.

#include "admissionclient.h"

#include "admissionsocket.h"
#include "monotonicclock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <unordered_map>

namespace cornelshed {

namespace asio = boost::asio;

namespace {

using namespace std::chrono_literals;

// Several renewals fit into the term of a lease, so that a few may be lost.
constexpr Duration renewalInterval = 150ms;
// Every so many renewals, a message is sent to the hosts of all backend servers, to find out which
// of them run an agent.
constexpr std::uint64_t renewalsPerDiscovery = 7;

} // namespace

class AdmissionClient::Private : public std::enable_shared_from_this<Private>
{
public:
    using Endpoint = detail::AdmissionSocket::Endpoint;

    Private(asio::io_context &ioContext, DirectScheduler &directScheduler,
            std::uint64_t gatewayIncarnation, std::uint16_t port,
            std::function<void()> grantCallback)
        : context(ioContext), scheduler(directScheduler), incarnation(gatewayIncarnation),
          agentPort(port), onGranted(std::move(grantCallback)), timer(ioContext)
    { }

    void send(const std::string &backend, const AdmissionMessage &message)
    {
        const auto endpoint = agentEndpoints.find(backend);
        if (endpoint != agentEndpoints.end() && socket)
            socket->send(message, endpoint->second);
    }

    void receive(const AdmissionMessage &message, const Endpoint &sender)
    {
        const auto backend = backendIdByAddress.find(sender.address().to_string());
        if (backend == backendIdByAddress.end())
            return;
        const Instant now = monotonicNow();
        if (const auto *grant = std::get_if<SlotGranted>(&message)) {
            if (grant->key.gateway != incarnation)
                return;
            scheduler.slotGranted({incarnation, grant->key.sequence}, backend->second, now);
            onGranted();
        } else if (const auto *queued = std::get_if<SlotQueued>(&message)) {
            if (queued->key.gateway == incarnation)
                scheduler.slotRequestQueued({incarnation, queued->key.sequence}, backend->second,
                                            queued->ahead, now);
        } else if (std::holds_alternative<AgentPresent>(message)) {
            scheduler.agentResponded(backend->second, now);
        }
    }

    // Renews the leases of running requests and, every renewalsPerDiscovery calls, looks for agents
    // on all hosts. Schedules its next call.
    void renewAndDiscover()
    {
        const auto running = scheduler.runningByBackend();
        const bool discover = ++renewalCount % renewalsPerDiscovery == 0;
        for (const auto &[id, endpoint] : agentEndpoints) {
            const auto it = running.find(id);
            if (it == running.end() && !discover)
                continue;
            SlotRenewal renewal {incarnation, {}};
            if (it != running.end()) {
                for (const RequestId &request : it->second)
                    renewal.sequences.push_back(request.sequence);
            }
            socket->send(renewal, endpoint);
        }
        timer.expires_after(renewalInterval);
        timer.async_wait([weak = weak_from_this()](auto ec) {
            const auto self = weak.lock();
            if (!ec && self)
                self->renewAndDiscover();
        });
    }

    asio::io_context &context;
    DirectScheduler &scheduler;
    std::uint64_t incarnation;
    std::uint16_t agentPort;
    std::function<void()> onGranted;
    asio::steady_timer timer;
    std::shared_ptr<detail::AdmissionSocket> socket;                 // null until open() succeeds
    std::map<std::string, Endpoint> agentEndpoints;                  // by id of the backend server
    std::unordered_map<std::string, std::string> backendIdByAddress; // by IP address of the host
    std::uint64_t renewalCount = 0;
};

AdmissionClient::AdmissionClient(asio::io_context &context, DirectScheduler &scheduler,
                                 std::uint64_t gatewayIncarnation, std::uint16_t agentPort,
                                 std::function<void()> onGranted)
    : d(std::make_shared<Private>(context, scheduler, gatewayIncarnation, agentPort,
                                  std::move(onGranted)))
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
    d->agentEndpoints.clear();
    d->backendIdByAddress.clear();
    for (const BackendRecord &it : backends) {
        boost::system::error_code ec;
        const auto address = asio::ip::make_address(it.address, ec);
        if (ec || d->agentPort == 0)
            continue;
        d->agentEndpoints[it.id] = {address, d->agentPort};
        d->backendIdByAddress[it.address] = it.id;
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
                         action.request.waitUntil - now});
}

void AdmissionClient::release(const ReleaseSlotAction &action)
{
    d->send(action.backend, SlotRelease {{d->incarnation, action.request.sequence}});
}

} // namespace cornelshed
