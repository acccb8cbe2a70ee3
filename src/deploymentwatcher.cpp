// One reader for each table: whole once, then its changes.

#include "deploymentwatcher.h"

#include "backendregistry.h"
#include "eventlog.h"
#include "monotonicclock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <utility>

namespace cornelshed {

namespace asio = boost::asio;

namespace {

using namespace std::chrono_literals;

// Servers whose rows lapsed while the store was away register again within this time.
constexpr Duration lapseGrace = 2200ms;
// Without an answer for this time the store counts as lost.
constexpr Duration lostAfter = 1500ms;
constexpr std::size_t tableCount = 3; // of RowTable
// A regained store is noticed within the longest delay, which is a small part of every bound.
constexpr int retryDoublings = 2;

const char *nameOf(RowStoreError error)
{
    switch (error) {
    case RowStoreError::Unavailable:
        return "unavailable";
    case RowStoreError::Unknown:
        return "no_answer";
    case RowStoreError::HistoryLost:
        return "history_lost";
    case RowStoreError::Conflict:
        return "conflict";
    }
    return "unknown";
}

const char *nameOf(RolloutState state)
{
    switch (state) {
    case RolloutState::Running:
        return "running";
    case RolloutState::Completed:
        return "completed";
    case RolloutState::RolledBack:
        return "rolled_back";
    }
    return "unknown";
}

// Reads one table: all pages of it, and from then on its changes.
class TableReader : public std::enable_shared_from_this<TableReader>
{
public:
    struct Events
    {
        std::function<void(std::vector<StoredRow>)> whole;   // all rows
        std::function<void(std::vector<StoredRow>)> changes; // may be empty
        std::function<void(Duration sentAt)> answered;       // time since boot before the call
        std::function<void(const ReadProof &)> applied; // after the rows of the answer were given
        std::function<void(RowStoreError)> failed;
        std::function<Duration()> provenAt; // time since boot
    };

    TableReader(asio::io_context &context, RowStore &store, RowTable table, Duration interval,
                Duration retry, Events events)
        : m_store(store), m_table(table), m_interval(interval), m_retry(retry), m_timer(context),
          m_events(std::move(events))
    { }

    void start() { readWhole(); }

    void readNow()
    {
        // A store that refuses is not pressed, however many peers know of a change.
        if (!m_calling && m_loaded && m_failures == 0)
            readChanges();
    }

    void setDelay(Duration delay) { m_delay = delay; }

    // A change that matters; called while rows are given.
    void changed(std::uint64_t version) { m_lastChange = std::max(m_lastChange, version); }

    void stop()
    {
        m_stopped = true;
        m_timer.cancel();
    }

private:
    void readWhole()
    {
        m_rows.clear();
        m_startVersion = 0;
        m_calling = true;
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
            m_calling = false;
            m_events.failed(*error);
            later(retryDelay(), &TableReader::readWhole);
            return;
        }
        auto &page = std::get<RowsPage>(result);
        // Changes since the first page are read by the feed.
        if (m_startVersion == 0) {
            m_startVersion = page.version;
            m_sentAt = sentAt;
        }
        for (StoredRow &it : page.rows)
            m_rows.push_back(std::move(it));
        if (page.more && !m_rows.empty()) {
            readPage(m_rows.back().key + '\0');
            return;
        }
        m_calling = false;
        m_loaded = true;
        m_failures = 0;
        m_version = m_startVersion;
        // Rows that were removed before are not among those read, so that any version up to this
        // one may be of a change that matters.
        changed(m_startVersion);
        m_events.answered(m_sentAt);
        m_events.whole(std::exchange(m_rows, {}));
        m_events.applied({m_sentAt, m_lastChange, m_version});
        awaitDue();
    }

    // A read is due when the last proof, own or of a peer, is as old as the interval.
    void awaitDue()
    {
        const Duration age = timeSinceBoot() - m_events.provenAt();
        const Duration limit = m_interval + m_delay;
        if (age >= limit) {
            readChanges();
            return;
        }
        later(limit - age, &TableReader::awaitDue);
    }

