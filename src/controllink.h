// Interface through which an entry daemon's traffic threads call the control thread. Tests supply a
// fake implementation.

#ifndef CORNELSHED_CONTROLLINK_H
#define CORNELSHED_CONTROLLINK_H

#include "controlthread.h"
#include "types.h"

namespace cornelshed {

// The functions correspond to those of ControlThread and may be called from any thread. There is no
// counterpart of ControlThread::agentLeaving(): agents tell the scheduler themselves that they are
// leaving, and it tracks this per incarnation. The control thread would exclude the name, and
// with it an agent that is restarted under the same name.
class ControlLink
{
public:
    virtual ~ControlLink() = default;
    virtual void claim(const ClaimKey &key, RequestId request, std::uint64_t bodyDigest,
                       ControlThread::ClaimCallback callback) = 0;
    virtual void finishClaim(const ClaimKey &key, RequestId request, StoredResponse answer) = 0;
    virtual void releaseClaim(const ClaimKey &key, RequestId request) = 0;
    virtual void recordOutcome(const ReportOutcome &outcome) = 0;
    virtual void recordEndedRequest(const EndedRequest &ending) = 0;
};

} // namespace cornelshed

#endif // CORNELSHED_CONTROLLINK_H
