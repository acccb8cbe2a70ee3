// Guards against a whole prompt that goes on crashing backend servers at other gateways or under
// other request ids, and against sound requests that are held back because they share its session,
// parts, size or organisation. Gateways run in virtual time.

#include "peergossip.h"
#include "promptfleet.h"
#include "promptquarantine.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <sstream>
#include <utility>
#include <vector>

using namespace cornelshed;
using namespace cornelshed::testing;
using namespace std::chrono_literals;

namespace {

const Instant start {1h};

constexpr std::uint64_t acme = 71;
constexpr std::uint64_t globex = 73;

PromptIdentity prompt(std::vector<std::uint64_t> parts, std::uint64_t session,
                      std::uint64_t content, std::uint64_t organisation = acme)
{
    return {std::move(parts), session, content, organisation};
}

// Crashes a server a second under each prompt.
void crashUnder(PromptQuarantine &quarantine, const std::vector<PromptIdentity> &prompts)
{
    std::uint64_t server = 0;
    for (const PromptIdentity &it : prompts) {
        const Instant at = start + ++server * 1s;
        quarantine.recordCrash(it, server, at - 300ms, at);
    }
    quarantine.advance(start + server * 1s + 500ms);
}

} // namespace

TEST_CASE("a request without a prompt that crashes three servers is quarantined; others of the "
          "same caller are not")
{
    PromptQuarantine quarantine;
    const PromptIdentity plain = prompt({}, 0, 31);
    crashUnder(quarantine, {plain, plain, plain});
    CHECK(quarantine.refusal(plain, start + 4s));
    CHECK_FALSE(quarantine.refusal(prompt({}, 0, 32), start + 4s));
    CHECK(quarantine.quarantined() == 1);
}

TEST_CASE("the same request of many sound callers is not held back because servers crash beside it")
{
    PromptQuarantine quarantine;
    const PromptIdentity popular = prompt({}, 0, 31);
    for (std::uint64_t n = 1; n <= 40; ++n) {
        const Instant at = start + n * 500ms;
        quarantine.recordCrash(popular, n, at - 200ms, at);
        CHECK_FALSE(quarantine.refusal(popular, at));
        // Another caller's, at another server.
        quarantine.recordCompletion(popular, at + 100ms);
    }
    CHECK(quarantine.quarantined() == 0);
}

TEST_CASE("two servers that crash under a prompt by turns, and keep their id and start, count as "
          "often as they crash; one server alone does not")
{
    const PromptIdentity deadly = prompt({11}, 17, 31);
    PromptQuarantine two;
    PromptQuarantine one;
    for (std::uint64_t n = 1; n <= 3; ++n) {
        const Instant at = start + n * 4s;
        two.recordCrash(deadly, n % 2, at - 300ms, at);
        one.recordCrash(deadly, 1, at - 300ms, at);
        // The same crash, as peers pass it on.
        PromptQuarantine peer;
        peer.merge(two.reports(at + 10ms), at + 300ms);
        two.merge(peer.reports(at + 310ms), at + 500ms);
        CHECK(two.quarantined() == (n == 3 ? 1 : 0));
    }
    CHECK(two.refusal(deadly, start + 13s));
    CHECK_FALSE(one.refusal(deadly, start + 13s));
}

TEST_CASE("only a complete answer clears a whole prompt, as it may crash servers in mid-stream")
{
    PromptQuarantine quarantine;
    const PromptIdentity deadly = prompt({11}, 17, 31);
    for (std::uint64_t n = 1; n <= 3; ++n) {
        quarantine.recordAnswer(deadly, start + n * 1s - 100ms);
        quarantine.recordCrash(deadly.wholeOnly(), n, start + n * 1s - 300ms, start + n * 1s);
    }
    CHECK(quarantine.refusal(deadly, start + 4s));
    quarantine.recordCompletion(deadly, start + 5s);
    CHECK_FALSE(quarantine.refusal(deadly, start + 5s));
}

TEST_CASE("a session whose content differs each time is quarantined by its last part, and no other "
          "session with the same first part")
{
    PromptQuarantine quarantine;
    crashUnder(quarantine, {prompt({11}, 17, 31), prompt({11}, 17, 32), prompt({11}, 17, 33)});
    CHECK(quarantine.refusal(prompt({11}, 17, 34), start + 4s));
    CHECK_FALSE(quarantine.refusal(prompt({11}, 18, 35), start + 4s));
}

TEST_CASE("a shared part is found although the first prompt with it was quarantined as a whole")
{
    PromptQuarantine quarantine;
    const PromptIdentity first = prompt({11, 13}, 17, 31);
    crashUnder(quarantine, {first, first, first});
    CHECK(quarantine.quarantined() == 1);
    quarantine.recordAnswer(prompt({11}, 20, 40), start + 3500ms);
    quarantine.recordCrash(prompt({11, 13}, 18, 32), 4, start + 3700ms, start + 4s);
    CHECK(quarantine.refusal(prompt({12, 13}, 19, 33), start + 4s));
    CHECK_FALSE(quarantine.refusal(prompt({11}, 19, 34), start + 4s));
}

TEST_CASE("an organisation that names another one's parts in prompts that crash servers does not "
          "hold back the other one")
{
    PromptQuarantine quarantine;
    // The part and the last part of globex.
    crashUnder(quarantine, {prompt({13}, 17, 31), prompt({13}, 17, 32), prompt({13}, 18, 33)});
    CHECK(quarantine.refusal(prompt({13}, 19, 34), start + 4s));
    CHECK_FALSE(quarantine.refusal(prompt({13}, 17, 35, globex), start + 4s));
    // Unless its prompts with the part crash servers as well.
    quarantine.recordCrash(prompt({13}, 20, 36, globex), 4, start + 5s, start + 6s);
    CHECK(quarantine.refusal(prompt({13}, 21, 37, globex), start + 6s));
}

