// Guards against requests that come late in the grace of a planned stop, are sent to a server, and
// are cut without an answer when the grace ends, or refused as not run although they ran.

#include "gatewayfixture.h"

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <future>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace cornelshed;
using namespace cornelshed::testing;
using namespace std::chrono_literals;

namespace {

constexpr auto announceTime = 500ms;
constexpr auto graceTime = 3000ms;
constexpr int tenths = 10;
// Time limits of requests: of one on which the server works for long, it ends after the grace if
// the request comes later than its first tenth.
constexpr auto shortLimit = 1000ms;
constexpr auto longLimit = 2600ms;
constexpr auto longWork = 2100ms;
// Between the head and the body of a slow request: one may begin before the gateway closes its idle
// connections and be complete after it.
constexpr auto bodyPause = 400ms;

enum class Connection { New, Open, OpenWithSlowBody };

struct LateRequest
{
    std::string path;
    Connection connection = Connection::New;
    std::string work; // how long the server takes: "short", "long" or "stuck"
};

std::vector<LateRequest> lateRequests()
{
    std::vector<LateRequest> requests;
    for (const char *path : {"/order/", "/look/", "/quote/", "/query/"}) {
        for (const Connection it :
             {Connection::New, Connection::Open, Connection::OpenWithSlowBody}) {
            for (const char *work : {"short", "long", "stuck"})
                requests.push_back({path, it, work});
        }
    }
    return requests;
}

class StoppingGateway
{
public:
    StoppingGateway()
        : m_server([this](const StubRequest &request, StubReply &reply) { serve(request, reply); })
    {
        BackendRecord record = gatewayBackend("i-1", m_server.port());
        record.slots = 500;
        RouteTableContent content = gatewayRouteTable();
        content.limits.idleTimeout = 30s;
        m_gateway.configure(content, {record});
    }

    ~StoppingGateway()
    {
        if (m_stopped.valid())
            m_stopped.wait();
    }

    std::uint16_t port() const { return m_gateway.port(); }

    void stop()
    {
        m_gateway.runOnTrafficThread([this] {
            m_stopped = m_done.get_future();
            m_gateway.gateway().drain(announceTime, graceTime, [this] { m_done.set_value(); });
        });
    }

    bool hasRun(const std::string &id) const
    {
        const std::lock_guard lock(m_mutex);
        return m_ran.contains(id);
    }

private:
    void serve(const StubRequest &request, StubReply &reply)
    {
        const std::string id = requestIdOf(request);
        {
            const std::lock_guard lock(m_mutex);
            m_ran.insert(id);
        }
        const bool isStream = request.target == "/quote/" || request.target == "/query/";
        const bool isStuck = request.body == "stuck";
        if (isStream) {
            reply.send(streamResponseHead(id));
            reply.send(chunk(eventText(1)));
        }
        std::this_thread::sleep_for(isStuck ? graceTime : request.body == "long" ? longWork : 10ms);
        if (isStream)
            reply.send(chunk(eventText(2)) + "0\r\n\r\n");
        else
            reply.send(responseText(id, 200, "done"));
    }

    mutable std::mutex m_mutex;
    std::set<std::string> m_ran; // ids
    BackendStub m_server;
    GatewayRunner m_gateway;
    std::promise<void> m_done;
    std::future<void> m_stopped;
};

struct LateAnswer
{
    std::string id;
    LateRequest request;
    int tenth = 0;
    bool sent = false;
    bool isPastLimit = false; // of the request, when the answer ended
    CallerAnswer answer;
};

LateAnswer sendLate(const StoppingGateway &gateway, Caller *open, const LateRequest &request,
                    int tenth)
{
    using Clock = std::chrono::steady_clock;
    const std::string id = request.path + request.work + std::to_string(tenth) + "-"
            + std::to_string(static_cast<int>(request.connection));
    const auto limit = request.work == "long" ? longLimit : shortLimit;
    LateAnswer result {id, request, tenth, false, false, {}};
    const std::string text = "POST " + request.path + " HTTP/1.1\r\nHost: shop.example\r\n"
            + "X-Request-Id: " + id
            + "\r\nX-Key: key-1\r\nX-Deadline-Ms: " + std::to_string(limit.count())
            + "\r\nContent-Length: " + std::to_string(request.work.size()) + "\r\n\r\n";
    try {
        std::unique_ptr<Caller> own;
        if (request.connection == Connection::New)
            own = std::make_unique<Caller>(gateway.port());
        Caller &caller = own ? *own : *open;
        if (caller.isClosed())
            return result;
        const auto sentAt = Clock::now();
        if (request.connection == Connection::OpenWithSlowBody) {
            caller.send(text);
            std::this_thread::sleep_for(bodyPause);
            caller.send(request.work);
        } else {
            caller.send(text + request.work);
        }
        result.sent = true;
        result.answer = caller.receive();
        result.isPastLimit = Clock::now() >= sentAt + limit;
    } catch (const std::exception &) {
        // The connection was refused, or closed before the request.
    }
    return result;
}

} // namespace

TEST_CASE("requests at each tenth of the grace of a planned stop are answered or truly refused")
{
    StoppingGateway gateway;
    const std::vector<LateRequest> requests = lateRequests();
    std::vector<std::unique_ptr<Caller>> open;
    for (std::size_t n = 0; n < requests.size() * tenths; ++n) {
        open.push_back(std::make_unique<Caller>(gateway.port()));
        open.back()->send(requestText("POST", "/order/", "warm-" + std::to_string(n), {}, "short"));
        REQUIRE(open.back()->receive().status == 200);
    }
    const auto begin = std::chrono::steady_clock::now();
    gateway.stop();
    std::vector<std::future<LateAnswer>> answers;
    for (int tenth = 0; tenth < tenths; ++tenth) {
        std::this_thread::sleep_until(begin + graceTime * tenth / tenths);
        for (const LateRequest &it : requests) {
            Caller *caller = open[answers.size()].get();
            answers.push_back(std::async(std::launch::async, [&gateway, caller, it, tenth] {
                return sendLate(gateway, caller, it, tenth);
            }));
        }
    }
    std::size_t answered = 0;
    std::size_t refused = 0;
    for (auto &it : answers) {
        const LateAnswer late = it.get();
        const bool hasRun = gateway.hasRun(late.id);
        CAPTURE(late.id);
        CAPTURE(late.answer.status);
        if (hasRun && !late.isPastLimit)
            CHECK(late.answer.status != 0);
        if (late.answer.status == 503 || late.answer.status == 429)
            CHECK_FALSE(hasRun);
        if (hasRun && late.request.work != "stuck" && !late.isPastLimit)
            CHECK(late.answer.status == 200);
        answered += late.answer.status == 200 ? 1 : 0;
        refused += late.answer.status == 503 ? 1 : 0;
    }
    CHECK(answered > 0);
    CHECK(refused > 0);
}
