// Runs one reader per table, which reads a full snapshot first and then polls the change feed.

#include "deploymentwatcher.h"

#include "backendregistry.h"
#include "eventlog.h"
#include "monotonicclock.h"
#include "tablereader.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <utility>

namespace cornelshed {

namespace asio = boost::asio;
using detail::TableReader;

namespace {

using namespace std::chrono_literals;

// After a store outage, backend servers whose registrations expired during it register again within
// this time.
constexpr Duration registrationGracePeriod = 2200ms;
// The store counts as lost if no call has succeeded for this long.
constexpr Duration storeLostTimeout = 1500ms;
constexpr std::size_t requiredTableCount = 3; // Orders, Backends and Gateways

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

} // namespace

class DeploymentWatcher::Private : public std::enable_shared_from_this<Private>
{
public:
    Private(asio::io_context &ioContext, RowStore &rowStore, const RowCodec &rowCodec,
            const WatcherSettings &watcherSettings, WatcherEvents watcherEvents)
        : context(ioContext), store(rowStore), codec(rowCodec), settings(watcherSettings),
          events(std::move(watcherEvents)), registry(registrationGracePeriod),
          expiryTimer(ioContext), orderTimer(ioContext), registerTimer(ioContext)
    { }

    std::shared_ptr<TableReader> reader(RowTable table, Duration interval,
                                        TableReader::Events events)
    {
        return std::make_shared<TableReader>(context, store, table, interval,
                                             settings.retryInterval, std::move(events));
    }

    // --- orders ---

    void handleOrders(const std::vector<StoredRow> &rows, bool isSnapshot)
    {
        bool changed = isSnapshot;
        std::set<std::string> keys;
        for (const StoredRow &row : rows) {
            readerOf(RowTable::Orders).recordChange(row.version);
            changed = handleOrder(row) || changed;
            keys.insert(row.key);
        }
        if (isSnapshot) {
            loadedTables.insert(RowTable::Orders);
            removeOrders([&](const std::string &key, const StorePosition &position) {
                return !keys.contains(key) && !mayBeWrittenAgain(position);
            });
        }
        if (changed)
            publish();
    }

    // Whether an order may be missing only because the store has returned from a copy without it.
    bool mayBeWrittenAgain(const StorePosition &position)
    {
        return position.era < readerOf(RowTable::Orders).position().era
                && monotonicNow() < orderGraceEndsAt;
    }

    // Removes the orders for which the predicate is true; returns whether there were any.
    template<typename Predicate> bool removeOrders(Predicate isGone)
    {
        const auto remove = [&](const auto &it) {
            const bool gone = isGone(it.first, it.second.position);
            if (gone)
                EventLog("order_removed")
                        .field("key", it.first)
                        .field("era", it.second.position.era)
                        .field("version", it.second.position.version);
            return gone;
        };
        return std::erase_if(withdrawals, remove) + std::erase_if(rollouts, remove) > 0;
    }

    // Removes the orders that have not been written again after a return of the store.
    void expireOrders()
    {
        const std::uint64_t era = readerOf(RowTable::Orders).position().era;
        if (removeOrders([&](const std::string & /*key*/, const StorePosition &position) {
                return position.era < era;
            }))
            publish();
    }

    bool handleOrder(const StoredRow &row)
    {
        if (row.removed) {
            return removeOrders([&](const std::string &key, const StorePosition & /*position*/) {
                return key == row.key;
            });
        }
        DecodedOrder order = codec.decodeOrder(row.key, row.value);
        if (auto *content = std::get_if<RouteTableContent>(&order))
            return handleConfiguration(std::move(*content), row);
        const StorePosition position = positionOf(RowTable::Orders, row);
        if (const auto *zone = std::get_if<ZoneWithdrawal>(&order)) {
            EventLog("zone_withdrawn").field("zone", zone->availabilityZone);
            withdrawals[row.key] = {zone->availabilityZone, position};
            return true;
        }
        if (const auto *rollout = std::get_if<RolloutOrder>(&order))
            return handleRollout(row.key, *rollout, position);
        EventLog("row_unreadable", EventLevel::Warning)
                .field("key", row.key)
                .field("reason", std::get<UnreadableRow>(order).reason);
        return false;
    }

