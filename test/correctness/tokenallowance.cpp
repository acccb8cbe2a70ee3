// Guards against organisations that exceed their allowance over all daemons, also when daemons
// restart or are separated by a network partition, and against requests refused within the
// allowance.

#include "tokenallowance.h"
#include "stabledigest.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>

using namespace cornelshed;
using namespace std::chrono_literals;

namespace {

const Instant start {1h};
constexpr Duration window = 8s;
const Allowance allowance {1000, 1000};
const AllowanceTolerance tolerance {0.1, 500};
// Maximum number of tokens in a window; the deployment counts more as a violation.
constexpr double maxTokensPerWindow = (1000 * 8 + 1000) * 1.1 + 500;

TokenAllowances makeAllowances(Instant now)
{
    TokenAllowances allowances(window, tolerance);
    allowances.configure("acme", allowance, now);
    return allowances;
}

class SlidingWindowSum
{
public:
    void add(Instant now, double cost)
    {
        m_taken.emplace_back(now, cost);
        m_sum += cost;
        while (m_taken.front().first + window <= now) {
            m_sum -= m_taken.front().second;
            m_taken.pop_front();
        }
    }
    double sum() const { return m_sum; }

private:
    std::deque<std::pair<Instant, double>> m_taken;
    double m_sum = 0;
};

} // namespace

TEST_CASE("an organisation over its rate keeps the window's limit and gets most of its allowance")
{
    TokenAllowances allowances = makeAllowances(start);
    SlidingWindowSum sum;
    double total = 0;
    for (int i = 0; i < 6000; ++i) {
        const Instant now = start + i * 5ms;
        if (!allowances.tryTake("acme", 100, false, now))
            continue;
        sum.add(now, 100);
        total += 100;
        REQUIRE(sum.sum() <= maxTokensPerWindow);
    }
    CHECK(total >= 0.9 * 1000 * 30);
}

TEST_CASE("requests within the allowance are never refused")
{
    TokenAllowances allowances = makeAllowances(start);
    for (int i = 0; i < 3000; ++i)
        REQUIRE(allowances.tryTake("acme", 9, false, start + 1s + i * 10ms));
}

TEST_CASE("organisations that are unlimited or unknown are not limited")
{
    TokenAllowances allowances(window, tolerance);
    allowances.configure("free", {0, 0}, start);
    CHECK(allowances.tryTake("free", 1e9, false, start));
    CHECK(allowances.tryTake("unknown", 1e9, false, start));
}

TEST_CASE("a request succeeds after the wait time given with its refusal")
{
    TokenAllowances allowances = makeAllowances(start);
    Instant now = start + 10s;
    while (allowances.tryTake("acme", 50, true, now)) { }
    now += allowances.timeUntil("acme", 50, now) + 1ms;
    CHECK(allowances.tryTake("acme", 50, true, now));
}

TEST_CASE("refunded tokens are not reported to peers as consumed")
{
    TokenAllowances allowances = makeAllowances(start);
    REQUIRE(allowances.tryTake("acme", 40, false, start + 1s));
    allowances.refund("acme", 40);
    CHECK(allowances.ownTotals().empty());
}

TEST_CASE("property: the window's limit holds when all daemons restart at any moment")
{
    CHECK(rc::check([] {
        TokenAllowances allowances = makeAllowances(start);
        SlidingWindowSum sum;
        const int restartAt = *rc::gen::inRange(0, 2000);
        const bool useTolerance = *rc::gen::arbitrary<bool>();
        const double cost = *rc::gen::inRange(1, 400);
        for (int i = 0; i < 4000; ++i) {
            const Instant now = start + i * 5ms;
            if (i == restartAt)
                allowances = makeAllowances(now);
            if (allowances.tryTake("acme", cost, useTolerance, now))
                sum.add(now, cost);
            RC_ASSERT(sum.sum() <= maxTokensPerWindow + cost);
        }
    }));
}

TEST_CASE("an organisation at six times its rate over many daemons with delayed reports")
{
    constexpr std::size_t daemons = 24;
    constexpr Duration lag = 230ms;
    std::vector<TokenAllowances> instances(daemons, makeAllowances(start));
    for (auto &it : instances)
        it.setReportLag(lag);
    SlidingWindowSum sum;
    double highestSum = 0;
    for (int i = 0; i < 6000; ++i) {
        const Instant now = start + i * 5ms;
        // Six times the organisation's rate, spread evenly over the daemons.
        auto &daemon = instances[static_cast<std::size_t>(i) % daemons];
        if (daemon.tryTake("acme", 30, true, now))
            sum.add(now, 30);
        highestSum = std::max(highestSum, sum.sum());
        for (std::size_t from = 0; i % 46 == 0 && from < daemons; ++from) {
            for (std::size_t to = 0; to < daemons; ++to) {
                if (from != to)
                    for (const auto &[digest, total] : instances[from].ownTotals())
                        instances[to].recordPeerTotal(from, now - start, digest, total, now);
            }
        }
    }
    CHECK(highestSum <= maxTokensPerWindow);
    CHECK(highestSum >= 0.8 * maxTokensPerWindow);
}

TEST_CASE("consumption before a peer's first report counts if the peer started recently")
{
    TokenAllowances allowances = makeAllowances(start);
    const auto waitAfterPeerReport = [&](Duration uptime, std::uint64_t peer) {
        TokenAllowances copy = allowances;
        copy.recordPeerTotal(peer, uptime, stableDigest("acme"), 400, start + 1s);
        return copy.timeUntil("acme", 300, start + 1s);
    };
    CHECK(waitAfterPeerReport(200ms, 1) > waitAfterPeerReport(1h, 2));
}

TEST_CASE("property: daemons with delayed reports or in a partition keep the limit in sum")
{
    CHECK(rc::check([] {
        const int daemons = *rc::gen::inRange(2, 6);
        const bool partitioned = *rc::gen::arbitrary<bool>();
        std::vector<TokenAllowances> instances(static_cast<std::size_t>(daemons),
                                               makeAllowances(start));
        if (partitioned) {
            for (auto &it : instances)
                it.setGateways(1, static_cast<std::uint32_t>(daemons));
        }
        SlidingWindowSum sum;
        for (int i = 0; i < 4000; ++i) {
            const Instant now = start + i * 5ms;
            auto &daemon = instances[*rc::gen::inRange<std::size_t>(0, instances.size())];
            if (daemon.tryTake("acme", 20, true, now))
                sum.add(now, 20);
            // Each daemon reports to all others every 50 ms.
            for (std::size_t from = 0; !partitioned && i % 10 == 0 && from < instances.size();
                 ++from) {
                for (std::size_t to = 0; to < instances.size(); ++to) {
                    if (from != to)
                        for (const auto &[digest, total] : instances[from].ownTotals())
                            instances[to].recordPeerTotal(from, now - start, digest, total, now);
                }
            }
            RC_ASSERT(sum.sum() <= maxTokensPerWindow + 20);
        }
    }));
}
