// Liveness of one backend server and of the admission agent on its host. When the agent stops
// responding, the backend server may be frozen or cut off as well. All gateways together then probe
// it with one request at a time: they take turns and report the result to each other, because a
// request that a frozen host accepts reaches its engine long after the caller has left.

#ifndef CORNELSHED_BACKENDLIVENESS_H
#define CORNELSHED_BACKENDLIVENESS_H

#include "types.h"

#include <cstdint>
#include <optional>

namespace cornelshed {

// What a gateway reports to its peers about a backend server.
enum class ReportedLiveness : std::uint8_t {
    None,        // nothing to report: its agent responds, or it was not probed without the agent
    Responsive,  // it responds without its agent
    Unresponsive // a probe is in progress, or the last one got no response
};

class BackendLiveness
{
public:
    void agentResponded(Instant now);
    void agentUnanswered(Instant now); // a slot request and its repetition were not answered

    // Whether slots are to be requested from the agent; an agent that has never responded is taken
    // as absent.
    bool hasAgent(Instant now) const;
    bool hadAgent() const;

    // Own requests on the backend server. Each started one is then reported exactly once: as never
    // sent, as responded to (first event, or any answer) or as unanswered. timedOut: no response
    // arrived in time, as opposed to a caller that left or a connection that broke.
    void requestStarted();
    void requestNeverSent();
    void responseReceived(Instant now);
    void requestUnanswered(bool timedOut, Instant now);
    void streamTimedOut(Instant now); // no further event arrived in time after the first

    void peerReported(ReportedLiveness report, Instant now);
    ReportedLiveness ownReport(Instant now) const;

    // Whether the backend server may be unresponsive, so that it must get no further request
    // without a grant of its agent. probeDelay: time from the last missing response to this
    // gateway's turn to probe; unresponsiveReports: number of peers whose last report says that the
    // backend server does not respond.
    bool mayBeUnresponsive(Duration probeDelay, std::uint32_t unresponsiveReports,
                           Instant now) const;

private:
    bool isAgentLost(Instant now) const;
    void startBackoff(Instant now);

    std::optional<Instant> m_agentHeardAt;
    bool m_agentTimedOut = false; // slot requests since m_agentHeardAt were not answered
    Instant m_agentBackoffUntil = Instant::min(); // no slot is requested before
    Instant m_backoffUntil = Instant::min();      // a request got no response; none is sent before
    // The last missing response of the agent, or the end of the backoff after the last failed
    // probe.
    Instant m_probeDelayStart = Instant::min();
    bool m_respondsWithoutAgent = false; // responded since m_probeDelayStart, here or to a peer
    std::uint32_t m_unansweredCount = 0; // own requests without a response so far
};

} // namespace cornelshed

#endif // CORNELSHED_BACKENDLIVENESS_H