    void readChanges()
    {
        m_calling = true;
        m_timer.cancel();
        const Duration sentAt = timeSinceBoot();
        m_store.changes(m_table, m_version, Duration::zero(),
                        [self = shared_from_this(), sentAt](RowsResult result) {
                            self->handleChanges(std::move(result), sentAt);
                        });
    }

    void handleChanges(RowsResult result, Duration sentAt)
    {
        m_calling = false;
        if (m_stopped)
            return;
        if (const auto *error = std::get_if<RowStoreError>(&result)) {
            m_events.failed(*error);
            if (*error == RowStoreError::HistoryLost)
                readWhole();
            else
                later(retryDelay(), &TableReader::readChanges);
            return;
        }
        m_failures = 0;
        auto &page = std::get<RowsPage>(result);
        m_version = std::max(m_version, page.version);
        m_events.answered(sentAt);
        m_events.changes(std::move(page.rows));
        m_events.applied({sentAt, m_lastChange, m_version});
        // Not awaitDue() at once: the proof reaches the other thread a little later.
        later(m_interval + m_delay, &TableReader::awaitDue);
    }

    // Doubles with each failure in a row, up to a few times the first.
    Duration retryDelay()
    {
        const int doublings = std::min(m_failures++, retryDoublings);
        return m_retry * (1 << doublings);
    }

    void later(Duration delay, void (TableReader::*step)())
    {
        m_timer.expires_after(delay);
        m_timer.async_wait([self = shared_from_this(), step](auto ec) {
            if (!ec && !self->m_stopped)
                ((*self).*step)();
        });
    }

    RowStore &m_store;
    RowTable m_table;
    Duration m_interval;
    Duration m_retry;
    asio::steady_timer m_timer;
    Events m_events;
    std::vector<StoredRow> m_rows; // pages of the whole table so far
    std::uint64_t m_startVersion = 0;
    std::uint64_t m_version = 0; // where the feed goes on
    std::uint64_t m_lastChange = 0;
    Duration m_sentAt {};
    Duration m_delay {}; // left to other gateways to read first
    int m_failures = 0;  // in a row
    bool m_calling = false;
    bool m_loaded = false;
    bool m_stopped = false;
};

} // namespace

class DeploymentWatcher::Private : public std::enable_shared_from_this<Private>
{
public:
    Private(asio::io_context &given, RowStore &rows, const RowCodec &rowCodec,
            const WatcherSettings &watcherSettings, WatcherEvents tell)
        : context(given), store(rows), codec(rowCodec), settings(watcherSettings),
          events(std::move(tell)), registry(lapseGrace), expiryTimer(given), registerTimer(given)
    { }

    std::shared_ptr<TableReader> reader(RowTable table, Duration interval,
                                        TableReader::Events events)
    {
        return std::make_shared<TableReader>(context, store, table, interval,
                                             settings.retryInterval, std::move(events));
    }

    // --- orders ---

    void handleOrders(const std::vector<StoredRow> &rows, bool whole)
    {
        bool changed = whole;
        if (whole) {
            loadedTables.insert(RowTable::Orders);
            withdrawals.clear();
            rollouts.clear();
        }
        for (const StoredRow &row : rows) {
            readerOf(RowTable::Orders).changed(row.version);
            changed = handleOrder(row) || changed;
        }
        if (changed)
            publish();
    }

