// A roll-out ends as rolled back, and the operator orders the next version. The rolled-back
// version's runners, which drain some seconds later, get requests again.

#include "../standins-2/scene.h"

#include <algorithm>
#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>
#include <vector>

using namespace review;

namespace {

constexpr std::int64_t orderMs = 12000; // time limit of the first order
constexpr double exposeShare = 0.1;
constexpr double exposeSlack = 50;
constexpr std::int64_t nextOrderMs = 1000; // from the roll-back to the next order
constexpr std::int64_t drainMs = 6000;     // from the roll-back to the drain of its runners
constexpr std::size_t callerCount = 40;
constexpr std::int64_t callerGapMs = 400;

struct Arrival
{
    std::int64_t at;
    std::string version;
};

struct Arrivals
{
    std::mutex mutex;
    std::vector<Arrival> list;
    int secondCount = 0; // arrivals at v2
    std::atomic<int> badCount {0};
};

// A quarter of the answers of the version v2 are failures.
Runner::Handler handler(Scene &scene, Arrivals &arrivals, const std::string &version)
{
    return [&scene, &arrivals, version](Runner &runner, const Message &request, Socket &socket) {
        bool fails = false;
        {
            const std::lock_guard lock(arrivals.mutex);
            arrivals.list.push_back({scene.record().nowMs(), version});
            fails = version == "v2" && ++arrivals.secondCount % 4 == 0;
        }
        const std::string id = request.header("x-request-id");
        scene.record().line("runner " + runner.id() + " " + version + (fails ? " fails " : " ")
                            + id);
        arrivals.badCount += fails ? 1 : 0;
        sleepMs(60);
        if (fails)
            return socket.send("HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: " + id
                               + "\r\nX-Response-Seal: seal-" + id
                               + "\r\nContent-Length: 0\r\n\r\n");
        return socket.send(Runner::answerHead(request, "Content-Length: 2\r\n\r\nok"));
    };
}

std::string configuration()
{
    return R"({"version":7,"routes":[{"name":"r-lodge","host":"book.example","prefix":"/lodge/",)"
           R"("kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":300,"priority":0,)"
           R"("service":"book","max_attempts":1,"auth_exempt":true,"sticky":false,)"
           R"("resumable":false}],"services":[{"name":"book","health_path":"/health",)"
           R"("max_conns":100,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
           R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]})";
}

// Sends a request at intervals until it is told to stop.
void callAtIntervals(Scene &scene, std::size_t caller, const std::atomic<bool> &stopped)
{
    sleepMs(static_cast<std::int64_t>(caller) * callerGapMs
            / static_cast<std::int64_t>(callerCount));
    for (int n = 0; !stopped; ++n) {
        const std::string id = "q" + std::to_string(caller) + "-" + std::to_string(n);
        const std::int64_t next = scene.record().nowMs() + callerGapMs;
        const Message answer =
                call(scene.front(caller % 2),
                     "POST /lodge/1 HTTP/1.1\r\nHost: book.example\r\nX-Request-Id: " + id
                             + "\r\nX-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n",
                     4000);
        scene.record().line("answer " + id + " " + std::to_string(answer.status()));
        sleepMs(std::max<std::int64_t>(next - scene.record().nowMs(), 1));
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2)
        return 2;
    Scene scene({}, argv[1]);
    Arrivals arrivals;
    scene.useSidesFrom(6);
    for (int i = 0; i < 3; ++i)
        scene.addRunner("book", handler(scene, arrivals, "v1"));
    if (!scene.start(configuration()))
        return 2;
    std::atomic<bool> stopped {false};
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < callerCount; ++i)
        callers.emplace_back([&, i] { callAtIntervals(scene, i, stopped); });
    sleepMs(3000);
    std::vector<Runner *> next;
    next.reserve(3);
    scene.useSidesFrom(0);
    for (int i = 0; i < 3; ++i)
        next.push_back(&scene.addRunner("book", handler(scene, arrivals, "v2"), "v2"));
    const std::int64_t ordered = scene.record().nowMs();
    scene.store().put("op", "rollout/book", R"({"service":"book","to":"v2","duration_s":12})");
    scene.record().line("ordered v2");
    std::int64_t rolledBack = 0;
    bool isNextOrdered = false;
    bool isDraining = false;
    while (scene.record().nowMs() < ordered + orderMs) {
        sleepMs(20);
        const std::int64_t now = scene.record().nowMs();
        if (rolledBack == 0) {
            if (scene.store().get("status", "rollout/book").find("rolled_back")
                != std::string::npos) {
                rolledBack = now;
                scene.record().line("v2 is rolled back");
            }
            continue;
        }
        if (hasTrouble() && !isNextOrdered && now >= rolledBack + nextOrderMs) {
            isNextOrdered = true;
            for (int i = 0; i < 3; ++i)
                scene.addRunner("book", handler(scene, arrivals, "v3"), "v3");
            scene.store().put("op", "rollout/book",
                              R"({"service":"book","to":"v3","duration_s":40})");
            scene.record().line("ordered v3");
        }
        if (!isDraining && now >= rolledBack + drainMs) {
            isDraining = true;
            for (Runner *it : next)
                it->drain();
            scene.record().line("the runners of v2 drain");
        }
    }
    stopped = true;
    for (std::thread &it : callers)
        it.join();
    if (rolledBack == 0)
        return 2;
    int all = 0;
    int bad = 0;
    int afterRollBack = 0;
    for (const Arrival &it : arrivals.list) {
        if (it.at < ordered || it.at > ordered + orderMs)
            continue;
        ++all;
        bad += it.version == "v2" ? 1 : 0;
        afterRollBack += it.version == "v2" && it.at > rolledBack + nextOrderMs ? 1 : 0;
    }
    const double allowed = exposeShare * all + exposeSlack;
    const std::string result = "requests that reached v2 between its order and its time limit: "
            + std::to_string(bad) + " of " + std::to_string(all) + ", allowed "
            + std::to_string(static_cast<int>(allowed)) + "; of these later than 1 s after the "
            + "roll-back: " + std::to_string(afterRollBack)
            + "; failures of v2: " + std::to_string(arrivals.badCount);
    scene.record().line(result);
    std::cout << result << std::endl;
    return bad > allowed ? 1 : 0;
}
