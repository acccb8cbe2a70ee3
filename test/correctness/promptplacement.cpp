// Guards against schedulers that send a request where its prompt is cached although the wait there
// costs more than the cache saves, that ignore the cache of an idle server, or that all send the
// requests of a popular prompt to the same servers; and against other decisions than before where
// the prompt cache is switched off. Each scheduler stands for a gateway.

#include "directscheduler.h"
#include "stabledigest.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

using namespace cornelshed;
using namespace std::chrono_literals;

namespace {

const Instant start {1h};
constexpr double promptTokensPerSecond = 38000;

BackendRecord server(const std::string &id, std::uint32_t slots)
{
    BackendRecord record;
    record.id = id;
    record.service = "writer";
    record.address = "10.0.0.1";
    record.port = 80;
    record.availabilityZone = "a";
    record.version = "v1";
    record.slots = slots;
    return record;
}

DirectRequest request(std::uint64_t sequence, std::uint64_t order, Instant now)
{
    DirectRequest made;
    made.id = {1, sequence};
    made.service = "writer";
    made.order = order;
    made.arrivedAt = now;
    made.waitUntil = now + 500ms;
    made.promptTokens = 1000;
    return made;
}

// Two parts that requests share, and one of its own.
DirectRequest requestWith(std::uint64_t sequence, std::uint64_t sharedPart, Instant now)
{
    DirectRequest made = request(sequence, 0, now);
    made.promptTokens = 3000;
    made.sessionAffinityKey = "own" + std::to_string(sequence);
    made.promptParts = {{sharedPart, 500},
                        {sharedPart + 1, 1500},
                        {stableDigest(made.sessionAffinityKey, sharedPart), 1000}};
    return made;
}

DirectSettings settingsWith(bool promptCache)
{
    DirectSettings settings {"a", promptTokensPerSecond, 1.5, 5};
    settings.promptCache.enabled = promptCache;
    return settings;
}

std::vector<BackendRecord> servers(std::size_t count, std::uint32_t slots)
{
    std::vector<BackendRecord> records;
    for (std::size_t i = 0; i < count; ++i)
        records.push_back(server("s" + std::to_string(i), slots));
    return records;
}

class Harness
{
public:
    explicit Harness(const DirectSettings &settings, const std::vector<BackendRecord> &records)
        : scheduler(settings)
    {
        scheduler.setBackends(records, {{"writer", 0}}, start);
    }

    // The backend server that it is started at; empty: none.
    std::string place(const DirectRequest &made, Instant now)
    {
        scheduler.add(made);
        for (const DirectAction &it : scheduler.advance(now)) {
            if (const auto *action = std::get_if<StartAction>(&it))
                return action->backend;
        }
        return {};
    }

    std::string run(const DirectRequest &made, Instant now)
    {
        std::string backend = place(made, now);
        scheduler.firstEvent(made.id, now);
        scheduler.ended(made.id, {AttemptOutcome::Answered, 40ms, 2ms}, now);
        return backend;
    }

