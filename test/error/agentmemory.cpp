// Guards against an agent that holds more for arriving frames and running requests than its limit,
// that reports such a request as possibly run, or that a peer with an unfinished frame keeps from
// serving others. The process itself is tested by hostilesessionpeers.cpp.

#include "agentpeer.h"
#include "agentrunner.h"
#include "loopback.h"
#include "wirecodec.h"

#include <doctest/doctest.h>

#include <string>

using namespace cornelshed;
using namespace cornelshed::testing;

namespace {

constexpr std::size_t kilobyte = 1000;

AgentSettings smallMemory(std::uint16_t serverPort)
{
    AgentSettings settings = agentSettings(serverPort);
    settings.requestMemoryLimitBytes = 800 * kilobyte; // 700 of them for large frames and bodies
    return settings;
}

void answer(const StubRequest &, StubReply &reply)
{
    reply.sendResponse(200, "{}");
}

Dispatch largeDispatch(const Grant &grant, RequestId request, std::size_t bodyBytes)
{
    return {request,
            grant.grant,
            "POST",
            "/v1/completions",
            {},
            std::string(bodyBytes, 'x'),
            std::chrono::seconds(20)};
}

} // namespace

TEST_CASE("a request whose body does not fit is returned as not run, and the next one is served")
{
    BackendStub backend(answer);
    AgentRunner agent(smallMemory(backend.port()));
    SessionPeer peer(agent.daemon().entryPort());
    const auto grant = reserve(peer, agentRequest(1), "/v1/completions", "writer");
    REQUIRE(grant);
    // The frame fits, but not the body beside it.
    peer.send(largeDispatch(*grant, agentRequest(1), 400 * kilobyte));
    const Outcome refused = receiveOutcome(peer);
    REQUIRE(refused.failed);
    CHECK(refused.failed->notRun);
    REQUIRE(reserveAndDispatch(peer, "/v1/completions", "writer", agentRequest(2)));
    CHECK(receiveOutcome(peer).finished);
    // One that fits is served.
    const auto second = reserve(peer, agentRequest(3), "/v1/completions", "writer");
    REQUIRE(second);
    peer.send(largeDispatch(*second, agentRequest(3), 300 * kilobyte));
    CHECK(receiveOutcome(peer).finished);
}

TEST_CASE("a frame that stands still ends its session when another one waits for room")
{
    BackendStub backend(answer);
    AgentRunner agent(smallMemory(backend.port()));
    SessionPeer stopped(agent.daemon().entryPort());
    stopped.send(Hello {"e2", 12, 0});
    REQUIRE(stopped.receiveNext<Welcome>());
    std::string frame = encodeFrame(EntryMessage(largeDispatch({}, {12, 1}, 600 * kilobyte)));
    frame.pop_back();
    stopped.sendRaw(frame);

    SessionPeer peer(agent.daemon().entryPort());
    const auto grant = reserve(peer, agentRequest(1), "/v1/completions", "writer");
    REQUIRE(grant);
    peer.send(largeDispatch(*grant, agentRequest(1), 200 * kilobyte));
    // The grant may have expired while the frame waited.
    const Outcome waited = receiveOutcome(peer);
    const bool isGrantExpired = waited.failed && waited.failed->notRun
            && waited.failed->reason == FailReason::GrantExpired;
    CHECK((waited.finished || isGrantExpired));
    while (stopped.receive()) { // until the session is closed
    }
    const auto next = reserve(peer, agentRequest(2), "/v1/completions", "writer");
    REQUIRE(next);
    peer.send(largeDispatch(*next, agentRequest(2), 200 * kilobyte));
    CHECK(receiveOutcome(peer).finished);
}
