// Guards the order in which reservations are served and shed: tiers, the starvation floor, fairness
// between organisations, earliest deadline within one.

#include "tierqueue.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace cornelshed;

namespace {

QueueEntry entryOf(std::uint64_t sequence, TierRank tier, const std::string &organisation,
                   std::uint64_t tokens, int deadlineMs)
{
    return {{1, sequence}, tier,
            organisation,  1,
            tokens,        Instant {std::chrono::milliseconds(deadlineMs)}};
}

QueueEntry randomEntry(std::uint64_t sequence)
{
    return entryOf(sequence, *rc::gen::inRange<TierRank>(0, 3),
                   *rc::gen::element<std::string>("a", "b", "c", "d"),
                   *rc::gen::inRange<std::uint64_t>(1, 20000), *rc::gen::inRange(1, 60000));
}

std::vector<TierSettings> tiersWithFloor(double silver, double bronze)
{
    return {{"gold", 0, 0}, {"silver", 1, silver}, {"bronze", 2, bronze}};
}

std::vector<QueueEntry> randomEntries(int most)
{
    std::vector<QueueEntry> entries;
    const int count = *rc::gen::inRange(1, most);
    entries.reserve(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n)
        entries.push_back(randomEntry(static_cast<std::uint64_t>(n)));
    return entries;
}

} // namespace

TEST_CASE("without floors no entry is served while a higher tier waits, within an organisation the "
          "earliest deadline is served first")
{
    CHECK(rc::check([] {
        TierQueue queue(100, tiersWithFloor(0, 0));
        for (const QueueEntry &it : randomEntries(60))
            queue.push(it);
        TierRank lowest = 0;
        std::map<std::pair<TierRank, std::string>, Instant> latest;
        while (queue.next() != nullptr) {
            const QueueEntry entry = queue.pop();
            RC_ASSERT(entry.tier >= lowest);
            lowest = entry.tier;
            Instant &before = latest[{entry.tier, entry.organisation}];
            RC_ASSERT(entry.deadline >= before);
            before = entry.deadline;
        }
        RC_ASSERT(queue.size() == 0U);
    }));
}

TEST_CASE("a full queue sheds no entry while a lower tier is queued")
{
    CHECK(rc::check([] {
        const std::size_t limit = *rc::gen::inRange<std::size_t>(1, 20);
        TierQueue queue(limit, tiersWithFloor(0.1, 0.05));
        std::map<RequestId, TierRank> queued;
        for (const QueueEntry &it : randomEntries(80)) {
            queued[it.request] = it.tier;
            if (const auto shed = queue.push(it)) {
                queued.erase(shed->request);
                for (const auto &[request, tier] : queued)
                    RC_ASSERT(tier <= shed->tier);
            }
            RC_ASSERT(queue.size() <= limit);
            RC_ASSERT(queue.size() == queued.size());
        }
    }));
}

TEST_CASE("each lower tier gets its minimum share of grants while all tiers are backlogged")
{
    CHECK(rc::check([] {
        const double silver = *rc::gen::inRange(0, 30) / 100.0;
        const double bronze = *rc::gen::inRange(0, 30) / 100.0;
        TierQueue queue(3000, tiersWithFloor(silver, bronze));
        for (std::uint64_t n = 0; n < 900; ++n)
            queue.push(entryOf(n, static_cast<TierRank>(n % 3), "a", 100, 1000));
        const int grants = *rc::gen::inRange(1, 300);
        std::map<TierRank, int> served;
        for (int n = 0; n < grants; ++n)
            ++served[queue.pop().tier];
        RC_ASSERT(served[1] >= static_cast<int>(silver * grants) - 2);
        RC_ASSERT(served[2] >= static_cast<int>(bronze * grants) - 2);
        RC_ASSERT(served[0] >= static_cast<int>((1 - silver - bronze) * grants) - 2);
    }));
}

TEST_CASE("backlogged organisations get tokens by weight, whatever the size of their requests")
{
    CHECK(rc::check([] {
        const std::uint64_t small = *rc::gen::inRange<std::uint64_t>(256, 1000);
        const std::uint64_t large = *rc::gen::inRange<std::uint64_t>(1000, 30000);
        const std::uint32_t weight = *rc::gen::inRange<std::uint32_t>(1, 4);
        TierQueue queue(100000, tiersWithFloor(0, 0));
        for (std::uint64_t n = 0; n < 4000; ++n) {
            QueueEntry entry = entryOf(2 * n, 0, "small", small, 1000);
            entry.weight = weight;
            queue.push(entry);
            queue.push(entryOf(2 * n + 1, 0, "large", large, 1000));
        }
        std::map<std::string, double> tokens;
        while (tokens["small"] < 3000.0 * static_cast<double>(small)
               && tokens["large"] < 3000.0 * static_cast<double>(large)) {
            const QueueEntry entry = queue.pop();
            tokens[entry.organisation] += static_cast<double>(entry.tokens);
        }
        // The classical bound: a request of each size and a turn of each organisation.
        const double bound = static_cast<double>(small * weight + large * weight) + 256.0 * weight;
        RC_ASSERT(std::abs(tokens["small"] - tokens["large"] * weight) <= bound + 256);
    }));
}

TEST_CASE("a grant that was not used is charged to nobody")
{
    TierQueue queue(100, tiersWithFloor(0, 0));
    for (std::uint64_t n = 0; n < 8; ++n)
        queue.push(entryOf(n, 0, n % 2 == 0 ? "a" : "b", 5000, 1000));
    const QueueEntry first = queue.pop();
    queue.refund(first);
    CHECK(queue.pop().organisation == first.organisation);
}

TEST_CASE("out of turn, the highest tier among the accepted entries is found and charged")
{
    TierQueue queue(100, tiersWithFloor(0, 0));
    queue.push(entryOf(1, 0, "a", 9000, 900));
    queue.push(entryOf(2, 2, "a", 100, 100));
    queue.push(entryOf(3, 1, "a", 100, 500));
    const auto isSmall = [](const QueueEntry &it) { return it.tokens < 1000; };
    const QueueEntry *found = queue.nextAccepted(isSmall);
    REQUIRE(found != nullptr);
    CHECK(found->request == RequestId {1, 3});
    queue.take(found->request);
    queue.take({1, 2});
    CHECK(queue.nextAccepted(isSmall) == nullptr);
    CHECK(queue.next()->request == RequestId {1, 1});
}
