// Reads the configuration, operators' orders and the registries of backend servers and gateways
// from the row store, and publishes a complete new DeploymentState after each change. Polls for
// changes instead of holding a long watch: each response proves that the copy is fresh, whereas a
// watch without events proves nothing. Runs on the control thread.

#ifndef CORNELSHED_DEPLOYMENTWATCHER_H
#define CORNELSHED_DEPLOYMENTWATCHER_H

#include "deploymentstate.h"
#include "freshness.h"
#include "rowstore.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace cornelshed {

struct WatcherSettings
{
    Duration ordersInterval = std::chrono::milliseconds(450);
    Duration backendsInterval = std::chrono::milliseconds(450);
    Duration gatewaysInterval = std::chrono::seconds(5);
    Duration retryInterval = std::chrono::milliseconds(150); // after the first failed call
    Duration statusesInterval = std::chrono::seconds(1);     // only while there are rollouts
    // After a return of the store from an older copy, operators write their orders again within
    // this time; those that the copy lacks hold until then.
    Duration orderGracePeriod = std::chrono::seconds(5);

    bool operator==(const WatcherSettings &) const = default;
};

// Callbacks of the watcher, called on the control thread.
struct WatcherEvents
{
    std::function<void(std::shared_ptr<const DeploymentState>)> stateChanged;

    // A table was read. Changes found by this read were published through stateChanged before.
    std::function<void(RowTable table, const ReadProof &proof)> tableRead;

    // Returns when the copy of the table was last proven fresh by a read of this gateway or of a
    // peer, as time since boot. Called to decide whether a read is due.
    std::function<Duration(RowTable table)> provenAt;

    // A call to the store completed; outcome is "answered" or the name of the error.
    std::function<void(const char *outcome)> storeCallCompleted;

    // The store stated a later era of its history than before (see RowStore::EraHandler).
    std::function<void(std::uint64_t era)> eraRead;
};

class DeploymentWatcher
{
public:
    // The store and the codec must outlive the watcher.
    DeploymentWatcher(boost::asio::io_context &context, RowStore &store, const RowCodec &codec,
                      const WatcherSettings &settings, WatcherEvents events);
    ~DeploymentWatcher();
    DeploymentWatcher(const DeploymentWatcher &) = delete;
    DeploymentWatcher &operator=(const DeploymentWatcher &) = delete;

    // Registers this gateway in the store and starts reading the tables.
    void start(const GatewayRecord &self);

    // Reads the changes of the table at once, because a peer has reported one that is not applied
    // here.
    void readChangesNow(RowTable table);

    // Writes the status of a rollout if its row is still at status.position, then reads the table
    // again. The outcome is visible in the next published state.
    void writeStatus(const RolloutStatus &status);

    // Writes the quarantined prompts with their ages, unless the store has not stated its time yet.
    void writeQuarantine(const std::vector<QuarantineAge> &prompts);

    // extraDelay: how much longer than the interval this gateway waits before a read, so that a
    // peer usually reads first and its proof is shared. promptedInterval: minimum time between two
    // reads of one table that readChangesNow() causes.
    void setReadPacing(Duration extraDelay, Duration promptedInterval);

private:
    class Private;
    std::shared_ptr<Private> d; // shared with the handlers of the io_context
};

} // namespace cornelshed

#endif // CORNELSHED_DEPLOYMENTWATCHER_H
