// Reads configuration, operators' orders and the registries of backend servers and gateways from
// the platform's rows, and tells each change as a whole new state. Reads changes by short periodic
// calls, because an answer proves freshness and a silent watch does not. Runs on the control
// thread.

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
    Duration retryInterval = std::chrono::milliseconds(150); // after a failed call
    Duration statusesInterval = std::chrono::seconds(1);     // while there are rollouts

    bool operator==(const WatcherSettings &) const = default;
};

// Called on the control thread.
struct WatcherEvents
{
    std::function<void(std::shared_ptr<const DeploymentState>)> changed;

    // A table was read, and what changed was told before.
    std::function<void(RowTable table, const ReadProof &proof)> read;

    // When the copy of the table was last proven fresh, by own reads or others, since boot; called
    // to decide whether a read is due.
    std::function<Duration(RowTable table)> provenAt;

    // A call of the store ended: "answered" or what it failed with.
    std::function<void(const char *outcome)> called;
};

class DeploymentWatcher
{
public:
    // store and codec must outlive the watcher.
    DeploymentWatcher(boost::asio::io_context &context, RowStore &store, const RowCodec &codec,
                      const WatcherSettings &settings, WatcherEvents events);
    ~DeploymentWatcher();
    DeploymentWatcher(const DeploymentWatcher &) = delete;
    DeploymentWatcher &operator=(const DeploymentWatcher &) = delete;

    // Registers this gateway and starts to read.
    void start(const GatewayRecord &self);

    // Reads the table at once; a peer knows a change that is not applied here.
    void readNow(RowTable table);

    // Writes the status of a rollout on condition that its row still has the version given with it,
    // and reads the table again; the outcome shows in the next state.
    void writeStatus(const RolloutStatus &status);

    // Time that this gateway leaves others to read first.
    void setDelay(Duration delay);

private:
    class Private;
    std::shared_ptr<Private> d; // shared with the handlers of the io_context
};

} // namespace cornelshed

#endif // CORNELSHED_DEPLOYMENTWATCHER_H