    bool handleOrder(const StoredRow &row)
    {
        if (row.removed) {
            const bool known = withdrawals.erase(row.key) + rollouts.erase(row.key) > 0;
            if (known)
                EventLog("order_removed").field("key", row.key).field("version", row.version);
            return known;
        }
        DecodedOrder order = codec.decodeOrder(row.key, row.value);
        if (auto *content = std::get_if<RouteTableContent>(&order))
            return handleConfiguration(std::move(*content), row);
        if (const auto *zone = std::get_if<ZoneWithdrawal>(&order)) {
            EventLog("zone_withdrawn").field("zone", zone->availabilityZone);
            withdrawals[row.key] = zone->availabilityZone;
            return true;
        }
        if (const auto *rollout = std::get_if<RolloutOrder>(&order)) {
            EventLog("rollout_ordered")
                    .field("service", rollout->service)
                    .field("version", rollout->version)
                    .field("duration_ms", rollout->duration / 1ms);
            rollouts[row.key] = *rollout;
            rollouts[row.key].rowVersion = row.version;
            startStatuses();
            return true;
        }
        EventLog("row_unreadable", EventLevel::Warning)
                .field("key", row.key)
                .field("reason", std::get<UnreadableRow>(order).reason);
        return false;
    }

    bool handleConfiguration(RouteTableContent content, const StoredRow &row)
    {
        const std::uint64_t present = routes ? routes->content().version : 0;
        if (routes && content.version <= present)
            return false;
        EventLog("configuration_applied")
                .field("version", content.version)
                .field("previous", present)
                .field("row_version", row.version)
                .field("routes", content.routes.size())
                .field("organisations", content.organisations.size());
        routes = std::make_shared<const RouteTable>(std::move(content));
        return true;
    }

    // --- statuses of rollouts ---

    // Read only where there are rollouts.
    void startStatuses()
    {
        if (std::exchange(statusesStarted, true))
            return;
        readerOf(RowTable::Statuses).start();
    }

    void handleStatuses(const std::vector<StoredRow> &rows, bool whole)
    {
        bool changed = whole;
        if (whole)
            statuses.clear();
        statusesRead = true;
        for (const StoredRow &row : rows) {
            if (row.removed) {
                changed = statuses.erase(row.key) > 0 || changed;
            } else if (auto status = codec.decodeRolloutStatus(row.key, row.value)) {
                status->rowVersion = row.version;
                statuses[row.key] = *status;
                changed = true;
            }
        }
        if (changed)
            publish();
    }

    void writeStatus(const RolloutStatus &status)
    {
        store.put(RowTable::Statuses, codec.keyOfRolloutStatus(status.service),
                  codec.encodeRolloutStatus(status), status.rowVersion,
                  [d = shared_from_this(), status](std::optional<RowStoreError> error) {
                      EventLog("rollout_status_written")
                              .field("service", status.service)
                              .field("version", status.version)
                              .field("state", nameOf(status.state))
                              .field("outcome", error ? nameOf(*error) : "done");
                      d->readerOf(RowTable::Statuses).readNow();
                  });
    }

    // --- backend servers ---

    std::optional<BackendRecord> decodeBackend(const StoredRow &row)
    {
        auto record = codec.decodeBackend(row.key, row.value);
        if (auto *good = std::get_if<BackendRecord>(&record))
            return std::move(*good);
        if (unreadable.insert(row.key).second) {
            EventLog("row_unreadable", EventLevel::Warning)
                    .field("key", row.key)
                    .field("reason", std::get<UnreadableRow>(record).reason);
        }
        return std::nullopt;
    }

    void handleAllBackends(const std::vector<StoredRow> &rows)
    {
        std::vector<std::pair<BackendRecord, std::uint64_t>> records;
        for (const StoredRow &row : rows) {
            if (auto record = decodeBackend(row))
                records.emplace_back(std::move(*record), row.version);
        }
        registry.replaceAll(records, monotonicNow());
        loadedTables.insert(RowTable::Backends);
        publish();
    }

    void handleBackendChanges(const std::vector<StoredRow> &rows)
    {
        const Instant now = monotonicNow();
        bool changed = registry.expire(now);
        for (const StoredRow &row : rows) {
            const bool applied = applyBackend(row, now);
            // A removal matters also while the server is kept for a grace time.
            if (applied || row.removed)
                readerOf(RowTable::Backends).changed(row.version);
            changed = changed || applied;
        }
        if (changed)
            publish();
    }

