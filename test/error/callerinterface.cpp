// Guards against bad input that is accepted, answered with the wrong type, taken for a failure of
// the system, or that disturbs the next request; and against answers of the wrong outcome.

#include "agentrunner.h"
#include "entryrunner.h"
#include "loopback.h"

#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <map>

using namespace cornelshed;
using namespace cornelshed::testing;

namespace {

const std::string organisation = "Cornelshed-Organisation: acme";
const std::string goodBody = R"({"model":"writer","prompt":"p","max_tokens":4})";

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

struct BadInput
{
    std::string target;
    std::vector<std::string> headers;
    std::string body;
    int status;
    std::string code;
};

std::vector<BadInput> badInputs()
{
    const std::string path = "/v1/completions";
    const auto with = [](const std::string &more) {
        return std::vector<std::string> {organisation, more};
    };
    return {
            {"/nowhere", {organisation}, goodBody, 404, "unknown_path"},
            {path, {}, goodBody, 400, "missing_organisation"},
            {path, {"Cornelshed-Organisation: x"}, goodBody, 403, "unknown_organisation"},
            {path, with(organisation), goodBody, 400, "repeated_header"},
            {path, with("Cornelshed-Tier: x"), goodBody, 400, "unknown_tier"},
            {path,
             {"Cornelshed-Organisation: budget", "Cornelshed-Tier: high"},
             goodBody,
             403,
             "tier_not_allowed"},
            {path, with("Cornelshed-Deadline-Ms: soon"), goodBody, 400, "invalid_deadline"},
            {path, with("Cornelshed-Deadline-Ms: 9x"), goodBody, 400, "invalid_deadline"},
            {path, with("Cornelshed-Deadline-Ms: 0"), goodBody, 400, "deadline_passed"},
            {path, with("Cornelshed-Deadline-Ms: -5"), goodBody, 400, "deadline_passed"},
            {path, with("Cornelshed-Deadline-Ms: 30001"), goodBody, 400, "deadline_out_of_range"},
            {path, with("X-Request-Id: a b"), goodBody, 400, "invalid_request_id"},
            {path, {organisation}, "", 400, "malformed_json"},
            {path, {organisation}, "{", 400, "malformed_json"},
            {path, {organisation}, "[1]", 400, "malformed_json"},
            {path, {organisation}, std::string(200, '['), 400, "malformed_json"},
            {path, {organisation}, R"({"prompt":"p"})", 400, "missing_model"},
            {path, {organisation}, R"({"model":"x","prompt":"p"})", 404, "unknown_model"},
            {path, {organisation}, R"({"model":"writer"})", 400, "missing_prompt"},
            {path, {organisation}, R"({"model":"writer","prompt":5})", 400, "invalid_field"},
            {path, {organisation}, R"({"model":"writer","messages":[]})", 400, "invalid_field"},
            {path,
             {organisation},
             R"({"model":"writer","prompt":"p","max_tokens":0})",
             400,
             "invalid_field"},
            {path,
             {organisation},
             R"({"model":"writer","prompt":"p","stream":"yes"})",
             400,
             "invalid_field"},
            {"/orders", {organisation}, "{}", 400, "missing_idempotency_key"},
            {"/orders", with("Idempotency-Key: a b"), "{}", 400, "invalid_idempotency_key"},
    };
}

// The agent rejects until its probe has reached the server.
bool waitReady(std::uint16_t adminPort)
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

// Agent and scripted service or engine behind an entry daemon.
class Deployment
{
public:
    Deployment(PoolKind kind, BackendStub::Handler handler)
        : backend(std::move(handler)), agent(agentSettings(backend.port(), kind))
    {
        fixture.entry.configure(smallDeployment(),
                                {{"a1", "127.0.0.1", agent.daemon().entryPort(), "z1"}});
        connected = fixture.entry.waitForAgents(1) && waitReady(agent.daemon().adminPort());
    }

    Fixture fixture;
    BackendStub backend;
    AgentRunner agent;
    bool connected = false;
};

} // namespace

