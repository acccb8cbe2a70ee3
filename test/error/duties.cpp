// Guards against usage that a running gateway does not send, sends with other counts after a call
// that was refused or not answered, or counts twice, and against a gateway without duties that
// calls anything for them. The store and the platform's endpoint are servers on loopback.

#include "dutyrunner.h"
#include "dutystate.h"
#include "gatewayfixture.h"
#include "platformduties.h"
#include "platformstore.h"
#include "storestub.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/json.hpp>

#include <doctest/doctest.h>

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <thread>

using namespace cornelshed;
using namespace cornelshed::testing;
using namespace std::chrono_literals;

namespace {

// The platform's endpoint. Handles calls as the test says, by their number from 0.
class Endpoint
{
public:
    using Answer = std::function<void(std::size_t call, StubReply &reply)>;

    explicit Endpoint(const Answer &answer = accept)
        : m_server([answer, this](const StubRequest & /*request*/, StubReply &reply) {
              answer(m_calls++, reply);
          })
    { }

    static void accept(std::size_t /*call*/, StubReply &reply) { reply.sendResponse(200, "{}"); }

    std::uint16_t port() const { return m_server.port(); }
    std::vector<StubRequest> calls() const { return m_server.requests(); }

private:
    std::atomic<std::size_t> m_calls {0};
    BackendStub m_server;
};

struct UsageCall
{
    std::string holder;
    std::uint64_t number = 0;
    std::int64_t window = 0;
    std::map<std::string, std::uint64_t> counts;
};

UsageCall parseUsage(const StubRequest &request)
{
    CHECK(request.method == "POST");
    CHECK(request.target == "/usage");
    CHECK(headerValue(request.headers, "Content-Type") == "application/json");
    UsageCall call;
    call.holder = headerValue(request.headers, "X-Duty-Holder");
    call.number = std::stoull(headerValue(request.headers, "X-Fence-Token"));
    const auto body = boost::json::parse(request.body).as_object();
    call.window = body.at("window").to_number<std::int64_t>();
    for (const auto &it : body.at("counts").as_object())
        call.counts[std::string(it.key())] = it.value().to_number<std::uint64_t>();
    return call;
}

// The part of a gateway that runs the duties, on a thread of its own.
class Member
{
public:
    Member(const std::string &name, std::uint64_t incarnation, const StoreStub &stub,
           const Endpoint &endpoint)
        : m_store(m_context, "127.0.0.1", stub.port(), 400ms), state(500ms, DutyClocks::ofHost())
    {
        state.addOrganisations({"acme", "other"});
        DutyRunnerSettings settings;
        settings.holder = name;
        settings.incarnation = incarnation;
        settings.address = "127.0.0.1";
        settings.port = endpoint.port();
        settings.reportsUsage = true;
        settings.lease = 900ms;
        settings.thaw = 100ms;
        settings.window = 500ms;
        settings.usageLate = 4s;
        m_runner = std::make_unique<DutyRunner>(m_context, m_store, m_codec, state, settings,
                                                m_metrics);
        m_store.setEraHandler([this](std::uint64_t era) { m_runner->storeEraRead(era); });
        m_runner->start();
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~Member() { kill(); }
    Member(const Member &) = delete;
    Member &operator=(const Member &) = delete;

    void kill()
    {
        m_context.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    void reportTo(Member &peer, std::uint64_t incarnation)
    {
        const auto report = decodeDutyReport(encodeDutyReport(state.composeReport()));
        REQUIRE(report);
        peer.state.applyReport(incarnation, *report);
    }

    std::string metrics() { return m_metrics.text(); }

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work {
            m_context.get_executor()};
    PlatformStore m_store;
    PlatformDuties m_codec;
    Metrics m_metrics;

public:
    DutyState state;

private:
    std::unique_ptr<DutyRunner> m_runner;
    std::thread m_thread;
};

// Waits for 15 s at most.
template<typename Condition> bool waitUntil(Condition condition)
{
    for (int n = 0; n < 1500; ++n) {
        if (condition())
            return true;
        std::this_thread::sleep_for(10ms);
    }
    return false;
}

// Sum over the windows; each window once.
std::uint64_t totalOf(const Endpoint &endpoint, const std::string &organisation)
{
    std::map<std::int64_t, std::uint64_t> counts;
    for (const StubRequest &it : endpoint.calls()) {
        UsageCall call = parseUsage(it);
        counts[call.window] = call.counts[organisation];
    }
    std::uint64_t sum = 0;
    for (const auto &[window, count] : counts)
        sum += count;
    return sum;
}

} // namespace

TEST_CASE("usage is sent again with the same counts after a 429 and after a call without an answer")
{
    StoreStub store;
    Endpoint endpoint([](std::size_t call, StubReply &reply) {
        if (call == 0)
            reply.sendResponse(429, "{}");
        else if (call > 1) // the second call gets no answer
            reply.sendResponse(200, "{}");
    });
    Member member("gateway-1", 9, store, endpoint);
    for (int n = 0; n < 200; ++n) {
        member.state.countRequest("acme");
        std::this_thread::sleep_for(10ms);
    }
    REQUIRE(waitUntil([&] { return totalOf(endpoint, "acme") == 200; }));
    std::map<std::int64_t, std::set<std::string>> bodies;
    std::map<std::int64_t, int> attempts;
    std::set<std::uint64_t> numbers;
    for (const StubRequest &it : endpoint.calls()) {
        const UsageCall call = parseUsage(it);
        bodies[call.window].insert(it.body);
        ++attempts[call.window];
        numbers.insert(call.number);
        CHECK(call.holder == "gateway-1");
    }
    CHECK(numbers.size() == 1);
    int repeated = 0;
    for (const auto &[window, texts] : bodies) {
        CHECK(texts.size() == 1);
        repeated += attempts[window] - 1;
    }
    CHECK(repeated == 2);
    CHECK(member.metrics().find("cornelshed_gateway_duty_held 1") != std::string::npos);
}

TEST_CASE("after the death of the holder another gateway sends the counts of both")
{
    StoreStub store;
    Endpoint endpoint;
    auto first = std::make_unique<Member>("gateway-1", 1, store, endpoint);
    REQUIRE(waitUntil([&] { return !endpoint.calls().empty(); }));
    Member second("gateway-2", 2, store, endpoint);
    for (int n = 0; n < 100; ++n) {
        first->state.countRequest("acme");
        second.state.countRequest("acme");
        second.state.countRequest("other");
        first->reportTo(second, 1);
        second.reportTo(*first, 2);
        std::this_thread::sleep_for(10ms);
    }
    first->reportTo(second, 1);
    first->kill();
    waitUntil(
            [&] { return totalOf(endpoint, "acme") == 200 && totalOf(endpoint, "other") == 100; });
    CHECK(totalOf(endpoint, "acme") == 200);
    CHECK(totalOf(endpoint, "other") == 100);
    std::map<std::string, std::uint64_t> numbers;
    std::map<std::int64_t, std::set<std::string>> bodies;
    for (const StubRequest &it : endpoint.calls()) {
        const UsageCall call = parseUsage(it);
        CHECK(numbers.emplace(call.holder, call.number).first->second == call.number);
        bodies[call.window].insert(it.body);
    }
    REQUIRE(numbers.size() == 2);
    CHECK(numbers["gateway-1"] < numbers["gateway-2"]);
    for (const auto &[window, texts] : bodies)
        CHECK(texts.size() == 1);
}

TEST_CASE("a return of the store from an older copy gives no number and no count out again")
{
    StoreStub store;
    Endpoint endpoint;
    Member member("gateway-1", 1, store, endpoint);
    const auto count = [&](int requests) {
        for (int n = 0; n < requests; ++n) {
            member.state.countRequest("acme");
            std::this_thread::sleep_for(10ms);
        }
    };
    store.keepCopy();
    count(300);
    REQUIRE(waitUntil([&] { return !endpoint.calls().empty(); }));
    const std::uint64_t before = parseUsage(endpoint.calls().back()).number;
    store.returnFromCopy();
    count(300);
    REQUIRE(waitUntil([&] { return parseUsage(endpoint.calls().back()).number > before; }));
    std::map<std::int64_t, std::set<std::string>> bodies;
    for (const StubRequest &it : endpoint.calls())
        bodies[parseUsage(it).window].insert(it.body);
    for (const auto &[window, texts] : bodies)
        CHECK(texts.size() == 1);
}

TEST_CASE("a gateway counts each request once, when it begins to run")
{
    std::mutex mutex;
    std::map<std::string, int> attempts;
    GatewayFixture fixture([&](const StubRequest &request, StubReply &reply) {
        const std::string id = requestIdOf(request);
        int attempt = 0;
        {
            const std::lock_guard lock(mutex);
            attempt = attempts[id]++;
        }
        if (id == "stream") {
            reply.send(streamResponseHead(id) + chunk(eventText(1)) + chunk(eventText(2))
                       + "0\r\n\r\n");
        } else if (id == "empty") { // no event
            reply.send(streamResponseHead(id) + "0\r\n\r\n");
        } else if (id == "repeated" && attempt == 0) {
            reply.send(responseText(id, 500, "error"));
        } else if (id == "refused") {
            reply.send(
                    responseText(id, 503, "full", "X-Response-Seal: s\r\nX-Not-Executed: 1\r\n"));
        } else {
            sendCompleteResponse(request, reply);
        }
    });
    std::map<std::string, int> counted;
    fixture.runner.runOnTrafficThread([&] {
        fixture.runner.gateway().setUsageCounter(
                [&](const std::string &organisation) { ++counted[organisation]; });
    });
    const auto countOf = [&] {
        int count = 0;
        fixture.runner.runOnTrafficThread([&] { count = counted["acme"]; });
        return count;
    };
    CHECK(fixture.sendAndReceive(requestText("GET", "/look/a", "plain")).status == 200);
    CHECK(countOf() == 1);
    CHECK(fixture.sendAndReceive(requestText("GET", "/look/a", "repeated")).status == 200);
    CHECK(attempts["repeated"] == 2);
    CHECK(countOf() == 2);
    CHECK(fixture.sendAndReceive(requestText("POST", "/quote/a", "stream")).status == 200);
    CHECK(countOf() == 3);
    CHECK(fixture.sendAndReceive(requestText("POST", "/order/a", "order")).status == 200);
    CHECK(countOf() == 4);
    CHECK(fixture.sendAndReceive(requestText("POST", "/order/a", "refused")).status == 503);
    CHECK(countOf() == 4);
    CHECK(fixture.sendAndReceive(requestText("GET", "/nowhere", "lost")).status == 404);
    CHECK(countOf() == 4);
    fixture.sendAndReceive(requestText("POST", "/quote/a", "empty"));
    CHECK(countOf() == 4);
}
