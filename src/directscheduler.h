// Chooses which waiting request goes to which backend server, for backend servers without an agent.
// Each daemon runs one. It counts its own requests exactly and knows those of its peers by their
// periodic reports, so that a backend server is rarely handed more than it runs at once: it would
// queue them in order of arrival, and a request of a higher rank could not overtake there.
//
// Where an admission agent stands beside a backend server (see slotledger.h), the scheduler asks it
// for a slot instead: at a few backend servers at once, and takes the first that grants.
//
// Requests wait in order of rank, then of arrival. One that cannot be placed within its limit is
// refused: at once if the queue ahead of it is too long, else when the limit has passed.

#ifndef CORNELSHED_DIRECTSCHEDULER_H
#define CORNELSHED_DIRECTSCHEDULER_H

#include "backendrecord.h"
#include "signsoflife.h"
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

// Which versions of a service may get a request.
struct VersionChoice
{
    std::string version;   // empty: any
    bool excluded = false; // all but that version

    bool allows(const std::string &other) const
    {
        return version.empty() || (version == other) != excluded;
    }
    auto operator<=>(const VersionChoice &) const = default;
};

struct DirectRequest
{
    RequestId id;
    std::string service;
    std::uint64_t order = 0;     // smaller goes first; equal ones in order of arrival
    std::uint32_t leaveFree = 0; // slots of a backend server left free for higher ranks
    Instant arrivedAt {};
    Instant waitUntil {}; // refused if there is no place by then
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    std::string sessionPart;        // requests with the same one share cached memory
    std::set<std::string> excluded; // backend servers that must not get it
    VersionChoice version;
    bool repeat = false; // was offered to a backend server before

    bool operator==(const DirectRequest &) const = default;
};

// Load that a peer causes at a backend server.
struct PeerLoad
{
    std::uint64_t backendDigest = 0; // stableDigest() of its id
    std::uint32_t running = 0;
    std::uint64_t promptTokens = 0; // of requests without a first event
    BackendSign sign = BackendSign::None;

    auto operator<=>(const PeerLoad &) const = default;
};

enum class AttemptOutcome : std::uint8_t {
    Answered,    // with success
    Failed,      // an answer that tells a fault of the backend server
    Broken,      // no connection, or it broke off
    Silent,      // taken back because nothing was heard
    NotRun,      // refused by the backend server
    Misdirected, // another backend server has the address
    Abandoned,   // ended by this daemon; tells nothing about the backend server
    NeverSent    // chosen, but its caller left before it was sent
};

struct AttemptReport
{
    AttemptOutcome outcome = AttemptOutcome::Answered;
    Duration total {};
    Duration eventInterval {}; // mean time between events of a stream; 0: unknown

    bool operator==(const AttemptReport &) const = default;
};

struct StartAction
{
    RequestId request;
    std::string backend; // id

    bool operator==(const StartAction &) const = default;
};

enum class RefusalReason : std::uint8_t {
    QueueTooLong, // at once, by the expected wait
    WaitedTooLong,
    NoBackend // none of the service can be used
};

struct RefuseAction
{
    RequestId request;
    RefusalReason reason = RefusalReason::QueueTooLong;
    Duration retryAfter {};
    std::uint32_t waitingAhead = 0;

    bool operator==(const RefuseAction &) const = default;
};

// Ask the agent of the backend server for a slot.
struct AskAction
{
    DirectRequest request;
    BackendRecord backend;
    double coldRate = 0; // requests a second that it bears while cold; 0: not cold

    bool operator==(const AskAction &) const = default;
};

// Tell the agent that the slot, or the ask for it, is no longer needed.
struct ReleaseAction
{
    RequestId request;
    std::string backend; // id

    bool operator==(const ReleaseAction &) const = default;
};

using DirectAction = std::variant<StartAction, RefuseAction, AskAction, ReleaseAction>;

struct DirectSettings
{
    std::string availabilityZone;         // of this daemon
    double promptTokensPerSecond = 38000; // read by a usual backend server; a first guess
    double coldOver = 1.5;                // a cold backend server bears this multiple of its rate
    double coldConstant = 5;              // and this many requests a second beyond
    bool agents = false; // admission agents may grant up to the rate itself beside this scheduler

    bool operator==(const DirectSettings &) const = default;
};

class DirectScheduler
{
public:
    explicit DirectScheduler(const DirectSettings &settings);
    ~DirectScheduler();
    DirectScheduler(const DirectScheduler &) = delete;
    DirectScheduler &operator=(const DirectScheduler &) = delete;

    // All backend servers that may be used, and the rate that cold ones of a service bear.
    void setBackends(const std::vector<BackendRecord> &backends,
                     const std::map<std::string, double> &coldRateOfService, Instant now);
    void setWithdrawnZones(std::set<std::string> zones);

    // Daemons that may be sending to the backend servers, this one included, and this one's place
    // among them, from 0, in an order that all agree on.
    void setDaemons(std::uint32_t count, std::uint32_t place);

    void peerReport(std::uint64_t peer, const std::vector<PeerLoad> &loads, Instant now);
    std::vector<PeerLoad> ownLoads(Instant now) const;

    // Queues the request; advance() places it.
    void add(DirectRequest request);
    void remove(const RequestId &id); // the caller left

    // The agent beside a backend server gave a sign of life.
    void agentHeard(const std::string &backend, Instant now);

    // The agent grants a slot, or tells how many asks are before the request's.
    void granted(const RequestId &id, const std::string &backend, Instant now);
    void queuedAt(const RequestId &id, const std::string &backend, std::uint32_t ahead,
                  Instant now);

    // Whether no request runs on the service's servers of other versions, here or at a peer.
    bool idleOutside(const std::string &service, const std::string &version) const;

    // Requests that run on each backend server.
    std::map<std::string, std::vector<RequestId>> runningByBackend() const;

    // Starts and refuses what is due.
    std::vector<DirectAction> advance(Instant now);

    // When advance() must be called at the latest.
    Instant nextDue() const;

    // A started request: its first event or answer arrived; it ended.
    void firstEvent(const RequestId &id, Instant now);
    void ended(const RequestId &id, const AttemptReport &report, Instant now);

    std::optional<BackendRecord> backend(const std::string &id) const;
    std::size_t waiting() const;
    std::size_t running() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_DIRECTSCHEDULER_H
