// Guards against crashes, exceptions, unbounded work and reads outside the frame when a peer sends
// arbitrary bytes: random ones, and corrupted copies of valid messages.

#include "wirecodec.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace cornelshed;

namespace {

constexpr int corruptedCount = 60000;
constexpr int randomCount = 40000;

std::vector<std::string> seedFrames()
{
    Reserve reserve;
    reserve.request = {7, 8};
    reserve.organisation = "reedworks";
    reserve.route = "/v1/completions";
    reserve.prefixHashes = {1, 2, 3, 4, 5};
    Dispatch dispatch;
    dispatch.headers = {{"Content-Type", "application/json"}, {"X-Request-Id", "a-1"}};
    dispatch.body = std::string(300, 'b');
    Welcome welcome;
    welcome.models = {"writer", "drafter"};
    return {encodeFrame(EntryMessage(reserve)),
            encodeFrame(EntryMessage(dispatch)),
            encodeFrame(EntryMessage(Hello {"entry", 1, 2})),
            encodeFrame(AgentMessage(welcome)),
            encodeFrame(AgentMessage(Chunk {{1, 2}, "data: token\n\n"})),
            encodeFrame(AgentMessage(ResponseHead {{1, 2}, 200, dispatch.headers})),
            encodeFrame(AgentMessage(Failed {{1, 2}, true, FailReason::EngineError, {}}))};
}

// Decodes body as an entry daemon's and as an agent's message. A message that was decoded must be
// encodable again.
void decodeBoth(std::string_view body, const WireLimits &limits)
{
    const auto entry = decodeEntryMessage(body, limits);
    if (const auto *message = std::get_if<EntryMessage>(&entry))
        CHECK_FALSE(encodeFrame(*message).empty());
    const auto agent = decodeAgentMessage(body, limits);
    if (const auto *message = std::get_if<AgentMessage>(&agent))
        CHECK_FALSE(encodeFrame(*message).empty());
}

void corrupt(std::string &body, SeededRandom &random)
{
    for (std::uint64_t n = random.below(4) + 1; n > 0; --n)
        body[random.below(body.size())] = static_cast<char>(random.next());
    if (random.below(4) == 0)
        body.resize(random.below(body.size()) + 1);
}

} // namespace

TEST_CASE("corrupted messages decode to a message or an error")
{
    SeededRandom random(20261204);
    const std::vector<std::string> seeds = seedFrames();
    const WireLimits limits;
    for (int n = 0; n < corruptedCount; ++n) {
        std::string body = seeds[random.below(seeds.size())].substr(frameHeaderBytes);
        corrupt(body, random);
        decodeBoth(body, limits);
    }
}

TEST_CASE("random bytes decode to a message or an error")
{
    SeededRandom random(20261205);
    const WireLimits limits;
    for (int n = 0; n < randomCount; ++n) {
        std::string body((random.below(32) + 1) * 8, '\0');
        // Mostly small values, so that pointers more often refer to places inside the message.
        for (char &it : body)
            it = static_cast<char>(random.below(3) == 0 ? random.next() : random.below(4));
        decodeBoth(body, limits);
    }
}
