// Guards against requests that are placed by cached prompts that a backend server does not hold
// (any more), against memory that callers can make the estimate take, and against gateways that all
// choose the same backend server because of a popular prompt.

#include "promptcache.h"

#include "ingressprotocol.h"
#include "platformheaders.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace cornelshed;
using namespace std::chrono_literals;

namespace {

using Prompt = std::vector<PromptCachePart>;

const Instant start {1h};
constexpr std::uint64_t serverA = 11;
constexpr std::uint64_t serverB = 12;

PromptCacheSettings enabledSettings()
{
    PromptCacheSettings settings;
    settings.enabled = true;
    return settings;
}

CallerMetadata metadataOf(const std::string &parts)
{
    const auto decoded =
            PlatformHeaders().decodeCaller({{"X-Request-Id", "r"}, {"X-Prefix-Hash", parts}});
    REQUIRE(std::holds_alternative<CallerMetadata>(decoded));
    return std::get<CallerMetadata>(decoded);
}

Prompt promptOf(const std::string &parts)
{
    return promptCacheParts(metadataOf(parts));
}

class Harness
{
public:
    explicit Harness(const PromptCacheSettings &settings = enabledSettings()) : cache(settings)
    {
        cache.setServer(serverA, 1, "v1");
        cache.setServer(serverB, 1, "v1");
    }

    RequestId send(std::uint64_t server, const std::string &parts)
    {
        const RequestId id {1, ++m_sequence};
        cache.started(id, server, promptOf(parts));
        return id;
    }

    void answered(std::uint64_t server, const std::string &parts, Instant now = start)
    {
        const RequestId id = send(server, parts);
        cache.firstEvent(id, now);
        cache.ended(id);
    }

    std::uint64_t cached(std::uint64_t server, const std::string &parts, Instant now = start)
    {
        return cache.cachedTokens(server, promptOf(parts), 1000000, now);
    }

    PromptCache cache;

private:
    std::uint64_t m_sequence = 0;
};

} // namespace

TEST_CASE("the counts of a prompt's parts are read, and one that is missing or odd is 0")
{
    const CallerMetadata plain = metadataOf("base:40,firm:20,own:2890");
    CHECK(plain.sharedPromptParts == std::vector<std::string> {"base", "firm"});
    CHECK(plain.sharedPartTokens == std::vector<std::uint32_t> {40, 20});
    CHECK(plain.sessionAffinityKey == "own");
    CHECK(plain.lastPartTokens == 2890);

    const CallerMetadata odd =
            metadataOf("a,b:,c:-1,d:7x,e:1e3,f:99999999999999999999,g:4294967295,h:1:2, i:3,:5,");
    CHECK(odd.sharedPromptParts
          == std::vector<std::string> {"a", "b", "c", "d", "e", "f", "g", "h", " i", ""});
    CHECK(odd.sharedPartTokens
          == std::vector<std::uint32_t> {0, 0, 0, 0, 0, 0, 4294967295, 0, 3, 5});
    CHECK(odd.sessionAffinityKey.empty());
    CHECK(odd.lastPartTokens == 0);
    CHECK(metadataOf("own").lastPartTokens == 0);
    CHECK(promptOf("").empty());
}

TEST_CASE("a part is held where a request with it got its first event, and nowhere else")
{
    Harness harness;
    const RequestId id = harness.send(serverA, "base:40,firm:20,own:900");
    CHECK(harness.cached(serverA, "base:40,firm:20,other:900") == 0);
    harness.cache.firstEvent(id, start);
    CHECK(harness.cached(serverA, "base:40,firm:20,other:900") == 60);
    CHECK(harness.cached(serverA, "base:40,firm:20,own:900") == 960);
    CHECK(harness.cached(serverB, "base:40,firm:20,own:900") == 0);
    CHECK(harness.cached(99, "base:40,firm:20,own:900") == 0);

    // Without a first event, the prompt may not have been processed.
    const RequestId failed = harness.send(serverB, "base:40,own:900");
    harness.cache.ended(failed);
    harness.cache.firstEvent(failed, start);
    CHECK(harness.cached(serverB, "base:40,own:900") == 0);
}

TEST_CASE("a part counts only if all parts before it are held, and only after the same parts")
{
    Harness harness;
    harness.answered(serverA, "base:40,firm:20,own:900");
    CHECK(harness.cached(serverA, "firm:20,own:900") == 0);
    CHECK(harness.cached(serverA, "other:40,firm:20,own:900") == 0);
    CHECK(harness.cached(serverA, "base:40,other:20,own:900") == 40);
    CHECK(harness.cached(serverA, "base:40,own:900") == 40);
    // The shorter of two different counts is what both prompts can share.
    CHECK(harness.cached(serverA, "base:30,x:1") == 30);
    CHECK(harness.cached(serverA, "base:4000,x:1") == 40);
    // Never more than the prompt has.
    CHECK(harness.cache.cachedTokens(serverA, promptOf("base:40,firm:20,own:900"), 50, start)
          == 50);
}