    // Returns true if the row changes which servers may be used, and how. Most only tell that the
    // server lives.
    bool applyBackend(const StoredRow &row, Instant now)
    {
        const auto record = row.removed ? std::nullopt : decodeBackend(row);
        return record ? registry.put(*record, row.version) : registry.removed(row.key, now);
    }

    TableReader &readerOf(RowTable table) { return *readers.at(static_cast<std::size_t>(table)); }

    // --- gateways ---

    void handleGateways(const std::vector<StoredRow> &rows)
    {
        bool changed = loadedTables.insert(RowTable::Gateways).second;
        for (const StoredRow &row : rows) {
            auto record = codec.decodeGateway(row.key, row.value);
            if (row.removed) {
                changed = gateways.erase(row.key) > 0 || changed;
            } else if (auto *good = std::get_if<GatewayRecord>(&record)) {
                gateways[row.key] = *good;
                changed = true;
            }
        }
        if (changed)
            publish();
    }

    void registerSelf()
    {
        store.put(RowTable::Gateways, self.name, codec.encodeGateway(self), std::nullopt,
                  [d = shared_from_this()](std::optional<RowStoreError> error) {
                      if (!error)
                          return;
                      d->registerTimer.expires_after(1s);
                      d->registerTimer.async_wait([d](auto ec) {
                          if (!ec)
                              d->registerSelf();
                      });
                  });
    }

    // --- the store ---

    void answered(Duration sentAt)
    {
        events.called("answered");
        answeredAt = std::max(answeredAt, sentAt);
        if (!storeLost)
            return;
        storeLost = false;
        EventLog("store_regained").field("lapse_grace_ms", lapseGrace / 1ms);
        registry.storeRegained(monotonicNow());
        expiryTimer.expires_after(lapseGrace + 10ms);
        expiryTimer.async_wait([d = shared_from_this()](auto ec) {
            if (!ec && d->registry.expire(monotonicNow()))
                d->publish();
        });
    }

    void failed(const char *table, RowStoreError error)
    {
        events.called(nameOf(error));
        const Duration silent = timeSinceBoot() - answeredAt;
        if (error == RowStoreError::HistoryLost) {
            EventLog("store_history_lost", EventLevel::Warning).field("table", table);
            return;
        }
        if (storeLost || silent < lostAfter)
            return;
        storeLost = true;
        registry.storeLost();
        EventLog("store_lost", EventLevel::Warning)
                .field("table", table)
                .field("reason", nameOf(error))
                .field("silent_ms", silent / 1ms);
    }

    // Told only once every table was read: without the other gateways, this one would take the
    // whole of what they share.
    void publish()
    {
        if (loadedTables.size() < tableCount)
            return;
        auto state = std::make_shared<DeploymentState>();
        state->routes = routes;
        for (const auto &[key, zone] : withdrawals)
            state->withdrawnZones.insert(zone);
        for (const auto &[key, rollout] : rollouts)
            state->rollouts.push_back(rollout);
        if (statusesRead) {
            state->rolloutStatuses.emplace();
            for (const auto &[key, status] : statuses)
                state->rolloutStatuses->push_back(status);
        }
        state->backends = registry.list();
        for (const auto &[name, gateway] : gateways)
            state->gateways.push_back(gateway);
        events.changed(std::move(state));
    }

