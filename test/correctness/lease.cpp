// Guards against two holders at once, a holder that acts after a pause longer than its term, and a
// lease that nobody gets although the table works.

#include "lease.h"
#include "statechartfile.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

using namespace cornelshed;

namespace {

constexpr Duration step = std::chrono::milliseconds(100);

StateChart leaseChart()
{
    return std::get<StateChart>(readStateChart(CORNELSHED_SOURCE_DIR "/charts/lease.toml"));
}

// One candidate with its pause and the operation that is under way.
struct Candidate
{
    explicit Candidate(LeaseKeeper lease) : keeper(std::move(lease)) { }

    LeaseKeeper keeper;
    Instant pausedUntil {};
    std::optional<LeaseAction> action;
    bool applied = false;
    Instant appliesAt {};
    Instant answeredAt {};
    bool answerLost = false;
    LeaseWriteResult result = LeaseWriteResult::Unavailable;
    std::uint64_t version = 0;
    LeaseRow seen;
};

// Table with one row; each operation takes effect and is answered after random delays, and answers
// may be lost after the effect.
class World
{
public:
    World(std::uint64_t seed, bool faults) : m_random(seed), m_faults(faults)
    {
        for (int n = 0; n < 3; ++n) {
            LeaseSettings settings;
            settings.name = "rollouts";
            settings.holder = "entry-" + std::to_string(n);
            m_candidates.emplace_back(LeaseKeeper(leaseChart(), settings));
        }
    }

    void advance()
    {
        m_now += step;
        if (m_faults && m_random.below(400) == 0)
            m_outageUntil = m_now + std::chrono::seconds(m_random.below(40));
        for (Candidate &it : m_candidates)
            advanceOne(it);
    }

    // Number of candidates that hold the lease now; notes whether each new holder's fencing number
    // is greater than the last one's.
    int holders()
    {
        int count = 0;
        for (std::size_t n = 0; n < m_candidates.size(); ++n) {
            const LeaseKeeper &keeper = m_candidates[n].keeper;
            if (!keeper.held(m_now))
                continue;
            ++count;
            if (n != m_lastHolder && keeper.fencing() <= m_lastFencing)
                m_fencingGrows = false;
            m_lastHolder = n;
            m_lastFencing = keeper.fencing();
        }
        return count;
    }

    bool fencingGrows() const { return m_fencingGrows; }

private:
    void advanceOne(Candidate &it)
    {
        if (it.action.has_value() && !it.applied && it.appliesAt <= m_now)
            apply(it);
        if (m_faults && it.pausedUntil <= m_now && m_random.below(300) == 0)
            it.pausedUntil = m_now + std::chrono::seconds(m_random.below(40));
        if (it.pausedUntil > m_now)
            return;
        if (it.action.has_value() && it.applied && it.answeredAt <= m_now)
            answer(it);
        if (it.action.has_value())
            return;
        for (const LeaseAction &action : it.keeper.tick(m_now))
            begin(it, action);
    }

    void begin(Candidate &it, const LeaseAction &action)
    {
        it.action = action;
        it.applied = false;
        const std::uint64_t most = m_faults ? 3000 : 20;
        it.appliesAt = m_now + std::chrono::milliseconds(m_random.below(most));
        it.answeredAt = it.appliesAt + std::chrono::milliseconds(m_random.below(most));
        it.answerLost = m_faults && m_random.below(5) == 0;
    }

    void apply(Candidate &it)
    {
        it.applied = true;
        it.result = LeaseWriteResult::Unavailable;
        if (m_now < m_outageUntil)
            return;
        it.seen = m_row;
        it.result = LeaseWriteResult::Conflict;
        const auto *write = std::get_if<WriteLeaseRow>(&*it.action);
        if (write != nullptr && write->expectedTableVersion == m_row.tableVersion) {
            const std::uint64_t version = m_row.tableVersion + 1;
            m_row = write->row;
            m_row.tableVersion = version;
            it.version = version;
            it.result = LeaseWriteResult::Written;
        }
    }

    void answer(Candidate &it)
    {
        const bool isRead = std::holds_alternative<ReadLeaseRow>(*it.action);
        it.action.reset();
        const bool down = it.result == LeaseWriteResult::Unavailable;
        if (isRead)
            it.keeper.rowRead(down || it.answerLost ? std::nullopt : std::optional(it.seen), m_now);
        else
            it.keeper.writeEnded(it.answerLost ? LeaseWriteResult::Unknown : it.result, it.version,
                                 m_now);
    }

    SeededRandom m_random;
    bool m_faults;
    Instant m_now {std::chrono::seconds(100)};
    Instant m_outageUntil {};
    LeaseRow m_row;
    std::vector<Candidate> m_candidates;
    std::size_t m_lastHolder = 99; // none yet
    std::uint64_t m_lastFencing = 0;
    bool m_fencingGrows = true;
};

} // namespace

TEST_CASE("at most one holder under pauses, outages and lost answers")
{
    CHECK(rc::check([] {
        World world(*rc::gen::arbitrary<std::uint64_t>(), true);
        for (int n = 0; n < 3000; ++n) {
            world.advance();
            RC_ASSERT(world.holders() <= 1);
        }
        RC_ASSERT(world.fencingGrows());
    }));
}

TEST_CASE("with a working table one candidate holds the lease and keeps it")
{
    World world(3, false);
    for (int n = 0; n < 50; ++n)
        world.advance();
    for (int n = 0; n < 1000; ++n) {
        world.advance();
        REQUIRE(world.holders() == 1);
    }
}

TEST_CASE("a holder that was paused past its term does not hold the lease on waking")
{
    LeaseSettings settings;
    settings.name = "rollouts";
    settings.holder = "entry-1";
    LeaseKeeper keeper(leaseChart(), settings);
    const Instant now {std::chrono::seconds(5)};
    CHECK(keeper.tick(now).size() == 1);
    keeper.rowRead(LeaseRow {}, now);
    REQUIRE(keeper.tick(now).size() == 1);
    keeper.writeEnded(LeaseWriteResult::Written, 1, now);
    CHECK(keeper.held(now));
    CHECK_FALSE(keeper.held(now + settings.term));
}
