// Scheduling logic of an agent. Queues the reservations of all entry daemons by tier, grants slots
// within the capacity of the backend server, and accepts each dispatch at most once. Performs no
// I/O: each call takes an event and the current time, and returns the actions to execute in order.

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
    std::uint32_t reservationLimit = 4096; // queued reservations
    std::uint32_t maximumConcurrency = 64; // concurrent requests on the server
    std::uint32_t coldConcurrency = 1;     // concurrent requests on a cold server
    std::uint64_t maximumOutstandingTokens = 400000;
    std::uint64_t coldOutstandingTokens = 8000;
    Duration grantHoldTime = std::chrono::milliseconds(50);
    Duration loadReportInterval = std::chrono::seconds(10);
    Duration firstTokenTarget = std::chrono::milliseconds(480);
    Duration tokenIntervalTarget = std::chrono::milliseconds(27);

    bool operator==(const AgentLimits &) const = default;
};

// Identifies the session of an entry daemon. Chosen by the owner of the AgentScheduler and never
// reused within one agent incarnation.
using SessionId = std::uint64_t;

struct SendToEntry
{
    SessionId session = 0;
    AgentMessage message;

    bool operator==(const SendToEntry &) const = default;
};

// Start the dispatched request on the backend server. Exactly one call of serverFinished() or
// serverFailed() must follow for it.
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
    // identity describes this agent; its load field is ignored. tiers contains the minimum share of
    // grants of each tier.
    AgentScheduler(const AgentLimits &limits, const Welcome &identity,
                   const std::vector<TierSettings> &tiers);
    ~AgentScheduler();
    AgentScheduler(AgentScheduler &&) noexcept;
    AgentScheduler &operator=(AgentScheduler &&) noexcept;

    // Applies the settings of the tiers, of the agent's pool and of its availability zone. May be
    // called at any time.
    AgentActions setConfiguration(const Configuration &configuration, Instant now);

    AgentActions sessionOpened(SessionId session, const Hello &hello, Instant now);

    // Call when the entry daemon is gone. Drops its reservations and grants, and cancels its
    // running requests.
    AgentActions sessionClosed(SessionId session, Instant now);

    // Handles any entry message except Hello and ConfigurationNotice, which are ignored.
    AgentActions handle(SessionId session, const EntryMessage &message, Instant now);

    // Report the progress and completion of a started request on the backend server. count is the
    // number of tokens since the previous call.
    AgentActions firstToken(RequestId request, Instant now);
    AgentActions tokens(RequestId request, std::uint64_t count, Instant now);
    AgentActions serverFinished(RequestId request, const Usage &usage, Instant now);

    // notRun may be set only if the request never reached the server, for example because the
    // connection was refused.
    AgentActions serverFailed(RequestId request, FailReason reason, bool notRun, Instant now);

    // Call when the backend server starts or stops answering its health probe. A server that
    // becomes reachable again is treated as cold.
    AgentActions serverReachable(bool reachable, Instant now);

    // Processes expired timers. Call at the time that nextWakeTime() returns, at the latest.
    AgentActions tick(Instant now);
    Instant nextWakeTime() const;

    // Stops accepting work. Queued reservations are rejected, running requests are completed.
    AgentActions beginShutdown(Instant now);

    // True if there are no live grants and no running requests.
    bool idle() const;
    LoadReport load() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_AGENTSCHEDULER_H