    asio::io_context &context;
    RowStore &store;
    const RowCodec &codec;
    WatcherSettings settings;
    WatcherEvents events;
    GatewayRecord self;
    std::set<RowTable> loadedTables; // read as a whole at least once
    std::shared_ptr<const RouteTable> routes;
    std::map<std::string, std::string> withdrawals; // zone by row
    std::map<std::string, RolloutOrder> rollouts;   // by row
    std::map<std::string, RolloutStatus> statuses;  // by row
    bool statusesStarted = false;
    bool statusesRead = false;
    BackendRegistry registry;
    std::map<std::string, GatewayRecord> gateways;
    std::set<std::string> unreadable; // rows that were logged
    asio::steady_timer expiryTimer;
    asio::steady_timer registerTimer;
    std::vector<std::shared_ptr<TableReader>> readers; // by RowTable
    Duration answeredAt {};                            // since boot, by any table
    Duration gatewaysReadAt {};                        // since boot
    Duration statusesReadAt {};                        // since boot
    bool storeLost = false;
};

DeploymentWatcher::DeploymentWatcher(asio::io_context &context, RowStore &store,
                                     const RowCodec &codec, const WatcherSettings &settings,
                                     WatcherEvents events)
    : d(std::make_shared<Private>(context, store, codec, settings, std::move(events)))
{ }

DeploymentWatcher::~DeploymentWatcher()
{
    for (const auto &it : d->readers)
        it->stop();
    d->expiryTimer.cancel();
    d->registerTimer.cancel();
}

void DeploymentWatcher::start(const GatewayRecord &self)
{
    d->self = self;
    d->answeredAt = timeSinceBoot();
    Private *state = d.get(); // the readers are stopped before it goes
    using Rows = std::vector<StoredRow>;
    const auto answered = [state](Duration sentAt) { state->answered(sentAt); };
    const auto failed = [state](const char *table) {
        return [state, table](RowStoreError error) { state->failed(table, error); };
    };
    const auto read = [state](RowTable table) {
        return [state, table](const ReadProof &proof) { state->events.read(table, proof); };
    };
    const auto provenAt = [state](RowTable table) {
        return [state, table] { return state->events.provenAt(table); };
    };
    d->readers.push_back(
            d->reader(RowTable::Orders, d->settings.ordersInterval,
                      {[state](const Rows &rows) { state->handleOrders(rows, true); },
                       [state](const Rows &rows) { state->handleOrders(rows, false); }, answered,
                       read(RowTable::Orders), failed("orders"), provenAt(RowTable::Orders)}));
    d->readers.push_back(d->reader(
            RowTable::Backends, d->settings.backendsInterval,
            {[state](const Rows &rows) { state->handleAllBackends(rows); },
             [state](const Rows &rows) { state->handleBackendChanges(rows); }, answered,
             read(RowTable::Backends), failed("backends"), provenAt(RowTable::Backends)}));
    // Gateways are read by each one for itself, and seldom.
    d->readers.push_back(
            d->reader(RowTable::Gateways, d->settings.gatewaysInterval,
                      {[state](const Rows &rows) { state->handleGateways(rows); },
                       [state](const Rows &rows) { state->handleGateways(rows); }, answered,
                       [state](const ReadProof &it) { state->gatewaysReadAt = it.sentAt; },
                       failed("gateways"), [state] { return state->gatewaysReadAt; }}));
    for (const auto &it : d->readers)
        it->start();
    // Never due while there are no rollouts.
    d->readers.push_back(
            d->reader(RowTable::Statuses, d->settings.statusesInterval,
                      {[state](const Rows &rows) { state->handleStatuses(rows, true); },
                       [state](const Rows &rows) { state->handleStatuses(rows, false); }, answered,
                       [state](const ReadProof &it) { state->statusesReadAt = it.sentAt; },
                       failed("statuses"),
                       [state] {
                           return state->rollouts.empty() ? timeSinceBoot() : state->statusesReadAt;
                       }}));
    d->registerSelf();
}

void DeploymentWatcher::readNow(RowTable table)
{
    d->readerOf(table).readNow();
}

void DeploymentWatcher::writeStatus(const RolloutStatus &status)
{
    d->writeStatus(status);
}

void DeploymentWatcher::setDelay(Duration delay)
{
    d->readerOf(RowTable::Orders).setDelay(delay);
    d->readerOf(RowTable::Backends).setDelay(delay);
}

} // namespace cornelshed
