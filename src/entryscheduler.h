// Decision part of an entry daemon. It keeps each request until an agent grants a place for it,
// hands it over at most once, and decides how each request ends. It does no input or output: every
// call takes an event and the time and returns the actions that the caller has to carry out, in
// order.
//
// Example:
//     EntryScheduler scheduler(limits, view, random);
//     for (const EntryAction &it : scheduler.submit(arrival, now))
//         carryOut(it);

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
    std::uint32_t reservationCount = 3; // agents asked at once for one request
    std::uint32_t waitingRequestLimit = 4096;
    double retryBudgetShare = 0.1;                        // second offers as a share of first ones
    std::uint32_t retryBudgetBurst = 16;                  // second offers allowed at once
    double ejectedShareLimit = 0.34;                      // share of candidates ejected at most
    Duration answerMargin = std::chrono::milliseconds(5); // kept between predicted end and deadline

    bool operator==(const EntryLimits &) const = default;
};

// What the control thread knows and the scheduler needs; replaced as a whole.
struct RoutingView
{
    std::shared_ptr<const Configuration> configuration;
    std::vector<std::string> leavingHosts; // by the platform's host list, names of backend servers

    // Share of requests for the rollout's routes that go to its new version, by every daemon alone.
    struct VersionShare
    {
        std::string rollout;
        std::string pool;
        std::string fromVersion;
        std::string toVersion;
        std::vector<std::string> routes; // empty: all
        double share = 0;                // in [0, 1]
        bool takenBack = false;          // nothing new goes to toVersion

        bool operator==(const VersionShare &) const = default;
    };
    std::vector<VersionShare> versionShares;
};

// A validated request of a caller. Its body stays with the shell until a Dispatch asks for it.
struct RequestArrival
{
    RequestId request;
    std::string organisation;
    std::uint32_t organisationWeight = 1;
    TierRank tier = 0;
    std::string route;
    std::string model; // empty for plain services
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0; // expected
    Instant deadline;
    std::vector<std::uint64_t> prefixHashes; // shortest prefix first
    std::uint32_t prefixTokensPerHash = 0;   // tokens that each further hash covers

    bool operator==(const RequestArrival &) const = default;
};

enum class NotRunReason {
    NoBackendServer,     // no candidate serves the route and model
    WaitingLimit,        // shed: too many requests wait
    DeadlineUnreachable, // cannot finish in time by the estimates
    DeadlinePassed,      // waited until the latest possible start
    RetryBudget,         // offered back by an agent, and no second offer is allowed
    ShuttingDown,
    CallerGone
};

enum class UnknownReason { SessionLost, EngineError, StreamCut, DeadlinePassed, CallerGone };

// The three ways a request ends; exactly one Ending is returned for each submitted request.
struct Answered
{
    Usage usage;

    bool operator==(const Answered &) const = default;
};

struct NotRun
{
    NotRunReason reason = NotRunReason::NoBackendServer;
    Duration retryAfter {};

    bool operator==(const NotRun &) const = default;
};

struct Unknown
{
    UnknownReason reason = UnknownReason::SessionLost;

    bool operator==(const Unknown &) const = default;
};

using Ending = std::variant<Answered, NotRun, Unknown>;

// Send a message to an agent. For a Dispatch the shell fills in method, path, headers and body.
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

// A finished or failed attempt, for rollout verdicts and burn counts.
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

// Parts that have defaults.
struct EntryParts
{
    EntryParts();
    ~EntryParts();
    EntryParts(EntryParts &&) noexcept;
    EntryParts &operator=(EntryParts &&) noexcept;

    std::optional<StateChart> requestChart;     // absent: the chart of charts/request.toml
    std::unique_ptr<PlacementPolicy> placement; // null: scored late binding
};

class EntryScheduler
{
public:
    // random must outlive the scheduler.
    EntryScheduler(const EntryLimits &limits, std::shared_ptr<const RoutingView> view,
                   RandomSource &random);
    EntryScheduler(const EntryLimits &limits, std::shared_ptr<const RoutingView> view,
                   RandomSource &random, EntryParts parts);
    ~EntryScheduler();
    EntryScheduler(EntryScheduler &&) noexcept;
    EntryScheduler &operator=(EntryScheduler &&) noexcept;

    EntryActions setView(std::shared_ptr<const RoutingView> view, Instant now);

    // A session to an agent is up; its Welcome describes the backend server.
    EntryActions connected(const Welcome &welcome, Instant now);

    // The session is gone. Requests dispatched over it and not ended become Unknown.
    EntryActions disconnected(const BackendServerId &backendServer, Instant now);

    EntryActions submit(const RequestArrival &arrival, Instant now);

    // The caller closed its connection. Cancels what runs; the ending is NotRun or Unknown.
    EntryActions callerGone(RequestId request, Instant now);

    // Any message of an agent but Welcome. Chunks and response heads need not be passed in, except
    // the first chunk of a request, from which the first token's time is learnt.
    EntryActions handle(const BackendServerId &from, const AgentMessage &message, Instant now);

    // Runs timers that are due; call at nextWake() or later.
    EntryActions tick(Instant now);
    Instant nextWake() const;

    // Refuses what arrives from now on; what waits or runs goes on.
    void beginShutdown();

    std::size_t waitingCount() const;
    std::size_t dispatchedCount() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_ENTRYSCHEDULER_H
