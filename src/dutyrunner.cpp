// Carries out what the decision parts of the duties decide.

#include "dutyrunner.h"

#include "dutyclient.h"
#include "dutylease.h"
#include "eventlog.h"
#include "usageduty.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <atomic>
#include <utility>

namespace cornelshed {

namespace asio = boost::asio;

namespace {

using namespace std::chrono_literals;

constexpr Duration tickInterval = 50ms;
// The time-out of a call to the platform is this part of the lease time. As a lease is renewed
// after a third, a call can be started at nearly any time.
constexpr int callTimeoutDivisor = 3;
constexpr Duration scaleInterval = 500ms;
// A gateway that has lost the duties goes on to report what it fixed for this long.
constexpr Duration fixedReportTime = 30s;

} // namespace

class DutyRunner::Private : public std::enable_shared_from_this<Private>
{
public:
    Private(asio::io_context &context, RowStore &rowStore, const DutyCodec &dutyCodec,
            DutyState &dutyState, const DutyRunnerSettings &runnerSettings,
            Metrics &metricsRegistry)
        : store(rowStore), codec(dutyCodec), state(dutyState), settings(runnerSettings),
          metrics(metricsRegistry), callTimeout(settings.lease / callTimeoutDivisor),
          timer(context),
          lease({settings.holder, settings.incarnation, settings.lease, settings.thaw}),
          usage({settings.window, settings.usageLate}),
          client(context, settings.address, settings.port, settings.callsPerSecond, callTimeout,
                 metrics)
    { }

    Duration now() const { return state.clocks().sinceBoot(); }

    void addMetrics()
    {
        const auto gauge = [&](const char *name, const char *help, auto read) {
            metrics.gauge(name, help, [weak = weak_from_this(), read] {
                const auto self = weak.lock();
                return self ? static_cast<double>(read(*self)) : 0.0;
            });
        };
        const auto seconds = [](Duration duration) {
            return std::chrono::duration<double>(duration).count();
        };
        gauge("cornelshed_gateway_duty_held", "Whether this gateway holds the duties",
              [](Private &it) { return it.held.load(); });
        gauge("cornelshed_gateway_duty_number", "Fencing token of the latest holder known here",
              [](Private &it) { return it.latestNumber.load(); });
        gauge("cornelshed_gateway_duty_age_seconds",
              "Since this gateway acquired the duties; -1: does not hold them",
              [seconds](Private &it) {
                  return it.held ? seconds(it.now() - Duration(it.acquiredAtMicros)) : -1;
              });
        gauge("cornelshed_gateway_duty_term_seconds",
              "Until the end of the lease; negative: lapsed, or not held", [seconds](Private &it) {
                  return it.held ? seconds(Duration(it.termEndMicros) - it.now()) : -1;
              });
        gauge("cornelshed_gateway_usage_windows_pending",
              "Usage windows that are fixed and not accepted yet",
              [](Private &it) { return it.pendingWindows.load(); });
        gauge("cornelshed_gateway_usage_windows_skipped",
              "Usage windows that this gateway has given up",
              [](Private &it) { return it.skippedWindows.load(); });
        gauge("cornelshed_gateway_wall_clock_error_seconds",
              "Wall clock of this host less the time that most gateways agree on",
              [seconds](Private &it) { return seconds(it.state.wallError()); });
    }

    // --- timer ---

    void tick()
    {
        const HeardDuties heard = state.update();
        lease.setRank(heard.rank);
        for (const auto &[number, position] : heard.holders)
            lease.peerReported(number, position, now());
        for (const FixedWindow &it : heard.fixed)
            usage.heardFixed(it);
        if (stopping)
            stopLease();
        callStore();
        if (!stopping)
            callPlatform();
        publish();
        timer.expires_after(tickInterval);
        timer.async_wait([weak = weak_from_this()](auto ec) {
            const auto self = weak.lock();
            if (!ec && self)
                self->tick();
        });
    }

    void publish()
    {
        held = lease.holds();
        acquiredAtMicros = lease.acquiredAt().count();
        termEndMicros = lease.termEnd().count();
        pendingWindows = usage.pendingCount();
        skippedWindows = usage.skippedCount();
        if (lease.holds())
            heldAt = now();
        HolderState holder;
        holder.number = lease.number();
        holder.rowPosition = lease.position();
        holder.nextWindow = usage.nextWindow();
        if (heldAt && now() - *heldAt < fixedReportTime)
            holder.fixed = usage.recentlyFixed();
        state.setHolderState(holder);
    }

