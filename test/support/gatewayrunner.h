// Runs a Gateway with the platform's headers on its own thread. The test sets the deployment state
// directly instead of storing it.

#ifndef CORNELSHED_TEST_GATEWAYRUNNER_H
#define CORNELSHED_TEST_GATEWAYRUNNER_H

#include "gateway.h"
#include "loopback.h"
#include "metrics.h"
#include "monotonicclock.h"
#include "platformheaders.h"
#include "statechartfile.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <future>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace cornelshed::testing {

class GatewayRunner
{
public:
    explicit GatewayRunner(const std::string &name = "gateway", std::uint64_t incarnation = 9)
    {
        GatewayTrafficSettings traffic;
        traffic.name = name;
        traffic.incarnation = incarnation;
        traffic.scheduling.availabilityZone = "a";
        traffic.retryBudget = {0.2, 100, std::chrono::seconds(10)};
        traffic.allowanceTolerance = {0, 1000};
        m_gateway = std::make_unique<Gateway>(
                m_context, m_headers, traffic,
                std::get<StateChart>(readStateChart(CORNELSHED_SOURCE_DIR "/charts/rollout.toml")),
                m_metrics);
        m_listenError = m_gateway->listen("127.0.0.1", 0);
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~GatewayRunner()
    {
        m_context.stop();
        m_thread.join();
    }

    GatewayRunner(const GatewayRunner &) = delete;
    GatewayRunner &operator=(const GatewayRunner &) = delete;

    std::uint16_t port() const { return m_gateway->port(); }
    Gateway &gateway() { return *m_gateway; }

    // Runs the function on the traffic thread and waits until it returns.
    template<typename Function> void runOnTrafficThread(Function function)
    {
        std::promise<void> done;
        boost::asio::post(m_context, [&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }

    // Value of a gauge or counter, summed over its labels; 0 if there is none of this name.
    double metric(const std::string &name)
    {
        std::string text;
        runOnTrafficThread([&] { text = m_metrics.text(); });
        std::istringstream lines(text);
        double sum = 0;
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with(name + " ") || line.starts_with(name + "{"))
                sum += std::stod(line.substr(line.rfind(' ') + 1));
        }
        return sum;
    }

    // Applies the deployment and confirms that it is up to date.
    void configure(const RouteTableContent &content, const std::vector<BackendRecord> &backends,
                   const GossipView &view = {})
    {
        auto state = std::make_shared<DeploymentState>();
        state->routes = std::make_shared<const RouteTable>(content);
        state->backends = backends;
        configure(state, view);
    }

    void configure(const std::shared_ptr<const DeploymentState> &state, const GossipView &view = {})
    {
        runOnTrafficThread([&] {
            m_gateway->applyState(state, view);
            m_gateway->recordTableRead(RowTable::Orders, {timeSinceBoot(), {1, 1}, {1, 1}, {}});
        });
    }

    // Passes this gateway's report to the peer, encoded as it is sent between processes.
    void reportTo(GatewayRunner &peer)
    {
        std::string datagram;
        runOnTrafficThread([&] { datagram = encodeGossip(m_gateway->composeReport()); });
        const auto report = decodeGossip(datagram);
        peer.runOnTrafficThread([&] { peer.gateway().applyPeerReport(report.value()); });
    }

    // Confirms the configuration as of this time since boot, as if the store was last read then.
    void proveConfigurationAt(Duration sinceBoot, const StorePosition &position = {1, 1})
    {
        runOnTrafficThread([&] {
            m_gateway->recordTableRead(RowTable::Orders, {sinceBoot, position, position, {}});
        });
    }

private:
    boost::asio::io_context m_context;
    PlatformHeaders m_headers;
    Metrics m_metrics;
    std::unique_ptr<Gateway> m_gateway;
    std::optional<std::string> m_listenError;
    std::thread m_thread;
};

// A small deployment: one host with a route for each kind of request and one organisation with a
// key.
inline DirectRoute gatewayRoute(const std::string &prefix, RequestKind kind, bool resumable,
                                std::uint32_t attempts)
{
    DirectRoute route;
    route.name = prefix;
    route.host = "shop.example";
    route.prefix = prefix;
    route.kind = kind;
    route.resumable = resumable;
    route.timeout = std::chrono::seconds(3);
    route.objective = std::chrono::milliseconds(600);
    route.gapObjective = std::chrono::milliseconds(250);
    route.attemptLimit = attempts;
    route.services = {{"writer", 1}};
    return route;
}

inline RouteTableContent gatewayRouteTable()
{
    RouteTableContent content;
    content.version = 4;
    content.routes = {gatewayRoute("/order/", RequestKind::NonIdempotent, false, 1),
                      gatewayRoute("/look/", RequestKind::Idempotent, false, 2),
                      gatewayRoute("/quote/", RequestKind::Stream, true, 2),
                      gatewayRoute("/query/", RequestKind::Stream, false, 1)};
    content.services = {{"writer", 0}};
    // Tests send as fast as they can, and the allowance of a gateway that has just started is a
    // part of this. With 1e6, a machine on which a request takes less than 100 us got 429.
    content.organisations = {{"acme", {"key-1"}, 0, 1e9, 1e9, false, 100}};
    content.limits = {2048, 4096, std::chrono::milliseconds(400), std::chrono::seconds(2)};
    return content;
}

inline BackendRecord gatewayBackend(const std::string &id, std::uint16_t port)
{
    BackendRecord record;
    record.id = id;
    record.service = "writer";
    record.address = "127.0.0.1";
    record.port = port;
    record.availabilityZone = "a";
    record.version = "v1";
    record.slots = 4;
    return record;
}

} // namespace cornelshed::testing

#endif // CORNELSHED_TEST_GATEWAYRUNNER_H
