// Guards against requests that end without an answer, run twice or are refused although they ran
// while only planned work goes on: gateways are stopped one after the other and at the same time,
// configurations follow each other, and servers leave the list. The backend servers are sound, but
// some fall silent for a while, also before they read a request, and some requests have bodies that
// are longer than the socket buffers. Callers keep using their connections until a response says
// that the connection closes; some pause between their requests and look whether it was closed.
//
// CORNELSHED_SOAK_SEED sets the first seed (default 1) and CORNELSHED_SOAK_SEEDS the number of
// seeds (default 1):
//     CORNELSHED_SOAK_SEEDS=50 build/test_error_plannedwork

#include "gatewayfixture.h"
#include "soak.h"

#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

using namespace cornelshed;
using namespace cornelshed::testing;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t backendCount = 4;
constexpr std::size_t gatewayCount = 3;
constexpr std::size_t callerCount = 12;
constexpr int streamEvents = 5;
constexpr auto runDuration = 8s;
constexpr std::size_t longBodyBytes = 400000;
constexpr auto callerLimit = 2500ms; // X-Deadline-Ms of the requests
// The users allow an answer to come this much after the time limit.
constexpr auto lateness = 500ms;

// A sound server: one in eight requests is answered after a pause, or with one in the stream.
BackendStub::Handler soundServer(ExecutionCounts &executions)
{
    return [&executions](const StubRequest &request, StubReply &reply) {
        const std::string id = requestIdOf(request);
        executions.add(id);
        const std::size_t digest = std::hash<std::string> {}(id);
        const bool isSilent = digest % 8 == 0;
        if (!request.target.starts_with("/quote/")) {
            std::this_thread::sleep_for(isSilent ? 900ms : 10ms);
            reply.send(responseText(id, 200, id));
            return;
        }
        const std::string lastEventId = headerValue(request.headers, "Last-Event-Id");
        reply.send(streamResponseHead(id));
        for (int n = lastEventId.empty() ? 1 : std::stoi(lastEventId) + 1; n <= streamEvents; ++n) {
            if (isSilent && n == 3 && lastEventId.empty())
                std::this_thread::sleep_for(1200ms);
            reply.send(chunk(eventText(n)));
            std::this_thread::sleep_for(8ms);
        }
        reply.send("0\r\n\r\n");
    };
}

// A gateway that is stopped and started again on another port. Callers read the port.
class RestartableGateway
{
public:
    explicit RestartableGateway(std::size_t number) : m_number(number) { start(); }

    std::uint16_t port() const { return m_port; }
    bool stopping() const { return m_stopping; }

    void configure(const RouteTableContent &content, const std::vector<BackendRecord> &backends)
    {
        const std::lock_guard lock(m_mutex);
        m_content = content;
        m_backends = backends;
        if (!m_stopping)
            m_runner->configure(content, backends);
    }

    void restart()
    {
        std::promise<void> done;
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_runner->runOnTrafficThread(
                [&] { m_runner->gateway().drain(300ms, 6s, [&] { done.set_value(); }); });
        done.get_future().wait();
        const std::lock_guard lock(m_mutex);
        m_runner = nullptr;
        start();
        m_runner->configure(m_content, m_backends);
        m_stopping = false;
    }

private:
    void start()
    {
        m_runner = std::make_unique<GatewayRunner>("gateway-" + std::to_string(m_number),
                                                   static_cast<std::uint64_t>(++m_incarnation));
        m_port = m_runner->port();
    }

    std::size_t m_number;
    int m_incarnation = 0;
    std::mutex m_mutex; // guards the members below
    std::unique_ptr<GatewayRunner> m_runner;
    RouteTableContent m_content;
    std::vector<BackendRecord> m_backends;
    std::atomic<std::uint16_t> m_port {0};
    std::atomic<bool> m_stopping {false};
};