TEST_CASE("bad input gets its typed code, and the connection serves the next request")
{
    Fixture fixture;
    Caller caller(fixture.entry.port());
    for (const BadInput &it : badInputs()) {
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

TEST_CASE("input over a limit, and bytes that are not HTTP, are refused and the connection ends")
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

TEST_CASE("a request that does not arrive in time is ended")
{
    EntrySettings settings = entrySettings();
    settings.headerTimeoutMs = 50;
    Fixture fixture(settings);
    Caller caller(fixture.entry.port());
    caller.send("POST /v1/completions HTTP/1.1\r\nContent-");
    CHECK(caller.receive().code() == "request_timeout");
}

TEST_CASE("connections over the limit, and requests without a backend server, are not run")
{
    EntrySettings settings = entrySettings();
    settings.connectionLimitCount = 1;
    Fixture fixture(settings);
    Caller first(fixture.entry.port());
    const CallerAnswer answer = first.post("/v1/completions", {organisation}, goodBody);
    CHECK(answer.status == 503);
    CHECK(answer.code() == "no_backend_server");
    CHECK(answer.outcome == "not_run");
    Caller second(fixture.entry.port());
    const CallerAnswer refused = second.receive();
    CHECK(refused.status == 429);
    CHECK(refused.code() == "connection_limit");
    CHECK(first.post("/nowhere", {organisation}, "").status == 404);
}

TEST_CASE("without a configuration, and during shutdown, nothing runs")
{
    EntryRunner entry(entrySettings());
    CHECK_FALSE(entry.service().ready());
    Caller caller(entry.port());
    CHECK(caller.post("/v1/completions", {organisation}, goodBody).code() == "no_configuration");
    entry.configure(smallDeployment(), {});
    CHECK(entry.service().ready());
    entry.service().setReady(false);
    CHECK_FALSE(entry.service().ready());
    Caller partial(entry.port());
    partial.send("POST /v1/completions HTTP/1.1\r\n");
    while (entry.service().activeCount() == 0)
        std::this_thread::yield();
    entry.service().stopAccepting();
    const CallerAnswer answer = partial.post("/v1/completions", {organisation}, goodBody);
    CHECK(answer.status != 200);
    CHECK_FALSE(answer.keepAlive);
}

TEST_CASE("a stream is passed on as it arrives, and a cut one ends with an error event")
{
    std::promise<void> release;
    Deployment deployment(PoolKind::Engine, [&](const StubRequest &, StubReply &reply) {
        reply.beginEvents();
        reply.event("one");
        release.get_future().wait_for(std::chrono::seconds(10));
        reply.event("[DONE]");
        reply.close(); // without the last chunk
    });
    REQUIRE(deployment.connected);
    Caller caller(deployment.fixture.entry.port());
    auto answer = std::async(std::launch::async, [&] {
        return caller.post("/v1/completions", {organisation},
                           R"({"model":"writer","prompt":"p","stream":true})");
    });
    REQUIRE(deployment.backend.waitForRequest("/v1/completions"));
    release.set_value();
    const CallerAnswer whole = answer.get();
    CHECK(whole.status == 200);
    CHECK(whole.body.starts_with("data: one\n\nevent: error\ndata: {\"error\""));
    CHECK(whole.body.find("stream_cut") != std::string::npos);
    CHECK(whole.body.find("[DONE]") == std::string::npos);
    CHECK(whole.outcome == "unknown");
}

TEST_CASE("a whole answer that breaks off is unknown")
{
    Deployment deployment(PoolKind::Engine, [](const StubRequest &, StubReply &reply) {
        reply.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}");
        reply.close();
    });
    REQUIRE(deployment.connected);
    const CallerAnswer answer =
            deployment.fixture.post("/v1/completions", {organisation}, goodBody);
    CHECK(answer.status == 502);
    CHECK(answer.outcome == "unknown");
    CHECK(answer.body.find("outcome_unknown") != std::string::npos);
}

TEST_CASE("a call with a key runs once; its retries get the stored answer or a typed refusal")
{
    std::atomic<int> runs {0};
    Deployment deployment(PoolKind::Service, [&](const StubRequest &, StubReply &reply) {
        reply.whole(201, "order " + std::to_string(++runs));
    });
    REQUIRE(deployment.connected);
    const std::vector<std::string> headers {organisation, "Idempotency-Key: k1"};
    Fixture &fixture = deployment.fixture;
    const CallerAnswer first = fixture.post("/orders", headers, "{}");
    CHECK(first.status == 201);
    CHECK(first.outcome == "answered");
    const CallerAnswer again = fixture.post("/orders", headers, "{}");
    CHECK(again.status == 201);
    CHECK(again.body == first.body);
    CHECK(runs == 1);
    const CallerAnswer other = fixture.post("/orders", headers, "{\"x\":1}");
    CHECK(other.status == 422);
    CHECK(other.code() == "idempotency_key_reused");
    fixture.entry.control().setAvailable(false);
    const CallerAnswer refused =
            fixture.post("/orders", {organisation, "Idempotency-Key: k2"}, "{}");
    CHECK(refused.status == 503);
    CHECK(refused.outcome == "not_run");
    CHECK(runs == 1);
}

TEST_CASE("a caller that disconnects has its request cancelled at the engine")
{
    std::promise<void> release;
    Deployment deployment(PoolKind::Engine, [&](const StubRequest &, StubReply &reply) {
        reply.beginEvents();
        reply.event("one");
        release.get_future().wait_for(std::chrono::seconds(10));
    });
    REQUIRE(deployment.connected);
    Caller caller(deployment.fixture.entry.port());
    caller.send("POST /v1/completions HTTP/1.1\r\n" + organisation
                + "\r\nContent-Length: " + std::to_string(goodBody.size()) + "\r\n\r\n" + goodBody);
    REQUIRE(deployment.backend.waitForRequest("/v1/completions"));
    caller.close();
    CHECK(deployment.backend.waitForRequest("/control/cancel"));
    release.set_value();
}

TEST_CASE("an agent that left and came back under its name and address is used again")
{
    BackendStub backend([](const StubRequest &, StubReply &reply) { reply.whole(200, "{}"); });
    AgentSettings settings = agentSettings(backend.port());
    Fixture fixture;
    for (int n = 0; n < 2; ++n) {
        AgentRunner agent(settings);
        settings.entryPort = agent.daemon().entryPort();
        fixture.entry.configure(smallDeployment(), {{"a1", "127.0.0.1", settings.entryPort, "z1"}});
        REQUIRE(fixture.entry.waitForAgents(1));
        REQUIRE(waitReady(agent.daemon().adminPort()));
        CHECK(fixture.post("/v1/completions", {organisation}, goodBody).status == 200);
        CHECK(agent.shutDown() == DaemonStatus::Success);
        while (fixture.entry.service().connectedAgentCount() > 0)
            std::this_thread::yield();
    }
}
