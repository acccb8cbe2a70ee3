// Claims go through one queue and updates (finish, release) through another. Each round takes a
// batch of either; a batch that conflicts or whose answer was lost is read back, which settles at
// least the rows that were in its way.

#include "claims.h"

#include "claimrow.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <utility>

namespace cornelshed {

namespace {

struct Claim
{
    std::string rowKey;
    RequestId request;
    std::uint64_t bodyDigest = 0;
    Instant giveUpAt;
    std::uint64_t rowVersion = 0; // of the released row it takes over; 0: the row is absent
    bool inDoubt = false;         // a transaction with its row may have taken effect
};

// Stores the answer, or marks the row as released if there is none.
struct Update
{
    std::string rowKey;
    RequestId request;
    std::optional<StoredAnswer> answer;
    Instant dueAt;
    Duration retryDelay {};
    std::uint64_t bodyDigest = 0; // as read last
    std::uint64_t rowVersion = 0; // as read last
};

constexpr Duration updateRetryMost = std::chrono::seconds(5);

template<typename Item> using Batch = std::vector<Item>;

// Takes up to count items that pass the test, in order.
template<typename Item, typename Test>
Batch<Item> takeBatch(std::deque<Item> &queue, std::size_t count, Test test)
{
    Batch<Item> batch;
    std::deque<Item> rest;
    for (Item &it : queue) {
        if (batch.size() < count && test(it))
            batch.push_back(std::move(it));
        else
            rest.push_back(std::move(it));
    }
    queue = std::move(rest);
    return batch;
}

template<typename Item> std::vector<std::string> keysOf(const Batch<Item> &batch)
{
    std::vector<std::string> keys;
    for (const Item &it : batch)
        keys.push_back(it.rowKey);
    return keys;
}

} // namespace

class ClaimTracker::Private
{
public:
    explicit Private(const ClaimLimits &limits) : m_limits(limits) { }

    ClaimActions claim(const ClaimKey &key, RequestId request, std::uint64_t bodyDigest,
                       Instant now)
    {
        if (m_waitingCount >= m_limits.waitingCount)
            return {ClaimDecided {request, {}}};
        ++m_waitingCount;
        m_claims.push_back({detail::claimRowKey(key), request, bodyDigest,
                            now + m_limits.claimTimeout, 0, false});
        return tick(now);
    }

    ClaimActions update(const ClaimKey &key, RequestId request, std::optional<StoredAnswer> answer,
                        Instant now)
    {
        const bool tooLarge = answer.has_value() && answer->body.size() > m_limits.answerLimitBytes;
        if (tooLarge || m_waitingCount >= m_limits.waitingCount)
            return {}; // the claim stays open, which never runs a request twice
        ++m_waitingCount;
        m_updates.push_back({detail::claimRowKey(key), request, std::move(answer), now,
                             m_limits.updateRetry, 0, 0});
        return tick(now);
    }

    ClaimActions committed(std::uint64_t id, const std::optional<TableError> &error, Instant now)
    {
        ClaimActions actions;
        if (auto claims = m_claimBatches.extract(id))
            claimsCommitted(claims.mapped(), error, actions, now);
        else if (auto updates = m_updateBatches.extract(id))
            updatesCommitted(updates.mapped(), error, now);
        append(actions, tick(now));
        return actions;
    }

    ClaimActions rowsRead(std::uint64_t id, const Result<TableRows, TableError> &rows, Instant now)
    {
        ClaimActions actions;
        const auto *found = std::get_if<TableRows>(&rows);
        if (auto claims = m_claimBatches.extract(id))
            settleClaims(claims.mapped(), found, actions, now);
        else if (auto updates = m_updateBatches.extract(id))
            settleUpdates(updates.mapped(), found, now);
        append(actions, tick(now));
        return actions;
    }

    ClaimActions tick(Instant now)
    {
        ClaimActions actions;
        giveUpLate(actions, now);
        if (now >= m_nextReadAt && startUpdateReads(actions, now))
            m_nextReadAt = now + m_limits.batchPeriod;
        if (now >= m_nextCommitAt && sendClaims(actions))
            m_nextCommitAt = now + m_limits.batchPeriod;
        if (now >= m_nextCommitAt && sendUpdates(actions))
            m_nextCommitAt = now + m_limits.batchPeriod;
        return actions;
    }

    Instant nextWake() const
    {
        Instant wake = instantNever;
        for (const Claim &it : m_claims)
            wake = std::min(wake, it.giveUpAt);
        if (hasSendable())
            wake = std::min(wake, m_nextCommitAt);
        for (const Update &it : m_updates) {
            if (m_busyRows.count(it.rowKey) == 0)
                wake = std::min(wake, std::max(it.dueAt, m_nextReadAt));
        }
        return wake;
    }

    std::size_t waitingCount() const { return m_waitingCount; }

private:
    static void append(ClaimActions &actions, ClaimActions more)
    {
        for (ClaimAction &it : more)
            actions.push_back(std::move(it));
    }