class PlannedWorkRun
{
public:
    explicit PlannedWorkRun(std::uint64_t seed)
        : m_seed(seed), m_configRandom(seed), m_stopRandom(seed + 1000000)
    {
        for (std::size_t n = 0; n < backendCount; ++n)
            m_backends.push_back(std::make_unique<BackendStub>(soundServer(m_executions)));
        for (const auto &it : m_backends)
            it->setReadPause([this] { return ++m_reads % 15 == 0 ? 1700ms : 0ms; });
        for (std::size_t n = 0; n < gatewayCount; ++n)
            m_gateways.push_back(std::make_unique<RestartableGateway>(n));
        changeConfiguration();
    }

    void run()
    {
        std::vector<std::thread> threads;
        threads.reserve(callerCount + gatewayCount);
        for (std::size_t n = 0; n < callerCount; ++n)
            threads.emplace_back([this, n] { runCaller(n); });
        threads.emplace_back([this] {
            while (!m_stopped) {
                changeConfiguration();
                std::this_thread::sleep_for(100ms
                                            + std::chrono::milliseconds(m_configRandom.below(300)));
            }
        });
        // Stops of two gateways overlap; one gateway serves on.
        for (std::size_t n = 1; n < gatewayCount; ++n) {
            const auto pause = std::chrono::milliseconds(200 + m_stopRandom.below(800));
            threads.emplace_back([this, n, pause] {
                while (!m_stopped) {
                    std::this_thread::sleep_for(pause);
                    m_gateways[n]->restart();
                }
            });
        }
        std::this_thread::sleep_for(runDuration);
        m_stopped = true;
        for (std::thread &it : threads)
            it.join();
        checkExecutions();
    }

    int answered() const { return m_answered; }
    int refused() const { return m_refusedCount; }
    int crossed() const { return m_crossed; }
    std::vector<std::string> problems() const { return m_problems; }

private:
    // Routes move between two services, time limits change and a server leaves or returns. What an
    // earlier configuration allows stays allowed, so that no request is denied.
    void changeConfiguration()
    {
        RouteTableContent content = gatewayRouteTable();
        content.version = ++m_version;
        content.services = {{"writer", 0}, {"scribe", 0}};
        content.organisations = {{"acme", {"key-1"}, 0, 1e9, 1e9, false, 100}};
        for (DirectRoute &it : content.routes) {
            it.timeout = 2600ms + std::chrono::milliseconds(m_configRandom.below(2000));
            it.objective = 2s; // so that requests wait for a server instead of being refused
            it.services = {{m_configRandom.below(2) == 0 ? "writer" : "scribe", 1}};
        }
        content.limits.bodyBytes = 2 * longBodyBytes;
        content.limits.idleTimeout = 200ms + std::chrono::milliseconds(m_configRandom.below(1500));
        const std::size_t left = m_configRandom.below(2 * backendCount);
        std::vector<BackendRecord> records;
        for (std::size_t n = 0; n < m_backends.size(); ++n) {
            BackendRecord record = gatewayBackend("i-" + std::to_string(n), m_backends[n]->port());
            record.service = n % 2 == 0 ? "writer" : "scribe";
            record.slots = 12;
            if (n != left)
                records.push_back(record);
        }
        for (const auto &it : m_gateways)
            it->configure(content, records);
    }

    void runCaller(std::size_t n)
    {
        SeededRandom random(m_seed * 100 + n);
        const bool pauses = n % 2 == 0;
        std::unique_ptr<Caller> caller;
        RestartableGateway *gateway = nullptr;
        const std::array<const char *, 3> paths {"/order/", "/look/", "/quote/"};
        for (int i = 0; !m_stopped; ++i) {
            if (pauses)
                std::this_thread::sleep_for(std::chrono::milliseconds(random.below(60)));
            if (!caller || (pauses && caller->isClosed())) {
                gateway = m_gateways[random.below(gatewayCount)].get();
                if (gateway->stopping())
                    gateway = m_gateways.front().get();
                try {
                    caller = std::make_unique<Caller>(gateway->port());
                } catch (const std::exception &) {
                    caller = nullptr; // the gateway has stopped meanwhile
                    continue;
                }
            }
            const std::string path = paths[static_cast<std::size_t>(i) % paths.size()];
            const std::string id = std::to_string(m_seed)
                                           .append("-")
                                           .append(std::to_string(n))
                                           .append("-")
                                           .append(std::to_string(i));
            const std::size_t bodyBytes = random.below(5) == 0 ? longBodyBytes : 2;
            std::string text = requestText("POST", path, id, {}, std::string(bodyBytes, 'a'));
            text.replace(text.find("2000"), 4, std::to_string(callerLimit / 1ms));
            const auto sentAt = Clock::now();
            const bool wasStopping = gateway->stopping();
            caller->send(text);
            const CallerAnswer answer = caller->receive();
            const bool mayCross = pauses && (wasStopping || gateway->stopping());
            check(id, path, answer, Clock::now() - sentAt, mayCross);
            if (answer.status == 0 || !answer.keepAlive)
                caller = nullptr;
        }
    }