    bool handleRollout(const std::string &key, RolloutOrder order, const StorePosition &position)
    {
        order.position = position;
        order.orderedAt = position;
        const auto known = rollouts.find(key);
        if (known != rollouts.end() && isWrittenAgain(known->second, order)) {
            order.orderedAt = known->second.orderedAt;
        } else {
            EventLog("rollout_ordered")
                    .field("service", order.service)
                    .field("version", order.version)
                    .field("duration_ms", order.duration / 1ms);
        }
        rollouts[key] = order;
        startStatusReader();
        return true;
    }

    // Whether an order's row holds the known order again, after a return of the store.
    bool isWrittenAgain(const RolloutOrder &known, const RolloutOrder &order) const
    {
        return known.service == order.service && known.version == order.version
                && known.duration == order.duration
                && (known.position.era < order.position.era || known.position == order.position
                    || monotonicNow() < orderGraceEndsAt);
    }

    bool handleConfiguration(RouteTableContent content, const StoredRow &row)
    {
        const std::uint64_t currentVersion = routes ? routes->content().version : 0;
        if (routes && content.version <= currentVersion) {
            EventLog("configuration_not_newer")
                    .field("version", content.version)
                    .field("in_force", currentVersion)
                    .field("row_era", readerOf(RowTable::Orders).position().era)
                    .field("row_version", row.version);
            return false;
        }
        EventLog("configuration_applied")
                .field("version", content.version)
                .field("previous", currentVersion)
                .field("row_version", row.version)
                .field("routes", content.routes.size())
                .field("organisations", content.organisations.size());
        routes = std::make_shared<const RouteTable>(std::move(content));
        return true;
    }

    // --- statuses of rollouts ---

    // Reads the statuses only once a rollout has been ordered.
    void startStatusReader()
    {
        if (std::exchange(statusReaderStarted, true))
            return;
        readerOf(RowTable::Statuses).start();
    }

    void handleStatuses(const std::vector<StoredRow> &rows, bool isSnapshot)
    {
        bool changed = isSnapshot;
        if (isSnapshot)
            statuses.clear();
        statusesLoaded = true;
        for (const StoredRow &row : rows) {
            if (row.removed) {
                changed = statuses.erase(row.key) > 0 || changed;
            } else if (auto status = codec.decodeRolloutStatus(row.key, row.value)) {
                status->position = positionOf(RowTable::Statuses, row);
                statuses[row.key] = *status;
                changed = true;
            }
        }
        if (changed)
            publish();
    }

    void writeStatus(const RolloutStatus &status)
    {
        // In a later era the version may belong to another state of the row.
        if (status.position.version != 0 && status.position.era != storeEra.value_or(0)) {
            EventLog("rollout_status_written")
                    .field("service", status.service)
                    .field("version", status.version)
                    .field("state", nameOf(status.state))
                    .field("outcome", "earlier_era");
            return;
        }
        store.put(RowTable::Statuses, codec.rolloutStatusKey(status.service),
                  codec.encodeRolloutStatus(status), status.position.version,
                  [d = shared_from_this(), status](std::optional<RowStoreError> error) {
                      EventLog("rollout_status_written")
                              .field("service", status.service)
                              .field("version", status.version)
                              .field("state", nameOf(status.state))
                              .field("outcome", error ? nameOf(*error) : "done");
                      d->readerOf(RowTable::Statuses).readChangesNow();
                  });
    }

    // --- prompts that crash backend servers ---

    // Only gateways that start need the row; the others hear of changes in their peers' reports.
    void handleQuarantine(const ReadProof &proof)
    {
        auto read = std::make_shared<std::vector<QuarantineAge>>();
        for (const StoredRow &row : quarantineRows) {
            for (const QuarantinedPrompt &it : codec.decodeQuarantine(row.key, row.value)) {
                const Duration age = std::max(proof.storeTime - it.beganAt, Duration::zero());
                read->push_back({it.digest, age, it.length});
            }
        }
        quarantine = std::move(read);
        quarantineReadAt = monotonicNow() - (timeSinceBoot() - proof.sentAt);
        publish();
    }

    void writeQuarantine(const std::vector<QuarantineAge> &prompts)
    {
        if (!storeTime)
            return;
        const Duration now = timeSinceBoot() + *storeTime;
        std::vector<QuarantinedPrompt> rows;
        rows.reserve(prompts.size());
        for (const QuarantineAge &it : prompts)
            rows.push_back({it.digest, std::max(now - it.age, Duration::zero()), it.length});
        store.put(RowTable::Prompts, codec.quarantineKey(), codec.encodeQuarantine(rows),
                  std::nullopt, [n = rows.size()](std::optional<RowStoreError> error) {
                      EventLog("quarantine_written")
                              .field("prompts", n)
                              .field("outcome", error ? nameOf(*error) : "done");
                  });
    }

