// Runs the duties of one gateway at a time on the control thread: keeps the lease through the
// store, fixes and sends usage, and sends the numbers of servers.

#ifndef CORNELSHED_DUTYRUNNER_H
#define CORNELSHED_DUTYRUNNER_H

#include "dutycalls.h"
#include "dutystate.h"
#include "metrics.h"
#include "rowstore.h"
#include "types.h"

#include <cstdint>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace cornelshed {

struct DutyRunnerSettings
{
    std::string holder; // name of this gateway
    std::uint64_t incarnation = 0;
    std::string address; // of the platform's endpoints
    std::uint16_t port = 0;
    bool reportsUsage = false;
    bool scales = false;
    double callsPerSecond = 50;
    Duration lease = std::chrono::milliseconds(3000);
    Duration thaw = std::chrono::milliseconds(300);
    Duration window = std::chrono::seconds(5);
    Duration usageLate = std::chrono::seconds(10);

    bool operator==(const DutyRunnerSettings &) const = default;
};

class DutyRunner
{
public:
    // All references must outlive the runner. Everything runs on the thread of the context, except
    // the metrics' functions.
    DutyRunner(boost::asio::io_context &context, RowStore &store, const DutyCodec &codec,
               DutyState &state, const DutyRunnerSettings &settings, Metrics &metrics);
    ~DutyRunner();
    DutyRunner(const DutyRunner &) = delete;
    DutyRunner &operator=(const DutyRunner &) = delete;

    // Without it, no numbers of servers are set. Called before start().
    void setScaleDuty(std::unique_ptr<ScaleDuty> duty);

    void start();

    // Stops for good, and hands the duties over if that is safe.
    void stop();

    // The store stated a later era. To be called before the callback of that call of the store.
    void storeEraRead(std::uint64_t era);

private:
    class Private;
    std::shared_ptr<Private> d; // shared with the handlers of the io_context
};

} // namespace cornelshed

#endif // CORNELSHED_DUTYRUNNER_H
