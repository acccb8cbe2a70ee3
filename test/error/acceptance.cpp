// Guards against reporting the wrong outcome of an acceptance to an operator when answers are lost,
// transactions commit late, the platform refuses calls, or other operators accept concurrently.

#include "acceptance.h"
#include "tablemodel.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>

using namespace cornelshed;

namespace {

// A table that runs callbacks synchronously and injects faults from a seeded random source. Before
// a read or a transaction, another operator may accept a change, and a delayed transaction may
// commit.
class FaultyTable final : public PlatformTable
{
public:
    FaultyTable(testing::TableModel &model, std::uint64_t seed, std::uint64_t faultPercent)
        : m_model(model), m_random(seed), m_faultPercent(faultPercent)
    { }

    void read(std::vector<std::string> keys, RowsCallback callback) override
    {
        injectConcurrentEvents();
        if (drawFault())
            return callback(TableError {TableErrorKind::Unavailable, "refused"});
        callback(m_model.read(keys));
    }

    void scan(std::string, RowsCallback callback) override { callback(TableRows()); }

    void transact(TableTransaction transaction, CommitCallback callback) override
    {
        injectConcurrentEvents();
        const TableError lost {TableErrorKind::Unknown, "no answer"};
        if (!drawFault())
            return callback(m_model.commit(transaction));
        switch (m_random.below(3)) {
        case 0: // refused without effect
            return callback(TableError {TableErrorKind::Unavailable, "refused"});
        case 1: // committed, but the answer is lost
            m_model.commit(transaction);
            return callback(lost);
        default: // delayed: commits later, if at all, and the answer is lost
            m_delayedTransactions.push_back(std::move(transaction));
            return callback(lost);
        }
    }

    void getObject(std::string key, ObjectCallback callback) override
    {
        callback(m_model.objects()[key]);
    }

    void putObject(std::string key, std::string data, CommitCallback callback) override
    {
        if (drawFault())
            return callback(TableError {TableErrorKind::Unavailable, "refused"});
        m_model.objects()[key] = std::move(data);
        callback(std::nullopt);
    }

    void commitDelayedTransactions()
    {
        for (; !m_delayedTransactions.empty(); m_delayedTransactions.pop_front())
            m_model.commit(m_delayedTransactions.front());
    }

private:
    bool drawFault() { return m_random.below(100) < m_faultPercent; }

    void injectConcurrentEvents()
    {
        if (m_faultPercent == 0)
            return;
        if (!m_delayedTransactions.empty() && m_random.below(3) == 0) {
            m_model.commit(m_delayedTransactions.front());
            m_delayedTransactions.pop_front();
        }
        if (m_random.below(6) == 0)
            acceptConcurrentChange();
    }

    void acceptConcurrentChange()
    {
        FaultyTable faultless(m_model, 0, 0);
        BlockingTable table(faultless, [] {});
        acceptConfiguration(table, {"rival", "rival", "r" + std::to_string(m_random.next())});
    }

    testing::TableModel &m_model;
    SeededRandom m_random;
    std::uint64_t m_faultPercent;
    std::deque<TableTransaction> m_delayedTransactions;
};

bool tookEffect(const testing::TableModel &model, const std::string &changeId)
{
    return model.rows().count(configurationChangeKey(changeId)) != 0;
}

AcceptanceOutcome retryWithoutFaults(testing::TableModel &model, AcceptanceRequest request,
                                     std::uint64_t expectedVersionOfRetry)
{
    FaultyTable faultless(model, 0, 0);
    BlockingTable table(faultless, [] {});
    request.expectedVersion = expectedVersionOfRetry;
    request.isRetry = true;
    return acceptConfiguration(table, request);
}

} // namespace

TEST_CASE("the reported outcome is correct despite lost answers, delays and refusals")
{
    int counts[3] = {};
    CHECK(rc::check("accepted, not accepted and unknown match the table", [&](std::uint64_t seed) {
        testing::TableModel model;
        FaultyTable faulty(model, seed, 40);
        BlockingTable table(faulty, [] {});
        AcceptanceRequest request {"text", "me", "mine"};
        // Few attempts make an unknown outcome likely.
        request.maximumAttemptCount = *rc::gen::inRange(1, 6);
        const AcceptanceOutcome outcome = acceptConfiguration(table, request);
        ++counts[outcome.index()];
        if (const auto *unknown = std::get_if<AcceptanceUnknown>(&outcome)) {
            const auto outcomeOfRetry =
                    retryWithoutFaults(model, request, unknown->expectedVersion);
            RC_ASSERT(!std::holds_alternative<AcceptanceUnknown>(outcomeOfRetry));
            faulty.commitDelayedTransactions();
            RC_ASSERT(std::holds_alternative<Accepted>(outcomeOfRetry)
                      == tookEffect(model, "mine"));
            return;
        }
        faulty.commitDelayedTransactions();
        RC_ASSERT(std::holds_alternative<Accepted>(outcome) == tookEffect(model, "mine"));
    }));
    for (const int it : counts)
        CHECK(it > 0); // each outcome occurred
}

TEST_CASE("of operators who expect the same version one succeeds, and the others learn who it was")
{
    testing::TableModel model;
    FaultyTable faultless(model, 0, 0);
    BlockingTable table(faultless, [] {});
    int accepted = 0;
    for (const char *name : {"ana", "ben", "cleo"}) {
        const auto outcome = acceptConfiguration(table, {name, name, name, 0});
        if (std::holds_alternative<Accepted>(outcome))
            ++accepted;
        else
            CHECK(std::get<NotAccepted>(outcome).conflictingHead->head.operatorName == "ana");
    }
    CHECK(accepted == 1);
    CHECK(std::get<VersionedHead>(readHead(table)).head.version == 1);
}

TEST_CASE("a change id cannot be reused for another text")
{
    testing::TableModel model;
    FaultyTable faultless(model, 0, 0);
    BlockingTable table(faultless, [] {});
    CHECK(std::holds_alternative<Accepted>(acceptConfiguration(table, {"a", "ana", "id"})));
    CHECK(std::holds_alternative<Accepted>(acceptConfiguration(table, {"a", "ana", "id"})));
    CHECK(std::holds_alternative<NotAccepted>(acceptConfiguration(table, {"b", "ana", "id"})));
    CHECK(std::get<VersionedHead>(readHead(table)).head.version == 1);
}