    // --- backend servers ---

    std::optional<BackendRecord> decodeBackend(const StoredRow &row)
    {
        auto record = codec.decodeBackend(row.key, row.value);
        if (auto *decoded = std::get_if<BackendRecord>(&record))
            return std::move(*decoded);
        if (loggedUnreadableRows.insert(row.key).second) {
            EventLog("row_unreadable", EventLevel::Warning)
                    .field("key", row.key)
                    .field("reason", std::get<UnreadableRow>(record).reason);
        }
        return std::nullopt;
    }

    void handleAllBackends(const std::vector<StoredRow> &rows)
    {
        const StorePosition position = readerOf(RowTable::Backends).position();
        std::vector<std::pair<BackendRecord, StorePosition>> records;
        for (const StoredRow &row : rows) {
            if (auto record = decodeBackend(row))
                records.emplace_back(std::move(*record), StorePosition {position.era, row.version});
        }
        registry.replaceAll(records, position, monotonicNow());
        loadedTables.insert(RowTable::Backends);
        publish();
    }

    void handleBackendChanges(const std::vector<StoredRow> &rows)
    {
        const Instant now = monotonicNow();
        bool changed = registry.expire(now);
        for (const StoredRow &row : rows) {
            const bool applied = applyBackend(row, now);
            // Peers must also read a removal while the server is kept for the grace period.
            if (applied || row.removed)
                readerOf(RowTable::Backends).recordChange(row.version);
            changed = changed || applied;
        }
        if (changed)
            publish();
    }

    // Returns true if the row changes which servers may be used, or how. Most updates are
    // heartbeats and change neither.
    bool applyBackend(const StoredRow &row, Instant now)
    {
        const auto record = row.removed ? std::nullopt : decodeBackend(row);
        const StorePosition position = positionOf(RowTable::Backends, row);
        return record ? registry.put(*record, position, now)
                      : registry.removed(row.key, position, now);
    }

    StorePosition positionOf(RowTable table, const StoredRow &row)
    {
        return {readerOf(table).position().era, row.version};
    }

    TableReader &readerOf(RowTable table) { return *readers.at(static_cast<std::size_t>(table)); }

    // --- gateways ---

    void handleGateways(const std::vector<StoredRow> &rows, bool isSnapshot)
    {
        const auto previous = gateways;
        if (isSnapshot)
            gateways.clear();
        for (const StoredRow &row : rows) {
            readerOf(RowTable::Gateways).recordChange(row.version);
            auto record = codec.decodeGateway(row.key, row.value);
            if (row.removed)
                gateways.erase(row.key);
            else if (auto *decoded = std::get_if<GatewayRecord>(&record))
                gateways[row.key] = *decoded;
        }
        const bool isFirst = loadedTables.insert(RowTable::Gateways).second;
        if (isFirst || gateways != previous)
            publish();
        const auto own = gateways.find(self.name);
        if (own != gateways.end() && own->second == self)
            registering = false;
        else if (!std::exchange(registering, true))
            registerSelf();
    }

    // Writes this gateway's row until the store has accepted it.
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

    // --- availability of the store ---

    void handleEra(std::uint64_t era)
    {
        const auto previous = storeEra;
        if (previous && era <= *previous)
            return;
        storeEra = era;
        events.eraRead(era);
        if (!previous)
            return;
        EventLog line("store_returned", EventLevel::Warning);
        line.field("era", era).field("previous", *previous);
        line.field("orders_position", readerOf(RowTable::Orders).position().version);
        line.field("backends_position", readerOf(RowTable::Backends).position().version);
        // Servers write their rows again also if this gateway has not noticed an outage.
        registry.storeReturned(monotonicNow());
        expireAfterGracePeriod();
        orderGraceEndsAt = monotonicNow() + settings.orderGracePeriod;
        orderTimer.expires_after(settings.orderGracePeriod + 10ms);
        orderTimer.async_wait([d = shared_from_this()](auto ec) {
            if (!ec)
                d->expireOrders();
        });
        registering = false;
        publish(); // statuses of rollouts are unknown until they are read again
        for (const auto &it : readers)
            it->handleStoreReturn();
    }

