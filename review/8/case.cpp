// A part of prompts crashes the runners that begin to write an answer on it, and comes in a pause
// of the other traffic. The gateways then keep back a part that is sound and stands after it.

#include "../standins-2/generation.h"

#include <iostream>

using namespace review;

namespace {

constexpr std::size_t runnerCount = 8; // each with an admission agent beside it
constexpr int deadlyCount = 3;
constexpr std::int64_t pauseMs = 3500; // of the sound traffic
constexpr int minRequests = 20;

std::string prompt(bool deadly, int number)
{
    return std::string("5c1e07a2:60,") + (deadly ? std::string(deadlyPart) + ":100," : "")
            + "91bd3f06:410," + ownPart(number);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2)
        return 2;
    Scene scene({2, runnerCount}, argv[1]);
    VoiceRuns runs;
    for (std::size_t i = 0; i < runnerCount; ++i)
        scene.addRunner("voice", voiceHandler(scene, runs, hasDeadlyPart));
    if (!scene.start(voiceConfiguration()))
        return 2;
    Callers callers(scene);
    int number = 0;
    const auto send = [&](bool deadly) {
        const std::string id = (deadly ? "deadly-" : "sound-") + std::to_string(++number);
        callers.send(id, voiceRequest(id, prompt(deadly, number)));
    };
    // Four sound requests a second; returns how many. While there is trouble, one with the part
    // that crashes runners comes every two seconds.
    const auto traffic = [&](std::int64_t ms, bool trouble) {
        int sent = 0;
        for (const std::int64_t until = scene.record().nowMs() + ms; scene.record().nowMs() < until;
             ++sent) {
            send(false);
            if (trouble && sent % 8 == 7)
                send(true);
            sleepMs(250);
        }
        callers.wait();
        return sent;
    };
    const int outside = traffic(8000, false);
    const int begunOutside = runs.soundBegun;
    const std::int64_t pauseEnd = scene.record().nowMs() + pauseMs;
    scene.record().line("the sound traffic pauses");
    sleepMs(200);
    for (int i = 0; i < deadlyCount && hasTrouble(); ++i) {
        send(true);
        sleepMs(500);
    }
    sleepMs(pauseEnd - scene.record().nowMs());
    if (hasTrouble() && runs.crashes == 0)
        return 2;
    // The rule counts from twice the contact time after the last crash on.
    traffic(2 * contactMs, hasTrouble());
    while (hasTrouble() && scene.record().nowMs() < runs.lastCrashMs + 2 * contactMs)
        traffic(250, true);
    scene.record().line("requests count from here");
    const int before = runs.soundBegun;
    const int inside = traffic(10000, hasTrouble());
    const int begunInside = runs.soundBegun - before;
    const std::string result = "sound requests that began to run: outside "
            + std::to_string(begunOutside) + " of " + std::to_string(outside) + ", inside "
            + std::to_string(begunInside) + " of " + std::to_string(inside)
            + "; crashes: " + std::to_string(runs.crashes);
    scene.record().line(result);
    std::cout << result << std::endl;
    if (outside < minRequests || inside < minRequests)
        return 2;
    // Less than half as often.
    return 2 * begunInside * outside < begunOutside * inside ? 1 : 0;
}
