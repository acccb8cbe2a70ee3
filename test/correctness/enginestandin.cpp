// Tests of the engine stand-in's behaviours that other tests rely on. If batching cost no time, if
// a cold engine sustained any load, or if the ledger missed runs, those tests would pass although
// the scheduler is wrong.

#include "batchmodel.h"
#include "completiontext.h"
#include "enginefault.h"
#include "engineserver.h"
#include "httpheaders.h"
#include "loopback.h"
#include "prefixcache.h"
#include "standinhost.h"

#include <doctest/doctest.h>

using namespace cornelshed::standins;
using cornelshed::testing::Caller;
using cornelshed::testing::StandInHost;

namespace {

std::chrono::microseconds batchDuration(std::size_t jobCount)
{
    BatchModel model({1000, 100});
    for (std::size_t i = 0; i < jobCount; ++i)
        model.admit(1, 10);
    std::chrono::microseconds total {};
    while (model.runningCount() > 0)
        total += model.step(1).duration;
    return total;
}

std::string completionBody(const std::string &marker)
{
    return R"({"prompt":"[marker:)" + marker + R"(]","max_tokens":5})";
}

} // namespace

TEST_CASE("decoding slows down as the batch grows, but a batch takes less time than a queue")
{
    CHECK(batchDuration(8) > batchDuration(1));
    CHECK(batchDuration(8) < 8 * batchDuration(1));
}

TEST_CASE("a long prompt delays the first token in proportion to its length")
{
    BatchModel model({1000, 100});
    model.admit(2048, 1);
    std::chrono::microseconds total {};
    while (model.runningCount() > 0)
        total += model.step(1).duration;
    CHECK(total > std::chrono::seconds(2));
    CHECK(total < std::chrono::milliseconds(2100));
}

TEST_CASE("the prefix cache finds the longest common prefix and evicts the least recently used")
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

TEST_CASE("a cold engine slows down over its limit, fails at twice the limit, and warms up")
{
    EngineFaultState state({2, 3, 50, 4});
    state.set(EngineFault::Cold, "");
    CHECK(state.slowdown(2) == 1);
    CHECK(state.slowdown(3) > 1);
    CHECK_FALSE(state.arrivalFails("/", 3));
    CHECK(state.arrivalFails("/", 4));
    for (int i = 0; i < 3; ++i)
        state.requestCompleted();
    CHECK(state.slowdown(3) == 1);
    CHECK_FALSE(state.arrivalFails("/", 4));
}

TEST_CASE("each fault takes effect under its own condition only")
{
    EngineFaultState state({2, 3, 1, 4});
    state.set(EngineFault::Failing, "");
    CHECK(state.arrivalFails("/a", 0));
    state.set(EngineFault::Slow, "");
    CHECK(state.slowdown(1) > 1);
    state.set(EngineFault::BadLater, "");
    CHECK_FALSE(state.arrivalFails("/a", 0));
    CHECK(state.arrivalFails("/a", 0));
    state.set(EngineFault::BadUnderLoad, "");
    CHECK_FALSE(state.arrivalFails("/a", 3));
    CHECK(state.arrivalFails("/a", 4));
    state.set(EngineFault::BadOnRoute, "/a");
    CHECK(state.arrivalFails("/a", 0));
    CHECK_FALSE(state.arrivalFails("/b", 0));
    state.set(parseEngineFault("crash_on_prompt").value(), "boom");
    CHECK(state.crashesOn("boom"));
    CHECK_FALSE(state.crashesOn("sound"));
    CHECK_FALSE(state.arrivalFails("boom", 0));
    CHECK_FALSE(parseEngineFault("unheard-of").has_value());
}