TEST_CASE("the least recently used parts are dropped when the server's memory is full")
{
    Harness harness;
    harness.cache.setServer(serverA, 1, "v1", 1000);
    harness.answered(serverA, "base:100,one:400", start);
    harness.answered(serverA, "base:100,two:400", start + 1s);
    CHECK(harness.cached(serverA, "base:100,one:400", start + 1s) == 500);
    harness.answered(serverA, "base:100,three:400", start + 2s);
    CHECK(harness.cached(serverA, "base:100,one:400", start + 2s) == 100);
    CHECK(harness.cached(serverA, "base:100,two:400", start + 2s) == 500);
    CHECK(harness.cached(serverA, "base:100,three:400", start + 2s) == 500);
    // A prompt that exceeds the memory is held as far as it fits.
    harness.answered(serverA, "long:700,longer:700,end:10", start + 3s);
    CHECK(harness.cached(serverA, "long:700,longer:700,end:10", start + 3s) == 700);
    CHECK(harness.cached(serverA, "base:100,three:400", start + 3s) == 100);
    // Less memory than was assumed.
    harness.cache.setServer(serverA, 1, "v1", 750);
    CHECK(harness.cached(serverA, "long:700,x:1", start + 3s) == 700);
    CHECK(harness.cached(serverA, "base:100,x:1", start + 3s) == 0);
}

TEST_CASE("a restart or another version of the weights empties a server's cache")
{
    Harness harness;
    const std::string prompt = "base:40,own:900";
    harness.answered(serverA, prompt);
    harness.answered(serverB, prompt);
    harness.cache.setServer(serverA, 1, "v1"); // the same record again
    CHECK(harness.cached(serverA, prompt) == 940);
    const RequestId early = harness.send(serverA, prompt);
    harness.cache.setServer(serverA, 2, "v1");
    CHECK(harness.cached(serverA, prompt) == 0);
    CHECK(harness.cached(serverB, prompt) == 940);
    // It was sent to the earlier start.
    harness.cache.firstEvent(early, start);
    CHECK(harness.cached(serverA, prompt) == 0);
    harness.cache.setServer(serverB, 1, "v2");
    CHECK(harness.cached(serverB, prompt) == 0);
    harness.answered(serverB, prompt);
    CHECK(harness.cached(serverB, prompt) == 940);
    harness.cache.removeServer(serverB);
    CHECK(harness.cached(serverB, prompt) == 0);
    CHECK(harness.cache.entryCount() == 0);
}

TEST_CASE("a part that was not used for the longest age is not trusted")
{
    Harness harness;
    const Duration age = enabledSettings().maxAge;
    harness.answered(serverA, "base:40,one:900", start);
    harness.answered(serverA, "base:40,two:900", start + age / 2);
    CHECK(harness.cached(serverA, "base:40,one:900", start + age - 1us) == 940);
    CHECK(harness.cached(serverA, "base:40,one:900", start + age) == 40);
    CHECK(harness.cached(serverA, "base:40,two:900", start + age) == 940);
    CHECK(harness.cached(serverA, "base:40,two:900", start + age + age / 2) == 0);
    // Aged parts give their memory back.
    harness.answered(serverA, "new:5", start + 2 * age);
    CHECK(harness.cache.entryCount() == 1);
}

TEST_CASE("hostile headers: thousands of parts and huge counts take no more memory than allowed")
{
    PromptCacheSettings settings = enabledSettings();
    settings.entryLimit = 100;
    Harness harness(settings);
    std::string many;
    for (int i = 0; i < 5000; ++i)
        many += "p" + std::to_string(i) + ":1,";
    const CallerMetadata metadata = metadataOf(many + "last:7");
    CHECK(metadata.sharedPromptParts.size() == 64);
    CHECK(metadata.sharedPartTokens.size() == 64);
    CHECK(metadata.sessionAffinityKey == "last");
    // Parts before it were not looked at.
    CHECK(metadata.lastPartTokens == 0);
    for (int i = 0; i < 300; ++i) {
        harness.answered(i % 2 == 0 ? serverA : serverB,
                         "own" + std::to_string(i) + ":1," + many + "last:7", start + i * 1ms);
        CHECK(harness.cache.entryCount() <= 100);
    }
    // The estimate itself does not rely on the header's limit.
    Prompt prompt;
    for (std::uint64_t i = 1; i <= 5000; ++i)
        prompt.push_back({i, 1});
    harness.cache.started({2, 1}, serverA, prompt);
    harness.cache.firstEvent({2, 1}, start + 1s);
    CHECK(harness.cache.entryCount() <= 100);
    CHECK(harness.cache.cachedTokens(serverA, prompt, 5000, start + 1s) <= 100);

    std::string huge;
    for (int i = 0; i < 60; ++i)
        huge += "h" + std::to_string(i) + ":4294967295,";
    harness.answered(serverB, "base:40,own:5", start + 1s);
    harness.answered(serverB, huge + "x:4294967295", start + 1s);
    CHECK(harness.cached(serverB, huge + "x:4294967295", start + 1s) == 0);
    CHECK(harness.cached(serverB, "base:40,own:5", start + 1s) == 45);
    CHECK(harness.cached(serverB, "base:4294967295,own:4294967295", start + 1s) == 45);
}

