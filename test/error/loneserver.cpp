// Guards against repeatable requests that wait in vain and get 502, because all backend servers
// that could run them have been tried: a service may have a single one left.

#include "gatewaymessages.h"
#include "gatewayrunner.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <thread>
#include <vector>

using namespace cornelshed;
using namespace cornelshed::testing;
using namespace std::chrono_literals;

namespace {

void sendError(const StubRequest &request, StubReply &reply)
{
    reply.send("HTTP/1.1 500 x\r\nX-Request-Id: " + headerOf(request, "X-Request-Id")
               + "\r\nX-Response-Seal: s\r\nContent-Length: 3\r\n\r\nwhy");
}

// Sends one request to a gateway in front of a single backend server.
CallerAnswer sendToLoneServer(const std::string &method, const std::string &path,
                              const BackendStub::Handler &handler)
{
    BackendStub server(handler);
    GatewayRunner runner;
    runner.configure(gatewayRouteTable(), {gatewayBackend("i-1", server.port())});
    Caller caller(runner.port());
    caller.send(callerRequest(method, path, "r-1", 2s));
    return caller.receive();
}

} // namespace

// Guards against an idempotent request that is given up after its connection was lost.
TEST_CASE("an idempotent request that is cut off is repeated at its server if no other can run it")
{
    std::atomic<int> attempts = 0;
    const auto answer =
            sendToLoneServer("GET", "/look/a", [&](const StubRequest &request, StubReply &reply) {
                if (++attempts == 1)
                    reply.close();
                else
                    sendAnswer(request, reply, "done");
            });
    CHECK(answer.status == 200);
    CHECK(answer.body == "done");
    CHECK(attempts.load() == 2);
}

// Guards against a server's answer that is replaced by 502 after a wait in vain.
TEST_CASE("the error of a lone server is delivered at once")
{
    std::atomic<int> attempts = 0;
    const auto start = std::chrono::steady_clock::now();
    const auto answer =
            sendToLoneServer("GET", "/look/a", [&](const StubRequest &request, StubReply &reply) {
                ++attempts;
                sendError(request, reply);
            });
    CHECK(answer.status == 500);
    CHECK(answer.body == "why");
    CHECK(attempts.load() == 1);
    CHECK(std::chrono::steady_clock::now() - start < 400ms); // less than the wait in the queue
}

// Guards against a server's answer that is replaced by 502 because no other server has a place, or
// because the gateway shuts down while the request waits for one.
TEST_CASE("the error of a server is delivered if the request can't be repeated elsewhere in time")
{
    for (const bool shutsDown : {false, true}) {
        CAPTURE(shutsDown);
        std::atomic<bool> release = false;
        const auto handler = [&](const StubRequest &request, StubReply &reply) {
            while (!release && request.target == "/order/held")
                std::this_thread::sleep_for(1ms);
            if (request.target == "/order/held")
                sendAnswer(request, reply, "held");
            else
                sendError(request, reply);
        };
        BackendStub first(handler);
        BackendStub second(handler);
        std::vector<BackendRecord> records {gatewayBackend("i-1", first.port()),
                                            gatewayBackend("i-2", second.port())};
        for (BackendRecord &it : records)
            it.slots = 1;
        GatewayRunner runner;
        runner.configure(gatewayRouteTable(), records);
        Caller holder(runner.port());
        holder.send(callerRequest("POST", "/order/held", "r-1", 2s));
        std::this_thread::sleep_for(50ms);
        Caller caller(runner.port());
        caller.send(callerRequest("GET", "/look/a", "r-2", 2s));
        std::this_thread::sleep_for(50ms);
        if (shutsDown) // within the wait in the queue
            runner.runOnTrafficThread([&] { runner.gateway().drain(1ms, 400ms, [] {}); });
        const auto answer = caller.receive();
        release = true;
        CHECK(answer.status == 500);
        CHECK(answer.body == "why");
    }
}

// Guards against a resumable stream that is broken off, though its server goes on.
TEST_CASE("a broken stream is resumed at its server if no other can run it")
{
    std::atomic<int> attempts = 0;
    const auto answer =
            sendToLoneServer("POST", "/quote/a", [&](const StubRequest &request, StubReply &reply) {
                if (++attempts > 1) {
                    finishStream(request, reply, 4);
                    return;
                }
                sendStreamHead(request, reply);
                sendEvents(reply, 1, 2);
                reply.close();
            });
    CHECK(answer.status == 200);
    CHECK(answer.body == streamEvents(1, 4));
    CHECK(attempts.load() == 2);
}

// Guards against a request that runs twice, or is offered again and again.
TEST_CASE("a lone server gets no non-idempotent request twice, and none that it refused")
{
    for (const std::string path : {"/order/a", "/look/a"}) {
        CAPTURE(path);
        std::atomic<int> attempts = 0;
        const auto answer =
                sendToLoneServer("POST", path, [&](const StubRequest &request, StubReply &reply) {
                    ++attempts;
                    if (path == "/order/a")
                        sendError(request, reply);
                    else
                        sendNotRun(request, reply);
                });
        CHECK(answer.status == (path == "/order/a" ? 500 : 503));
        CHECK(attempts.load() == 1);
    }
}