    DirectScheduler scheduler;
};

void prepare(DirectRequest &made)
{
    // Must have no influence.
    made.promptParts = {{stableDigest(made.sessionAffinityKey), 1000}};
}

// Digest of all decisions of four schedulers over some seconds of mixed sessions.
std::uint64_t decisionsDigest()
{
    std::vector<BackendRecord> records;
    for (int i = 0; i < 12; ++i) {
        records.push_back(server("s" + std::to_string(i), 3));
        records.back().availabilityZone = i % 3 == 0 ? "b" : "a";
    }
    SeededRandom random(7);
    std::uint64_t digest = 1;
    const auto add = [&](std::string_view text, std::uint64_t number) {
        digest = stableDigest(text, digest) + number;
    };
    std::vector<std::unique_ptr<DirectScheduler>> schedulers;
    for (std::uint32_t i = 0; i < 4; ++i) {
        schedulers.push_back(
                std::make_unique<DirectScheduler>(DirectSettings {"a", 38000, 1.5, 5}));
        schedulers.back()->setBackends(records, {{"writer", 0}}, start);
        schedulers.back()->setGateways(4, i);
        // The agents of some of the servers respond.
        for (int s = 0; i % 2 == 1 && s < 4; ++s)
            schedulers.back()->agentResponded("s" + std::to_string(s), start);
    }
    std::vector<std::tuple<Instant, std::size_t, RequestId>> running;
    std::uint64_t sequence = 0;
    for (Instant now = start; now < start + 4s; now += 5ms) {
        for (std::size_t i = 0; i < schedulers.size(); ++i) {
            DirectScheduler &scheduler = *schedulers[i];
            for (auto it = running.begin(); it != running.end();) {
                const auto [due, owner, id] = *it;
                if (owner != i || due > now) {
                    ++it;
                    continue;
                }
                scheduler.firstEvent(id, now);
                scheduler.ended(id, {AttemptOutcome::Answered, 40ms, 2ms}, now);
                it = running.erase(it);
            }
            if (random.below(3) > 0) {
                DirectRequest made = request(++sequence, random.below(3), now);
                made.promptTokens = 200 + random.below(4000);
                made.sessionAffinityKey = "session" + std::to_string(random.below(30));
                prepare(made);
                scheduler.add(made);
            }
            for (const DirectAction &it : scheduler.advance(now)) {
                add("action", it.index());
                if (const auto *action = std::get_if<StartAction>(&it)) {
                    add(action->backend, action->request.sequence);
                    running.emplace_back(now + 20ms + random.below(60) * 1ms, i, action->request);
                } else if (const auto *slot = std::get_if<RequestSlotAction>(&it)) {
                    add(slot->backend.id, slot->request.id.sequence);
                    if (random.below(2) == 0)
                        scheduler.slotGranted(slot->request.id, slot->backend.id, now);
                } else if (const auto *release = std::get_if<ReleaseSlotAction>(&it)) {
                    add(release->backend, release->request.sequence);
                } else if (const auto *refusal = std::get_if<RefuseAction>(&it)) {
                    add("refused", refusal->request.sequence);
                }
            }
            if (now.time_since_epoch() % 25ms == 0ms) {
                for (std::size_t peer = 0; peer < schedulers.size(); ++peer) {
                    if (peer != i)
                        schedulers[peer]->peerReport(i, scheduler.ownLoads(now), now);
                }
            }
        }
    }
    return digest + sequence;
}

} // namespace

TEST_CASE("switched off, all decisions are those from before the prompt cache existed")
{
    // Recorded with the scheduler of the commit before.
    CHECK(decisionsDigest() == 10717887856508053988ULL);
}

TEST_CASE("an idle server with the prefix is preferred to other idle ones")
{
    Harness harness(settingsWith(true), servers(20, 7));
    const std::string first = harness.run(requestWith(1, 100, start), start);
    REQUIRE_FALSE(first.empty());
    for (std::uint64_t n = 2; n < 50; ++n)
        CHECK(harness.run(requestWith(n, 100, start + n * 100ms), start + n * 100ms) == first);
    // Requests with other parts are not drawn there.
    std::set<std::string> others;
    for (std::uint64_t n = 50; n < 100; ++n)
        others.insert(harness.run(requestWith(n, n * 1000, start + n * 100ms), start + n * 100ms));
    CHECK(others.size() > 10);
}

TEST_CASE("a server with the prefix loses when the wait there costs more than the cache saves")
{
    // 2,000 of the 3,000 tokens are cached.
    for (const std::uint64_t queuedTokens : {0, 500, 1500, 2500, 4000, 20000}) {
        CAPTURE(queuedTokens);
        Harness harness(settingsWith(true), servers(20, 7));
        const std::string holder = harness.run(requestWith(1, 100, start), start);
        harness.scheduler.peerReport(7, {{stableDigest(holder), 0, queuedTokens}}, start + 10ms);
        const bool chosen =
                harness.place(requestWith(2, 100, start + 10ms), start + 10ms) == holder;
        CHECK(chosen == (queuedTokens < 2000));
    }
}

TEST_CASE("a full server with the prefix is not waited for")
{
    Harness harness(settingsWith(true), servers(2, 1));
    const std::string holder = harness.run(requestWith(1, 100, start), start);
    harness.scheduler.peerReport(7, {{stableDigest(holder), 1, 0}}, start + 10ms);
    const std::string other = harness.place(requestWith(2, 100, start + 10ms), start + 10ms);
    CHECK_FALSE(other.empty());
    CHECK(other != holder);
}

TEST_CASE("a restart of the server with the prefix ends the preference")
{
    auto records = servers(20, 7);
    Harness harness(settingsWith(true), records);
    const std::string holder = harness.run(requestWith(1, 100, start), start);
    for (BackendRecord &it : records)
        it.startedAtMs += it.id == holder ? 1 : 0;
    harness.scheduler.setBackends(records, {{"writer", 0}}, start + 1s);
    std::set<std::string> chosen;
    for (std::uint64_t n = 2; n < 22; ++n) {
        const auto made = requestWith(n, 100, start + 1s);
        chosen.insert(harness.place(made, start + 1s));
        harness.scheduler.ended(made.id, {AttemptOutcome::Abandoned}, start + 1s);
    }
    CHECK(chosen.size() > 5);
}

