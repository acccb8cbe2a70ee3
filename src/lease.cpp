// Lease whose expiry is determined on the holder's own clock. A term starts when its write was
// sent, not when the response arrived, so that a delayed response cannot extend it.

#include "lease.h"

#include <algorithm>

namespace cornelshed {

class LeaseKeeper::Private
{
public:
    Private(StateChart chart, const LeaseSettings &settings)
        : m_chart(std::move(chart)), m_settings(settings), m_state(m_chart.initial())
    { }

    void applyEvent(std::string_view event)
    {
        if (const auto next = m_chart.next(m_state, event))
            m_state = std::string(*next);
    }

    // Stores the row and the time at which this value was first seen. takeoverAllowed() derives
    // from that time whether the holder's term has expired.
    void recordRow(const LeaseRow &row, Instant now)
    {
        if (m_row.has_value() && *m_row == row)
            return;
        m_row = row;
        m_rowFirstSeen = now;
    }

    bool takeoverAllowed(Instant now) const
    {
        if (!m_row.has_value())
            return false;
        const bool unheld = m_row->tableVersion == 0 || m_row->holder.empty();
        return unheld || now - m_rowFirstSeen >= m_settings.term + m_settings.margin;
    }

    LeaseAction writeAction(Instant now)
    {
        LeaseRow row;
        row.holder = m_settings.holder;
        const bool renewal = m_state == "held";
        row.fencing = m_row->fencing + (renewal ? 0 : 1);
        row.renewals = renewal ? m_row->renewals + 1 : 0;
        m_lastWrittenRow = row;
        m_lastWriteSentAt = now;
        m_requestPending = true;
        return WriteLeaseRow {m_settings.name, m_row->tableVersion, row};
    }

    LeaseAction readAction()
    {
        m_requestPending = true;
        return ReadLeaseRow {m_settings.name};
    }

    void startTerm(std::uint64_t tableVersion, Instant now)
    {
        LeaseRow row = m_lastWrittenRow;
        row.tableVersion = tableVersion;
        recordRow(row, now);
        m_fencing = row.fencing;
        m_termEnd = m_lastWriteSentAt + m_settings.term - m_settings.margin;
        m_nextActionAt = std::max(now, m_lastWriteSentAt + m_settings.renewInterval);
    }

    // Called with the row as read after the response to a write was lost; the row shows whether the
    // write took effect. If so, the term starts when the write was sent, as with a response.
    void resolveUnknownWrite(const LeaseRow &row, Instant now)
    {
        const bool tookEffect = row.holder == m_settings.holder
                && row.fencing == m_lastWrittenRow.fencing
                && row.renewals == m_lastWrittenRow.renewals;
        applyEvent(tookEffect ? "own_row_read" : "other_row_read");
        if (tookEffect)
            startTerm(row.tableVersion, now);
    }

    bool termExpired(Instant now) const { return now >= m_termEnd; }

    StateChart m_chart;
    LeaseSettings m_settings;
    std::string m_state;           // current state in the chart "lease"
    std::optional<LeaseRow> m_row; // as last read or written; nullopt if unknown
    Instant m_rowFirstSeen {};
    LeaseRow m_lastWrittenRow; // row of the last write sent, successful or not
    Instant m_lastWriteSentAt {};
    // Invariant: at most the term after the last successful write was sent.
    Instant m_termEnd = Instant::min();
    Instant m_nextActionAt {};
    std::uint64_t m_fencing = 0;
    bool m_requestPending = false; // a read or write has not been answered yet
    bool m_renewalUnknown = false; // a renewal's response was lost; a read has to find its result
};

LeaseKeeper::LeaseKeeper(StateChart chart, const LeaseSettings &settings)
    : d(std::make_unique<Private>(std::move(chart), settings))
{ }

LeaseKeeper::~LeaseKeeper() = default;
LeaseKeeper::LeaseKeeper(LeaseKeeper &&) noexcept = default;
LeaseKeeper &LeaseKeeper::operator=(LeaseKeeper &&) noexcept = default;

std::vector<LeaseAction> LeaseKeeper::tick(Instant now)
{
    if (d->m_state == "held" && d->termExpired(now)) {
        d->applyEvent("term_over");
        d->m_renewalUnknown = false;
    }
    if (d->m_requestPending || now < d->m_nextActionAt)
        return {};
    if (d->m_state == "held" && !d->m_renewalUnknown)
        return {d->writeAction(now)};
    if (d->m_state == "free" && d->takeoverAllowed(now)) {
        d->applyEvent("acquire_sent");
        return {d->writeAction(now)};
    }
    return {d->readAction()};
}

Instant LeaseKeeper::nextWakeTime() const
{
    return d->m_state == "held" ? std::min(d->m_nextActionAt, d->m_termEnd) : d->m_nextActionAt;
}

void LeaseKeeper::rowRead(std::optional<LeaseRow> row, Instant now)
{
    d->m_requestPending = false;
    d->m_nextActionAt = now + d->m_settings.pollInterval;
    if (!row.has_value())
        return;
    const bool responseLost = d->m_state == "unsettled" || d->m_renewalUnknown;
    d->m_renewalUnknown = false;
    d->recordRow(*row, now);
    if (d->m_state == "unsettled") {
        d->resolveUnknownWrite(*row, now);
    } else if (responseLost && d->m_state == "held") {
        if (row->holder == d->m_settings.holder && row->renewals == d->m_lastWrittenRow.renewals)
            d->startTerm(row->tableVersion, now);
        else if (row->holder == d->m_settings.holder)
            d->m_nextActionAt = now; // the renewal did not take effect; renew again at once
        else
            d->applyEvent("term_over");
    } else if (d->m_state == "free" && d->takeoverAllowed(now)) {
        d->m_nextActionAt = now;
    }
}

void LeaseKeeper::writeEnded(LeaseWriteResult result, std::uint64_t tableVersion, Instant now)
{
    d->m_requestPending = false;
    d->m_nextActionAt = now + d->m_settings.pollInterval;
    const bool renewal = d->m_state == "held";
    switch (result) {
    case LeaseWriteResult::Written:
        d->applyEvent(renewal ? "renewed" : "acquired");
        d->startTerm(tableVersion, now);
        break;
    case LeaseWriteResult::Conflict:
        d->applyEvent(renewal ? "term_over" : "refused");
        d->m_row.reset();
        d->m_nextActionAt = now;
        break;
    case LeaseWriteResult::Unavailable:
        if (!renewal)
            d->applyEvent("refused");
        break;
    case LeaseWriteResult::Unknown:
        d->m_renewalUnknown = renewal;
        if (!renewal)
            d->applyEvent("answer_lost");
        d->m_nextActionAt = now;
        break;
    }
}

bool LeaseKeeper::held(Instant now) const
{
    return d->m_state == "held" && !d->termExpired(now);
}

std::uint64_t LeaseKeeper::fencing() const
{
    return d->m_fencing;
}

const std::string &LeaseKeeper::state() const
{
    return d->m_state;
}

} // namespace cornelshed