TEST_CASE("the bound on entries drops the least recently used ones of all servers")
{
    PromptCacheSettings settings = enabledSettings();
    settings.entryLimit = 4;
    Harness harness(settings);
    harness.answered(serverA, "one:1", start);
    harness.answered(serverB, "two:2", start + 1ms);
    harness.answered(serverA, "three:3", start + 2ms);
    harness.answered(serverB, "four:4", start + 3ms);
    harness.answered(serverA, "one:1", start + 4ms);
    harness.answered(serverA, "five:5", start + 5ms);
    CHECK(harness.cached(serverA, "one:1", start + 5ms) == 1);
    CHECK(harness.cached(serverB, "two:2", start + 5ms) == 0);
    CHECK(harness.cached(serverA, "three:3", start + 5ms) == 3);
    CHECK(harness.cached(serverB, "four:4", start + 5ms) == 4);
}

TEST_CASE("random use: the estimate equals that of a plain list in order of use")
{
    struct Held
    {
        std::uint64_t server;
        PromptCachePart part;
        Instant usedAt;
    };
    PromptCacheSettings settings = enabledSettings();
    settings.defaultCapacityTokens = 400;
    settings.entryLimit = 30;
    settings.maxAge = 300ms;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        SeededRandom random(seed);
        PromptCache cache(settings);
        std::vector<Held> held; // most recently used first
        std::map<std::uint64_t, std::int64_t> starts {{1, 0}, {2, 0}, {3, 0}};
        for (const auto &[server, startedAt] : starts)
            cache.setServer(server, startedAt, "v1");
        Instant now = start;
        for (std::uint64_t step = 0; step < 2000; ++step) {
            // Different times of use, so that the order over all servers is defined.
            now += 1ms + random.below(4) * 1ms;
            const std::uint64_t server = 1 + random.below(3);
            Prompt prompt;
            std::uint64_t chain = 0;
            for (std::uint64_t n = 1 + random.below(4); n > 0; --n) {
                chain = chain * 6 + 1 + random.below(5);
                prompt.push_back({chain, static_cast<std::uint32_t>(chain % 7 * 15)});
            }
            const auto find = [&](std::uint64_t key) {
                return std::find_if(held.begin(), held.end(), [&](const Held &it) {
                    return it.server == server && it.part.chain == key;
                });
            };
            std::uint64_t expected = 0;
            for (const PromptCachePart &part : prompt) {
                const auto it = find(part.chain);
                if (part.tokens > 0 && (it == held.end() || it->usedAt + settings.maxAge <= now))
                    break;
                expected += part.tokens;
            }
            REQUIRE(cache.cachedTokens(server, prompt, 100000, now) == expected);
            if (random.below(100) == 0) {
                cache.setServer(server, ++starts[server], "v1");
                std::erase_if(held, [&](const Held &it) { return it.server == server; });
                continue;
            }
            cache.started({1, step}, server, prompt);
            cache.firstEvent({1, step}, now);
            std::erase_if(held, [&](const Held &it) {
                return it.server == server && it.usedAt + settings.maxAge <= now;
            });
            for (auto part = prompt.rbegin(); part != prompt.rend(); ++part) {
                if (const auto it = find(part->chain); it != held.end())
                    held.erase(it);
                if (part->tokens > 0)
                    held.insert(held.begin(), Held {server, *part, now});
            }
            std::uint64_t tokens = 0;
            std::erase_if(held, [&](const Held &it) {
                tokens += it.server == server ? it.part.tokens : 0;
                return it.server == server && tokens > settings.defaultCapacityTokens;
            });
            if (held.size() > settings.entryLimit)
                held.resize(settings.entryLimit);
            REQUIRE(cache.entryCount() == held.size());
        }
    }
}

TEST_CASE("switched off, nothing is kept and nothing is expected")
{
    Harness harness(PromptCacheSettings {});
    harness.answered(serverA, "base:40,own:900");
    CHECK(harness.cached(serverA, "base:40,own:900") == 0);
    CHECK(harness.cache.entryCount() == 0);
    CHECK(harness.cache.tieSpreadSeconds({1, 1}, serverA) == 0);
}

TEST_CASE("the spread of near ties is even over servers and differs between requests")
{
    const PromptCache cache(enabledSettings());
    std::vector<int> firsts(10);
    for (std::uint64_t sequence = 0; sequence < 10000; ++sequence) {
        std::size_t least = 0;
        for (std::size_t server = 0; server < firsts.size(); ++server) {
            const double spread = cache.tieSpreadSeconds({7, sequence}, server * 1000);
            CHECK(spread >= 0);
            CHECK(spread < 0.003);
            if (spread < cache.tieSpreadSeconds({7, sequence}, least * 1000))
                least = server;
        }
        ++firsts[least];
    }
    // 1,000 are expected for each; 5 standard deviations are 150.
    for (const int count : firsts)
        CHECK(std::abs(count - 1000) < 150);
}
