// Claims and updates (finish, release) have separate queues. Each transaction commits a batch of
// one kind. If a batch of claims conflicts or its answer is lost, its rows are read back, which
// resolves at least the claims whose rows caused the conflict. Updates read their rows before each
// attempt.

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
    Instant deadline;
    std::uint64_t rowVersion = 0; // expected; of the released row to take over, 0 if absent
    bool inDoubt = false;         // an earlier write of the row may have taken or still take effect
};

// Stores the answer in the row, or marks the row as released if there is no answer.
struct Update
{
    std::string rowKey;
    RequestId request;
    std::optional<StoredResponse> answer;
    Instant dueAt;
    Duration retryDelay {};
    std::uint64_t bodyDigest = 0; // from the last read of the row
    std::uint64_t rowVersion = 0; // from the last read of the row
};

constexpr Duration maxUpdateRetryDelay = std::chrono::seconds(5);

template<typename Item> using Batch = std::vector<Item>;

// Removes the first items, up to count, for which test returns true. Preserves the order of both
// the batch and the queue.
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

template<typename Item> std::vector<std::string> rowKeysOf(const Batch<Item> &batch)
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
        if (m_pendingCount >= m_limits.maxPendingCount)
            return {ClaimDecided {request, {}}};
        ++m_pendingCount;
        m_claims.push_back({detail::claimRowKey(key), request, bodyDigest,
                            now + m_limits.claimTimeout, 0, false});
        return tick(now);
    }

    ClaimActions update(const ClaimKey &key, RequestId request,
                        std::optional<StoredResponse> answer, Instant now)
    {
        const bool tooLarge =
                answer.has_value() && answer->body.size() > m_limits.maxStoredAnswerBytes;
        if (tooLarge || m_pendingCount >= m_limits.maxPendingCount)
            return {}; // the claim stays open, so that the key cannot run twice
        ++m_pendingCount;
        m_updates.push_back({detail::claimRowKey(key), request, std::move(answer), now,
                             m_limits.initialUpdateRetryDelay, 0, 0});
        return tick(now);
    }

    ClaimActions committed(std::uint64_t id, const std::optional<TableError> &error, Instant now)
    {
        ClaimActions actions;
        if (auto claims = m_claimBatches.extract(id))
            handleClaimCommit(claims.mapped(), error, actions, now);
        else if (auto updates = m_updateBatches.extract(id))
            handleUpdateCommit(updates.mapped(), error, now);
        append(actions, tick(now));
        return actions;
    }

    ClaimActions rowsRead(std::uint64_t id, const Result<TableRows, TableError> &rows, Instant now)
    {
        ClaimActions actions;
        const auto *found = std::get_if<TableRows>(&rows);
        if (auto claims = m_claimBatches.extract(id))
            resolveClaims(claims.mapped(), found, actions, now);
        else if (auto updates = m_updateBatches.extract(id))
            resolveUpdates(updates.mapped(), found, now);
        append(actions, tick(now));
        return actions;
    }

    ClaimActions tick(Instant now)
    {
        ClaimActions actions;
        abandonExpired(actions, now);
        if (now >= m_nextReadAt && startUpdateReads(actions, now))
            m_nextReadAt = now + m_limits.batchInterval;
        if (now >= m_nextCommitAt && sendClaims(actions))
            m_nextCommitAt = now + m_limits.batchInterval;
        if (now >= m_nextCommitAt && sendUpdates(actions))
            m_nextCommitAt = now + m_limits.batchInterval;
        return actions;
    }

    Instant nextWakeTime() const
    {
        Instant wake = instantNever;
        for (const Claim &it : m_claims)
            wake = std::min(wake, it.deadline);
        if (hasTransactionToSend())
            wake = std::min(wake, m_nextCommitAt);
        for (const Update &it : m_updates) {
            if (m_lockedRows.count(it.rowKey) == 0)
                wake = std::min(wake, std::max(it.dueAt, m_nextReadAt));
        }
        return wake;
    }

    std::size_t pendingCount() const { return m_pendingCount; }

