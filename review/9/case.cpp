// Machines of gateways are replaced one after the other, as in some weeks of operation. Then all
// gateways lose power at the same moment and start again.

#include "../standins-2/generation.h"

#include <iostream>

using namespace review;

namespace {

constexpr int recoverMs = 12000;
constexpr std::size_t machineCount = 2;
constexpr std::size_t runnerCount = 6; // each with an admission agent beside it
constexpr std::size_t replacementCount = 28;
constexpr std::int64_t requestGapMs = 50;
// Requests of 440 tokens, 20 a second: the tenant may use 1.8 times that.
constexpr const char *allowance = "15840";

std::string configuration()
{
    std::string text = voiceConfiguration();
    const std::string usual = "156080";
    for (std::size_t at = text.find(usual); at != std::string::npos; at = text.find(usual))
        text.replace(at, usual.size(), allowance);
    return text;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2)
        return 2;
    Scene scene({machineCount, runnerCount}, argv[1]);
    VoiceRuns runs;
    for (std::size_t i = 0; i < runnerCount; ++i)
        scene.addRunner("voice", voiceHandler(scene, runs, [](const Message &) { return false; }));
    if (!scene.start(configuration()))
        return 2;
    for (std::size_t i = 0; i < replacementCount && !isControl("kept"); ++i) {
        // The new machine is ready before the old one leaves for good.
        scene.addGateway();
        if (!scene.waitReady(8000))
            return 2;
        scene.removeOldestGateway();
        scene.record().line("a gateway's machine is replaced");
    }
    Callers callers(scene);
    int number = 0;
    const auto traffic = [&](std::int64_t ms) {
        int sent = 0;
        for (const std::int64_t until = scene.record().nowMs() + ms; scene.record().nowMs() < until;
             ++sent) {
            const std::string id = "q" + std::to_string(++number);
            callers.send(id, voiceRequest(id, "5c1e07a2:60," + ownPart(number)));
            sleepMs(requestGapMs);
        }
        callers.wait();
        return sent;
    };
    traffic(32000);
    int answered = callers.answered();
    const int sentBefore = traffic(4000);
    const int servedBefore = callers.answered() - answered;
    if (hasTrouble()) {
        scene.record().line("all gateways lose power");
        for (std::size_t i = 0; i < machineCount; ++i)
            scene.gateway(i).kill();
        sleepMs(800);
        for (std::size_t i = 0; i < machineCount; ++i)
            scene.gateway(i).start();
    }
    if (!scene.waitReady(8000))
        return 2;
    traffic(recoverMs);
    scene.record().line("requests count from here");
    answered = callers.answered();
    const int sent = traffic(8000);
    const int served = callers.answered() - answered;
    const std::string result = "requests served before: " + std::to_string(servedBefore) + " of "
            + std::to_string(sentBefore) + "; later than 12 s after the machines were back: "
            + std::to_string(served) + " of " + std::to_string(sent);
    scene.record().line(result);
    std::cout << result << std::endl;
    if (4 * servedBefore < sentBefore)
        return 2;
    return 4 * served < sent ? 1 : 0;
}
