// Guards the engine stand-in's behaviours that other tests rely on: batching that costs nothing, a
// cold engine that bears any load, or a ledger that misses runs would make those tests pass
// wrongly.

#include "answertext.h"
#include "batchmodel.h"
#include "enginefault.h"
#include "engineserver.h"
#include "prefixcache.h"
#include "standinhost.h"

#include <doctest/doctest.h>

using namespace cornelshed::standins;
using cornelshed::testing::StandInHost;

namespace {

std::chrono::microseconds timeOfBatch(std::size_t jobCount)
{
    BatchModel model({1000, 100});
    for (std::size_t i = 0; i < jobCount; ++i)
        model.admit(1, 10);
    std::chrono::microseconds total {};
    while (model.runningCount() > 0)
        total += model.step(1).duration;
    return total;
}

std::string prompt(const std::string &marker)
{
    return R"({"prompt":"[marker:)" + marker + R"(]","max_tokens":5})";
}

} // namespace

TEST_CASE("each token of a stream gets slower as the batch grows, but a batch beats a queue")
{
    CHECK(timeOfBatch(8) > timeOfBatch(1));
    CHECK(timeOfBatch(8) < 8 * timeOfBatch(1));
}

TEST_CASE("a long prompt delays the first token by its length")
{
    BatchModel model({1000, 100});
    model.admit(2048, 1);
    std::chrono::microseconds total {};
    while (model.runningCount() > 0)
        total += model.step(1).duration;
    CHECK(total > std::chrono::seconds(2));
    CHECK(total < std::chrono::milliseconds(2100));
}

TEST_CASE("the prefix cache finds the longest common prefix and forgets the least recently used")
{
    PrefixCache cache(4);
    const std::string shared(128, 's'); // two blocks
    const auto first = blockHashes(shared + std::string(64, 'a'));
    const auto second = blockHashes(shared + std::string(64, 'b'));
    cache.store(first);
    CHECK(cache.cachedTokens(second) == 32);
    cache.store(second);
    CHECK(cache.blockCount() == 4);
    CHECK(cache.cachedTokens(second) == 48);
    cache.store(blockHashes(std::string(64, 'c')));
    CHECK(cache.blockCount() == 4);
    CHECK(cache.cachedTokens(first) == 32);
}

TEST_CASE("a cold engine slows down over its limit, fails far over it, and warms up")
{
    EngineFaultState state({2, 3, 50, 4});
    state.set(EngineFault::Cold, "");
    CHECK(state.slowdown(2) == 1);
    CHECK(state.slowdown(3) > 1);
    CHECK_FALSE(state.failsArrival("/", 3));
    CHECK(state.failsArrival("/", 4));
    for (int i = 0; i < 3; ++i)
        state.requestCompleted();
    CHECK(state.slowdown(3) == 1);
    CHECK_FALSE(state.failsArrival("/", 4));
}

TEST_CASE("each fault shows where it is meant to show")
{
    EngineFaultState state({2, 3, 1, 4});
    state.set(EngineFault::Failing, "");
    CHECK(state.failsArrival("/a", 0));
    state.set(EngineFault::Slow, "");
    CHECK(state.slowdown(1) > 1);
    state.set(EngineFault::BadLater, "");
    CHECK_FALSE(state.failsArrival("/a", 0));
    CHECK(state.failsArrival("/a", 0));
    state.set(EngineFault::BadUnderLoad, "");
    CHECK_FALSE(state.failsArrival("/a", 3));
    CHECK(state.failsArrival("/a", 4));
    state.set(EngineFault::BadOnRoute, "/a");
    CHECK(state.failsArrival("/a", 0));
    CHECK_FALSE(state.failsArrival("/b", 0));
    CHECK_FALSE(parseEngineFault("unheard-of").has_value());
}

TEST_CASE("a truncated or foreign answer text is detected")
{
    const std::string text = answerToken("r1", "m", 0) + answerToken("r1", "m", 1);
    CHECK(checkAnswer(text, "r1", "m", 2) == AnswerCheck::Whole);
    CHECK(checkAnswer(text, "r1", "m", 3) == AnswerCheck::Truncated);
    CHECK(checkAnswer(text.substr(0, text.size() - 1), "r1", "m", 2) == AnswerCheck::Truncated);
    CHECK(checkAnswer(text, "r1", "m", 1) == AnswerCheck::MixedUp);
    CHECK(checkAnswer(text, "r2", "m", 2) == AnswerCheck::MixedUp);
    CHECK(checkAnswer(text, "r1", "n", 2) == AnswerCheck::MixedUp);
}

TEST_CASE("the ledger counts each run, failed ones too, but not a resumed part")
{
    EngineOptions options;
    options.rates = {1e6, 1e4};
    StandInHost<EngineServer> engine(options);
    CHECK(engine.call("POST", "/v1/completions", prompt("a"), "r1").status == 200);
    engine.call("POST", "/fault", R"({"mode":"failing"})");
    CHECK(engine.call("POST", "/v1/completions", prompt("a"), "r1").status == 500);
    engine.call("POST", "/fault", R"({"mode":"none"})");
    const std::string resume = R"({"prompt":"[marker:a]","max_tokens":5,"resume_after":3})";
    const std::string rest = engine.call("POST", "/v1/completions", resume, "r1").body;
    CHECK(rest.find(answerToken("r1", "a", 3) + answerToken("r1", "a", 4)) != std::string::npos);
    CHECK(engine.call("POST", "/v1/completions", resume, "r2").status == 404);
    CHECK(engine.call("GET", "/ledger").body
          == R"([{"idempotency_key":"","request_id":"r1","marker":"a","count":2,"finished":2,)"
             R"("failed":1,"cancelled":0,"resumed":1}])");
}

TEST_CASE("an old fencing number is rejected only by an engine that checks it")
{
    for (const bool checks : {true, false}) {
        EngineOptions options;
        options.checksFencing = checks;
        StandInHost<EngineServer> engine(options);
        const auto load = [&](const char *body) {
            return engine.call("POST", "/control/load", body).status;
        };
        CHECK(load(R"({"version":"v2","fencing":5})") == 200);
        CHECK(load(R"({"version":"v1","fencing":4})") == (checks ? 409 : 200));
    }
}