private:
    static void append(ClaimActions &actions, ClaimActions more)
    {
        for (ClaimAction &it : more)
            actions.push_back(std::move(it));
    }

    bool hasTransactionToSend() const
    {
        return !m_readyUpdates.empty()
                || std::any_of(m_claims.begin(), m_claims.end(),
                               [&](const Claim &it) { return m_lockedRows.count(it.rowKey) == 0; });
    }

    // Reserves the row for one batch; false if another batch holds it.
    bool lockRow(const std::string &rowKey) { return m_lockedRows.insert(rowKey).second; }

    template<typename Item> void unlockRows(const Batch<Item> &batch)
    {
        for (const Item &it : batch)
            m_lockedRows.erase(it.rowKey);
    }

    bool sendClaims(ClaimActions &actions)
    {
        Batch<Claim> batch = takeBatch(m_claims, m_limits.maxBatchRows,
                                       [&](const Claim &it) { return lockRow(it.rowKey); });
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

    void handleClaimCommit(Batch<Claim> &batch, const std::optional<TableError> &error,
                           ClaimActions &actions, Instant now)
    {
        if (!error.has_value()) {
            unlockRows(batch);
            for (const Claim &it : batch)
                decide(it, {ClaimVerdict::Claimed, {}}, actions);
            return;
        }
        if (error->kind == TableErrorKind::Unavailable) {
            unlockRows(batch);
            for (Claim &it : batch)
                abandon(it, actions, now);
            return;
        }
        for (Claim &it : batch)
            it.inDoubt = it.inDoubt || error->kind == TableErrorKind::Unknown;
        actions.emplace_back(ReadClaims {++m_lastId, rowKeysOf(batch)});
        m_claimBatches[m_lastId] = std::move(batch);
    }

    // Decides the claims whose rows exist and are not released. The others are sent again. If an
    // earlier write of such a claim takes effect late, the new write conflicts, and the next read
    // finds a row with the claim's own request id.
    void resolveClaims(Batch<Claim> &batch, const TableRows *rows, ClaimActions &actions,
                       Instant now)
    {
        unlockRows(batch);
        for (Claim &it : batch) {
            if (rows == nullptr)
                abandon(it, actions, now);
            else
                resolveClaim(std::move(it), *rows, actions);
        }
    }

    void resolveClaim(Claim claim, const TableRows &rows, ClaimActions &actions)
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
        decide(claim, resultFromRow(claim, row), actions);
    }

    static ClaimResult resultFromRow(const Claim &claim, const std::optional<detail::ClaimRow> &row)
    {
        if (!row.has_value())
            return {ClaimVerdict::Open, {}}; // unreadable row: dispatching could run the call twice
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
        --m_pendingCount;
        actions.emplace_back(ClaimDecided {claim.request, std::move(result)});
    }

    // Decides that the request will not run. If its write may have taken effect or still do so, an
    // update marks the row as released, which also makes a later arrival of that write fail.
    void abandon(const Claim &claim, ClaimActions &actions, Instant now)
    {
        decide(claim, {}, actions);
        if (!claim.inDoubt)
            return;
        ++m_pendingCount;
        m_updates.push_back({claim.rowKey, claim.request, std::nullopt, now,
                             m_limits.initialUpdateRetryDelay, claim.bodyDigest, 0});
    }

    void abandonExpired(ClaimActions &actions, Instant now)
    {
        const Batch<Claim> late = takeBatch(m_claims, m_claims.size(),
                                            [&](const Claim &it) { return now >= it.deadline; });
        for (const Claim &it : late)
            abandon(it, actions, now);
    }

    bool startUpdateReads(ClaimActions &actions, Instant now)
    {
        Batch<Update> batch = takeBatch(m_updates, m_limits.maxBatchRows, [&](const Update &it) {
            return now >= it.dueAt && lockRow(it.rowKey);
        });
        if (batch.empty())
            return false;
        actions.emplace_back(ReadClaims {++m_lastId, rowKeysOf(batch)});
        m_updateBatches[m_lastId] = std::move(batch);
        return true;
    }

    void resolveUpdates(Batch<Update> &batch, const TableRows *rows, Instant now)
    {
        for (Update &it : batch) {
            if (rows == nullptr) {
                m_lockedRows.erase(it.rowKey);
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
        if (found.version != 0 && (!row.has_value() || isObsolete(update, *row))) {
            m_lockedRows.erase(update.rowKey);
            --m_pendingCount;
            return;
        }
        update.rowVersion = found.version;
        if (row.has_value())
            update.bodyDigest = row->bodyDigest;
        m_readyUpdates.push_back(std::move(update));
    }

    // True if the row needs no write: the update was applied, or another request holds the key. A
    // row that another request released must be written again, as a late write of this request's
    // claim could still take it over.
    static bool isObsolete(const Update &update, const detail::ClaimRow &row)
    {
        if (row.request == update.request)
            return row.state != detail::ClaimState::Open;
        return row.state != detail::ClaimState::Released;
    }

    static std::string rowValueFor(const Update &update)
    {
        if (!update.answer.has_value())
            return detail::formatClaimRow(
                    {update.request, update.bodyDigest, detail::ClaimState::Released});
        return detail::formatClaimRow(
                {update.request, update.bodyDigest, detail::ClaimState::Finished, *update.answer});
    }

    // The condition on the version prevents a late update from overwriting the claim of a later
    // request.
    bool sendUpdates(ClaimActions &actions)
    {
        Batch<Update> batch = takeBatch(m_readyUpdates, m_limits.maxBatchRows,
                                        [](const Update &) { return true; });
        if (batch.empty())
            return false;
        TableTransaction transaction;
        for (const Update &it : batch) {
            transaction.conditions.push_back({it.rowKey, it.rowVersion});
            transaction.writes.push_back({it.rowKey, rowValueFor(it)});
        }
        actions.emplace_back(CommitClaims {++m_lastId, std::move(transaction)});
        m_updateBatches[m_lastId] = std::move(batch);
        return true;
    }

    void handleUpdateCommit(Batch<Update> &batch, const std::optional<TableError> &error,
                            Instant now)
    {
        unlockRows(batch);
        for (Update &it : batch) {
            if (error.has_value())
                retryLater(std::move(it), now); // starts with a new read of the row
            else
                --m_pendingCount;
        }
    }

    void retryLater(Update update, Instant now)
    {
        update.dueAt = now + update.retryDelay;
        update.retryDelay = std::min(2 * update.retryDelay, maxUpdateRetryDelay);
        m_updates.push_back(std::move(update));
    }

    ClaimLimits m_limits;
    std::deque<Claim> m_claims;                           // to be sent, for the first time or again
    std::deque<Update> m_updates;                         // waiting for the read of their rows
    std::deque<Update> m_readyUpdates;                    // rows are read; to be written
    std::map<std::uint64_t, Batch<Claim>> m_claimBatches; // by id of the outstanding call
    std::map<std::uint64_t, Batch<Update>> m_updateBatches; // by id of the outstanding call
    std::set<std::string> m_lockedRows; // rows of outstanding batches and of m_readyUpdates
    std::size_t m_pendingCount = 0;
    std::uint64_t m_lastId = 0;
    Instant m_nextCommitAt {};
    Instant m_nextReadAt {}; // reads of rows for updates
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
                                  const StoredResponse &answer, Instant now)
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

Instant ClaimTracker::nextWakeTime() const
{
    return d->nextWakeTime();
}

std::size_t ClaimTracker::pendingCount() const
{
    return d->pendingCount();
}

} // namespace cornelshed
