// Tests an agent in front of engines that break HTTP. Guards against answers of other requests that
// are taken for this one's, and against answers that look complete although the engine broke off.

#include "agentpeer.h"
#include "agentrunner.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace cornelshed;
using namespace cornelshed::testing;
using namespace std::chrono_literals;

namespace {

std::string idLine(const StubRequest &request)
{
    for (const auto &[name, value] : request.headers) {
        if (name == "X-Request-Id")
            return "X-Request-Id: " + value + "\r\n";
    }
    return {};
}

std::string response(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Type: application/json\r\n"
            + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Connections on which the agent sent requests for completions.
std::multiset<std::size_t> connectionsOf(const BackendStub &engine, bool completions)
{
    std::multiset<std::size_t> connections;
    for (const StubRequest &it : engine.requests()) {
        if ((it.target == "/v1/completions") == completions)
            connections.insert(it.connection);
    }
    return connections;
}

} // namespace

// Guards against an answer or a refusal of an earlier request that is delivered as that of the next
// one on the same connection.
TEST_CASE("an answer that an engine writes once more is not taken for the next request's")
{
    enum class Moment { WithAnswer, WhileIdle, BeforeAnswer, InsteadOfAnswer };
    const std::string earlier = "X-Request-Id: id-1\r\n";
    const std::vector<std::string> copies {
            response(429, earlier, "busy"), response(429, "", "busy"),
            response(503, earlier, "busy"), response(200, earlier, "copy"),
            response(200, "", "copy")};
    for (const bool echoes : {true, false}) {
        for (const std::string &copy : copies) {
            for (const Moment moment : {Moment::WithAnswer, Moment::WhileIdle, Moment::BeforeAnswer,
                                        Moment::InsteadOfAnswer}) {
                const bool isSeen =
                        moment == Moment::BeforeAnswer || moment == Moment::InsteadOfAnswer;
                if (isSeen && !echoes)
                    continue; // the first response on a connection is taken for the answer
                CAPTURE(echoes);
                CAPTURE(copy);
                CAPTURE(static_cast<int>(moment));
                std::atomic<bool> isCopied = false;
                std::atomic<int> runs = 0;
                BackendStub engine([&](const StubRequest &request, StubReply &reply) {
                    const int run = ++runs;
                    const std::string answer = response(200, echoes ? idLine(request) : "",
                                                        "answer " + std::to_string(run));
                    if (run == 2 && moment == Moment::InsteadOfAnswer) {
                        reply.send(copy);
                        reply.close();
                        return;
                    }
                    const bool isBefore = run == 2 && moment == Moment::BeforeAnswer;
                    const bool isWith = run == 1 && moment == Moment::WithAnswer;
                    reply.send((isBefore ? copy : "") + answer + (isWith ? copy : ""));
                    if (run == 1 && moment == Moment::WhileIdle) {
                        std::this_thread::sleep_for(15ms);
                        reply.send(copy);
                    }
                    isCopied = true;
                });
                AgentRunner agent(agentSettings(engine.port()));
                SessionPeer peer(agent.daemon().entryPort());
                const auto run = [&](std::uint64_t sequence) {
                    REQUIRE(reserveAndDispatch(peer, "/v1/completions", "writer",
                                               agentRequest(sequence)));
                    return receiveOutcome(peer);
                };
                CHECK(run(1).data == "answer 1");
                while (!isCopied)
                    std::this_thread::sleep_for(1ms);
                const Outcome second = run(2);
                const bool isNamed = copy.find(earlier) != std::string::npos;
                if (!isSeen || (moment == Moment::BeforeAnswer && isNamed)) {
                    CHECK(second.finished);
                    CHECK(second.status == 200);
                    CHECK(second.data == "answer 2");
                } else {
                    REQUIRE(second.failed);
                    CHECK_FALSE(second.failed->notRun);
                    CHECK(second.data.empty());
                }
                CHECK(run(3).data == "answer 3");
            }
        }
    }
}

// Guards against runs that get the answer of a probe, and probes that get that of a run.
TEST_CASE("a connection is used again for runs only, and only if the engine names their ids")
{
    enum class Naming { Echo, None, OwnId };
    for (const Naming naming : {Naming::Echo, Naming::None, Naming::OwnId}) {
        CAPTURE(static_cast<int>(naming));
        BackendStub engine([&](const StubRequest &request, StubReply &reply) {
            const std::string ownId = "X-Request-Id: engine-7\r\n";
            const std::string id = naming == Naming::Echo ? idLine(request) : ownId;
            reply.send(response(200, naming == Naming::None ? "" : id, "done"));
        });
        AgentRunner agent(agentSettings(engine.port()));
        SessionPeer peer(agent.daemon().entryPort());
        for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) {
            REQUIRE(reserveAndDispatch(peer, "/v1/completions", "writer", agentRequest(sequence)));
            CHECK(receiveOutcome(peer).data == "done");
        }
        REQUIRE(engine.waitForRequest("/load"));
        const auto ofRuns = connectionsOf(engine, true);
        const std::set<std::size_t> distinct(ofRuns.begin(), ofRuns.end());
        CHECK(distinct.size() == (naming == Naming::Echo ? 1 : 4));
        for (const std::size_t it : connectionsOf(engine, false))
            CHECK_FALSE(ofRuns.contains(it));
    }
}

