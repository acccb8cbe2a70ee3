// Guards against a stream that is broken off although its sound backend server would have ended it:
// the server falls silent between its last event and the end of the answer, and the one that
// replaces it has nothing to add.

#include "gatewaymessages.h"
#include "gatewayrunner.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <thread>

using namespace cornelshed;
using namespace cornelshed::testing;
using namespace std::chrono_literals;

// Guards against status 0 with problem=stream_not_resumed.
TEST_CASE("a stream whose server is silent before its end is complete")
{
    constexpr int lastEvent = 4;
    std::atomic<int> arrivals = 0;
    const auto serve = [&](const StubRequest &request, StubReply &reply) {
        sendStreamHead(request, reply);
        if (++arrivals == 1) {
            sendEvents(reply, 1, lastEvent);
            std::this_thread::sleep_for(1800ms);
        }
        reply.send("0\r\n\r\n");
    };
    BackendStub first(serve);
    BackendStub second(serve);
    GatewayRunner runner;
    runner.configure(gatewayRouteTable(),
                     {gatewayBackend("i-1", first.port()), gatewayBackend("i-2", second.port())});
    Caller caller(runner.port());
    caller.send(callerRequest("POST", "/quote/a", "r-1", 2900ms));
    const CallerAnswer answer = caller.receive();
    CHECK(answer.status == 200);
    CHECK(answer.body == streamEvents(1, lastEvent));
}
