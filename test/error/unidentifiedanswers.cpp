// Tests an agent in front of a backend server that does not name the ids of requests. Guards
// against an answer or a refusal of an earlier request that is delivered to the next run on the
// same connection, or counts as the refusal of that run.

#include "agentpeer.h"
#include "agentrunner.h"

#include <doctest/doctest.h>

#include <atomic>
#include <cstdint>
#include <fstream>
#include <iomanip>
#include <set>
#include <sstream>
#include <string>
#include <vector>

using namespace cornelshed;
using namespace cornelshed::testing;

namespace {

std::string response(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Type: application/json\r\n"
            + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Sockets of this host that wait in TIME_WAIT and have the port at either end.
int waitingSockets(std::uint16_t port)
{
    std::ostringstream suffix;
    suffix << ':' << std::uppercase << std::hex << std::setw(4) << std::setfill('0') << port;
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line); // header
    int n = 0;
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string index;
        std::string local;
        std::string remote;
        std::string state;
        fields >> index >> local >> remote >> state;
        const bool hasPort = local.ends_with(suffix.str()) || remote.ends_with(suffix.str());
        n += hasPort && state == "06" ? 1 : 0;
    }
    return n;
}

} // namespace

// Guards against a copy of an earlier answer or refusal that is taken for that of the next run.
TEST_CASE("an answer that a server without ids writes once more is delivered to no other run, and "
          "not counted as not run")
{
    enum class Moment { BeforeAnswer, InsteadOfAnswer };
    const std::string earlier = "X-Request-Id: id-1\r\n";
    const std::vector<std::string> copies {
            response(429, earlier, "busy"), response(429, "", "busy"),
            response(503, earlier, "busy"), response(200, earlier, "copy"),
            response(200, "", "copy")};
    for (const PoolKind kind : {PoolKind::Engine, PoolKind::Service}) {
        for (const std::string &copy : copies) {
            for (const Moment moment : {Moment::BeforeAnswer, Moment::InsteadOfAnswer}) {
                CAPTURE(static_cast<int>(kind));
                CAPTURE(copy);
                CAPTURE(static_cast<int>(moment));
                std::atomic<int> runs = 0;
                std::atomic<std::size_t> firstConnection = 0;
                BackendStub server([&](const StubRequest &request, StubReply &reply) {
                    const int run = ++runs;
                    if (run == 1)
                        firstConnection = request.connection;
                    const bool isCopied = run == 2 && request.connection == firstConnection;
                    const std::string answer = response(200, "", "answer " + std::to_string(run));
                    if (isCopied && moment == Moment::InsteadOfAnswer) {
                        reply.send(copy);
                        reply.close();
                        return;
                    }
                    reply.send((isCopied ? copy : "") + answer);
                });
                AgentRunner agent(agentSettings(server.port(), kind));
                SessionPeer peer(agent.daemon().entryPort());
                const bool isEngine = kind == PoolKind::Engine;
                const auto run = [&](std::uint64_t sequence) {
                    REQUIRE(reserveAndDispatch(peer, isEngine ? "/v1/completions" : "/orders",
                                               isEngine ? "writer" : "", agentRequest(sequence)));
                    return receiveOutcome(peer);
                };
                CHECK(run(1).data == "answer 1");
                const Outcome second = run(2);
                CHECK((second.data.empty() || second.data == "answer 2"));
                CHECK_FALSE((second.failed && second.failed->notRun));
                CHECK(run(3).data == "answer 3");
            }
        }
    }
}

// Guards against an agent that runs out of ports, as each request to a server that does not name
// its id takes a connection of its own.
TEST_CASE("the connections of a server without ids leave no sockets in TIME_WAIT")
{
    BackendStub server(
            [](const StubRequest &, StubReply &reply) { reply.sendResponse(200, "{}"); });
    AgentRunner agent(agentSettings(server.port(), PoolKind::Service));
    SessionPeer peer(agent.daemon().entryPort());
    constexpr int runs = 100;
    for (int n = 1; n <= runs; ++n) {
        REQUIRE(reserveAndDispatch(peer, "/orders", "",
                                   agentRequest(static_cast<std::uint64_t>(n))));
        REQUIRE(receiveOutcome(peer).finished);
    }
    std::set<std::size_t> connections;
    for (const StubRequest &it : server.requests())
        connections.insert(it.connection);
    CHECK(connections.size() >= runs);
    // The agent's probes are few and close in the usual way.
    CHECK(waitingSockets(server.port()) < runs / 10);
}
