// Admission messages of a gateway.

#include "agentlink.h"

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

// Slots held at agents are renewed this often, a few times in a lease; every so many renewals, all
// hosts of backend servers are asked whether an agent is there.
constexpr Duration renewInterval = 150ms;
constexpr std::uint64_t helloRenewals = 7;

} // namespace

class AgentLink::Private : public std::enable_shared_from_this<Private>
{
public:
    using Endpoint = detail::AdmissionSocket::Endpoint;

    Private(asio::io_context &given, DirectScheduler &schedules, std::uint64_t gateway,
            std::uint16_t port, std::function<void()> tell)
        : context(given), scheduler(schedules), incarnation(gateway), agentPort(port),
          granted(std::move(tell)), timer(given)
    { }

    void send(const std::string &backend, const AdmissionMessage &message)
    {
        const auto endpoint = endpoints.find(backend);
        if (endpoint != endpoints.end() && socket)
            socket->send(message, endpoint->second);
    }

    void receive(const AdmissionMessage &message, const Endpoint &sender)
    {
        const auto backend = backendOfHost.find(sender.address().to_string());
        if (backend == backendOfHost.end())
            return;
        const Instant now = monotonicNow();
        if (const auto *grant = std::get_if<SlotGranted>(&message)) {
            if (grant->key.gateway != incarnation)
                return;
            scheduler.granted({incarnation, grant->key.sequence}, backend->second, now);
            granted();
        } else if (const auto *queued = std::get_if<SlotQueued>(&message)) {
            if (queued->key.gateway == incarnation)
                scheduler.queuedAt({incarnation, queued->key.sequence}, backend->second,
                                   queued->ahead, now);
        } else if (std::holds_alternative<AgentPresent>(message)) {
            scheduler.agentHeard(backend->second, now);
        }
    }

    // Renews what runs, and finds out about agents.
    void renew()
    {
        const auto running = scheduler.runningByBackend();
        const bool all = ++renewals % helloRenewals == 0;
        for (const auto &[id, endpoint] : endpoints) {
            const auto it = running.find(id);
            if (it == running.end() && !all)
                continue;
            SlotRenewal renewal {incarnation, {}};
            if (it != running.end()) {
                for (const RequestId &request : it->second)
                    renewal.sequences.push_back(request.sequence);
            }
            socket->send(renewal, endpoint);
        }
        timer.expires_after(renewInterval);
        timer.async_wait([weak = weak_from_this()](auto ec) {
            const auto self = weak.lock();
            if (!ec && self)
                self->renew();
        });
    }

    asio::io_context &context;
    DirectScheduler &scheduler;
    std::uint64_t incarnation;
    std::uint16_t agentPort;
    std::function<void()> granted;
    asio::steady_timer timer;
    std::shared_ptr<detail::AdmissionSocket> socket;            // null until opened
    std::map<std::string, Endpoint> endpoints;                  // of agents, by backend server
    std::unordered_map<std::string, std::string> backendOfHost; // id by IP address
    std::uint64_t renewals = 0;
};

AgentLink::AgentLink(asio::io_context &context, DirectScheduler &scheduler,
                     std::uint64_t gatewayIncarnation, std::uint16_t agentPort,
                     std::function<void()> granted)
    : d(std::make_shared<Private>(context, scheduler, gatewayIncarnation, agentPort,
                                  std::move(granted)))
{ }

AgentLink::~AgentLink()
{
    d->timer.cancel();
    if (d->socket)
        d->socket->close();
}

std::optional<std::string> AgentLink::open(const std::string &address, std::uint16_t port)
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
    d->renew();
    return std::nullopt;
}

void AgentLink::setBackends(const std::vector<BackendRecord> &backends)
{
    d->endpoints.clear();
    d->backendOfHost.clear();
    for (const BackendRecord &it : backends) {
        boost::system::error_code ec;
        const auto address = asio::ip::make_address(it.address, ec);
        if (ec || d->agentPort == 0)
            continue;
        d->endpoints[it.id] = {address, d->agentPort};
        d->backendOfHost[it.address] = it.id;
    }
}

void AgentLink::ask(const AskAction &action, Instant now)
{
    d->send(action.backend.id,
            SlotAsk {{d->incarnation, action.request.id.sequence},
                     action.request.order,
                     action.request.leaveFree,
                     action.backend.slots,
                     action.coldRate,
                     action.request.waitUntil - now});
}

void AgentLink::release(const ReleaseAction &action)
{
    d->send(action.backend, SlotRelease {{d->incarnation, action.request.sequence}});
}

} // namespace cornelshed
