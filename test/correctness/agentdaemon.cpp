// Guards against an agent that reports a truncated response as complete, reports a request that may
// have run as not run, grants requests before those left from an earlier incarnation are cancelled,
// or drops requests when it shuts down.

#include "agentpeer.h"
#include "agentrunner.h"
#include "httpheaders.h"

#include <doctest/doctest.h>

#include <chrono>
#include <future>

using namespace cornelshed;
using namespace cornelshed::testing;

namespace {

Outcome runRequest(const BackendStub::Handler &handler)
{
    BackendStub backend(handler);
    AgentRunner agent(agentSettings(backend.port()));
    SessionPeer peer(agent.daemon().entryPort());
    REQUIRE(reserveAndDispatch(peer, "/v1/completions", "writer"));
    return receiveOutcome(peer);
}

} // namespace

TEST_CASE("stream events are forwarded as they arrive, and the usage is read")
{
    std::promise<void> firstReceived;
    BackendStub backend([&](const StubRequest &received, StubReply &reply) {
        CHECK(*findHeader(received.headers, "X-Request-Id") == "id-1");
        reply.beginEventStream();
        reply.sendEvent("one");
        firstReceived.get_future().wait_for(std::chrono::seconds(10));
        reply.sendEvent("two");
        reply.sendEvent(R"({"usage":{"prompt_tokens":3,"completion_tokens":2,"cached_tokens":1}})");
        reply.sendEvent("[DONE]");
        reply.endEventStream();
    });
    AgentRunner agent(agentSettings(backend.port()));
    SessionPeer peer(agent.daemon().entryPort());
    REQUIRE(reserveAndDispatch(peer, "/v1/completions", "writer"));
    const auto first = peer.receiveNext<Chunk>();
    REQUIRE(first);
    CHECK(first->data == "data: one\n\n");
    firstReceived.set_value();
    const Outcome rest = receiveOutcome(peer);
    REQUIRE(rest.finished);
    CHECK(rest.finished->usage.outputTokens == 2);
    CHECK(rest.finished->usage.cachedTokens == 1);
    CHECK(rest.data.ends_with("data: [DONE]\n\n"));
    const auto requests = backend.requests();
    REQUIRE_FALSE(requests.empty());
    CHECK(requests.front().target == "/control/cancel_all");
}

TEST_CASE("a stream without its end event or its last HTTP chunk is reported as cut")
{
    const Outcome withoutDone = runRequest([](const StubRequest &, StubReply &reply) {
        reply.beginEventStream();
        reply.sendEvent("one");
        reply.endEventStream();
    });
    const Outcome withoutEnd = runRequest([](const StubRequest &, StubReply &reply) {
        reply.beginEventStream();
        reply.sendEvent("one");
        reply.sendEvent("[DONE]");
        reply.close();
    });
    for (const Outcome &it : {withoutDone, withoutEnd}) {
        REQUIRE(it.failed);
        CHECK(it.failed->reason == FailReason::StreamCut);
        CHECK_FALSE(it.failed->notRun);
        CHECK(it.data == "data: one\n\n");
    }
}

TEST_CASE("a response that is truncated, without length, a server error or not HTTP fails as "
          "possibly run")
{
    const Outcome truncated = runRequest([](const StubRequest &, StubReply &reply) {
        reply.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{}");
        reply.close();
    });
    const Outcome withoutLength = runRequest([](const StubRequest &, StubReply &reply) {
        reply.send("HTTP/1.1 200 OK\r\n\r\n{}");
        reply.close();
    });
    const Outcome serverError = runRequest(
            [](const StubRequest &, StubReply &reply) { reply.sendResponse(500, "{}"); });
    const Outcome notHttp = runRequest([](const StubRequest &, StubReply &reply) {
        reply.send("nonsense\r\n\r\n");
        reply.close();
    });
    for (const Outcome &it : {truncated, withoutLength, serverError, notHttp}) {
        REQUIRE(it.failed);
        CHECK_FALSE(it.failed->notRun);
    }
}

TEST_CASE("a non-streaming response is reported as finished with its usage")
{
    const std::string body = R"({"usage":{"prompt_tokens":3,"completion_tokens":7}})";
    const Outcome outcome = runRequest(
            [&](const StubRequest &, StubReply &reply) { reply.sendResponse(200, body); });
    REQUIRE(outcome.finished);
    CHECK(outcome.data == body);
    CHECK(outcome.finished->usage.outputTokens == 7);
}

