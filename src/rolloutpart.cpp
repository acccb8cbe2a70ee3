// The next stage of a rollout is written by the lease holder, conditional on the row version that
// it last read. A rollback takes effect on this daemon at once, is sent to all peers directly, and
// is written to the table as soon as the table is available.

#include "rolloutpart.h"

#include "eventlog.h"
#include "rollout.h"
#include "rolloutrecords.h"
#include "tablelease.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <utility>

namespace cornelshed {

namespace {

constexpr const char *partName = "rollouts";

std::string progressKey(const std::string &rollout)
{
    return "rollout/" + rollout;
}

std::string eventKey(const std::string &rollout)
{
    return "event/rollout/" + rollout;
}

// Operators give deadlines as wall-clock times. They are converted to this daemon's monotonic clock
// when a configuration is installed.
std::int64_t epochSeconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(now).count();
}

LeaseSettings leaseSettings(const RolloutPartSettings &settings)
{
    LeaseSettings lease;
    lease.name = "moves";
    lease.holder = settings.entryName + "#" + std::to_string(settings.entryIncarnation);
    return lease;
}

} // namespace

class RolloutPart final : public ControlPart
{
public:
    RolloutPart(ControlPartHost &host, RolloutPartSettings settings, StateChart rolloutChart,
                StateChart leaseChart)
        : m_host(host), m_settings(std::move(settings)),
          m_controller(std::move(rolloutChart), RolloutPolicy {}, leaseSettings(m_settings).holder),
          m_lease(host, std::move(leaseChart), leaseSettings(m_settings)),
          m_alive(std::make_shared<int>())
    { }

    std::string name() const override { return partName; }

    void configurationInstalled(const std::shared_ptr<const Configuration> &configuration,
                                Instant now) override
    {
        std::vector<RolloutPlan> plans;
        for (const RolloutSettings &it : configuration->rollouts) {
            const std::chrono::seconds remaining(it.deadlineEpochSeconds - epochSeconds());
            plans.push_back({it, now + remaining});
        }
        m_controller.setPlans(plans, now);
        m_hasPlans = !plans.empty();
        m_nextRead = now;
        m_nextTick = now;
        publishIfChanged();
    }

    void outcomeRecorded(const ReportOutcome &outcome, Instant /*now*/) override
    {
        if (m_hasPlans)
            m_controller.recordOutcome(outcome);
    }

    void requestEnded(const EndedRequest & /*ending*/, Instant /*now*/) override { }

    void messageReceived(const std::string &peer, const std::string &payload, Instant now) override
    {
        const auto gossip = parseGossip(payload);
        if (!gossip.has_value()) {
            EventLog("malformed_message", EventLevel::Warning).field("peer", peer);
            return;
        }
        m_controller.mergeEvidence(gossip->evidence);
        for (const auto &[rollout, progress] : gossip->progress)
            merge(rollout, progress, now, "peer");
        publishIfChanged();
    }

    void addToView(RoutingView &view) const override { view.versionShares = m_controller.shares(); }

    void wake(Instant now) override
    {
        if (!m_hasPlans)
            return;
        m_lease.wake(now);
        if (now >= m_nextRead)
            readRows(now);
        if (now >= m_nextTick)
            tick(now);
        if (now >= m_nextGossip)
            gossip(now);
    }

    Instant nextWakeTime() const override
    {
        if (!m_hasPlans)
            return instantNever;
        return std::min({m_lease.nextWakeTime(), m_nextRead, m_nextTick, m_nextGossip});
    }

private:
    // Wraps the callback of a table call: it does nothing if this part has been destroyed by then.
    template<typename Function> auto ifAlive(Function function)
    {
        return [weak = std::weak_ptr<int>(m_alive), function = std::move(function)](auto result) {
            if (!weak.expired())
                function(std::move(result));
        };
    }

    void tick(Instant now)
    {
        m_nextTick = now + m_settings.tickInterval;
        const bool held = m_lease.held(now);
        for (const RolloutAction &it : m_controller.tick(now, held, m_lease.fencing()))
            std::visit([&](const auto &action) { perform(action, now); }, it);
        storeEndedRollouts();
        publishIfChanged();
    }

    void perform(const WriteProgress &action, Instant now)
    {
        if (m_pendingWrites.count(action.rollout) != 0 || m_rowVersions.count(action.rollout) == 0)
            return;
        writeRow(action.rollout, action.progress, m_lease.held(now) ? action.fencing : 0);
    }

    void perform(const AnnounceProgress &action, Instant now)
    {
        EventLog("rollout_rolled_back", EventLevel::Warning)
                .field("rollout", action.rollout)
                .field("reason", action.progress.reason);
        RolloutGossip message;
        message.progress.emplace(action.rollout, action.progress);
        const std::string payload = formatGossip(message);
        for (const std::string &it : m_host.peers())
            m_host.sendToPeer(it, partName, payload);
        m_nextGossip = now;
    }

