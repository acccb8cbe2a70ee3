// In-memory platform table and host for tests of a single control part.

#ifndef CORNELSHED_TEST_FAKETABLE_H
#define CORNELSHED_TEST_FAKETABLE_H

#include "controlpart.h"

#include <algorithm>

namespace cornelshed::testing {

// Answers at once. Fails every table call while down is set; with failAfterCommit, a transaction is
// committed but reported as unknown, as if its answer were lost.
class FakeTable final : public PlatformTable
{
public:
    void read(std::vector<std::string> keys, RowsCallback callback) override
    {
        if (down) {
            callback(TableError {TableErrorKind::Unavailable, "table is down"});
            return;
        }
        TableRows found;
        for (const std::string &it : keys) {
            if (rows.count(it) != 0)
                found[it] = rows[it];
        }
        callback(found);
    }

    void scan(std::string prefix, RowsCallback callback) override
    {
        std::vector<std::string> keys;
        for (const auto &[key, row] : rows) {
            if (key.rfind(prefix, 0) == 0)
                keys.push_back(key);
        }
        read(keys, std::move(callback));
    }

    void transact(TableTransaction transaction, CommitCallback callback) override
    {
        if (down) {
            callback(TableError {TableErrorKind::Unavailable, "table is down"});
            return;
        }
        const auto isMet = [&](const TableCondition &it) {
            return (rows.count(it.key) == 0 ? 0 : rows[it.key].version) == it.version;
        };
        if (!std::all_of(transaction.conditions.begin(), transaction.conditions.end(), isMet)) {
            callback(TableError {TableErrorKind::Conflict, "condition not met"});
            return;
        }
        for (const TableWrite &it : transaction.writes) {
            ++writes;
            m_version += 7; // consecutive versions need not differ by one
            if (it.value.has_value())
                rows[it.key] = {m_version, *it.value};
            else
                rows.erase(it.key);
        }
        if (failAfterCommit)
            callback(TableError {TableErrorKind::Unknown, "answer lost after commit"});
        else
            callback(std::nullopt);
    }

    void getObject(std::string, ObjectCallback callback) override
    {
        callback(TableError {TableErrorKind::Unavailable, "object storage not provided"});
    }

    void putObject(std::string, std::string, CommitCallback callback) override
    {
        callback(TableError {TableErrorKind::Unavailable, "object storage not provided"});
    }

    TableRows rows;
    std::uint64_t writes = 0; // rows written or erased so far
    bool down = false;
    bool failAfterCommit = false;

private:
    std::uint64_t m_version = 0;
};

// Host of one control part; the test provides the table, the time and the peers.
class FakeControlPartHost final : public ControlPartHost
{
public:
    FakeControlPartHost(FakeTable &table, std::uint64_t seed) : m_table(table), m_random(seed) { }

    PlatformTable &table() override { return m_table; }
    RandomSource &random() override { return m_random; }
    Instant now() const override { return time; }
    const std::vector<std::string> &peers() const override { return peerNames; }
    void sendToPeer(const std::string &peer, const std::string & /*part*/,
                    const std::string &payload) override
    {
        if (deliver)
            deliver(peer, payload);
    }
    void viewChanged() override { ++viewChangeCount; }
    void reschedule() override { }

    Instant time {std::chrono::hours(1)};
    std::vector<std::string> peerNames;
    std::function<void(const std::string &, const std::string &)> deliver;
    int viewChangeCount = 0;

private:
    FakeTable &m_table;
    SeededRandom m_random;
};

} // namespace cornelshed::testing

#endif // CORNELSHED_TEST_FAKETABLE_H