    bool hasSendable() const
    {
        return !m_readyUpdates.empty()
                || std::any_of(m_claims.begin(), m_claims.end(),
                               [&](const Claim &it) { return m_busyRows.count(it.rowKey) == 0; });
    }

    // Marks the row as part of a batch; only one batch at a time may hold it.
    bool takeRow(const std::string &rowKey) { return m_busyRows.insert(rowKey).second; }

    template<typename Item> void freeRows(const Batch<Item> &batch)
    {
        for (const Item &it : batch)
            m_busyRows.erase(it.rowKey);
    }

    bool sendClaims(ClaimActions &actions)
    {
        Batch<Claim> batch = takeBatch(m_claims, m_limits.batchCount,
                                       [&](const Claim &it) { return takeRow(it.rowKey); });
        if (batch.empty())
            return false;
        TableTransaction transaction;
        for (const Claim &it : batch) {
            transaction.conditions.push_back({it.rowKey, it.rowVersion});
            transaction.writes.push_back(
                    {it.rowKey, detail::formatClaimRow({it.request, it.bodyDigest})});
        }
        actions.emplace_back(CommitClaims {++m_lastId, std::move(transaction)});
        m_claimBatches[m_lastId] = std::move(batch);
        return true;
    }

    void claimsCommitted(Batch<Claim> &batch, const std::optional<TableError> &error,
                         ClaimActions &actions, Instant now)
    {
        if (!error.has_value()) {
            freeRows(batch);
            for (const Claim &it : batch)
                decide(it, {ClaimVerdict::Claimed, {}}, actions);
            return;
        }
        if (error->kind == TableErrorKind::Unavailable) {
            freeRows(batch);
            for (Claim &it : batch)
                giveUp(it, actions, now);
            return;
        }
        for (Claim &it : batch)
            it.inDoubt = it.inDoubt || error->kind == TableErrorKind::Unknown;
        actions.emplace_back(ReadClaims {++m_lastId, keysOf(batch)});
        m_claimBatches[m_lastId] = std::move(batch);
    }

    // Decides the claims whose rows are taken. The others are sent again: if their write is only
    // late, the next one conflicts, and the row read then names the own request.
    void settleClaims(Batch<Claim> &batch, const TableRows *rows, ClaimActions &actions,
                      Instant now)
    {
        freeRows(batch);
        for (Claim &it : batch) {
            if (rows == nullptr)
                giveUp(it, actions, now);
            else
                settleClaim(std::move(it), *rows, actions);
        }
    }

    void settleClaim(Claim claim, const TableRows &rows, ClaimActions &actions)
    {
        const auto found = rows.find(claim.rowKey);
        if (found == rows.end()) {
            m_claims.push_back(std::move(claim));
            return;
        }
        const auto row = detail::parseClaimRow(found->second.value);
        if (row.has_value() && row->state == detail::ClaimState::Released) {
            claim.rowVersion = found->second.version;
            m_claims.push_back(std::move(claim));
            return;
        }
        decide(claim, resultOf(claim, row), actions);
    }

    static ClaimResult resultOf(const Claim &claim, const std::optional<detail::ClaimRow> &row)
    {
        if (!row.has_value())
            return {ClaimVerdict::Open, {}}; // unreadable: dispatching might run the call twice
        if (row->request == claim.request)
            return {ClaimVerdict::Claimed, {}};
        if (row->bodyDigest != claim.bodyDigest)
            return {ClaimVerdict::BodyMismatch, {}};
        if (row->state == detail::ClaimState::Open)
            return {ClaimVerdict::Open, {}};
        return {ClaimVerdict::Finished, row->answer};
    }

    void decide(const Claim &claim, ClaimResult result, ClaimActions &actions)
    {
        --m_waitingCount;
        actions.emplace_back(ClaimDecided {claim.request, std::move(result)});
    }

    // The request will not run. If its write may still take effect, the row is marked as released,
    // which also makes the write fail if it comes later.
    void giveUp(const Claim &claim, ClaimActions &actions, Instant now)
    {
        decide(claim, {}, actions);
        if (!claim.inDoubt)
            return;
        ++m_waitingCount;
        m_updates.push_back({claim.rowKey, claim.request, std::nullopt, now, m_limits.updateRetry,
                             claim.bodyDigest, 0});
    }

    void giveUpLate(ClaimActions &actions, Instant now)
    {
        const Batch<Claim> late = takeBatch(m_claims, m_claims.size(),
                                            [&](const Claim &it) { return now >= it.giveUpAt; });
        for (const Claim &it : late)
            giveUp(it, actions, now);
    }

    bool startUpdateReads(ClaimActions &actions, Instant now)
    {
        Batch<Update> batch = takeBatch(m_updates, m_limits.batchCount, [&](const Update &it) {
            return now >= it.dueAt && takeRow(it.rowKey);
        });
        if (batch.empty())
            return false;
        actions.emplace_back(ReadClaims {++m_lastId, keysOf(batch)});
        m_updateBatches[m_lastId] = std::move(batch);
        return true;
    }

