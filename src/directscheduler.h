// Schedules queued requests on backend servers without an admission agent. Each gateway runs one
// scheduler. It counts its own requests exactly and knows those of its peers from their periodic
// reports, so that a backend server rarely gets more requests than it runs concurrently: it would
// queue them in order of arrival, where a request of higher priority cannot overtake.
//
// Where a backend server has an admission agent (see slotallocator.h), the scheduler requests a
// slot from the agent instead. It does so at several backend servers at once and uses the first
// grant.
//
// Requests wait in order of priority, then of arrival. One that cannot be started within its limit
// is refused: at once if the queue ahead of it is too long, otherwise when the limit has passed.

#ifndef CORNELSHED_DIRECTSCHEDULER_H
#define CORNELSHED_DIRECTSCHEDULER_H

#include "backendavailability.h"
#include "backendliveness.h"
#include "backendrecord.h"
#include "directsettings.h"
#include "namedlimit.h"
#include "promptcache.h"
#include "types.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace cornelshed {

// The versions of a service that may run a request.
struct VersionConstraint
{
    std::string version;   // empty: any
    bool excluded = false; // all versions except that one

    bool allows(const std::string &other) const
    {
        return version.empty() || (version == other) != excluded;
    }
    auto operator<=>(const VersionConstraint &) const = default;
};

struct DirectRequest
{
    RequestId id;
    std::string service;
    std::uint64_t order = 0; // smaller is served first; ties in order of arrival
    std::uint32_t reservedSlots =
            0; // slots of a backend server to leave free for higher priorities
    Instant arrivedAt {};
    Instant waitUntil {};            // refused if not started by then
    Instant deadline = instantNever; // of the caller; never started after it
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    std::string sessionAffinityKey;              // requests with the same value share cached memory
    std::vector<PromptCachePart> promptParts {}; // used if the prompt cache is enabled
    std::set<std::string> excluded;              // ids of backend servers that must not get it
    VersionConstraint version;
    bool isRetry = false; // an earlier attempt was made on a backend server

    bool operator==(const DirectRequest &) const = default;
};

// Load that a peer puts on a backend server.
struct PeerLoad
{
    std::uint64_t backendDigest = 0; // stableDigest() of its id
    std::uint32_t running = 0;
    std::uint64_t promptTokens = 0; // of requests before their first event
    ReportedLiveness liveness = ReportedLiveness::None;
    std::optional<NamedLimitReport> namedLimit {}; // that the sender heard from the backend server
    std::optional<std::int64_t> leavingStart {};   // see BackendState

    auto operator<=>(const PeerLoad &) const = default;
};

enum class AttemptOutcome : std::uint8_t {
    Answered,    // successfully
    Failed,      // the answer shows a fault of the backend server
    Broken,      // the connection failed or was cut
    TimedOut,    // cancelled because no data arrived in time
    NotRun,      // refused by the backend server
    Misdirected, // another backend server has the address
    Abandoned,   // cancelled by this gateway; says nothing about the backend server
    NeverSent    // started, but its caller left before it was sent
};

struct AttemptReport
{
    AttemptOutcome outcome = AttemptOutcome::Answered;
    Duration total {};
    Duration eventInterval {};      // mean time between events of a stream; 0: unknown
    bool connectionRefused = false; // nothing listens at the address of the backend server

    bool operator==(const AttemptReport &) const = default;
};

struct StartAction
{
    RequestId request;
    std::string backend; // id

    bool operator==(const StartAction &) const = default;
};

enum class RefusalReason : std::uint8_t {
    QueueTooLong, // on arrival, by the expected wait
    WaitedTooLong,
    NoBackend, // the service has no usable backend server
    Paused     // all usable backend servers asked for a pause that ends too late
};

struct RefuseAction
{
    RequestId request;
    RefusalReason reason = RefusalReason::QueueTooLong;
    Duration retryAfter {};
    std::uint32_t waitingAhead = 0;
    // What kept it from the backend servers that it may use, and the number of these.
    std::map<AvailabilityReason, std::uint32_t> causes {};

    bool operator==(const RefuseAction &) const = default;
};

