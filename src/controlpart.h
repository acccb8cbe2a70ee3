// Interface of the modules that run on the control thread in addition to configuration distribution
// and idempotency claims, such as rollouts and service-level burn counts. All calls are made on the
// control thread.

#ifndef CORNELSHED_CONTROLPART_H
#define CORNELSHED_CONTROLPART_H

#include "controlthread.h"
#include "entryscheduler.h"
#include "table.h"
#include "types.h"

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace cornelshed {

// Services that the control thread offers to its parts. Outlives the parts.
class ControlPartHost
{
public:
    virtual ~ControlPartHost() = default;

    virtual PlatformTable &table() = 0;
    virtual RandomSource &random() = 0;
    virtual Instant now() const = 0;

    // Names of the other entry daemons in the platform's host list.
    virtual const std::vector<std::string> &peers() const = 0;

    // Sends a message to the part with this name on the peer, which gets it through
    // messageReceived(). Delivery is not guaranteed.
    virtual void sendToPeer(const std::string &peer, const std::string &part,
                            const std::string &payload) = 0;

    // Publishes a new view with the current decisions of all parts.
    virtual void viewChanged() = 0;

    // Restarts the timer after a table callback has changed nextWakeTime().
    virtual void reschedule() = 0;
};

class ControlPart
{
public:
    virtual ~ControlPart() = default;

    // Addresses the part in messages between peers.
    virtual std::string name() const = 0;

    virtual void configurationInstalled(const std::shared_ptr<const Configuration> &configuration,
                                        Instant now) = 0;
    virtual void outcomeRecorded(const ReportOutcome &outcome, Instant now) = 0;
    virtual void requestEnded(const EndedRequest &ending, Instant now) = 0;
    virtual void messageReceived(const std::string &peer, const std::string &payload,
                                 Instant now) = 0;

    // Adds the part's decisions, such as version shares, to a view before it is published.
    virtual void addToView(RoutingView &view) const = 0;

    virtual void wake(Instant now) = 0;
    virtual Instant nextWakeTime() const = 0; // instantNever: no timer needed
};

// A state chart file that a part needs is missing or invalid.
class ControlPartError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// Creates the parts that an entry daemon runs. host must outlive them. Throws ControlPartError;
// daemons validate their charts earlier, so this happens only if a file has changed since.
std::vector<std::unique_ptr<ControlPart>> makeControlParts(ControlPartHost &host,
                                                           const ControlSettings &settings);

} // namespace cornelshed

#endif // CORNELSHED_CONTROLPART_H
