// Tests of the caller interface. They guard against invalid input that is accepted, rejected with
// the wrong error type, reported as a system failure or able to disturb the next request on the
// connection, and against responses with the wrong outcome.

#include "agentrunner.h"
#include "entryrunner.h"
#include "loopback.h"

#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <map>
#include <thread>

using namespace cornelshed;
using namespace cornelshed::testing;

namespace {

const std::string organisationHeader = "Cornelshed-Organisation: acme";
const std::string validBody = R"({"model":"writer","prompt":"p","max_tokens":4})";

class Fixture
{
public:
    explicit Fixture(const EntrySettings &settings = entrySettings()) : entry(settings)
    {
        entry.configure(smallDeployment(), {});
    }

    CallerAnswer post(const std::string &target, const std::vector<std::string> &headers,
                      const std::string &body)
    {
        return Caller(entry.port()).post(target, headers, body);
    }

    EntryRunner entry;
};

struct InvalidInput
{
    std::string target;
    std::vector<std::string> headers;
    std::string body;
    int status;
    std::string code;
};

std::vector<InvalidInput> invalidInputs()
{
    const std::string path = "/v1/completions";
    const auto withHeader = [](const std::string &header) {
        return std::vector<std::string> {organisationHeader, header};
    };
    return {
            {"/nowhere", {organisationHeader}, validBody, 404, "unknown_path"},
            {path, {}, validBody, 400, "missing_organisation"},
            {path, {"Cornelshed-Organisation: x"}, validBody, 403, "unknown_organisation"},
            {path, withHeader(organisationHeader), validBody, 400, "repeated_header"},
            {path, withHeader("Cornelshed-Tier: x"), validBody, 400, "unknown_tier"},
            {path,
             {"Cornelshed-Organisation: budget", "Cornelshed-Tier: high"},
             validBody,
             403,
             "tier_not_allowed"},
            {path, withHeader("Cornelshed-Deadline-Ms: soon"), validBody, 400, "invalid_deadline"},
            {path, withHeader("Cornelshed-Deadline-Ms: 9x"), validBody, 400, "invalid_deadline"},
            {path, withHeader("Cornelshed-Deadline-Ms: 0"), validBody, 400, "deadline_passed"},
            {path, withHeader("Cornelshed-Deadline-Ms: -5"), validBody, 400, "deadline_passed"},
            {path, withHeader("Cornelshed-Deadline-Ms: 30001"), validBody, 400,
             "deadline_out_of_range"},
            {path, withHeader("X-Request-Id: a b"), validBody, 400, "invalid_request_id"},
            {path, {organisationHeader}, "", 400, "malformed_json"},
            {path, {organisationHeader}, "{", 400, "malformed_json"},
            {path, {organisationHeader}, "[1]", 400, "malformed_json"},
            {path, {organisationHeader}, std::string(200, '['), 400, "malformed_json"},
            {path, {organisationHeader}, R"({"prompt":"p"})", 400, "missing_model"},
            {path, {organisationHeader}, R"({"model":"x","prompt":"p"})", 404, "unknown_model"},
            {path, {organisationHeader}, R"({"model":"writer"})", 400, "missing_prompt"},
            {path, {organisationHeader}, R"({"model":"writer","prompt":5})", 400, "invalid_field"},
            {path,
             {organisationHeader},
             R"({"model":"writer","messages":[]})",
             400,
             "invalid_field"},
            {path,
             {organisationHeader},
             R"({"model":"writer","prompt":"p","max_tokens":0})",
             400,
             "invalid_field"},
            {path,
             {organisationHeader},
             R"({"model":"writer","prompt":"p","stream":"yes"})",
             400,
             "invalid_field"},
            {"/orders", {organisationHeader}, "{}", 400, "missing_idempotency_key"},
            {"/orders", withHeader("Idempotency-Key: a b"), "{}", 400, "invalid_idempotency_key"},
    };
}

// Waits until the agent is ready: it rejects requests until its probe has reached the backend
// server.
bool waitUntilReady(std::uint16_t adminPort)
{
    for (int n = 0; n < 1000; ++n) {
        Caller admin(adminPort);
        admin.send("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n");
        if (admin.receive().status == 200)
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
}

// An entry daemon, an agent and a scripted backend server (a service or an inference engine).
class Deployment
{
public:
    Deployment(PoolKind kind, BackendStub::Handler handler)
        : backend(std::move(handler)), agent(agentSettings(backend.port(), kind))
    {
        fixture.entry.configure(smallDeployment(),
                                {{"a1", "127.0.0.1", agent.daemon().entryPort(), "z1"}});
        connected = fixture.entry.waitForAgents(1) && waitUntilReady(agent.daemon().adminPort());
    }

    Fixture fixture;
    BackendStub backend;
    AgentRunner agent;
    bool connected = false;
};

} // namespace

TEST_CASE("invalid input gets its error code, and the connection serves the next request")
{
    Fixture fixture;
    Caller caller(fixture.entry.port());
    for (const InvalidInput &it : invalidInputs()) {
        const CallerAnswer answer = caller.post(it.target, it.headers, it.body);
        CAPTURE(it.code);
        CAPTURE(answer.body);
        CHECK(answer.status == it.status);
        CHECK(answer.code() == it.code);
        CHECK(answer.outcome == "not_run");
        CHECK(answer.body.find("\"invalid_request\"") != std::string::npos);
        CHECK(answer.keepAlive);
    }
}

TEST_CASE("input over a limit and non-HTTP bytes are rejected, and the connection is closed")
{
    Fixture fixture;
    const std::map<std::string, std::pair<int, std::string>> inputs {
            {"POST /v1/completions HTTP/1.1\r\nX: " + std::string(4000, 'x') + "\r\n\r\n",
             {431, "header_too_large"}},
            {"POST /v1/completions HTTP/1.1\r\nContent-Length: 70000\r\n\r\n",
             {413, "body_too_large"}},
            {"\x01\x02 nonsense\r\n\r\n", {400, "malformed_request"}},
            {"POST /v1/completions HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
             {400, "malformed_request"}}};
    for (const auto &it : inputs) {
        const auto &expected = it.second;
        Caller caller(fixture.entry.port());
        caller.send(it.first);
        const CallerAnswer answer = caller.receive();
        CAPTURE(expected.second);
        CHECK(answer.status == expected.first);
        CHECK(answer.code() == expected.second);
        CHECK_FALSE(answer.keepAlive);
    }
}

TEST_CASE("a request that is not received in time is rejected")
{
    EntrySettings settings = entrySettings();
    settings.headerTimeoutMs = 50;
    Fixture fixture(settings);
    Caller caller(fixture.entry.port());
    caller.send("POST /v1/completions HTTP/1.1\r\nContent-");
    CHECK(caller.receive().code() == "request_timeout");
}

// Guards against two reads into one buffer: the one that the timeout interrupts, and the one that
// discards input until the connection is closed. The address sanitizer shows it as a write into
// freed memory; without it the parser may see bytes of the wrong read.
TEST_CASE("callers that keep sending after their request timed out disturb no other request")
{
    EntrySettings settings = entrySettings();
    settings.headerTimeoutMs = 50;
    Fixture fixture(settings);
    const std::vector<std::string> starts {"POST /v1/completions HTTP/1.1\r\nContent-",
                                           "POST /v1/completions HTTP/1.1\r\n" + organisationHeader
                                                   + "\r\nContent-Length: 60000\r\n\r\npart"};
    for (const std::string &it : starts) {
        Caller caller(fixture.entry.port());
        caller.send(it);
        CHECK(caller.receive().code() == "request_timeout");
        for (int i = 0; i < 20; ++i) {
            caller.send(std::string(900, 'x'));
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        CHECK(fixture.post("/nowhere", {organisationHeader}, "").status == 404);
    }
}

TEST_CASE("requests without a backend server are not run")
{
    Fixture fixture;
    Caller first(fixture.entry.port());
    const CallerAnswer answer = first.post("/v1/completions", {organisationHeader}, validBody);
    CHECK(answer.status == 503);
    CHECK(answer.code() == "no_backend_server");
    CHECK(answer.outcome == "not_run");
    CHECK(first.post("/nowhere", {organisationHeader}, "").status == 404);
}

TEST_CASE("without a configuration, and during shutdown, no request is run")
{
    EntryRunner entry(entrySettings());
    CHECK_FALSE(entry.service().ready());
    Caller caller(entry.port());
    CHECK(caller.post("/v1/completions", {organisationHeader}, validBody).code()
          == "no_configuration");
    entry.configure(smallDeployment(), {});
    CHECK(entry.service().ready());
    entry.service().setReady(false);
    CHECK_FALSE(entry.service().ready());
    Caller partial(entry.port());
    partial.send("POST /v1/completions HTTP/1.1\r\n");
    while (entry.service().activeCount() == 0)
        std::this_thread::yield();
    entry.service().stopAccepting();
    const CallerAnswer answer = partial.post("/v1/completions", {organisationHeader}, validBody);
    CHECK(answer.status != 200);
    CHECK_FALSE(answer.keepAlive);
}

TEST_CASE("a stream is forwarded as it arrives, and an interrupted one ends with an error event")
{
    std::promise<void> release;
    Deployment deployment(PoolKind::Engine, [&](const StubRequest &, StubReply &reply) {
        reply.beginEventStream();
        reply.sendEvent("one");
        release.get_future().wait_for(std::chrono::seconds(10));
        reply.sendEvent("[DONE]");
        reply.close(); // without the terminating chunk
    });
    REQUIRE(deployment.connected);
    Caller caller(deployment.fixture.entry.port());
    auto pendingAnswer = std::async(std::launch::async, [&] {
        return caller.post("/v1/completions", {organisationHeader},
                           R"({"model":"writer","prompt":"p","stream":true})");
    });
    REQUIRE(deployment.backend.waitForRequest("/v1/completions"));
    release.set_value();
    const CallerAnswer answer = pendingAnswer.get();
    CHECK(answer.status == 200);
    CHECK(answer.body.starts_with("data: one\n\nevent: error\ndata: {\"error\""));
    CHECK(answer.body.find("stream_cut") != std::string::npos);
    CHECK(answer.body.find("[DONE]") == std::string::npos);
    CHECK(answer.outcome == "unknown");
}

// Guards against a request that is read and discarded because the entry was told to stop while a
// response was under way that did not announce the close.
TEST_CASE("a request after a response that did not announce the close is answered")
{
    std::promise<void> release;
    Deployment deployment(PoolKind::Engine, [&](const StubRequest &, StubReply &reply) {
        reply.beginEventStream();
        reply.sendEvent("one");
        release.get_future().wait_for(std::chrono::seconds(10));
        reply.sendEvent("[DONE]");
        reply.send("0\r\n\r\n");
    });
    REQUIRE(deployment.connected);
    Caller caller(deployment.fixture.entry.port());
    auto pendingAnswer = std::async(std::launch::async, [&] {
        return caller.post("/v1/completions", {organisationHeader},
                           R"({"model":"writer","prompt":"p","stream":true})");
    });
    REQUIRE(deployment.backend.waitForRequest("/v1/completions"));
    std::this_thread::sleep_for(std::chrono::milliseconds(200)); // until the head has been sent
    deployment.fixture.entry.service().stopAccepting();
    release.set_value();
    const CallerAnswer answer = pendingAnswer.get();
    CHECK(answer.status == 200);
    REQUIRE(answer.keepAlive);
    CHECK(caller.post("/v1/completions", {organisationHeader}, validBody).status != 0);
}

TEST_CASE("a truncated response that is not a stream has an unknown outcome")
{
    Deployment deployment(PoolKind::Engine, [](const StubRequest &, StubReply &reply) {
        reply.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}");
        reply.close();
    });
    REQUIRE(deployment.connected);
    const CallerAnswer answer =
            deployment.fixture.post("/v1/completions", {organisationHeader}, validBody);
    CHECK(answer.status == 502);
    CHECK(answer.outcome == "unknown");
    CHECK(answer.body.find("outcome_unknown") != std::string::npos);
}

TEST_CASE("a call with an idempotency key runs once; retries get the stored response or an error")
{
    std::atomic<int> runs {0};
    Deployment deployment(PoolKind::Service, [&](const StubRequest &, StubReply &reply) {
        reply.sendResponse(201, "order " + std::to_string(++runs));
    });
    REQUIRE(deployment.connected);
    const std::vector<std::string> headers {organisationHeader, "Idempotency-Key: k1"};
    Fixture &fixture = deployment.fixture;
    const CallerAnswer first = fixture.post("/orders", headers, "{}");
    CHECK(first.status == 201);
    CHECK(first.outcome == "answered");
    const CallerAnswer retried = fixture.post("/orders", headers, "{}");
    CHECK(retried.status == 201);
    CHECK(retried.body == first.body);
    CHECK(runs == 1);
    const CallerAnswer mismatched = fixture.post("/orders", headers, "{\"x\":1}");
    CHECK(mismatched.status == 422);
    CHECK(mismatched.code() == "idempotency_key_reused");
    fixture.entry.control().setAvailable(false);
    const CallerAnswer refused =
            fixture.post("/orders", {organisationHeader, "Idempotency-Key: k2"}, "{}");
    CHECK(refused.status == 503);
    CHECK(refused.outcome == "not_run");
    CHECK(runs == 1);
}

TEST_CASE("the request of a caller that disconnects is cancelled at the inference engine")
{
    std::promise<void> release;
    Deployment deployment(PoolKind::Engine, [&](const StubRequest &, StubReply &reply) {
        reply.beginEventStream();
        reply.sendEvent("one");
        release.get_future().wait_for(std::chrono::seconds(10));
    });
    REQUIRE(deployment.connected);
    Caller caller(deployment.fixture.entry.port());
    caller.send("POST /v1/completions HTTP/1.1\r\n" + organisationHeader + "\r\nContent-Length: "
                + std::to_string(validBody.size()) + "\r\n\r\n" + validBody);
    REQUIRE(deployment.backend.waitForRequest("/v1/completions"));
    caller.close();
    CHECK(deployment.backend.waitForRequest("/control/cancel"));
    release.set_value();
}

TEST_CASE("an agent that restarts under the same name and address is used again")
{
    BackendStub backend(
            [](const StubRequest &, StubReply &reply) { reply.sendResponse(200, "{}"); });
    AgentSettings settings = agentSettings(backend.port());
    Fixture fixture;
    for (int n = 0; n < 2; ++n) {
        AgentRunner agent(settings);
        settings.entryPort = agent.daemon().entryPort();
        fixture.entry.configure(smallDeployment(), {{"a1", "127.0.0.1", settings.entryPort, "z1"}});
        REQUIRE(fixture.entry.waitForAgents(1));
        REQUIRE(waitUntilReady(agent.daemon().adminPort()));
        CHECK(fixture.post("/v1/completions", {organisationHeader}, validBody).status == 200);
        CHECK(agent.shutDown() == DaemonExitStatus::Success);
        while (fixture.entry.service().connectedAgentCount() > 0)
            std::this_thread::yield();
    }
}
