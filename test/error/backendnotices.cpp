// Guards against backend servers that get requests after they said in an answer that they leave, or
// before the end of a pause that they asked for: whatever the kind of the answer, and whether the
// request waits, is repeated or is new. A gateway runs in front of scripted backend servers.

#include "gatewayrunner.h"
#include "serviceserver.h"
#include "standinhost.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>

using namespace cornelshed;
using namespace cornelshed::testing;
using namespace std::chrono_literals;

namespace {

const std::string leaving = "Server-Leaving: 1\r\n";

std::string headerValue(const Headers &headers, const std::string &name)
{
    const auto it = std::find_if(headers.begin(), headers.end(),
                                 [&](const auto &header) { return header.first == name; });
    return it == headers.end() ? std::string() : it->second;
}

std::string head(const StubRequest &request, const std::string &status, const std::string &headers)
{
    return "HTTP/1.1 " + status + "\r\nX-Request-Id: "
            + headerValue(request.headers, "X-Request-Id") + "\r\n" + headers;
}

// Sends a request and returns the status of the answer.
int statusOf(GatewayRunner &gateway, const std::string &id, const std::string &target = "/look/a")
{
    Caller caller(gateway.port());
    caller.send("GET " + target + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id
                + "\r\nX-Key: key-1\r\nX-Deadline-Ms: 2000\r\n\r\n");
    return caller.receive().status;
}

// Kinds of answers that a backend server may say something in.

void answerWhole(const StubRequest &request, StubReply &reply, const std::string &notice)
{
    reply.send(head(request, "200 OK",
                    "X-Response-Seal: s\r\n" + notice + "Content-Length: 2\r\n\r\nok"));
}

void answerRefused(const StubRequest &request, StubReply &reply, const std::string &notice)
{
    reply.send(
            head(request, "503 x", "X-Not-Executed: 1\r\n" + notice + "Content-Length: 0\r\n\r\n"));
}

void answerFailed(const StubRequest &request, StubReply &reply, const std::string &notice)
{
    reply.send(head(request, "500 x",
                    "X-Response-Seal: s\r\n" + notice + "Content-Length: 0\r\n\r\n"));
}

void answerStreamed(const StubRequest &request, StubReply &reply, const std::string &notice)
{
    reply.send(head(request, "200 OK",
                    "X-Response-Seal: s\r\n" + notice + "Transfer-Encoding: chunked\r\n\r\n"));
    for (int n = 1; n <= 3; ++n)
        reply.send("12\r\nid: " + std::to_string(n) + "\ndata: abcd\n\n\r\n");
    reply.send("0\r\n\r\n");
}

void answerUnframed(const StubRequest &request, StubReply &reply, const std::string &notice)
{
    reply.send(head(request, "200 OK", "X-Response-Seal: s\r\n" + notice + "\r\nok"));
    reply.close();
}

void answerBrokenOff(const StubRequest &request, StubReply &reply, const std::string &notice)
{
    reply.send(head(request, "200 OK",
                    "X-Response-Seal: s\r\n" + notice + "Content-Length: 9\r\n\r\nok"));
    reply.close();
}

using Answer = std::function<void(const StubRequest &, StubReply &, const std::string &)>;

// The first backend server answers with a notice as long as there is one; the second one answers
// plainly.
class Fixture
{
public:
    explicit Fixture(const Answer &answer, const std::string &notice)
        : first([this, answer, notice](const StubRequest &request, StubReply &reply) {
              if (m_speaks)
                  answer(request, reply, notice);
              else
                  answerWhole(request, reply, {});
          }),
          second([](const StubRequest &request, StubReply &reply) {
              request.target.starts_with("/quote/") ? answerStreamed(request, reply, {})
                                                    : answerWhole(request, reply, {});
          })
    {
        list({record(), gatewayBackend("i-2", second.port())});
    }

    BackendRecord record(std::int64_t startedAtMs = 1000) const
    {
        BackendRecord made = gatewayBackend("i-1", first.port());
        made.startedAtMs = startedAtMs;
        return made;
    }

    void list(const std::vector<BackendRecord> &records)
    {
        runner.configure(gatewayRouteTable(), records);
    }

    void speakPlainly() { m_speaks = false; }

    int send(const std::string &target = "/look/a")
    {
        return statusOf(runner, "r-" + std::to_string(++m_sent), target);
    }

    std::size_t arrivals() const { return first.requests().size(); }

    std::atomic<bool> m_speaks {true};
    int m_sent = 0;
    BackendStub first;
    BackendStub second;
    GatewayRunner runner;
};

} // namespace

// Requests would go on to a server that stops, whatever the answer that announced it.
TEST_CASE("a backend server that says in an answer that it leaves gets nothing more")
{
    const std::vector<std::pair<std::string, Answer>> answers {
            {"whole", answerWhole},       {"refused", answerRefused},
            {"failed", answerFailed},     {"streamed", answerStreamed},
            {"unframed", answerUnframed}, {"broken off", answerBrokenOff}};
    for (const auto &it : answers) {
        INFO(it.first);
        Fixture fixture(it.second, leaving);
        const std::string target = it.first == "streamed" ? "/quote/a" : "/look/a";
        CHECK(fixture.send(target) == 200);
        std::this_thread::sleep_for(60ms); // one that refused a request is avoided for a moment
        for (int n = 0; n < 12; ++n)
            CHECK(fixture.send(target) == 200);
        CHECK(fixture.arrivals() == 1);
    }
}