    void check(const std::string &id, const std::string &path, const CallerAnswer &answer,
               Clock::duration elapsed, bool mayCross)
    {
        const std::lock_guard lock(m_mutex);
        if (path == "/order/")
            m_nonIdempotentIds.push_back(id);
        if (elapsed > callerLimit + lateness)
            m_problems.push_back(id + " was held beyond its time limit");
        if (answer.status == 503 || answer.status == 429) {
            ++m_refusedCount;
            if (path == "/order/")
                m_refused.push_back(id);
        } else if (answer.status == 0) {
            checkUnanswered(id, elapsed, mayCross);
        } else if (answer.status == 200) {
            ++m_answered;
            std::string expected = id;
            if (path == "/quote/") {
                expected.clear();
                for (int n = 1; n <= streamEvents; ++n)
                    expected += eventText(n);
            }
            if (answer.body != expected)
                m_problems.push_back(id + " received a wrong or truncated response");
        } else if (answer.status != 504) {
            m_problems.push_back(id + " was answered with status " + std::to_string(answer.status));
        }
    }

    void checkUnanswered(const std::string &id, Clock::duration elapsed, bool mayCross)
    {
        if (elapsed >= callerLimit)
            return; // the time limit may end a stream
        if (m_executions.countOf(id) > 0)
            m_problems.push_back(id + " was sent to a server and got no answer");
        else if (!mayCross)
            m_problems.push_back(id + " got no answer on a connection that was in use");
        else
            ++m_crossed; // sent while the gateway closed the connection
    }

    void checkExecutions()
    {
        for (const std::string &it : m_nonIdempotentIds) {
            if (m_executions.countOf(it) > 1)
                m_problems.push_back(it + " ran twice");
        }
        for (const std::string &it : m_refused) {
            if (m_executions.countOf(it) > 0)
                m_problems.push_back(it + " was refused as not run, but it ran");
        }
    }

    std::uint64_t m_seed;
    SeededRandom m_configRandom;
    SeededRandom m_stopRandom;
    ExecutionCounts m_executions;
    std::atomic<std::uint64_t> m_reads {0}; // of requests by the backend servers
    std::vector<std::unique_ptr<BackendStub>> m_backends;
    std::vector<std::unique_ptr<RestartableGateway>> m_gateways;
    std::uint64_t m_version = 0;
    std::atomic<bool> m_stopped {false};
    std::mutex m_mutex; // guards the members below while callers run
    int m_answered = 0;
    int m_refusedCount = 0;
    int m_crossed = 0;
    std::vector<std::string> m_nonIdempotentIds;
    std::vector<std::string> m_refused;
    std::vector<std::string> m_problems;
};

} // namespace

TEST_CASE("planned work leaves no request without an answer")
{
    const std::uint64_t first = environmentNumber("CORNELSHED_SOAK_SEED", 1);
    const std::uint64_t count = environmentNumber("CORNELSHED_SOAK_SEEDS", 1);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        INFO("seed " << seed);
        PlannedWorkRun run(seed);
        run.run();
        for (const std::string &it : run.problems())
            FAIL_CHECK(it);
        MESSAGE("seed " << seed << ": " << run.answered() << " answered, " << run.refused()
                        << " refused, " << run.crossed() << " sent while a connection closed");
        CHECK(run.answered() > 200);
    }
}
