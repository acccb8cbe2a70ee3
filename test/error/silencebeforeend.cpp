// Guards against a stream that is broken off although its sound backend server would have ended it:
// the server falls silent in the middle or before the end of the answer, and the one that is to
// replace it has nothing to add, fails, or is silent, too.

#include "gatewaymessages.h"
#include "gatewayrunner.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace cornelshed;
using namespace cornelshed::testing;
using namespace std::chrono_literals;

namespace {

constexpr int lastEvent = 4;
// Longer than the wait for the next event (see gatewayRoute()), shorter than callers wait.
constexpr auto silence = 1800ms;

// Backend servers of which the first one that gets the request sends part of the stream and falls
// silent.
class Fixture
{
public:
    using Step = std::function<void(const StubRequest &, StubReply &)>;

    // sent: number of events before the silence. goOn: what follows it. replace: what the others do
    // with the resumed request.
    Fixture(int sent, const Step &goOn, const Step &replace, std::size_t serverCount = 2)
    {
        std::vector<BackendRecord> records;
        for (std::size_t n = 0; n < serverCount; ++n) {
            servers.push_back(std::make_unique<BackendStub>(
                    [this, sent, goOn, replace](const StubRequest &request, StubReply &reply) {
                        if (++arrivals > 1) {
                            replace(request, reply);
                            return;
                        }
                        sendStreamHead(request, reply);
                        sendEvents(reply, 1, sent);
                        std::this_thread::sleep_for(silence);
                        goOn(request, reply);
                    }));
            records.push_back(gatewayBackend("i-" + std::to_string(n), servers.back()->port()));
        }
        runner.configure(gatewayRouteTable(), records);
    }

    CallerAnswer request()
    {
        Caller caller(runner.port());
        caller.send(callerRequest("POST", "/quote/a", "r-1", 2900ms));
        return caller.receive();
    }

    // Whether no attempt keeps its place in the scheduler.
    bool isIdle()
    {
        for (int n = 0; n < 200; ++n) {
            if (runner.metric("cornelshed_gateway_running") == 0
                && runner.metric("cornelshed_gateway_waiting") == 0)
                return true;
            std::this_thread::sleep_for(5ms);
        }
        return false;
    }

    std::atomic<int> arrivals = 0;
    std::vector<std::unique_ptr<BackendStub>> servers;
    GatewayRunner runner;
};

void endStream(const StubRequest &, StubReply &reply)
{
    reply.send("0\r\n\r\n");
}

void sendRest(const StubRequest &, StubReply &reply)
{
    sendEvents(reply, 3, lastEvent);
    reply.send("0\r\n\r\n");
}

void sendNothingMore(const StubRequest &request, StubReply &reply)
{
    sendStreamHead(request, reply);
    reply.send("0\r\n\r\n");
}

} // namespace

// Guards against status 0 with problem=stream_not_resumed.
TEST_CASE("a stream whose server is silent before its end is complete")
{
    Fixture fixture(lastEvent, endStream, sendNothingMore);
    const CallerAnswer answer = fixture.request();
    CHECK(answer.status == 200);
    CHECK(answer.body == streamEvents(1, lastEvent));
    CHECK(fixture.arrivals == 2);
    CHECK(fixture.isIdle());
}

TEST_CASE("a stream goes on at its silent server if the one that is to resume it fails")
{
    const std::vector<Fixture::Step> failures {
            sendNothingMore, [](const StubRequest &, StubReply &reply) { reply.close(); },
            [](const StubRequest &request, StubReply &reply) { sendNotRun(request, reply); },
            [](const StubRequest &request, StubReply &reply) {
                reply.send("HTTP/1.1 500 x\r\nX-Request-Id: " + headerOf(request, "X-Request-Id")
                           + "\r\nX-Response-Seal: s\r\nContent-Length: 0\r\n\r\n");
            },
            // Skips an event.
            [](const StubRequest &request, StubReply &reply) {
                sendStreamHead(request, reply);
                sendEvents(reply, 4, 4);
                reply.send("0\r\n\r\n");
            },
            [](const StubRequest &, StubReply &) { std::this_thread::sleep_for(2 * silence); }};
    for (std::size_t n = 0; n < failures.size(); ++n) {
        CAPTURE(n);
        Fixture fixture(2, sendRest, failures[n]);
        const CallerAnswer answer = fixture.request();
        CHECK(answer.status == 200);
        CHECK(answer.body == streamEvents(1, lastEvent));
        CHECK(fixture.isIdle());
    }
}

// Guards against a server that hangs for good and is no longer replaced, or sends events after its
// stream went on elsewhere.
TEST_CASE("a stream goes on at another server while its own one is silent")
{
    Fixture fixture(2, sendRest, [](const StubRequest &request, StubReply &reply) {
        sendStreamHead(request, reply);
        sendEvents(reply, 3, 3);
        std::this_thread::sleep_for(900ms); // the first server goes on meanwhile
        sendEvents(reply, 4, lastEvent);
        reply.send("0\r\n\r\n");
    });
    const CallerAnswer answer = fixture.request();
    CHECK(answer.status == 200);
    CHECK(answer.body == streamEvents(1, lastEvent));
    CHECK(fixture.isIdle());
}

TEST_CASE("a stream that its silent server breaks off goes on at the one that resumes it")
{
    const std::vector<Fixture::Step> ends {
            [](const StubRequest &, StubReply &reply) { reply.close(); },
            // Out of order.
            [](const StubRequest &, StubReply &reply) {
                sendEvents(reply, 4, 4);
                reply.send("0\r\n\r\n");
            }};
    for (std::size_t n = 0; n < ends.size(); ++n) {
        CAPTURE(n);
        Fixture fixture(2, ends[n], [](const StubRequest &request, StubReply &reply) {
            std::this_thread::sleep_for(1000ms); // until the first server has broken off
            finishStream(request, reply, lastEvent);
        });
        const CallerAnswer answer = fixture.request();
        CHECK(answer.status == 200);
        CHECK(answer.body == streamEvents(1, lastEvent));
        CHECK(fixture.isIdle());
    }
}

// Guards against attempts that outlive their request.
TEST_CASE("both attempts end when the caller leaves")
{
    std::atomic<int> closed = 0;
    const auto stall = [&](const StubRequest &, StubReply &reply) {
        closed += reply.sendUntilClosed("1\r\nx\r\n", 20ms) ? 1 : 0;
    };
    Fixture fixture(2, stall, [&](const StubRequest &request, StubReply &reply) {
        sendStreamHead(request, reply);
        stall(request, reply);
    });
    {
        Caller caller(fixture.runner.port());
        caller.send(callerRequest("POST", "/quote/a", "r-1", 2900ms));
        std::this_thread::sleep_for(2s);
        CHECK(fixture.arrivals == 2);
    }
    CHECK(fixture.isIdle());
    for (int n = 0; n < 200 && closed < 2; ++n)
        std::this_thread::sleep_for(5ms);
    CHECK(closed == 2);
}