TEST_CASE("slot requests go to the agents of servers with the prefix first")
{
    DirectSettings settings = settingsWith(true);
    settings.agents = true;
    settings.initialSlotRequests = 2;
    Harness harness(settings, servers(20, 7));
    const std::string holder = harness.run(requestWith(1, 100, start), start);
    for (int i = 0; i < 20; ++i)
        harness.scheduler.agentResponded("s" + std::to_string(i), start);
    harness.scheduler.add(requestWith(2, 100, start));
    std::vector<std::string> asked;
    for (const DirectAction &it : harness.scheduler.advance(start)) {
        if (const auto *action = std::get_if<RequestSlotAction>(&it))
            asked.push_back(action->backend.id);
    }
    REQUIRE(asked.size() == 2);
    CHECK(asked[0] == holder);
}

TEST_CASE("many gateways with the same view choose different ones of equal servers")
{
    for (const bool spread : {false, true}) {
        std::set<std::string> chosen;
        for (std::uint64_t gateway = 0; gateway < 20; ++gateway) {
            DirectSettings settings = settingsWith(true);
            if (!spread)
                settings.promptCache.tieSpread = {};
            Harness harness(settings, servers(20, 7));
            DirectRequest made = requestWith(1, 100, start);
            made.id.entryIncarnation = gateway;
            chosen.insert(harness.place(made, start));
        }
        // Of 20 random choices of 20, 13 differ on average; fewer than 8 are not seen by chance.
        CHECK(chosen.size() >= (spread ? 8U : 1U));
        if (!spread)
            CHECK(chosen.size() == 1);
    }
}

namespace {

// Prefills one prompt after another, and caches the parts used last.
class ModelServer
{
public:
    // Returns the tokens of the prompt that need prefill.
    std::uint64_t process(const DirectRequest &made, std::uint64_t memoryTokens, Instant now)
    {
        ++requests;
        std::uint64_t tokens = made.promptTokens;
        bool hit = true;
        for (const PromptCachePart &part : made.promptParts) {
            hit = hit && holds(part.chain);
            tokens -= hit ? part.tokens : 0;
        }
        for (auto part = made.promptParts.rbegin(); part != made.promptParts.rend(); ++part) {
            std::erase_if(m_held, [&](const auto &it) { return it.chain == part->chain; });
            m_held.insert(m_held.begin(), *part);
        }
        std::uint64_t held = 0;
        std::erase_if(m_held, [&](const auto &it) { return (held += it.tokens) > memoryTokens; });
        const std::chrono::duration<double> prefill(static_cast<double>(tokens)
                                                    / promptTokensPerSecond);
        prefilledUntil =
                std::max(prefilledUntil, now) + std::chrono::duration_cast<Duration>(prefill);
        return tokens;
    }

    bool holds(std::uint64_t chain) const
    {
        return std::any_of(m_held.begin(), m_held.end(),
                           [&](const auto &it) { return it.chain == chain; });
    }

    Instant prefilledUntil {};
    std::uint64_t requests = 0;

private:
    std::vector<PromptCachePart> m_held; // most recently used first
};

struct FleetLoad
{
    std::uint64_t perSecond = 0;
    std::uint64_t popularParts = 1;
    std::uint64_t memoryTokens = 100000; // of a server
    std::uint64_t seed = 3;
};

struct FleetResult
{
    double firstEventMs = 0; // of all requests together
    std::uint64_t answered = 0;
    std::uint64_t prefilledTokens = 0;
    std::uint64_t busiestServer = 0;
    std::size_t holders = 0; // servers that hold the first popular part