// Request a slot from the agent of the backend server.
struct RequestSlotAction
{
    DirectRequest request;
    BackendRecord backend;
    double coldRate = 0;                // limit on requests per second while cold; 0: not cold
    std::uint32_t coldRestartLimit = 0; // see SlotRequest
    std::optional<NamedLimitReport> namedLimit {};

    bool operator==(const RequestSlotAction &) const = default;
};

// Tell the agent that the slot, or the request for it, is no longer needed.
struct ReleaseSlotAction
{
    RequestId request;
    std::string backend;     // id
    bool unused = false;     // the request was not sent to the backend server
    bool serverDown = false; // because nothing listens at its address

    bool operator==(const ReleaseSlotAction &) const = default;
};

using DirectAction = std::variant<StartAction, RefuseAction, RequestSlotAction, ReleaseSlotAction>;

class DirectScheduler
{
public:
    explicit DirectScheduler(const DirectSettings &settings);
    ~DirectScheduler();
    DirectScheduler(const DirectScheduler &) = delete;
    DirectScheduler &operator=(const DirectScheduler &) = delete;

    // All backend servers that may be used, and the requests per second that cold ones may get, by
    // service.
    void setBackends(const std::vector<BackendRecord> &backends,
                     const std::map<std::string, double> &coldRateOfService, Instant now);
    void setWithdrawnZones(std::set<std::string> zones);

    // The number of gateways that may be sending to the backend servers, including this one, the
    // index of this one in an order that all agree on, and the time without a report after which a
    // peer counts as silent.
    void setGateways(std::uint32_t count, std::uint32_t index, Duration heardTimeout = {});

    void peerReport(std::uint64_t peer, const std::vector<PeerLoad> &loads, Instant now);
    std::vector<PeerLoad> ownLoads(Instant now) const;

    // Whether any backend server may run the request, now or once it has a free slot.
    bool hasUsableBackend(const DirectRequest &request) const;

    // Queues the request; advance() starts it.
    void add(DirectRequest request);
    void remove(const RequestId &id); // the caller left

    // A message of the backend server's agent arrived.
    void agentResponded(const std::string &backend, Instant now);

    // An answer of the backend server arrived, with the requests per second that it named as its
    // limit.
    void answered(const std::string &backend, std::optional<double> requestsPerSecond, Instant now);

    // An answer to the request arrived in which the backend server said that it leaves, or asked
    // for a pause. Return whether that is new.
    bool announcedLeaving(const RequestId &id, const std::string &backend);
    bool askedForPause(const RequestId &id, const std::string &backend, Duration pause,
                       Instant now);

    // The number of backend servers that get no request now for this reason.
    std::size_t countUnavailable(AvailabilityReason reason, Instant now) const;

    // Whether the backend server is expected to stop: it is not listed, draining or leaving.
    bool isStopping(const std::string &backend) const;

    // The limit in force, in requests per second over all gateways; nothing: none.
    std::optional<double> namedLimit(const std::string &backend) const;

    // The agent granted a slot, or reported how many slot requests are queued before this one and
    // whether the backend server refuses connections. slotRequestQueued() returns whether slot
    // requests were withdrawn, so that advance() should be called at once.
    void slotGranted(const RequestId &id, const std::string &backend, Instant now);
    bool slotRequestQueued(const RequestId &id, const std::string &backend, std::uint32_t ahead,
                           Instant now, bool serverDown = false);

    // Whether no request of this gateway or a peer runs on the service's backend servers of other
    // versions.
    bool otherVersionsIdle(const std::string &service, const std::string &version) const;

    // Started requests by id of the backend server.
    std::map<std::string, std::vector<RequestId>> runningByBackend() const;

    // Returns the requests to start or to refuse and the messages to send to agents.
    std::vector<DirectAction> advance(Instant now);

    // The latest time at which advance() must be called.
    Instant nextDue() const;

    // For a started request: its first event or answer arrived; it ended.
    void firstEvent(const RequestId &id, Instant now);
    void ended(const RequestId &id, const AttemptReport &report, Instant now);

    std::optional<BackendRecord> backend(const std::string &id) const;
    std::vector<RequestId> queuedRequests() const;
    std::size_t waiting() const;
    std::size_t running() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_DIRECTSCHEDULER_H
