// Lease with expiry on the own clock. Whatever the table answers late, a term starts when its write
// was sent, never when the answer came.

#include "lease.h"

#include <algorithm>

namespace cornelshed {

class LeaseKeeper::Private
{
public:
    Private(StateChart chart, const LeaseSettings &settings)
        : m_chart(std::move(chart)), m_settings(settings), m_state(m_chart.initial())
    { }

    void follow(std::string_view event)
    {
        if (const auto next = m_chart.next(m_state, event))
            m_state = std::string(*next);
    }

    // Remembers the row as observed now; the observation's age tells when another may take over.
    void observe(const LeaseRow &row, Instant now)
    {
        if (m_row.has_value() && *m_row == row)
            return;
        m_row = row;
        m_rowSince = now;
    }

    bool takeoverAllowed(Instant now) const
    {
        if (!m_row.has_value())
            return false;
        const bool free = m_row->tableVersion == 0 || m_row->holder.empty();
        return free || now - m_rowSince >= m_settings.term + m_settings.margin;
    }

    LeaseAction write(Instant now)
    {
        LeaseRow row;
        row.holder = m_settings.holder;
        const bool own = m_state == "held";
        row.fencing = m_row->fencing + (own ? 0 : 1);
        row.renewals = own ? m_row->renewals + 1 : 0;
        m_written = row;
        m_writeSent = now;
        m_underWay = true;
        return WriteLeaseRow {m_settings.name, m_row->tableVersion, row};
    }

    LeaseAction read()
    {
        m_underWay = true;
        return ReadLeaseRow {m_settings.name};
    }

    void termWritten(std::uint64_t tableVersion, Instant now)
    {
        LeaseRow row = m_written;
        row.tableVersion = tableVersion;
        observe(row, now);
        m_fencing = row.fencing;
        m_termEnd = m_writeSent + m_settings.term - m_settings.margin;
        m_nextAction = std::max(now, m_writeSent + m_settings.renewInterval);
    }

    // The write's answer was lost; the row tells whether it took effect. Its term counts from when
    // the write was sent, as if it had been answered.
    void settle(const LeaseRow &row, Instant now)
    {
        const bool own = row.holder == m_settings.holder && row.fencing == m_written.fencing
                && row.renewals == m_written.renewals;
        follow(own ? "own_row_read" : "other_row_read");
        if (own)
            termWritten(row.tableVersion, now);
    }

    bool termOver(Instant now) const { return now >= m_termEnd; }

    StateChart m_chart;
    LeaseSettings m_settings;
    std::string m_state;           // state of the chart "lease"
    std::optional<LeaseRow> m_row; // as last observed
    Instant m_rowSince {};         // first observation of m_row
    LeaseRow m_written;            // row of the last own write
    Instant m_writeSent {};
    Instant m_termEnd = Instant::min(); // invariant: at most last successful m_writeSent + term
    Instant m_nextAction {};
    std::uint64_t m_fencing = 0;
    bool m_underWay = false;    // a read or write has not been answered
    bool m_renewalLost = false; // a renewal's answer was lost and has to be settled by reading
};

LeaseKeeper::LeaseKeeper(StateChart chart, const LeaseSettings &settings)
    : d(std::make_unique<Private>(std::move(chart), settings))
{ }

LeaseKeeper::~LeaseKeeper() = default;
LeaseKeeper::LeaseKeeper(LeaseKeeper &&) noexcept = default;
LeaseKeeper &LeaseKeeper::operator=(LeaseKeeper &&) noexcept = default;

std::vector<LeaseAction> LeaseKeeper::tick(Instant now)
{
    if (d->m_state == "held" && d->termOver(now)) {
        d->follow("term_over");
        d->m_renewalLost = false;
    }
    if (d->m_underWay || now < d->m_nextAction)
        return {};
    if (d->m_state == "held" && !d->m_renewalLost)
        return {d->write(now)};
    if (d->m_state == "free" && d->takeoverAllowed(now)) {
        d->follow("acquire_sent");
        return {d->write(now)};
    }
    return {d->read()};
}

Instant LeaseKeeper::nextWake() const
{
    return d->m_state == "held" ? std::min(d->m_nextAction, d->m_termEnd) : d->m_nextAction;
}

void LeaseKeeper::rowRead(std::optional<LeaseRow> row, Instant now)
{
    d->m_underWay = false;
    d->m_nextAction = now + d->m_settings.observeInterval;
    if (!row.has_value())
        return;
    const bool lost = d->m_state == "unsettled" || d->m_renewalLost;
    d->m_renewalLost = false;
    d->observe(*row, now);
    if (d->m_state == "unsettled") {
        d->settle(*row, now);
    } else if (lost && d->m_state == "held") {
        if (row->holder == d->m_settings.holder && row->renewals == d->m_written.renewals)
            d->termWritten(row->tableVersion, now);
        else if (row->holder == d->m_settings.holder)
            d->m_nextAction = now; // the renewal did not take effect: renew again
        else
            d->follow("term_over");
    } else if (d->m_state == "free" && d->takeoverAllowed(now)) {
        d->m_nextAction = now;
    }
}

void LeaseKeeper::writeEnded(LeaseWriteResult result, std::uint64_t tableVersion, Instant now)
{
    d->m_underWay = false;
    d->m_nextAction = now + d->m_settings.observeInterval;
    const bool renewal = d->m_state == "held";
    switch (result) {
    case LeaseWriteResult::Written:
        d->follow(renewal ? "renewed" : "acquired");
        d->termWritten(tableVersion, now);
        break;
    case LeaseWriteResult::Conflict:
        d->follow(renewal ? "term_over" : "refused");
        d->m_row.reset();
        d->m_nextAction = now;
        break;
    case LeaseWriteResult::Unavailable:
        if (!renewal)
            d->follow("refused");
        break;
    case LeaseWriteResult::Unknown:
        d->m_renewalLost = renewal;
        if (!renewal)
            d->follow("answer_lost");
        d->m_nextAction = now;
        break;
    }
}

bool LeaseKeeper::held(Instant now) const
{
    return d->m_state == "held" && !d->termOver(now);
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