TEST_CASE("a refused connection is reported as not run")
{
    auto backend = std::make_unique<BackendStub>([](const StubRequest &, StubReply &) {});
    AgentRunner agent(agentSettings(backend->port()));
    SessionPeer peer(agent.daemon().entryPort());
    const auto grant = reserve(peer, agentRequest(1), "/v1/completions", "writer");
    REQUIRE(grant);
    // The agent has not yet detected that the server stopped.
    backend->stop();
    dispatch(peer, *grant, agentRequest(1), "/v1/completions");
    const Outcome outcome = receiveOutcome(peer);
    REQUIRE(outcome.failed);
    CHECK(outcome.failed->notRun);
    CHECK(outcome.failed->reason == FailReason::EngineUnreachable);
}

TEST_CASE("cancelling a request cancels it on the engine by its request ID")
{
    std::promise<void> release;
    BackendStub backend([&](const StubRequest &, StubReply &reply) {
        reply.beginEventStream();
        reply.sendEvent("one");
        release.get_future().wait_for(std::chrono::seconds(10));
    });
    AgentRunner agent(agentSettings(backend.port()));
    SessionPeer peer(agent.daemon().entryPort());
    REQUIRE(reserveAndDispatch(peer, "/v1/completions", "writer"));
    REQUIRE(peer.receiveNext<Chunk>());
    peer.send(Cancel {agentRequest(1)});
    const Outcome outcome = receiveOutcome(peer);
    release.set_value();
    REQUIRE(outcome.failed);
    CHECK(outcome.failed->reason == FailReason::Cancelled);
    CHECK_FALSE(outcome.failed->notRun);
    bool found = false;
    for (const StubRequest &it : backend.requests())
        found = found
                || (it.target == "/control/cancel" && it.body.find("id-1") != std::string::npos);
    CHECK(found);
}

TEST_CASE("a service receives the idempotency key")
{
    BackendStub backend([](const StubRequest &received, StubReply &reply) {
        const std::string *key = findHeader(received.headers, "Idempotency-Key");
        reply.sendResponse(200, key == nullptr ? "none" : *key);
    });
    AgentRunner agent(agentSettings(backend.port(), PoolKind::Service));
    SessionPeer peer(agent.daemon().entryPort());
    REQUIRE(reserveAndDispatch(peer, "/orders", ""));
    CHECK(receiveOutcome(peer).data == "key-1");
}

TEST_CASE("a shutdown is announced, and running requests are finished")
{
    std::promise<void> release;
    BackendStub backend([&](const StubRequest &, StubReply &reply) {
        release.get_future().wait_for(std::chrono::seconds(10));
        reply.sendResponse(200, "{}");
    });
    AgentRunner agent(agentSettings(backend.port()));
    SessionPeer peer(agent.daemon().entryPort());
    REQUIRE(reserveAndDispatch(peer, "/v1/completions", "writer"));
    REQUIRE(backend.waitForRequest("/v1/completions"));
    agent.daemon().requestShutdown();
    CHECK(peer.receiveNext<Leaving>());
    release.set_value();
    CHECK(receiveOutcome(peer).finished);
    CHECK(agent.shutDown() == DaemonExitStatus::Success);
}

TEST_CASE("malformed frames and messages before Hello close only their session")
{
    BackendStub backend([](const StubRequest &, StubReply &) {});
    AgentRunner agent(agentSettings(backend.port()));
    SessionPeer malformed(agent.daemon().entryPort());
    malformed.sendRaw(std::string("\x08\0\0\0garbage!", 12));
    CHECK_FALSE(malformed.receive());
    SessionPeer tooLong(agent.daemon().entryPort());
    tooLong.sendRaw(std::string("\xff\xff\xff\xff", 4));
    CHECK_FALSE(tooLong.receive());
    SessionPeer withoutHello(agent.daemon().entryPort());
    withoutHello.send(Cancel {agentRequest(1)});
    CHECK_FALSE(withoutHello.receive());
    SessionPeer valid(agent.daemon().entryPort());
    valid.send(Hello {"e1", 1, 0});
    CHECK(valid.receiveNext<Welcome>());
}