    void writeRow(const std::string &rollout, const RolloutProgress &progress,
                  std::uint64_t fencing)
    {
        const std::string key = progressKey(rollout);
        TableTransaction transaction;
        transaction.conditions = {{key, m_rowVersions[rollout]}};
        transaction.writes = {{key, formatProgress(progress, fencing)}};
        m_pendingWrites.insert(rollout);
        m_host.table().transact(transaction, ifAlive([this, rollout, progress](auto error) {
                                    m_pendingWrites.erase(rollout);
                                    // This write or a conflicting one has changed the row's
                                    // version.
                                    m_nextRead = m_host.now();
                                    if (!error.has_value())
                                        merge(rollout, progress, m_host.now(), "table");
                                    publishIfChanged();
                                    m_host.reschedule();
                                }));
    }

    // Writes rollout ends that were decided here or received from peers to the table. Operators are
    // notified once the table has the end.
    void storeEndedRollouts()
    {
        for (const auto &[rollout, progress] : m_controller.progress()) {
            if (progress.end == RolloutEnd::Open || m_rowVersions.count(rollout) == 0)
                continue;
            const auto stored = m_storedProgress.find(rollout);
            const bool isStored =
                    stored != m_storedProgress.end() && stored->second.end == progress.end;
            if (!isStored && m_pendingWrites.count(rollout) == 0)
                writeRow(rollout, progress, 0);
            else if (isStored && m_notifiedEnds.insert(rollout).second)
                notifyOperators(rollout, progress);
        }
    }

    void notifyOperators(const std::string &rollout, const RolloutProgress &progress)
    {
        TableTransaction transaction;
        transaction.conditions = {{eventKey(rollout), 0}};
        transaction.writes = {
                {eventKey(rollout), formatRolloutEvent(rollout, progress, m_settings.entryName)}};
        m_host.table().transact(transaction, ifAlive([this, rollout](auto error) {
                                    // On a conflict another daemon has already notified them; other
                                    // errors are retried.
                                    if (error.has_value()
                                        && error->kind != TableErrorKind::Conflict)
                                        m_notifiedEnds.erase(rollout);
                                }));
    }

    void readRows(Instant now)
    {
        m_nextRead = now + m_settings.readInterval;
        m_host.table().scan("rollout/", ifAlive([this](auto rows) {
                                if (const auto *found = std::get_if<TableRows>(&rows))
                                    rowsRead(*found);
                                m_host.reschedule();
                            }));
    }

    void rowsRead(const TableRows &rows)
    {
        for (const auto &[rollout, ignored] : m_controller.progress()) {
            const auto it = rows.find(progressKey(rollout));
            m_rowVersions[rollout] = it == rows.end() ? 0 : it->second.version;
            if (it == rows.end())
                continue;
            if (const auto progress = parseProgress(it->second.value)) {
                m_storedProgress[rollout] = *progress;
                merge(rollout, *progress, m_host.now(), "table");
            }
        }
        publishIfChanged();
    }

    void merge(const std::string &rollout, const RolloutProgress &progress, Instant now,
               const char *source)
    {
        const auto before = m_controller.progress();
        m_controller.mergeProgress(rollout, progress, now);
        const auto after = m_controller.progress();
        if (before == after)
            return;
        const RolloutProgress &merged = after.at(rollout);
        EventLog("rollout_progress")
                .field("rollout", rollout)
                .field("stage", merged.stage)
                .field("end", rolloutEndName(merged.end))
                .field("source", source);
    }

    void gossip(Instant now)
    {
        m_nextGossip = now + m_settings.gossipInterval;
        const std::vector<std::string> &peers = m_host.peers();
        if (peers.empty())
            return;
        const std::string &peer = peers[m_host.random().below(peers.size())];
        const RolloutGossip message {m_controller.progress(), m_controller.evidence()};
        m_host.sendToPeer(peer, partName, formatGossip(message));
    }

    void publishIfChanged()
    {
        std::vector<RoutingView::VersionShare> shares = m_controller.shares();
        if (shares == m_published)
            return;
        m_published = std::move(shares);
        m_host.viewChanged();
    }

    ControlPartHost &m_host;
    RolloutPartSettings m_settings;
    RolloutController m_controller;
    TableLease m_lease;
    std::shared_ptr<int> m_alive; // expires when this part is destroyed
    bool m_hasPlans = false;
    std::map<std::string, std::uint64_t> m_rowVersions;      // as last read; no entry: never read
    std::map<std::string, RolloutProgress> m_storedProgress; // as last read
    std::set<std::string> m_pendingWrites;                   // rollouts with a write in progress
    std::set<std::string> m_notifiedEnds; // rollouts whose end was reported to the operators
    std::vector<RoutingView::VersionShare> m_published;
    Instant m_nextRead {};
    Instant m_nextTick {};
    Instant m_nextGossip {};
};

std::unique_ptr<ControlPart> makeRolloutPart(ControlPartHost &host,
                                             const RolloutPartSettings &settings,
                                             StateChart rolloutChart, StateChart leaseChart)
{
    return std::make_unique<RolloutPart>(host, settings, std::move(rolloutChart),
                                         std::move(leaseChart));
}

} // namespace cornelshed