TEST_CASE("a truncated completion text, or that of another request, is detected")
{
    const std::string text = completionToken("r1", "m", 0) + completionToken("r1", "m", 1);
    CHECK(checkCompletionText(text, "r1", "m", 2) == CompletionCheck::Whole);
    CHECK(checkCompletionText(text, "r1", "m", 3) == CompletionCheck::Truncated);
    CHECK(checkCompletionText(text.substr(0, text.size() - 1), "r1", "m", 2)
          == CompletionCheck::Truncated);
    CHECK(checkCompletionText(text, "r1", "m", 1) == CompletionCheck::MixedUp);
    CHECK(checkCompletionText(text, "r2", "m", 2) == CompletionCheck::MixedUp);
    CHECK(checkCompletionText(text, "r1", "n", 2) == CompletionCheck::MixedUp);
}

TEST_CASE("the ledger counts each run, including failed ones, but not a resumed part")
{
    EngineOptions options;
    options.rates = {1e6, 1e4};
    StandInHost<EngineServer> engine(options);
    CHECK(engine.call("POST", "/v1/completions", completionBody("a"), "r1").status == 200);
    engine.call("POST", "/fault", R"({"mode":"failing"})");
    CHECK(engine.call("POST", "/v1/completions", completionBody("a"), "r1").status == 500);
    engine.call("POST", "/fault", R"({"mode":"none"})");
    const std::string resume = R"({"prompt":"[marker:a]","max_tokens":5,"resume_after":3})";
    const std::string remainder = engine.call("POST", "/v1/completions", resume, "r1").body;
    CHECK(remainder.find(completionToken("r1", "a", 3) + completionToken("r1", "a", 4))
          != std::string::npos);
    CHECK(engine.call("POST", "/v1/completions", resume, "r2").status == 404);
    CHECK(engine.call("GET", "/ledger").body
          == R"([{"idempotency_key":"","request_id":"r1","marker":"a","count":2,"finished":2,)"
             R"("failed":1,"cancelled":0,"resumed":1}])");
}

TEST_CASE("crash_on_prompt breaks off that prompt each time, and no other one")
{
    EngineOptions options;
    options.rates = {1e6, 1e4};
    StandInHost<EngineServer> engine(options);
    engine.call("POST", "/fault", R"({"mode":"crash_on_prompt","prompt":"[marker:a]"})");
    for (int n = 0; n < 3; ++n) {
        CHECK(engine.call("POST", "/v1/completions", completionBody("a"), "r1").status == 0);
        CHECK(engine.call("POST", "/v1/completions", completionBody("b"), "r2").status == 200);
    }
}

TEST_CASE("an old fencing number is rejected only by an engine that checks it")
{
    for (const bool checksFencing : {true, false}) {
        EngineOptions options;
        options.checksFencing = checksFencing;
        StandInHost<EngineServer> engine(options);
        const auto loadStatus = [&](const char *body) {
            return engine.call("POST", "/control/load", body).status;
        };
        CHECK(loadStatus(R"({"version":"v2","fencing":5})") == 200);
        CHECK(loadStatus(R"({"version":"v1","fencing":4})") == (checksFencing ? 409 : 200));
    }
}

// Guards against agents that open a connection for each run because the stand-in echoes no ids.
TEST_CASE("an answer, a stream and an error echo the id of their request on one connection")
{
    EngineOptions options;
    options.rates = {1e6, 1e4};
    StandInHost<EngineServer> engine(options);
    Caller caller(engine.port());
    const std::vector<std::string> bodies {
            completionBody("a"), R"({"prompt":"[marker:b]","max_tokens":2,"stream":true})",
            "no JSON"};
    for (std::size_t n = 0; n < bodies.size(); ++n) {
        const std::string id = "id-" + std::to_string(n);
        const auto answer = caller.post("/v1/completions", {"X-Request-Id: " + id}, bodies[n]);
        REQUIRE(answer.status != 0);
        const std::string *echo = cornelshed::findHeader(answer.headers, "X-Request-Id");
        REQUIRE(echo != nullptr);
        CHECK(*echo == id);
    }
}