// Guards against a service's answers that go to the wrong request, and against a new connection for
// each of many short requests to one that names their ids.
TEST_CASE("a service that names ids is held to them, one that does not gets a connection a request")
{
    for (const bool echoes : {true, false}) {
        CAPTURE(echoes);
        std::atomic<int> runs = 0;
        BackendStub service([&](const StubRequest &request, StubReply &reply) {
            const int run = ++runs;
            const std::string copy = echoes && run == 2 ? response(429, "", "busy") : "";
            reply.send(copy
                       + response(200, echoes ? idLine(request) : "",
                                  "answer " + std::to_string(run)));
        });
        AgentRunner agent(agentSettings(service.port(), PoolKind::Service));
        SessionPeer peer(agent.daemon().entryPort());
        for (int n = 1; n <= 3; ++n) {
            REQUIRE(reserveAndDispatch(peer, "/orders", "",
                                       agentRequest(static_cast<std::uint64_t>(n))));
            const Outcome outcome = receiveOutcome(peer);
            if (echoes && n == 2) {
                REQUIRE(outcome.failed);
                CHECK_FALSE(outcome.failed->notRun);
            } else {
                CHECK(outcome.data == "answer " + std::to_string(n));
            }
        }
        const auto requests = service.requests();
        REQUIRE(requests.size() == 3);
        CHECK((requests[0].connection == requests[1].connection) == echoes);
        CHECK(requests[1].connection != requests[2].connection);
        CHECK(requests[0].connection != requests[2].connection);
    }
}

// Guards against an answer that looks whole although the engine broke off in its head or body, and
// against one that counts as not run, so that it runs again.
TEST_CASE("an answer whose engine breaks off ends as possibly run")
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string events = ok + "Content-Type: text/event-stream\r\n";
    const std::vector<std::string> starts {
            "HTTP/1.1 200 OK",
            ok,
            ok + "X-Req",
            ok + "Content-Length: 1", // of 12
            ok + "Content-Length: 0\r\n",
            ok + "Content-Length: 0\r\n\r",
            ok + "Content-Length: 12\r\n\r\nshort",
            ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
            ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\n",
            ok + "\r\n",
            ok + "\r\nshort",
            "HTTP/1.1 200 OK\nContent-Length: 0\n\n",
            ok + "Content-Length: 0\n\r\n",
            events + "Transfer-Encoding: chunked\r\n\r\n",
            events + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            events + "Content-Length: 0\r\n\r\n",
            events + "\r\ndata: t1\n\ndata: [DONE]\n\n",
            events + "Content-Length: 40\r\n\r\ndata: t1\n\ndata: [DONE]\n\n",
            events + "Content-Length: 11\r\n\r\ndata: t1\n\nd"};
    for (const bool resets : {false, true}) {
        for (const std::string &it : starts) {
            CAPTURE(it);
            CAPTURE(resets);
            BackendStub engine([&](const StubRequest &, StubReply &reply) {
                reply.send(it);
                std::this_thread::sleep_for(resets ? 20ms : 0ms); // until the bytes are read
                resets ? reply.reset() : reply.close();
            });
            AgentRunner agent(agentSettings(engine.port()));
            SessionPeer peer(agent.daemon().entryPort());
            REQUIRE(reserveAndDispatch(peer, "/v1/completions", "writer"));
            const Outcome outcome = receiveOutcome(peer);
            REQUIRE(outcome.failed);
            CHECK_FALSE(outcome.failed->notRun);
            CHECK(outcome.data.find("[DONE]") == std::string::npos);
        }
    }
}
