// Guards against an operator who is told the wrong outcome of an acceptance: when answers are lost,
// transactions take effect late, the platform refuses calls and other operators race.

#include "acceptance.h"
#include "tablemodel.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>

using namespace cornelshed;

namespace {

// Answers at once, with faults drawn from a seeded source. Between any two calls a rival operator
// may accept a change, and a transaction that got lost before may take effect.
class FaultyTable final : public PlatformTable
{
public:
    FaultyTable(testing::TableModel &model, std::uint64_t seed, std::uint64_t faultPercent)
        : m_model(model), m_random(seed), m_faultPercent(faultPercent)
    { }

    void read(std::vector<std::string> keys, RowsCallback callback) override
    {
        interfere();
        if (fails())
            return callback(TableError {TableErrorKind::Unavailable, "refused"});
        callback(m_model.read(keys));
    }

    void scan(std::string, RowsCallback callback) override { callback(TableRows()); }

    void transact(TableTransaction transaction, CommitCallback callback) override
    {
        interfere();
        const TableError lost {TableErrorKind::Unknown, "no answer"};
        if (!fails())
            return callback(m_model.commit(transaction));
        switch (m_random.below(3)) {
        case 0: // refused
            return callback(TableError {TableErrorKind::Unavailable, "refused"});
        case 1: // took effect, answer lost
            m_model.commit(transaction);
            return callback(lost);
        default: // on its way for a while
            m_late.push_back(std::move(transaction));
            return callback(lost);
        }
    }

    void getObject(std::string key, ObjectCallback callback) override
    {
        callback(m_model.objects()[key]);
    }

    void putObject(std::string key, std::string data, CommitCallback callback) override
    {
        if (fails())
            return callback(TableError {TableErrorKind::Unavailable, "refused"});
        m_model.objects()[key] = std::move(data);
        callback(std::nullopt);
    }

    void deliverLate()
    {
        for (; !m_late.empty(); m_late.pop_front())
            m_model.commit(m_late.front());
    }

private:
    bool fails() { return m_random.below(100) < m_faultPercent; }

    void interfere()
    {
        if (m_faultPercent == 0)
            return;
        if (!m_late.empty() && m_random.below(3) == 0) {
            m_model.commit(m_late.front());
            m_late.pop_front();
        }
        if (m_random.below(6) == 0)
            rivalAccepts();
    }

    void rivalAccepts()
    {
        FaultyTable whole(m_model, 0, 0);
        BlockingTable table(whole, [] {});
        acceptConfiguration(table, {"rival", "rival", "r" + std::to_string(m_random.next())});
    }

    testing::TableModel &m_model;
    SeededRandom m_random;
    std::uint64_t m_faultPercent;
    std::deque<TableTransaction> m_late;
};

bool tookEffect(const testing::TableModel &model, const std::string &changeId)
{
    return model.rows().count(configurationChangeKey(changeId)) != 0;
}

AcceptanceOutcome settleWithoutFaults(testing::TableModel &model, AcceptanceRequest request,
                                      std::uint64_t seen)
{
    FaultyTable whole(model, 0, 0);
    BlockingTable table(whole, [] {});
    request.seenVersion = seen;
    request.earlierAttempt = true;
    return acceptConfiguration(table, request);
}

} // namespace

TEST_CASE("the outcome told is the true one, whatever gets lost")
{
    int counts[3] = {};
    CHECK(rc::check("accepted, not accepted and unknown are true", [&](std::uint64_t seed) {
        testing::TableModel model;
        FaultyTable faulty(model, seed, 40);
        BlockingTable table(faulty, [] {});
        AcceptanceRequest request {"text", "me", "mine"};
        request.attemptCount = *rc::gen::inRange(1, 6); // few attempts often end unknown
        const AcceptanceOutcome outcome = acceptConfiguration(table, request);
        ++counts[outcome.index()];
        if (const auto *unknown = std::get_if<AcceptanceUnknown>(&outcome)) {
            const auto settled = settleWithoutFaults(model, request, unknown->seenVersion);
            RC_ASSERT(!std::holds_alternative<AcceptanceUnknown>(settled));
            faulty.deliverLate();
            RC_ASSERT(std::holds_alternative<Accepted>(settled) == tookEffect(model, "mine"));
            return;
        }
        faulty.deliverLate();
        RC_ASSERT(std::holds_alternative<Accepted>(outcome) == tookEffect(model, "mine"));
    }));
    for (const int it : counts)
        CHECK(it > 0); // each outcome occurred
}

TEST_CASE("of operators who saw the same version exactly one wins, and the others learn by whom")
{
    testing::TableModel model;
    FaultyTable whole(model, 0, 0);
    BlockingTable table(whole, [] {});
    int accepted = 0;
    for (const char *name : {"ana", "ben", "cleo"}) {
        const auto outcome = acceptConfiguration(table, {name, name, name, 0});
        if (std::holds_alternative<Accepted>(outcome))
            ++accepted;
        else
            CHECK(std::get<NotAccepted>(outcome).winner->head.operatorName == "ana");
    }
    CHECK(accepted == 1);
    CHECK(std::get<SeenHead>(readHead(table)).head.version == 1);
}

TEST_CASE("a change id is not reused for another text")
{
    testing::TableModel model;
    FaultyTable whole(model, 0, 0);
    BlockingTable table(whole, [] {});
    CHECK(std::holds_alternative<Accepted>(acceptConfiguration(table, {"a", "ana", "id"})));
    CHECK(std::holds_alternative<Accepted>(acceptConfiguration(table, {"a", "ana", "id"})));
    CHECK(std::holds_alternative<NotAccepted>(acceptConfiguration(table, {"b", "ana", "id"})));
    CHECK(std::get<SeenHead>(readHead(table)).head.version == 1);
}
