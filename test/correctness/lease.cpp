// Tests that a lease never has two holders at once, that a holder whose process was paused for
// longer than its term does not act on the lease, and that a candidate acquires the lease if the
// table works. Paused processes, table outages and delayed or lost responses could each cause such
// failures.

#include "lease.h"
#include "statechartfile.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

using namespace cornelshed;

namespace {

constexpr Duration simulationStep = std::chrono::milliseconds(100);

StateChart leaseChart()
{
    return std::get<StateChart>(readStateChart(CORNELSHED_SOURCE_DIR "/charts/lease.toml"));
}

// A simulated candidate for the lease, with its pause and its operation in progress.
struct Candidate
{
    explicit Candidate(LeaseKeeper lease) : keeper(std::move(lease)) { }

    LeaseKeeper keeper;
    Instant pausedUntil {};
    std::optional<LeaseAction> action; // in progress
    bool applied = false;              // the action has taken effect on the table
    Instant appliesAt {};
    Instant answeredAt {};
    bool answerLost = false;
    LeaseWriteResult result = LeaseWriteResult::Unavailable;
    std::uint64_t version = 0;
    LeaseRow readRow;
};

// Simulates three candidates and a table with one row. Each operation takes effect and is answered
// after random delays. With faults, processes pause, the table has outages, and responses are lost
// after the operation has taken effect.
class LeaseSimulation
{
public:
    LeaseSimulation(std::uint64_t seed, bool faults) : m_random(seed), m_faults(faults)
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
        m_now += simulationStep;
        if (m_faults && m_random.below(400) == 0)
            m_outageUntil = m_now + std::chrono::seconds(m_random.below(40));
        for (Candidate &it : m_candidates)
            advanceCandidate(it);
    }

    // Returns the number of candidates that hold the lease now. Records a violation if a new
    // holder's fencing number is not greater than that of the last holder.
    int countHolders()
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
    void advanceCandidate(Candidate &it)
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
        const std::uint64_t maxDelayMs = m_faults ? 3000 : 20;
        it.appliesAt = m_now + std::chrono::milliseconds(m_random.below(maxDelayMs));
        it.answeredAt = it.appliesAt + std::chrono::milliseconds(m_random.below(maxDelayMs));
        it.answerLost = m_faults && m_random.below(5) == 0;
    }

    void apply(Candidate &it)
    {
        it.applied = true;
        it.result = LeaseWriteResult::Unavailable;
        if (m_now < m_outageUntil)
            return;
        it.readRow = m_row;
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
        const bool unavailable = it.result == LeaseWriteResult::Unavailable;
        if (isRead)
            it.keeper.rowRead(
                    unavailable || it.answerLost ? std::nullopt : std::optional(it.readRow), m_now);
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
    std::size_t m_lastHolder = 99; // initially no candidate
    std::uint64_t m_lastFencing = 0;
    bool m_fencingGrows = true;
};

} // namespace

TEST_CASE("a lease has at most one holder under pauses, outages and lost responses")
{
    CHECK(rc::check([] {
        LeaseSimulation simulation(*rc::gen::arbitrary<std::uint64_t>(), true);
        for (int n = 0; n < 3000; ++n) {
            simulation.advance();
            RC_ASSERT(simulation.countHolders() <= 1);
        }
        RC_ASSERT(simulation.fencingGrows());
    }));
}

TEST_CASE("one candidate acquires and keeps the lease while the table works")
{
    LeaseSimulation simulation(3, false);
    for (int n = 0; n < 50; ++n)
        simulation.advance();
    for (int n = 0; n < 1000; ++n) {
        simulation.advance();
        REQUIRE(simulation.countHolders() == 1);
    }
}

TEST_CASE("a holder that was paused past its term no longer holds the lease when it resumes")
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