    void handleCallAnswered(Duration sentAt)
    {
        events.storeCallCompleted("answered");
        lastAnsweredAt = std::max(lastAnsweredAt, sentAt);
        if (!storeLost)
            return;
        storeLost = false;
        EventLog("store_regained").field("lapse_grace_ms", registrationGracePeriod / 1ms);
        registry.storeRecovered(monotonicNow());
        expireAfterGracePeriod();
    }

    void expireAfterGracePeriod()
    {
        expiryTimer.expires_after(registrationGracePeriod + 10ms);
        expiryTimer.async_wait([d = shared_from_this()](auto ec) {
            if (!ec && d->registry.expire(monotonicNow()))
                d->publish();
        });
    }

    void handleCallFailed(const char *table, RowStoreError error)
    {
        events.storeCallCompleted(nameOf(error));
        const Duration sinceLastAnswer = timeSinceBoot() - lastAnsweredAt;
        if (error == RowStoreError::HistoryLost) {
            EventLog("store_history_lost", EventLevel::Warning).field("table", table);
            return;
        }
        if (storeLost || sinceLastAnswer < storeLostTimeout || peersReachStore())
            return;
        storeLost = true;
        registry.storeLost();
        EventLog("store_lost", EventLevel::Warning)
                .field("table", table)
                .field("reason", nameOf(error))
                .field("silent_ms", sinceLastAnswer / 1ms);
    }

    // Whether a peer's proof shows that the store has answered within the same time. This gateway
    // alone is cut off then: rows that disappear have not lapsed because of an outage.
    bool peersReachStore() const
    {
        const Duration proven =
                std::max({events.provenAt(RowTable::Orders), events.provenAt(RowTable::Backends),
                          events.provenAt(RowTable::Gateways)});
        return timeSinceBoot() - proven < storeLostTimeout;
    }

    // Publishes nothing until all required tables have been read: without the list of the other
    // gateways, this one would claim their shares for itself.
    void publish()
    {
        if (loadedTables.size() < requiredTableCount)
            return;
        auto state = std::make_shared<DeploymentState>();
        state->routes = routes;
        for (const auto &[key, withdrawal] : withdrawals)
            state->withdrawnZones.insert(withdrawal.zone);
        for (const auto &[key, rollout] : rollouts) {
            state->rollouts.push_back(rollout);
            state->rollouts.back().confirmed = rollout.position.era == storeEra.value_or(0);
        }
        if (statusesLoaded && readerOf(RowTable::Statuses).position().era == storeEra.value_or(0)) {
            state->rolloutStatuses.emplace();
            for (const auto &[key, status] : statuses)
                state->rolloutStatuses->push_back(status);
        }
        state->quarantine = quarantine;
        state->quarantineReadAt = quarantineReadAt;
        state->backends = registry.list();
        for (const auto &[name, gateway] : gateways)
            state->gateways.push_back(gateway);
        events.stateChanged(std::move(state));
    }

