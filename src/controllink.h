// What the traffic side of an entry daemon asks of its control side. The daemon connects it to the
// control thread; tests give a double.

#ifndef CORNELSHED_CONTROLLINK_H
#define CORNELSHED_CONTROLLINK_H

#include "controlthread.h"
#include "types.h"

namespace cornelshed {

// The members mean the same as those of ControlThread and are safe from any thread. Agents that
// leave are not reported: the scheduler learns it from them by incarnation, while the control
// thread would block the name, and with it an agent that is restarted under it.
class ControlLink
{
public:
    virtual ~ControlLink() = default;
    virtual void claim(const ClaimKey &key, RequestId request, std::uint64_t bodyDigest,
                       ControlThread::ClaimCallback callback) = 0;
    virtual void finishClaim(const ClaimKey &key, RequestId request, StoredAnswer answer) = 0;
    virtual void releaseClaim(const ClaimKey &key, RequestId request) = 0;
    virtual void recordOutcome(const ReportOutcome &outcome) = 0;
    virtual void recordEnding(const RequestEnding &ending) = 0;
};

} // namespace cornelshed

#endif // CORNELSHED_CONTROLLINK_H