    void add(const FleetResult &other)
    {
        firstEventMs += other.firstEventMs;
        answered += other.answered;
        prefilledTokens += other.prefilledTokens;
        busiestServer = std::max(busiestServer, other.busiestServer);
        holders += other.holders;
    }
};

std::string describe(const FleetResult &result)
{
    return "answered " + std::to_string(result.answered) + ", first event after "
            + std::to_string(result.firstEventMs / static_cast<double>(result.answered))
            + " ms, prefilled tokens " + std::to_string(result.prefilledTokens)
            + ", busiest server " + std::to_string(result.busiestServer) + ", holders "
            + std::to_string(result.holders);
}

// Eight gateways that report to each other every 25 ms send requests, four in five of which
// begin with a popular part, to 16 servers with 4 slots.
FleetResult runFleet(const DirectSettings &settings, const FleetLoad &load)
{
    struct Running
    {
        Instant firstEventAt;
        Instant endsAt;
        std::size_t gateway;
        RequestId id;
        bool begun = false;
    };
    std::vector<std::unique_ptr<Harness>> gateways;
    for (std::uint32_t i = 0; i < 8; ++i) {
        gateways.push_back(std::make_unique<Harness>(settings, servers(16, 4)));
        gateways.back()->scheduler.setGateways(8, i);
    }
    std::map<std::string, ModelServer> models;
    std::map<std::uint64_t, DirectRequest> requests;
    std::vector<Running> running;
    SeededRandom random(load.seed);
    FleetResult result;
    std::uint64_t sequence = 0;
    for (Instant now = start; now < start + 5s; now += 1ms) {
        for (Running &it : running) {
            DirectScheduler &scheduler = gateways[it.gateway]->scheduler;
            if (!it.begun && it.firstEventAt <= now) {
                it.begun = true;
                scheduler.firstEvent(it.id, now);
            }
            if (it.endsAt <= now)
                scheduler.ended(it.id, {AttemptOutcome::Answered, 60ms, 2ms}, now);
        }
        std::erase_if(running, [&](const Running &it) { return it.endsAt <= now; });
        if (random.below(1000) < load.perSecond) {
            ++sequence;
            const std::uint64_t popular = 100 * (1 + random.below(load.popularParts));
            const std::uint64_t part = random.below(5) > 0 ? popular : sequence * 100000;
            requests[sequence] = requestWith(sequence, part, now);
            gateways[sequence % 8]->scheduler.add(requests[sequence]);
        }
        for (std::size_t i = 0; i < gateways.size(); ++i) {
            DirectScheduler &scheduler = gateways[i]->scheduler;
            for (const DirectAction &it : scheduler.advance(now)) {
                const auto *action = std::get_if<StartAction>(&it);
                if (action == nullptr)
                    continue;
                const DirectRequest &made = requests[action->request.sequence];
                ModelServer &model = models[action->backend];
                result.prefilledTokens += model.process(made, load.memoryTokens, now);
                running.push_back(
                        {model.prefilledUntil, model.prefilledUntil + 40ms, i, action->request});
                const std::chrono::duration<double, std::milli> first =
                        model.prefilledUntil - made.arrivedAt;
                result.firstEventMs += first.count();
                ++result.answered;
            }
            if ((now - start) % 25ms == 0ms) {
                for (std::size_t peer = 0; peer < gateways.size(); ++peer) {
                    if (peer != i)
                        gateways[peer]->scheduler.peerReport(i, scheduler.ownLoads(now), now);
                }
            }
        }
    }
    for (const auto &[id, model] : models) {
        result.busiestServer = std::max(result.busiestServer, model.requests);
        result.holders += model.holds(100) ? 1 : 0;
    }
    return result;
}

} // namespace

TEST_CASE("many popular prefixes: servers prefill less than with the preference by session")
{
    // 360 tokens/ms of prefill without any cache, of 608 that the servers do. A server holds eight
    // prompts, so that not all of them hold all popular parts.
    FleetLoad load {120, 40, 24000};
    // With this age nothing is trusted, and only the spread of near ties is left.
    DirectSettings spreadOnly = settingsWith(true);
    spreadOnly.promptCache.maxAge = {};
    FleetResult off;
    FleetResult spread;
    FleetResult on;
    for (load.seed = 1; load.seed <= 5; ++load.seed) {
        off.add(runFleet(settingsWith(false), load));
        spread.add(runFleet(spreadOnly, load));
        on.add(runFleet(settingsWith(true), load));
    }
    MESSAGE("off: " << describe(off));
    MESSAGE("spread only: " << describe(spread));
    MESSAGE("on: " << describe(on));
    for (const FleetResult &it : {off, spread}) {
        CHECK(on.answered == it.answered);
        CHECK(on.firstEventMs < it.firstEventMs);
        CHECK(on.prefilledTokens < it.prefilledTokens);
    }
}

TEST_CASE("a popular prefix under load is spread: no server gets more than twice an equal share")
{
    const FleetResult on = runFleet(settingsWith(true), {400});
    MESSAGE(describe(on));
    CHECK(on.holders >= 8);
    CHECK(on.busiestServer <= 2 * on.answered / 16);
}