TEST_CASE("the same prompt is held back whichever organisation sends it")
{
    PromptQuarantine quarantine;
    crashUnder(quarantine, {prompt({11}, 17, 31), prompt({11}, 17, 31), prompt({11}, 17, 31)});
    CHECK(quarantine.refusal(prompt({11}, 17, 31, globex), start + 4s));
}

TEST_CASE(
        "a caller with many made-up parts does not keep the quarantine of a prompt from the peers")
{
    PromptQuarantine quarantine;
    PromptQuarantine peer;
    const PromptIdentity deadly = prompt({11}, 17, 31);
    crashUnder(quarantine, {deadly, deadly, deadly});
    std::vector<std::uint64_t> madeUp;
    for (std::uint64_t n = 0; n < 400; ++n)
        madeUp.push_back(1000 + n);
    quarantine.recordCrash(prompt(madeUp, 99, 98), 50, start + 3s, start + 3500ms);
    peer.merge(quarantine.reports(start + 4s), start + 4s);
    CHECK(peer.refusal(deadly, start + 4s));
    CHECK(quarantine.remembered() <= PromptQuarantineSettings().partLimit);
}

TEST_CASE("once the quarantine of a prompt ends, the fleet sends it once, and twice the time later "
          "once more")
{
    PromptTraffic traffic;
    traffic.deadlyInterval = 500ms;
    PromptFleet fleet(4, traffic, 7);
    fleet.run(20s);
    const std::size_t before = fleet.crashes();
    fleet.run(60s); // trials come within a round of turns
    CHECK(fleet.crashes() == before + 1);
    fleet.run(150s);
    CHECK(fleet.crashes() == before + 2);
}

TEST_CASE("property: one prompt every two seconds crashes three servers, in fleets up to 60 "
          "gateways, and no sound request is held back")
{
    CHECK(rc::check([] {
        const auto gatewayCount = *rc::gen::inRange<std::size_t>(1, 60);
        PromptTraffic traffic;
        traffic.deadlyInterval = 2s;
        traffic.soundPerStep = *rc::gen::inRange<std::uint32_t>(0, 4);
        traffic.lossPercent = *rc::gen::inRange<std::uint32_t>(0, 30);
        PromptFleet fleet(gatewayCount, traffic, *rc::gen::inRange<std::uint64_t>(0, 1000000));
        fleet.run(20s);
        RC_ASSERT(fleet.crashes() == 3U);
        RC_ASSERT(fleet.quarantinedGateways() == gatewayCount);
        RC_ASSERT(fleet.soundHeldBack() == 0U);
    }));
}

TEST_CASE("while the second and the third crash are on their way between gateways, no more servers "
          "crash than requests come in a second; prints them by gateways and time between requests")
{
    std::ostringstream table;
    for (const std::size_t gatewayCount : {4, 22, 103, 380}) {
        for (const Duration interval : {4s + 0ms, 2000ms, 1000ms, 500ms, 200ms, 50ms}) {
            PromptTraffic traffic;
            traffic.deadlyInterval = interval;
            std::size_t most = 0;
            std::size_t sum = 0;
            const std::size_t runs = gatewayCount > 50 ? 4 : 20;
            for (std::uint64_t seed = 1; seed <= runs; ++seed) {
                PromptFleet fleet(gatewayCount, traffic, seed);
                fleet.run(std::max<Duration>(6s, 5 * interval));
                most = std::max(most, fleet.crashes());
                sum += fleet.crashes();
                CHECK(fleet.soundHeldBack() == 0);
            }
            CHECK(most <= 3 + static_cast<std::size_t>(1s / interval));
            table << gatewayCount << " gateways, " << interval / 1ms << " ms: mean "
                  << static_cast<double>(sum) / static_cast<double>(runs) << ", most " << most
                  << '\n';
        }
    }
    MESSAGE(table.str());
}

namespace {

// Bytes that these parts add to an encoded report.
std::size_t encodedSize(const std::vector<PromptPartReport> &parts)
{
    GossipReport report;
    report.name = "gateway";
    const std::size_t without = encodeGossip(report).size();
    report.promptParts = parts;
    return encodeGossip(report).size() - without;
}

} // namespace

TEST_CASE("what gateways report of one prompt that crashes servers fits in a datagram beside the "
          "rest, whatever their number; prints the bytes")
{
    std::ostringstream table;
    for (const std::size_t gatewayCount : {4, 103, 380}) {
        PromptFleet fleet(gatewayCount, {}, 5);
        std::size_t reports = 0;
        std::size_t sum = 0;
        std::size_t most = 0;
        double mean = 0;
        fleet.onReport = [&](const std::vector<PromptPartReport> &parts) {
            const std::size_t size = parts.empty() ? 0 : encodedSize(parts);
            ++reports;
            sum += size;
            most = std::max(most, size);
        };
        for (const Duration length : {5s, 10s, 20s}) {
            reports = sum = most = 0;
            fleet.run(length);
            CHECK(most < 1000);
            mean = static_cast<double>(sum) / static_cast<double>(reports);
            table << gatewayCount << " gateways, " << length / 1s
                  << " s more: bytes in a report, mean " << mean << ", most " << most << '\n';
        }
        // Sound parts that were cleared are no longer passed on.
        CHECK(mean < 20);
    }
    MESSAGE(table.str());
}
