// Reads one table of the store: a snapshot of all its pages, then the changes after it. Begins
// again with a snapshot when the store has lost the history since the last read, or has returned
// from an older copy of itself. Runs on the control thread.

#ifndef CORNELSHED_TABLEREADER_H
#define CORNELSHED_TABLEREADER_H

#include "freshness.h"
#include "monotonicclock.h"
#include "rowstore.h"
#include "types.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace cornelshed::detail {

class TableReader : public std::enable_shared_from_this<TableReader>
{
public:
    struct Events
    {
        std::function<void(std::vector<StoredRow>)> snapshotRead; // all rows
        std::function<void(std::vector<StoredRow>)> changesRead;  // may be empty
        std::function<void(Duration sentAt)> answered;  // time since boot before the call was sent
        std::function<void(const ReadProof &)> applied; // after the rows were passed on
        std::function<void(RowStoreError)> failed;
        std::function<Duration()> provenAt;      // see WatcherEvents; time since boot
        std::function<std::uint64_t()> storeEra; // latest one that the store has stated
    };

    TableReader(boost::asio::io_context &context, RowStore &store, RowTable table,
                Duration interval, Duration retryInterval, Events events)
        : m_store(store), m_table(table), m_interval(interval), m_retryInterval(retryInterval),
          m_timer(context), m_events(std::move(events))
    { }

    void start()
    {
        m_started = true;
        readSnapshot();
    }

    // A later era of the store has begun: the position in the change feed means nothing in it.
    // Responses that are still under way are judged when they arrive.
    void handleStoreReturn()
    {
        if (!m_started || m_stopped || m_callInProgress)
            return;
        m_timer.cancel();
        m_promptedReadScheduled = false;
        readSnapshot();
    }

    void readChangesNow()
    {
        // While calls fail, only the retry timer reads: reports of peers must not add load to a
        // store that rejects calls.
        if (m_callInProgress || !m_hasSnapshot || m_consecutiveFailures > 0)
            return;
        // Many rows change at once when a zone fails or returns; one read gets them all.
        const Duration sinceLast = timeSinceBoot() - m_promptedReadAt;
        if (sinceLast >= m_promptedInterval)
            readPromptedChanges();
        else if (!std::exchange(m_promptedReadScheduled, true))
            runAfter(m_promptedInterval - sinceLast, &TableReader::readPromptedChanges);
    }

    void setReadPacing(Duration extraDelay, Duration promptedInterval)
    {
        m_extraDelay = extraDelay;
        m_promptedInterval = promptedInterval;
    }

    // Records the version of a change that peers must read too. Called from within the snapshotRead
    // and changesRead callbacks.
    void recordChange(std::uint64_t version)
    {
        m_lastChange = std::max(m_lastChange, {m_position.era, version});
    }

    // Position in the change feed. Within the callbacks its era is that of the rows passed.
    StorePosition position() const { return m_position; }

    void stop()
    {
        m_stopped = true;
        m_timer.cancel();
    }

private:
    void readSnapshot()
    {
        m_snapshotRows.clear();
        m_snapshotPosition.reset();
        m_callInProgress = true;
        readPage({});
    }

    void readPage(const std::string &from)
    {
        const Duration sentAt = timeSinceBoot();
        m_store.scan(m_table, from, [self = shared_from_this(), sentAt](RowsResult result) {
            self->handlePage(std::move(result), sentAt);
        });
    }

    void handlePage(RowsResult result, Duration sentAt)
    {
        if (m_stopped)
            return;
        if (const auto *error = std::get_if<RowStoreError>(&result)) {
            m_callInProgress = false;
            m_events.failed(*error);
            runAfter(retryDelay(), &TableReader::readSnapshot);
            return;
        }
        auto &page = std::get<RowsPage>(result);
        const StorePosition position = positionOf(page);
        if (position.era < m_events.storeEra()) {
            m_callInProgress = false;
            m_events.failed(RowStoreError::Unknown);
            runAfter(retryDelay(), &TableReader::readSnapshot);
            return;
        }
        if (m_snapshotPosition && position.era != m_snapshotPosition->era) {
            readSnapshot();
            return;
        }
        // Changes after the first page are read from the change feed.
        if (!m_snapshotPosition) {
            m_snapshotPosition = position;
            m_snapshotSentAt = sentAt;
            m_snapshotStoreTime = page.storeTime;
        }
        for (StoredRow &it : page.rows)
            m_snapshotRows.push_back(std::move(it));
        if (page.more && !m_snapshotRows.empty()) {
            readPage(m_snapshotRows.back().key + '\0');
            return;
        }
        m_callInProgress = false;
        m_hasSnapshot = true;
        m_consecutiveFailures = 0;
        m_position = *m_snapshotPosition;
        // A snapshot does not show earlier removals, so any version up to this one may be a change
        // that peers must read.
        m_lastChange = m_position;
        m_events.answered(m_snapshotSentAt);
        m_events.snapshotRead(std::exchange(m_snapshotRows, {}));
        m_events.applied({m_snapshotSentAt, m_lastChange, m_position, m_snapshotStoreTime});
        readWhenDue();
    }

