// Tests the order in which TierQueue serves and sheds reservations: tier priority, the minimum
// share of lower tiers, fairness between organisations, and earliest deadline first within one.

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

std::vector<TierSettings> tiersWithMinimumShares(double silver, double bronze)
{
    return {{"gold", 0, 0}, {"silver", 1, silver}, {"bronze", 2, bronze}};
}

std::vector<QueueEntry> randomEntries(int countLimit)
{
    std::vector<QueueEntry> entries;
    const int count = *rc::gen::inRange(1, countLimit);
    entries.reserve(static_cast<std::size_t>(count));
    for (int n = 0; n < count; ++n)
        entries.push_back(randomEntry(static_cast<std::uint64_t>(n)));
    return entries;
}

} // namespace

TEST_CASE("without minimum shares, higher tiers are served first, and each organisation's entries "
          "by earliest deadline")
{
    CHECK(rc::check([] {
        TierQueue queue(100, tiersWithMinimumShares(0, 0));
        for (const QueueEntry &it : randomEntries(60))
            queue.push(it);
        TierRank lastTier = 0;
        std::map<std::pair<TierRank, std::string>, Instant> lastDeadlines;
        while (queue.next() != nullptr) {
            const QueueEntry entry = queue.pop();
            RC_ASSERT(entry.tier >= lastTier);
            lastTier = entry.tier;
            Instant &lastDeadline = lastDeadlines[{entry.tier, entry.organisation}];
            RC_ASSERT(entry.deadline >= lastDeadline);
            lastDeadline = entry.deadline;
        }
        RC_ASSERT(queue.size() == 0U);
    }));
}

TEST_CASE("a full queue sheds no entry while an entry of a lower tier is queued")
{
    CHECK(rc::check([] {
        const std::size_t limit = *rc::gen::inRange<std::size_t>(1, 20);
        TierQueue queue(limit, tiersWithMinimumShares(0.1, 0.05));
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
        TierQueue queue(3000, tiersWithMinimumShares(silver, bronze));
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
        TierQueue queue(100000, tiersWithMinimumShares(0, 0));
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
        // Fairness bound of deficit round robin: one request of each size and one quantum for each
        // organisation.
        const double bound = static_cast<double>(small * weight + large * weight) + 256.0 * weight;
        RC_ASSERT(std::abs(tokens["small"] - tokens["large"] * weight) <= bound + 256);
    }));
}

TEST_CASE("refunding an unused grant lets the same organisation be served next")
{
    TierQueue queue(100, tiersWithMinimumShares(0, 0));
    for (std::uint64_t n = 0; n < 8; ++n)
        queue.push(entryOf(n, 0, n % 2 == 0 ? "a" : "b", 5000, 1000));
    const QueueEntry first = queue.pop();
    queue.refund(first);
    CHECK(queue.pop().organisation == first.organisation);
}

TEST_CASE("findMatching() finds the matching entry of the highest tier, and take() removes it")
{
    TierQueue queue(100, tiersWithMinimumShares(0, 0));
    queue.push(entryOf(1, 0, "a", 9000, 900));
    queue.push(entryOf(2, 2, "a", 100, 100));
    queue.push(entryOf(3, 1, "a", 100, 500));
    const auto isSmall = [](const QueueEntry &it) { return it.tokens < 1000; };
    const QueueEntry *found = queue.findMatching(isSmall);
    REQUIRE(found != nullptr);
    CHECK(found->request == RequestId {1, 3});
    queue.take(found->request);
    queue.take({1, 2});
    CHECK(queue.findMatching(isSmall) == nullptr);
    CHECK(queue.next()->request == RequestId {1, 1});
}