    asio::io_context &context;
    RowStore &store;
    const RowCodec &codec;
    WatcherSettings settings;
    WatcherEvents events;
    GatewayRecord self;
    std::set<RowTable> loadedTables; // of which a snapshot has been read
    std::shared_ptr<const RouteTable> routes;
    struct Withdrawal
    {
        std::string zone;
        StorePosition position; // of the row
    };
    std::map<std::string, Withdrawal> withdrawals; // by row key
    std::map<std::string, RolloutOrder> rollouts;  // by row key
    std::map<std::string, RolloutStatus> statuses; // by row key
    std::vector<StoredRow> quarantineRows;
    std::shared_ptr<const std::vector<QuarantineAge>> quarantine; // null until it was read
    Instant quarantineReadAt {};
    std::optional<Duration> storeTime; // the store's steady clock less the time since boot
    bool statusReaderStarted = false;
    bool statusesLoaded = false;
    BackendRegistry registry;
    std::map<std::string, GatewayRecord> gateways;
    std::optional<std::uint64_t> storeEra; // latest one stated by the store
    bool registering = false; // registerSelf() was called, and its row has not been read back yet
    std::set<std::string> loggedUnreadableRows; // keys of rows whose fault has been logged
    Instant orderGraceEndsAt = Instant::min();
    asio::steady_timer expiryTimer;
    asio::steady_timer orderTimer;
    asio::steady_timer registerTimer;
    std::vector<std::shared_ptr<TableReader>> readers; // indexed by RowTable
    Duration lastAnsweredAt {}; // start of the last successful call for any table, since boot
    Duration statusesReadAt {}; // since boot
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
    d->orderTimer.cancel();
    d->registerTimer.cancel();
}

void DeploymentWatcher::start(const GatewayRecord &self)
{
    d->self = self;
    d->lastAnsweredAt = timeSinceBoot();
    d->store.setEraHandler([state = std::weak_ptr(d)](std::uint64_t era) {
        if (const auto it = state.lock())
            it->handleEra(era);
    });
    Private *state = d.get(); // outlives the readers' callbacks: the destructor stops the readers
    using Rows = std::vector<StoredRow>;
    const auto answered = [state](Duration sentAt) { state->handleCallAnswered(sentAt); };
    const auto failed = [state](const char *table) {
        return [state, table](RowStoreError error) { state->handleCallFailed(table, error); };
    };
    const auto read = [state](RowTable table) {
        return [state, table](const ReadProof &proof) {
            if (proof.storeTime > Duration::zero())
                state->storeTime = proof.storeTime - proof.sentAt;
            state->events.tableRead(table, proof);
        };
    };
    const auto provenAt = [state](RowTable table) {
        return [state, table] { return state->events.provenAt(table); };
    };
    const auto storeEra = [state] { return state->storeEra.value_or(0); };
    d->readers.push_back(d->reader(RowTable::Orders, d->settings.ordersInterval,
                                   {[state](const Rows &rows) { state->handleOrders(rows, true); },
                                    [state](const Rows &rows) { state->handleOrders(rows, false); },
                                    answered, read(RowTable::Orders), failed("orders"),
                                    provenAt(RowTable::Orders), storeEra}));
    d->readers.push_back(
            d->reader(RowTable::Backends, d->settings.backendsInterval,
                      {[state](const Rows &rows) { state->handleAllBackends(rows); },
                       [state](const Rows &rows) { state->handleBackendChanges(rows); }, answered,
                       read(RowTable::Backends), failed("backends"), provenAt(RowTable::Backends),
                       storeEra}));
    d->readers.push_back(
            d->reader(RowTable::Gateways, d->settings.gatewaysInterval,
                      {[state](const Rows &rows) { state->handleGateways(rows, true); },
                       [state](const Rows &rows) { state->handleGateways(rows, false); }, answered,
                       read(RowTable::Gateways), failed("gateways"), provenAt(RowTable::Gateways),
                       storeEra}));
    for (const auto &it : d->readers)
        it->start();
    // Without rollouts provenAt returns the present time, so that a read is never due.
    d->readers.push_back(d->reader(
            RowTable::Statuses, d->settings.statusesInterval,
            {[state](const Rows &rows) { state->handleStatuses(rows, true); },
             [state](const Rows &rows) { state->handleStatuses(rows, false); }, answered,
             [state](const ReadProof &it) { state->statusesReadAt = it.sentAt; },
             failed("statuses"),
             [state] { return state->rollouts.empty() ? timeSinceBoot() : state->statusesReadAt; },
             storeEra}));
    // Read once: no later read is due, and changes are not passed on.
    d->readers.push_back(d->reader(RowTable::Prompts, d->settings.gatewaysInterval,
                                   {[state](const Rows &rows) { state->quarantineRows = rows; },
                                    [](const Rows &) {}, answered,
                                    [state](const ReadProof &it) { state->handleQuarantine(it); },
                                    failed("prompts"), [] { return timeSinceBoot(); }, storeEra}));
    d->readers.back()->start();
}

void DeploymentWatcher::readChangesNow(RowTable table)
{
    d->readerOf(table).readChangesNow();
}

void DeploymentWatcher::writeStatus(const RolloutStatus &status)
{
    d->writeStatus(status);
}

void DeploymentWatcher::writeQuarantine(const std::vector<QuarantineAge> &prompts)
{
    d->writeQuarantine(prompts);
}

void DeploymentWatcher::setReadPacing(Duration extraDelay, Duration promptedInterval)
{
    for (const RowTable table : sharedTables)
        d->readerOf(table).setReadPacing(extraDelay, promptedInterval);
}

} // namespace cornelshed