    // A call that may still arrive must not follow one of the next holder.
    void stopLease()
    {
        if (leaseStopped || !client.isIdle())
            return;
        leaseStopped = true;
        const auto unanswered = client.unansweredAt();
        lease.stop(!unanswered || std::chrono::steady_clock::now() - *unanswered >= settings.lease);
    }

    // --- store ---

    void callStore()
    {
        if (lease.holds() && settings.reportsUsage
            && state.withCounts([&](const UsageWindows &counts, Duration time, Duration sinceBoot) {
                   return usage.isPressed(counts, time, sinceBoot);
               }))
            lease.requestWrite();
        const auto call = lease.nextCall(now());
        handleChanges();
        if (!call)
            return;
        if (const auto *write = std::get_if<WriteDutyRow>(&*call))
            writeRow(*write);
        else
            readRow();
    }

    void readRow()
    {
        store.scan(RowTable::Duties, codec.rowKey(),
                   [weak = weak_from_this()](const RowsResult &result) {
                       if (const auto self = weak.lock())
                           self->handleRead(result);
                   });
    }

    void handleRead(const RowsResult &result)
    {
        const auto *page = std::get_if<RowsPage>(&result);
        if (page == nullptr) {
            lease.readFailed(now());
            return;
        }
        const std::string key = codec.rowKey();
        const auto found =
                std::find_if(page->rows.begin(), page->rows.end(),
                             [&](const StoredRow &it) { return it.key == key && !it.removed; });
        const bool exists = found != page->rows.end();
        const auto row = exists ? codec.decodeRow(found->value) : std::nullopt;
        if (exists && !row)
            EventLog("duty_row_unreadable", EventLevel::Warning).field("version", found->version);
        lease.rowRead(row, {page->era.value_or(lease.era()), exists ? found->version : 0},
                      page->version, now());
        logHolder();
        handleChanges();
        callStore();
    }

    void writeRow(const WriteDutyRow &write)
    {
        DutyRow row = write.row;
        const auto &previous = lease.row();
        const auto stored = previous ? std::optional(previous->progress) : std::nullopt;
        if (write.acquires)
            row.progress = usage.atAcquisition(stored, previous && previous->era == lease.era(),
                                               state.windowAt(lease.firstSeen()));
        else if (settings.reportsUsage)
            row.progress = state.withCounts(
                    [&](const UsageWindows &counts, Duration time, Duration sinceBoot) {
                        return usage.atRenewal(counts, time, sinceBoot);
                    });
        else
            row.progress = stored.value_or(DutyProgress {});
        lease.writeSent(row, now());
        store.put(RowTable::Duties, codec.rowKey(), codec.encodeRow(row), write.expectedVersion,
                  [weak = weak_from_this(),
                   acquires = write.acquires](std::optional<RowStoreError> error) {
                      if (const auto self = weak.lock())
                          self->handleWritten(acquires, error);
                  });
    }

    void handleWritten(bool acquires, std::optional<RowStoreError> error)
    {
        if (error == RowStoreError::Conflict) {
            metrics.counter("cornelshed_gateway_duty_writes_refused_total",
                            "Conditional writes of the duties' row that the store refused")
                    .add();
            EventLog("duty_write_refused")
                    .field("write", acquires ? "acquisition" : "renewal")
                    .field("number", lease.number());
        }
        lease.writeEnded(error, now());
        handleChanges();
        callStore();
    }

    void handleChanges()
    {
        for (const DutyLeaseChange change : lease.takeChanges()) {
            if (change == DutyLeaseChange::Acquired) {
                ownNumber = lease.number();
                latestNumber = ownNumber;
                if (scaleDuty)
                    scaleDuty->acquired(now());
            } else if (change != DutyLeaseChange::Lapsed) {
                usage.lost();
                scaleCalls.clear();
            }
            const bool isLapse = change == DutyLeaseChange::Lapsed;
            EventLog("duty_lease_changed", isLapse ? EventLevel::Warning : EventLevel::Info)
                    .field("change", nameOf(change))
                    .field("holder", settings.holder)
                    .field("number", ownNumber)
                    .field("era", lease.era());
        }
        if (const auto row = lease.takeConfirmed())
            usage.confirmed(row->progress);
    }

    void logHolder()
    {
        const auto &row = lease.row();
        if (!row || (row->number == loggedNumber && row->handedOver == loggedHandedOver))
            return;
        latestNumber = row->number;
        loggedNumber = row->number;
        loggedHandedOver = row->handedOver;
        EventLog("duty_holder")
                .field("holder", row->holder)
                .field("number", row->number)
                .field("era", row->era)
                .field("handed_over", row->handedOver ? "yes" : "no");
    }

    // --- calls to the platform ---