// A store that goes on listing the server, or lists it again, would bring the requests back.
TEST_CASE("a backend server that leaves comes back only with a new start or id")
{
    Fixture fixture(answerWhole, leaving);
    fixture.send();
    REQUIRE(fixture.arrivals() == 1);
    fixture.speakPlainly();
    const BackendRecord other = gatewayBackend("i-2", fixture.second.port());
    fixture.list({other});
    fixture.list({fixture.record(), other});
    BackendRecord changed = fixture.record();
    changed.slots = 9;
    fixture.list({changed, other});
    for (int n = 0; n < 6; ++n)
        fixture.send();
    CHECK(fixture.arrivals() == 1);
    fixture.list({fixture.record(2000), other});
    for (int n = 0; n < 6; ++n)
        fixture.send();
    CHECK(fixture.arrivals() > 1);
}

// Another server's word would take a sound one away.
TEST_CASE("an answer of a server that now has the address does not count")
{
    Fixture fixture(
            [](const StubRequest &request, StubReply &reply, const std::string &notice) {
                reply.send(head(request, "421 x", notice + "Content-Length: 0\r\n\r\n"));
            },
            leaving);
    CHECK(fixture.send() == 200);
    REQUIRE(fixture.arrivals() == 1);
    fixture.speakPlainly();
    BackendRecord corrected = fixture.record();
    corrected.slots = 9;
    fixture.list({corrected, gatewayBackend("i-2", fixture.second.port())});
    for (int n = 0; n < 6; ++n)
        fixture.send();
    CHECK(fixture.arrivals() > 1);
}

// Gateways that have not heard it themselves would go on sending until the server has stopped.
TEST_CASE("a gateway learns from its peers that a backend server leaves")
{
    Fixture fixture(answerWhole, leaving);
    GatewayRunner peer("gateway-2", 2);
    peer.configure(gatewayRouteTable(),
                   {fixture.record(), gatewayBackend("i-2", fixture.second.port())});
    fixture.send();
    REQUIRE(fixture.arrivals() == 1);
    fixture.runner.reportTo(peer);
    for (int n = 0; n < 6; ++n) {
        CHECK(statusOf(peer, "p-" + std::to_string(n)) == 200);
    }
    CHECK(fixture.arrivals() == 1);
}

// A server that turns requests away would get the next ones at once.
TEST_CASE("a backend server that asks for a pause gets nothing until its end, and then again")
{
    Fixture fixture(answerRefused, "Retry-After: 0.9\r\n");
    const auto until = std::chrono::steady_clock::now() + 800ms;
    while (std::chrono::steady_clock::now() < until) {
        CHECK(fixture.send() == 200);
        std::this_thread::sleep_for(10ms);
    }
    CHECK(fixture.arrivals() == 1);
    fixture.speakPlainly();
    std::this_thread::sleep_for(150ms);
    for (int n = 0; n < 6; ++n)
        CHECK(fixture.send() == 200);
    CHECK(fixture.arrivals() > 1);
}

// Callers would wait for a server that takes nothing before they give up, or be told to return
// while nothing can be had.
TEST_CASE("if all backend servers ask for a long pause, callers are refused at once")
{
    Fixture fixture(answerRefused, "Retry-After: 20\r\n");
    fixture.list({fixture.record()});
    CHECK(fixture.send() == 503);
    const auto sentAt = std::chrono::steady_clock::now();
    CHECK(fixture.send() == 503);
    CHECK(std::chrono::steady_clock::now() - sentAt < 200ms);
    CHECK(fixture.arrivals() == 1);
}

// The stand-in would say something else than the platform's servers, and runs with it prove
// nothing.
TEST_CASE("the service stand-in leaves and asks for pauses, and a gateway keeps to both")
{
    using Service = StandInHost<standins::ServiceServer>;
    const auto services = [](const standins::ServiceNotices &notices) {
        return std::make_unique<Service>(0ms, std::string(), notices);
    };
    const auto leavingService = services({0ms, 0, {}});
    const auto pausingService = services({std::nullopt, 1, "60"});
    const auto plainService = services({});
    GatewayRunner runner;
    runner.configure(gatewayRouteTable(),
                     {gatewayBackend("i-1", leavingService->port()),
                      gatewayBackend("i-2", pausingService->port()),
                      gatewayBackend("i-3", plainService->port())});
    for (int n = 0; n < 12; ++n) {
        CHECK(statusOf(runner, "r-" + std::to_string(n)) == 200);
        std::this_thread::sleep_for(10ms); // longer in all than a refusal alone keeps requests away
    }
    CHECK(leavingService->call("GET", "/requests").body == "1");
    CHECK(pausingService->call("GET", "/requests").body == "1");
}
