// Sound servers of resumable streams fall silent for a while between the last event and the end of
// the stream. First nothing else happens, then the gateway is stopped as planned.

#include "../standins/scene.h"

#include <iostream>
#include <thread>

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t engineCount = 4;
constexpr std::size_t callerCount = 8;
constexpr int eventCount = 6;
constexpr auto eventPause = 40ms;
constexpr auto silence = 1300ms; // "for a second or so"
constexpr auto stopAfter = 150ms;
constexpr auto requestLimit = 5s;

// The events are complete when this returns, the stream is not: its last chunk is missing.
bool sendAllEvents(Connection &connection, const HttpRequest &request)
{
    return sendEvents(connection, request, eventCount, eventPause, false);
}

// Each caller sends one request on its kept channel. Returns how many got no complete answer.
unsigned sendRound(std::vector<Caller> &callers, const std::string &body)
{
    std::atomic<unsigned> incomplete {0};
    std::vector<std::thread> threads;
    threads.reserve(callers.size());
    for (Caller &caller : callers) {
        threads.emplace_back([&] {
            const CallerResult result =
                    caller.call({"POST", "/draft/text", body,
                                 "X-Model: m\r\nX-Token-Count: 300,40\r\n", requestLimit});
            incomplete += result.isCut ? 1 : 0;
        });
    }
    for (std::thread &it : threads)
        it.join();
    return incomplete;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return couldNotRun;
    const bool hasSilence = hasTrouble();
    const Server::Handler sound = [&](Server &, Connection &connection, const HttpRequest &it) {
        if (!sendAllEvents(connection, it))
            return false;
        if (hasSilence && it.body == "a text")
            std::this_thread::sleep_for(silence);
        return connection.send("0\r\n\r\n");
    };
    Scene scene(argv[1], {}, std::vector<Server::Handler>(engineCount, sound));
    if (!scene.isUsable()) {
        std::cout << "the gateway does not serve\n";
        return couldNotRun;
    }
    std::vector<Caller> callers;
    for (std::size_t i = 0; i < callerCount; ++i)
        callers.push_back(scene.newCaller());
    sendRound(callers, "the first on its channel");
    const unsigned ordinary = sendRound(callers, "a text");
    sendRound(callers, "the first on its channel");
    unsigned atStop = 0;
    std::thread round([&] { atStop = sendRound(callers, "a text"); });
    std::this_thread::sleep_for(stopAfter);
    scene.gateway().terminate();
    round.join();
    const std::string of = " of " + std::to_string(callerCount) + " whole requests ";
    return finish(scene, atStop > 0,
                  std::to_string(atStop) + of + "that were at sound servers when the gateway got "
                          + "SIGTERM lost their channels before the end of the answer; without a "
                          + "stop " + std::to_string(ordinary) + of + "did");
}
