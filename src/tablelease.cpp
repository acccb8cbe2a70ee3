// Callbacks of table calls hold a weak reference, so that an answer that arrives after the
// TableLease has been destroyed is ignored.

#include "tablelease.h"

#include "eventlog.h"
#include "rolloutrecords.h"

namespace cornelshed {

namespace {

std::string leaseRowKey(const std::string &name)
{
    return "lease/" + name;
}

LeaseWriteResult toWriteResult(const std::optional<TableError> &error)
{
    if (!error.has_value())
        return LeaseWriteResult::Written;
    switch (error->kind) {
    case TableErrorKind::Conflict:
        return LeaseWriteResult::Conflict;
    case TableErrorKind::Unavailable:
        return LeaseWriteResult::Unavailable;
    case TableErrorKind::Unknown:
        break;
    }
    return LeaseWriteResult::Unknown;
}

} // namespace

class TableLease::Private : public std::enable_shared_from_this<TableLease::Private>
{
public:
    Private(ControlPartHost &host, StateChart chart, const LeaseSettings &settings)
        : m_host(host), m_name(settings.name), m_keeper(std::move(chart), settings)
    { }

    void wake(Instant now)
    {
        for (const LeaseAction &it : m_keeper.tick(now))
            std::visit([&](const auto &action) { perform(action); }, it);
        logChange(now);
    }

    void perform(const ReadLeaseRow &action)
    {
        const std::string key = leaseRowKey(action.name);
        m_host.table().read({key}, [weak = weak_from_this(), key](auto rows) {
            if (const auto self = weak.lock())
                self->rowRead(rows, key);
        });
    }

    void rowRead(const Result<TableRows, TableError> &rows, const std::string &key)
    {
        std::optional<LeaseRow> row;
        if (const auto *found = std::get_if<TableRows>(&rows)) {
            const auto it = found->find(key);
            row = it == found->end() ? LeaseRow {}
                                     : parseLeaseRow(it->second.value, it->second.version);
        }
        m_keeper.rowRead(row, m_host.now());
        m_host.reschedule();
    }

    void perform(const WriteLeaseRow &action)
    {
        const std::string key = leaseRowKey(action.name);
        TableTransaction transaction;
        transaction.conditions = {{key, action.expectedTableVersion}};
        transaction.writes = {{key, formatLeaseRow(action.row)}};
        m_host.table().transact(transaction, [weak = weak_from_this(), action](auto error) {
            if (const auto self = weak.lock())
                self->transactEnded(toWriteResult(error), action);
        });
    }

    // The answer to a commit does not contain the row's new version. The next renewal needs it, so
    // the row is read back.
    void transactEnded(LeaseWriteResult result, const WriteLeaseRow &action)
    {
        if (result != LeaseWriteResult::Written) {
            writeEnded(result, 0);
            return;
        }
        const std::string key = leaseRowKey(action.name);
        m_host.table().read({key}, [weak = weak_from_this(), key, action](auto rows) {
            if (const auto self = weak.lock())
                self->writtenRowRead(rows, key, action);
        });
    }

    void writtenRowRead(const Result<TableRows, TableError> &rows, const std::string &key,
                        const WriteLeaseRow &action)
    {
        const auto *found = std::get_if<TableRows>(&rows);
        if (found == nullptr) {
            writeEnded(LeaseWriteResult::Unknown, 0);
            return;
        }
        const auto it = found->find(key);
        const std::optional<LeaseRow> row = it == found->end()
                ? std::nullopt
                : parseLeaseRow(it->second.value, it->second.version);
        LeaseRow written = action.row;
        written.tableVersion = row.has_value() ? row->tableVersion : 0;
        if (row == written)
            writeEnded(LeaseWriteResult::Written, written.tableVersion);
        else
            writeEnded(LeaseWriteResult::Conflict, 0);
    }

    void writeEnded(LeaseWriteResult result, std::uint64_t version)
    {
        m_keeper.writeEnded(result, version, m_host.now());
        m_host.reschedule();
    }

    // Logs when this daemon acquires or loses the lease.
    void logChange(Instant now)
    {
        const bool held = m_keeper.held(now);
        if (held == m_wasHeld)
            return;
        m_wasHeld = held;
        EventLog(held ? "lease_acquired" : "lease_ended")
                .field("lease", m_name)
                .field("fencing", m_keeper.fencing());
    }

    ControlPartHost &m_host;
    std::string m_name;
    LeaseKeeper m_keeper;
    bool m_wasHeld = false;
};

TableLease::TableLease(ControlPartHost &host, StateChart chart, const LeaseSettings &settings)
    : d(std::make_shared<Private>(host, std::move(chart), settings))
{ }

TableLease::~TableLease() = default;

void TableLease::wake(Instant now)
{
    d->wake(now);
}

Instant TableLease::nextWakeTime() const
{
    return d->m_keeper.nextWakeTime();
}

bool TableLease::held(Instant now) const
{
    return d->m_keeper.held(now);
}

std::uint64_t TableLease::fencing() const
{
    return d->m_keeper.fencing();
}

} // namespace cornelshed
