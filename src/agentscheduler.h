// Decision part of an agent. It queues the reservations of all entry daemons by tier, grants places
// as the backend server bears them, and accepts each dispatch once. It does no input or output:
// every call takes an event and the time and returns the actions to carry out, in order.

#ifndef CORNELSHED_AGENTSCHEDULER_H
#define CORNELSHED_AGENTSCHEDULER_H

#include "configuration.h"
#include "messages.h"
#include "types.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cornelshed {

struct AgentLimits
{
    std::uint32_t reservationLimit = 4096; // reservations queued at most
    std::uint32_t maximumConcurrency = 64; // requests on the server at most
    std::uint32_t coldConcurrency = 1;     // requests a cold server starts with
    std::uint64_t maximumOutstandingTokens = 400000;
    std::uint64_t coldOutstandingTokens = 8000;
    Duration grantHold = std::chrono::milliseconds(50);
    Duration loadReportInterval = std::chrono::seconds(10);
    Duration firstTokenTarget = std::chrono::milliseconds(480);
    Duration tokenIntervalTarget = std::chrono::milliseconds(27);

    bool operator==(const AgentLimits &) const = default;
};

// Name of an entry daemon's session, chosen by the shell, never reused by one agent incarnation.
using SessionId = std::uint64_t;

struct SendToEntry
{
    SessionId session = 0;
    AgentMessage message;

    bool operator==(const SendToEntry &) const = default;
};

// Start the dispatched request on the backend server; exactly one engine end event must follow.
struct StartOnServer
{
    SessionId session = 0;
    Dispatch dispatch;

    bool operator==(const StartOnServer &) const = default;
};

struct CancelOnServer
{
    RequestId request;

    bool operator==(const CancelOnServer &) const = default;
};

using AgentAction = std::variant<SendToEntry, StartOnServer, CancelOnServer>;
using AgentActions = std::vector<AgentAction>;

class AgentScheduler
{
public:
    // identity describes this agent; its load field is ignored. tiers give the starvation floors.
    AgentScheduler(const AgentLimits &limits, const Welcome &identity,
                   const std::vector<TierSettings> &tiers);
    ~AgentScheduler();
    AgentScheduler(AgentScheduler &&) noexcept;
    AgentScheduler &operator=(AgentScheduler &&) noexcept;

    // Tier settings, and whether the agent's availability zone is withdrawn, may change at any
    // time.
    AgentActions setConfiguration(const Configuration &configuration, Instant now);

    AgentActions sessionOpened(SessionId session, const Hello &hello, Instant now);

    // The entry daemon is gone: its reservations and grants are dropped, its running work
    // cancelled.
    AgentActions sessionClosed(SessionId session, Instant now);

    // Any entry message but Hello and ConfigurationNotice.
    AgentActions handle(SessionId session, const EntryMessage &message, Instant now);

    // Events of the backend server for a started request.
    AgentActions firstToken(RequestId request, Instant now);
    AgentActions tokens(RequestId request, std::uint64_t count, Instant now);
    AgentActions serverFinished(RequestId request, const Usage &usage, Instant now);

    // notRun only if the request never reached the server (for example: connection refused).
    AgentActions serverFailed(RequestId request, FailReason reason, bool notRun, Instant now);

    // The backend server answers its health probe again (true) or no longer (false). A server that
    // comes back is cold.
    AgentActions serverReachable(bool reachable, Instant now);

    AgentActions tick(Instant now);
    Instant nextWake() const;

    // Takes no new work: queued reservations are rejected, what runs is finished.
    AgentActions beginShutdown(Instant now);

    // True once nothing is granted or running.
    bool idle() const;
    LoadReport load() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_AGENTSCHEDULER_H
