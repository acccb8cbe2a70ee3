// Passes on to the scheduler what backend servers say of themselves in their answers, and logs and
// counts it. Runs on the traffic thread.

#ifndef CORNELSHED_BACKENDSTATEMENTS_H
#define CORNELSHED_BACKENDSTATEMENTS_H

#include "directscheduler.h"
#include "ingressprotocol.h"
#include "metrics.h"
#include "types.h"

#include <string>

namespace cornelshed::detail {

class BackendStatements
{
public:
    BackendStatements(DirectScheduler &scheduler, Metrics &metrics);

    // The head of an answer to the request arrived.
    void replyReceived(const RequestId &id, const std::string &backend, const BackendReply &reply);

private:
    void applyLimit(const std::string &backend, const BackendReply &reply, Instant now);

    DirectScheduler &m_scheduler;
    Counter &m_malformed;
    bool m_malformedLogged = false;
};

} // namespace cornelshed::detail

#endif // CORNELSHED_BACKENDSTATEMENTS_H