    // Reads when the last proof of freshness, from this gateway or a peer, is older than the
    // interval plus the delay; otherwise waits until then.
    void readWhenDue()
    {
        const Duration age = timeSinceBoot() - m_events.provenAt();
        const Duration maxAge = m_interval + m_extraDelay;
        if (age >= maxAge) {
            readChanges();
            return;
        }
        runAfter(maxAge - age, &TableReader::readWhenDue);
    }

    void readPromptedChanges()
    {
        m_promptedReadAt = timeSinceBoot();
        readChanges();
    }

    void readChanges()
    {
        m_callInProgress = true;
        m_promptedReadScheduled = false;
        m_timer.cancel();
        const Duration sentAt = timeSinceBoot();
        m_store.changes(m_table, m_position.version, Duration::zero(),
                        [self = shared_from_this(), sentAt](RowsResult result) {
                            self->handleChanges(std::move(result), sentAt);
                        });
    }

    void handleChanges(RowsResult result, Duration sentAt)
    {
        m_callInProgress = false;
        if (m_stopped)
            return;
        if (const auto *error = std::get_if<RowStoreError>(&result)) {
            m_events.failed(*error);
            if (*error == RowStoreError::HistoryLost)
                readSnapshot();
            else
                runAfter(retryDelay(),
                         m_position.era < m_events.storeEra() ? &TableReader::readSnapshot
                                                              : &TableReader::readChanges);
            return;
        }
        m_consecutiveFailures = 0;
        auto &page = std::get<RowsPage>(result);
        const StorePosition position = positionOf(page);
        // The rows follow the position only if both are of the present era. A version that has
        // gone back shows a return that no response has stated.
        if (position.era != m_position.era || position.era < m_events.storeEra()
            || position.version < m_position.version) {
            readSnapshot();
            return;
        }
        m_position = position;
        m_events.answered(sentAt);
        m_events.changesRead(std::move(page.rows));
        m_events.applied({sentAt, m_lastChange, m_position, page.storeTime});
        // Not readWhenDue() directly: the proof is posted to the traffic thread, and provenAt()
        // does not include it yet.
        runAfter(m_interval + m_extraDelay, &TableReader::readWhenDue);
    }

    // A response that states no era counts as one of the latest known.
    StorePosition positionOf(const RowsPage &page) const
    {
        return {page.era.value_or(m_events.storeEra()), page.version};
    }

    // Exponential back-off: doubles with each consecutive failure, up to maxRetryDoublings times.
    Duration retryDelay()
    {
        const int doublings = std::min(m_consecutiveFailures++, maxRetryDoublings);
        return m_retryInterval * (1 << doublings);
    }

    void runAfter(Duration delay, void (TableReader::*step)())
    {
        m_timer.expires_after(delay);
        m_timer.async_wait([self = shared_from_this(), step](auto ec) {
            if (!ec && !self->m_stopped)
                ((*self).*step)();
        });
    }

    // Limits the retry delay, so that the recovery of the store is detected within a small part of
    // every bound on the time to apply changes.
    static constexpr int maxRetryDoublings = 2;

    RowStore &m_store;
    RowTable m_table;
    Duration m_interval;
    Duration m_retryInterval;
    boost::asio::steady_timer m_timer;
    Events m_events;
    std::vector<StoredRow> m_snapshotRows;           // pages of the snapshot read so far
    std::optional<StorePosition> m_snapshotPosition; // of the first page; empty before it
    StorePosition m_position;                        // in the change feed
    StorePosition m_lastChange;                      // last change that peers must read
    Duration m_snapshotSentAt {};
    Duration m_snapshotStoreTime {};
    Duration m_promptedInterval = std::chrono::milliseconds(100);
    // Start of the last read that a peer's report caused, since boot.
    Duration m_promptedReadAt = -m_promptedInterval;
    Duration m_extraDelay {}; // extra wait, so that a peer reads first
    int m_consecutiveFailures = 0;
    bool m_callInProgress = false;
    bool m_started = false;
    bool m_hasSnapshot = false;
    bool m_promptedReadScheduled = false;
    bool m_stopped = false;
};

} // namespace cornelshed::detail

#endif // CORNELSHED_TABLEREADER_H