    void callPlatform()
    {
        const Duration sentAt = now();
        if (!client.isReady(sentAt) || !lease.covers(sentAt + callTimeout))
            return;
        if (settings.reportsUsage) {
            if (const auto window = usage.nextCall(sentAt)) {
                sendUsage(*window, sentAt);
                return;
            }
        }
        if (!settings.scales || !scaleDuty)
            return;
        if (scaleCalls.empty() && sentAt >= scaleAt) {
            scaleCalls = scaleDuty->dueCalls(sentAt);
            std::reverse(scaleCalls.begin(), scaleCalls.end());
            scaleAt = sentAt + scaleInterval;
        }
        if (scaleCalls.empty())
            return;
        const ScaleCall call = scaleCalls.back();
        scaleCalls.pop_back();
        sendScale(call, sentAt);
    }

    void sendUsage(const FixedWindow &window, Duration sentAt)
    {
        const DutyHolder holder {settings.holder, lease.number()};
        client.send(codec.encodeUsage(holder, window), "usage_report", sentAt,
                    [weak = weak_from_this(), holder, n = window.window,
                     organisations = window.counts.size()](DutyCallOutcome outcome,
                                                           std::uint32_t status) {
                        const auto self = weak.lock();
                        if (!self)
                            return;
                        // Windows of an earlier term may have other attempts in this one.
                        const bool done = self->lease.number() == holder.number
                                && self->usage.callEnded(n, outcome, self->now());
                        const bool accepted = outcome == DutyCallOutcome::Accepted;
                        EventLog(accepted ? "usage_sent" : "usage_not_sent",
                                 accepted ? EventLevel::Info : EventLevel::Warning)
                                .field("window", n)
                                .field("organisations", organisations)
                                .field("number", holder.number)
                                .field("outcome", nameOf(outcome))
                                .field("status", status)
                                .field("done", done ? "yes" : "no");
                    });
    }

    void sendScale(const ScaleCall &call, Duration sentAt)
    {
        const DutyHolder holder {settings.holder, lease.number()};
        client.send(codec.encodeScale(holder, call), "autoscale", sentAt,
                    [weak = weak_from_this(), holder, call](DutyCallOutcome outcome,
                                                            std::uint32_t status) {
                        const auto self = weak.lock();
                        if (!self)
                            return;
                        const bool accepted = outcome == DutyCallOutcome::Accepted;
                        EventLog(accepted ? "scale_sent" : "scale_not_sent",
                                 accepted ? EventLevel::Info : EventLevel::Warning)
                                .field("service", call.service)
                                .field("zone", call.availabilityZone)
                                .field("desired", call.desired)
                                .field("number", holder.number)
                                .field("outcome", nameOf(outcome))
                                .field("status", status);
                        if (self->lease.number() == holder.number)
                            self->scaleDuty->callEnded(call, accepted, self->now());
                    });
    }

    RowStore &store;
    const DutyCodec &codec;
    DutyState &state;
    const DutyRunnerSettings settings;
    Metrics &metrics;
    const Duration callTimeout;
    asio::steady_timer timer;
    DutyLease lease;
    UsageDuty usage;
    DutyClient client;
    std::unique_ptr<ScaleDuty> scaleDuty;
    std::vector<ScaleCall> scaleCalls; // due ones, the next one last
    Duration scaleAt {};               // when calls are decided again
    std::optional<Duration> heldAt;    // latest time
    std::uint64_t ownNumber = 0;       // the latest one
    std::uint64_t loggedNumber = 0;
    bool loggedHandedOver = false;
    bool stopping = false;
    bool leaseStopped = false;

    // For the metrics, which are read on another thread.
    std::atomic<bool> held {false};
    std::atomic<std::uint64_t> latestNumber {0};
    std::atomic<std::int64_t> acquiredAtMicros {0};
    std::atomic<std::int64_t> termEndMicros {0};
    std::atomic<std::size_t> pendingWindows {0};
    std::atomic<std::uint64_t> skippedWindows {0};
};

DutyRunner::DutyRunner(asio::io_context &context, RowStore &store, const DutyCodec &codec,
                       DutyState &state, const DutyRunnerSettings &settings, Metrics &metrics)
    : d(std::make_shared<Private>(context, store, codec, state, settings, metrics))
{
    d->addMetrics();
}

DutyRunner::~DutyRunner() = default;

void DutyRunner::setScaleDuty(std::unique_ptr<ScaleDuty> duty)
{
    d->scaleDuty = std::move(duty);
}

void DutyRunner::start()
{
    d->tick();
}

void DutyRunner::stop()
{
    d->stopping = true;
}

void DutyRunner::storeEraRead(std::uint64_t era)
{
    d->lease.eraRead(era, d->now());
    d->handleChanges();
}

} // namespace cornelshed