    void settleUpdates(Batch<Update> &batch, const TableRows *rows, Instant now)
    {
        for (Update &it : batch) {
            if (rows == nullptr) {
                m_busyRows.erase(it.rowKey);
                retryLater(std::move(it), now);
                continue;
            }
            const auto row = rows->find(it.rowKey);
            prepareUpdate(std::move(it), row == rows->end() ? TableRow() : row->second);
        }
    }

    void prepareUpdate(Update update, const TableRow &found)
    {
        const auto row = detail::parseClaimRow(found.value);
        if (found.version != 0 && (!row.has_value() || isSettled(update, *row))) {
            m_busyRows.erase(update.rowKey);
            --m_waitingCount;
            return;
        }
        update.rowVersion = found.version;
        if (row.has_value())
            update.bodyDigest = row->bodyDigest;
        m_readyUpdates.push_back(std::move(update));
    }

    // A row released by another request may still be taken over by a late write of this one, so it
    // has to be written again.
    static bool isSettled(const Update &update, const detail::ClaimRow &row)
    {
        if (row.request == update.request)
            return row.state != detail::ClaimState::Open;
        return row.state != detail::ClaimState::Released;
    }

    static std::string valueOf(const Update &update)
    {
        if (!update.answer.has_value())
            return detail::formatClaimRow(
                    {update.request, update.bodyDigest, detail::ClaimState::Released});
        return detail::formatClaimRow(
                {update.request, update.bodyDigest, detail::ClaimState::Finished, *update.answer});
    }

    // The condition on the version keeps a late update from overwriting a later request's claim.
    bool sendUpdates(ClaimActions &actions)
    {
        Batch<Update> batch =
                takeBatch(m_readyUpdates, m_limits.batchCount, [](const Update &) { return true; });
        if (batch.empty())
            return false;
        TableTransaction transaction;
        for (const Update &it : batch) {
            transaction.conditions.push_back({it.rowKey, it.rowVersion});
            transaction.writes.push_back({it.rowKey, valueOf(it)});
        }
        actions.emplace_back(CommitClaims {++m_lastId, std::move(transaction)});
        m_updateBatches[m_lastId] = std::move(batch);
        return true;
    }

    void updatesCommitted(Batch<Update> &batch, const std::optional<TableError> &error, Instant now)
    {
        freeRows(batch);
        for (Update &it : batch) {
            if (error.has_value())
                retryLater(std::move(it), now); // reads the row again first
            else
                --m_waitingCount;
        }
    }

    void retryLater(Update update, Instant now)
    {
        update.dueAt = now + update.retryDelay;
        update.retryDelay = std::min(2 * update.retryDelay, updateRetryMost);
        m_updates.push_back(std::move(update));
    }

    ClaimLimits m_limits;
    std::deque<Claim> m_claims;                             // not sent yet, or to be sent again
    std::deque<Update> m_updates;                           // their rows are to be read
    std::deque<Update> m_readyUpdates;                      // read; to be written
    std::map<std::uint64_t, Batch<Claim>> m_claimBatches;   // by id of the outstanding call
    std::map<std::uint64_t, Batch<Update>> m_updateBatches; // by id of the outstanding call
    std::set<std::string> m_busyRows; // rows of outstanding batches and ready updates
    std::size_t m_waitingCount = 0;
    std::uint64_t m_lastId = 0;
    Instant m_nextCommitAt {};
    Instant m_nextReadAt {}; // of updates
};

ClaimTracker::ClaimTracker(const ClaimLimits &limits) : d(std::make_unique<Private>(limits)) { }

ClaimTracker::~ClaimTracker() = default;
ClaimTracker::ClaimTracker(ClaimTracker &&) noexcept = default;
ClaimTracker &ClaimTracker::operator=(ClaimTracker &&) noexcept = default;

ClaimActions ClaimTracker::claim(const ClaimKey &key, RequestId request, std::uint64_t bodyDigest,
                                 Instant now)
{
    return d->claim(key, request, bodyDigest, now);
}

ClaimActions ClaimTracker::finish(const ClaimKey &key, RequestId request,
                                  const StoredAnswer &answer, Instant now)
{
    return d->update(key, request, answer, now);
}

ClaimActions ClaimTracker::release(const ClaimKey &key, RequestId request, Instant now)
{
    return d->update(key, request, std::nullopt, now);
}

ClaimActions ClaimTracker::committed(std::uint64_t id, const std::optional<TableError> &error,
                                     Instant now)
{
    return d->committed(id, error, now);
}

ClaimActions ClaimTracker::rowsRead(std::uint64_t id, const Result<TableRows, TableError> &rows,
                                    Instant now)
{
    return d->rowsRead(id, rows, now);
}

ClaimActions ClaimTracker::tick(Instant now)
{
    return d->tick(now);
}

Instant ClaimTracker::nextWake() const
{
    return d->nextWake();
}

std::size_t ClaimTracker::waitingCount() const
{
    return d->waitingCount();
}

} // namespace cornelshed
