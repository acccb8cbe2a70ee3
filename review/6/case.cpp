// A part of prompts crashes the runners that begin to write an answer on it. The prompts are those
// of long sessions: the part is the 66th of 72. With TROUBLE=early it is the second one.

#include "../standins-2/generation.h"

#include <iostream>

using namespace review;

namespace {

constexpr std::size_t runnerCount = 8; // each with an admission agent beside it
constexpr int partCount = 72;
constexpr int latePosition = 65;
constexpr int earlyPosition = 1;
constexpr int allowedArrivals = 3;
constexpr std::int64_t durationMs = 25000;

// The parts that all prompts of the session have. deadlyAt: position of the part that crashes
// runners; -1: without it.
std::string prompt(int deadlyAt, int number)
{
    std::string parts;
    for (int i = 0; i + 1 < partCount; ++i) {
        if (i == deadlyAt)
            parts += std::string(deadlyPart) + ":10,";
        else
            parts += "5c" + std::to_string(1000 + i) + ":10,";
    }
    return parts + ownPart(number);
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
    const int position = isControl("early") ? earlyPosition : latePosition;
    int number = 0;
    int soundCount = 0;
    const auto send = [&](bool deadly) {
        if (deadly && !hasTrouble())
            return;
        const std::string id = (deadly ? "deadly-" : "sound-") + std::to_string(++number);
        callers.send(id, voiceRequest(id, prompt(deadly ? position : -1, number)));
        soundCount += deadly ? 0 : 1;
    };
    // The first ones come at the same moment, so that the part has crashed five runners.
    for (int i = 0; i < 20; ++i) {
        send(false);
        sleepMs(100);
    }
    for (int i = 0; i < 5; ++i)
        send(true);
    const std::int64_t until = scene.record().nowMs() + durationMs;
    int before = -1;
    for (int step = 0; scene.record().nowMs() < until; ++step) {
        sleepMs(100);
        send(false);
        if (step % 8 == 7)
            send(true);
        const std::int64_t fifth = runs.fifthCrashMs;
        if (before < 0 && fifth != 0 && scene.record().nowMs() > fifth + contactMs) {
            // Requests that were sent before do not count.
            callers.wait();
            before = runs.deadlyArrivals;
            scene.record().line("requests count from here");
        }
    }
    callers.wait();
    if (before < 0 && hasTrouble())
        return 2;
    const int arrived = hasTrouble() ? runs.deadlyArrivals - before : 0;
    const std::string result = "requests with the part that reached runners later than 3 s after "
                               "its fifth crash: "
            + std::to_string(arrived) + ", allowed " + std::to_string(allowedArrivals)
            + "; crashes: " + std::to_string(runs.crashes) + "; sound requests answered: "
            + std::to_string(callers.answered()) + " of " + std::to_string(soundCount);
    scene.record().line(result);
    std::cout << result << std::endl;
    return arrived > allowedArrivals ? 1 : 0;
}
