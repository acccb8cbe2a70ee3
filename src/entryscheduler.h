// Request scheduler of an entry daemon. A request waits until the agent of a backend server grants
// it a place there. It is dispatched again only if that agent reports that it did not run, so no
// request runs more than once. The scheduler does no I/O: each call takes an event and the current
// time, and returns the actions that its owner has to execute, in order.
//
// Example:
//     EntryScheduler scheduler(limits, view, random);
//     for (const EntryAction &it : scheduler.submit(arrival, now))
//         execute(it);

#ifndef CORNELSHED_ENTRYSCHEDULER_H
#define CORNELSHED_ENTRYSCHEDULER_H

#include "configuration.h"
#include "messages.h"
#include "statechart.h"
#include "types.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cornelshed {

struct EntryLimits
{
    std::uint32_t reservationCount = 3; // usual number of concurrent reservations of a request
    std::uint32_t waitingRequestLimit = 4096;
    double retryBudgetShare = 0.1;       // retries allowed for each first dispatch
    std::uint32_t retryBudgetBurst = 16; // most unused retries that accumulate
    double ejectedShareLimit = 0.34;     // largest share of a pool's servers that may be ejected
    // Least time between the predicted end of a request and its deadline.
    Duration answerMargin = std::chrono::milliseconds(5);

    bool operator==(const EntryLimits &) const = default;
};

// Immutable snapshot of the routing state, which the control thread replaces as a whole.
struct RoutingView
{
    std::shared_ptr<const Configuration> configuration;
    // Names of the backend servers that the platform's host list or their own agents report as
    // leaving.
    std::vector<std::string> leavingServers;

    // Share of the requests on a rollout's routes that go to its new version. Each entry daemon
    // applies the share to its own requests.
    struct VersionShare
    {
        std::string rollout;
        std::string pool;
        std::string fromVersion;
        std::string toVersion;
        std::vector<std::string> routes; // empty: all
        double share = 0;                // in [0, 1]
        bool rolledBack = false;         // rolled back: toVersion gets no new requests

        bool operator==(const VersionShare &) const = default;
    };
    std::vector<VersionShare> versionShares;
};

// A validated request of a caller. The scheduler's owner keeps its body until a Dispatch needs it.
struct RequestArrival
{
    RequestId request;
    std::string organisation;
    std::uint32_t organisationWeight = 1;
    TierRank tier = 0;
    std::string route;
    std::string model; // empty for plain services
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0; // estimated
    Instant deadline;
    std::vector<std::uint64_t> prefixHashes; // shortest prefix first
    std::uint32_t prefixTokensPerHash = 0;   // tokens by which each prefix extends the previous one

    bool operator==(const RequestArrival &) const = default;
};

enum class NotRunReason {
    NoBackendServer,     // no available backend server serves the route and model
    WaitingLimit,        // shed because too many requests are waiting
    DeadlineUnreachable, // predicted to miss its deadline
    DeadlinePassed,      // no grant arrived by the latest possible start
    RetryBudget,         // an agent reported it as not run, and it cannot be retried
    ShuttingDown,
    CallerGone
};

enum class UnknownReason { SessionLost, EngineError, StreamCut, DeadlinePassed, CallerGone };

// Final outcomes of a request. Exactly one Ending is returned for each submitted request.
struct Answered
{
    Usage usage;

    bool operator==(const Answered &) const = default;
};

// The request did not run, so the caller can safely send it again.
struct NotRun
{
    NotRunReason reason = NotRunReason::NoBackendServer;
    Duration retryAfter {};

    bool operator==(const NotRun &) const = default;
};

// The request may have run, in part or as a whole.
struct Unknown
{
    UnknownReason reason = UnknownReason::SessionLost;

    bool operator==(const Unknown &) const = default;
};

using Ending = std::variant<Answered, NotRun, Unknown>;

// Sends a message to an agent. In a Dispatch, the scheduler's owner fills in the method, path,
// headers and body.
struct SendToAgent
{
    BackendServerId backendServer;
    EntryMessage message;

    bool operator==(const SendToAgent &) const = default;
};

struct EndRequest
{
    RequestId request;
    Ending ending;

    bool operator==(const EndRequest &) const = default;
};

// Outcome of one dispatch, from which rollouts are judged and service-level burn is counted
// (burn.h).
struct ReportOutcome
{
    BackendServerId backendServer;
    std::string version;
    std::string route;
    std::string organisation;
    TierRank tier = 0;
    bool failed = false;
    bool inTime = false;
    Usage usage;

    bool operator==(const ReportOutcome &) const = default;
};

using EntryAction = std::variant<SendToAgent, EndRequest, ReportOutcome>;
using EntryActions = std::vector<EntryAction>;

class PlacementPolicy;

// Optional replacements of the scheduler's default components.
struct EntryParts
{
    EntryParts();
    ~EntryParts();
    EntryParts(EntryParts &&) noexcept;
    EntryParts &operator=(EntryParts &&) noexcept;

    std::optional<StateChart> requestChart;     // absent: defaultRequestChart()
    std::unique_ptr<PlacementPolicy> placement; // null: ScoredPlacement
};

class EntryScheduler
{
public:
    // `random` must outlive the scheduler.
    EntryScheduler(const EntryLimits &limits, std::shared_ptr<const RoutingView> view,
                   RandomSource &random);
    EntryScheduler(const EntryLimits &limits, std::shared_ptr<const RoutingView> view,
                   RandomSource &random, EntryParts parts);
    ~EntryScheduler();
    EntryScheduler(EntryScheduler &&) noexcept;
    EntryScheduler &operator=(EntryScheduler &&) noexcept;

    EntryActions setView(std::shared_ptr<const RoutingView> view, Instant now);

    // A session with an agent was opened; its Welcome describes the backend server.
    EntryActions connected(const Welcome &welcome, Instant now);

    // The session was lost. Requests dispatched over it that have not ended become Unknown.
    EntryActions disconnected(const BackendServerId &backendServer, Instant now);

    EntryActions submit(const RequestArrival &arrival, Instant now);

    // The caller closed its connection. A waiting request ends as NotRun; a dispatched one is
    // cancelled and ends as Unknown.
    EntryActions callerDisconnected(RequestId request, Instant now);

    // The answer of a dispatched request exceeds a limit of this daemon: the request is cancelled
    // and ends as Unknown. serverFault: counts as a failure of the backend server.
    EntryActions answerOverLimit(RequestId request, bool serverFault, Instant now);

    // Processes any agent message but Welcome. Chunks and response heads need not be passed in,
    // except the first chunk of each request: it shows that the request has run, and that its
    // prompt prefixes are cached now.
    EntryActions handle(const BackendServerId &from, const AgentMessage &message, Instant now);

    // Runs the timers that are due. Must be called at nextWakeTime() or soon after.
    EntryActions tick(Instant now);
    Instant nextWakeTime() const;

    // From now on, new requests are refused. Waiting and dispatched ones proceed as usual.
    void beginShutdown();

    std::size_t waitingCount() const;
    std::size_t dispatchedCount() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_ENTRYSCHEDULER_H
