// A shared part of prompts crashes each engine that begins to write an answer on it, before any
// byte of that answer has left the engine. Sound prompts share their caller and the other shared
// part.

#include "../standins/scene.h"

#include <cstdlib>
#include <iostream>
#include <thread>

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t engineCount = 6;
constexpr std::size_t soundCallers = 8;
constexpr auto readTime = 50ms; // before an engine begins to write
constexpr int eventCount = 10;
constexpr auto eventPause = 30ms;
constexpr auto downTime = 4s;
constexpr auto runTime = 30s;
constexpr auto troubleAt = 8s;
constexpr auto deadlyPause = 250ms;            // between two requests with the part
constexpr auto contactTime = 3s;               // contact_ms of the users' pages
constexpr std::size_t convictingCrashes = 5;   // of the rule
constexpr unsigned allowedArrivals = 3;        // of the rule
constexpr const char *commonPart = "c0ffee01"; // of all prompts
constexpr const char *soundPart = "5013d001";
constexpr const char *deadlyPart = "dead00d1";

bool hasDeadlyPart(const HttpRequest &request)
{
    const std::string parts = headerValue(request.headers, "X-Prefix-Hash");
    return parts.find(deadlyPart) != std::string::npos;
}

std::string promptHeaders(const std::string &part, int session)
{
    return std::string("X-Model: m\r\nX-Token-Count: 300,40\r\nX-Prefix-Hash: ") + commonPart
            + ":30," + part + ":30," + std::to_string(session) + ":240\r\n";
}

struct Tally
{
    unsigned asked = 0;
    unsigned begun = 0; // an answer with status 200 began
    unsigned cut = 0;   // begun, and closed before its end

    std::string text() const
    {
        return std::to_string(begun) + " of " + std::to_string(asked) + " begun, "
                + std::to_string(cut) + " of these cut";
    }
};

// When engines crashed, and when requests with the deadly part reached one.
class Trouble
{
public:
    void arrive()
    {
        const std::lock_guard lock(m_mutex);
        m_arrivals.push_back(Clock::now());
    }
    void crash()
    {
        const std::lock_guard lock(m_mutex);
        m_crashes.push_back(Clock::now());
    }
    std::size_t crashes() const
    {
        const std::lock_guard lock(m_mutex);
        return m_crashes.size();
    }
    // Nothing before the fifth crash.
    std::optional<Clock::time_point> fifthCrash() const
    {
        const std::lock_guard lock(m_mutex);
        if (m_crashes.size() < convictingCrashes)
            return std::nullopt;
        return m_crashes[convictingCrashes - 1];
    }
    unsigned arrivalsAfter(Clock::time_point time) const
    {
        const std::lock_guard lock(m_mutex);
        unsigned count = 0;
        for (const auto it : m_arrivals)
            count += it > time ? 1 : 0;
        return count;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<Clock::time_point> m_arrivals;
    std::vector<Clock::time_point> m_crashes;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return couldNotRun;
    const bool sendsHead = std::getenv("SEND_HEAD") != nullptr;
    Trouble trouble;
    const Server::Handler engine = [&](Server &server, Connection &connection,
                                       const HttpRequest &it) {
        if (!hasDeadlyPart(it))
            return sendEvents(connection, it, eventCount, eventPause);
        trouble.arrive();
        std::this_thread::sleep_for(readTime);
        if (!server.isUp())
            return false;
        if (sendsHead) {
            connection.send(answerHead(
                    it, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
            std::this_thread::sleep_for(5ms);
        }
        trouble.crash();
        server.crash(downTime);
        return false;
    };
    Scene scene(argv[1], {}, std::vector<Server::Handler>(engineCount, engine));
    if (!scene.isUsable()) {
        std::cout << "the gateway does not serve\n";
        return couldNotRun;
    }
    std::mutex mutex; // guards the tallies
    Tally before;
    Tally after; // from 2 x contactTime after the fifth crash on
    std::atomic<int> sessions {0};
    const auto start = Clock::now();
    const auto end = start + runTime;
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < soundCallers; ++i) {
        threads.emplace_back([&] {
            Caller caller = scene.newCaller();
            while (Clock::now() < end) {
                const auto sentAt = Clock::now();
                const int session = ++sessions;
                const CallerResult result =
                        caller.call({"POST", "/draft/text", "sound " + std::to_string(session),
                                     promptHeaders(soundPart, session), 4s});
                const auto fifth = trouble.fifthCrash();
                const std::lock_guard lock(mutex);
                const bool isAfter = fifth && sentAt > *fifth + 2 * contactTime;
                if (isAfter || sentAt < start + troubleAt - 1s) {
                    Tally &tally = isAfter ? after : before;
                    ++tally.asked;
                    tally.begun += result.answer.status == 200 ? 1 : 0;
                    tally.cut += result.answer.status == 200 && result.isCut ? 1 : 0;
                }
                std::this_thread::sleep_for(100ms);
            }
        });
    }
    std::this_thread::sleep_until(start + troubleAt);
    std::vector<std::thread> deadly;
    while (Clock::now() < end) {
        if (hasTrouble())
            deadly.emplace_back([&] {
                const int session = ++sessions;
                scene.newCaller().call({"POST", "/draft/text", "other " + std::to_string(session),
                                        promptHeaders(deadlyPart, session), 4s});
            });
        std::this_thread::sleep_for(deadlyPause);
    }
    for (std::vector<std::thread> *list : {&threads, &deadly}) {
        for (std::thread &it : *list)
            it.join();
    }
    const auto fifth = trouble.fifthCrash();
    const unsigned late = fifth ? trouble.arrivalsAfter(*fifth + contactTime) : 0;
    const bool isStarved = before.asked >= 20 && after.asked >= 20
            && 2 * after.begun * before.asked < before.begun * after.asked;
    return finish(scene, isStarved || late > allowedArrivals,
                  "engines crashed " + std::to_string(trouble.crashes()) + " times; "
                          + std::to_string(late) + " requests with the part reached engines later "
                          + "than 3 s after the fifth crash; sound requests before: "
                          + before.text() + "; from 6 s after the fifth crash on: " + after.text()
                          + (isStarved ? "; less than half as often" : ""));
}
