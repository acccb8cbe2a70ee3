// A part of the control thread beside the spread of the configuration and the claims, such as
// rollouts, leases and burn counts. All calls come from the control thread.

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

// What the control thread gives to a part; valid for the part's whole life.
class ControlPartHost
{
public:
    virtual ~ControlPartHost() = default;

    virtual PlatformTable &table() = 0;
    virtual RandomSource &random() = 0;
    virtual Instant now() const = 0;

    // Names of the other entry daemons in the host list.
    virtual const std::vector<std::string> &peers() const = 0;

    // Calls messageReceived of the part with this name at the peer; the message may get lost.
    virtual void sendToPeer(const std::string &peer, const std::string &part,
                            const std::string &payload) = 0;

    // Publishes a view with new contributions of the parts.
    virtual void viewChanged() = 0;

    // Calls wake at nextWake() again; needed after a callback of the table has changed it.
    virtual void reschedule() = 0;
};

class ControlPart
{
public:
    virtual ~ControlPart() = default;

    // Names the part in messages between peers.
    virtual std::string name() const = 0;

    virtual void configurationInstalled(const std::shared_ptr<const Configuration> &configuration,
                                        Instant now) = 0;
    virtual void outcomeRecorded(const ReportOutcome &outcome, Instant now) = 0;
    virtual void endingRecorded(const RequestEnding &ending, Instant now) = 0;
    virtual void messageReceived(const std::string &peer, const std::string &payload,
                                 Instant now) = 0;

    // Adds what the part decides, such as version shares, to a view to be published.
    virtual void contribute(RoutingView &view) const = 0;

    virtual void wake(Instant now) = 0;
    virtual Instant nextWake() const = 0; // instantNever: no timer is needed
};

// A state chart that a part needs is missing or wrong.
class ControlPartError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// The parts that an entry daemon runs. host outlives them. Throws ControlPartError; daemons check
// their charts before, so that only a file that changed since then can cause it.
std::vector<std::unique_ptr<ControlPart>> makeControlParts(ControlPartHost &host,
                                                           const ControlSettings &settings);

} // namespace cornelshed

#endif // CORNELSHED_CONTROLPART_H
