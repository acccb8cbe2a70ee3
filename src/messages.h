// Messages between entry daemons and agents. These are the decision library's own value types; the
// runtime converts them to and from Cap'n Proto (see wirecodec.h). Times on the wire are remaining
// durations, because hosts share no clock.

#ifndef CORNELSHED_MESSAGES_H
#define CORNELSHED_MESSAGES_H

#include "types.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace cornelshed {

using Headers = std::vector<std::pair<std::string, std::string>>;

// State of a backend server as its agent sees it when the message is sent.
struct LoadReport
{
    std::uint32_t running = 0;           // requests on the server
    std::uint32_t waiting = 0;           // reservations queued at the agent
    std::uint64_t outstandingTokens = 0; // prompt and expected output tokens not yet done
    double prefillTokensPerSecond = 0;   // 0 while nothing was observed
    double decodeTokensPerSecond = 0;    // for one stream at the present batch; 0 while unknown
    std::uint32_t concurrencyLimit = 0;  // requests the server bears by the adaptive limit

    bool operator==(const LoadReport &) const = default;
};

// What a finished request cost, as the engine reports it.
struct Usage
{
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    std::uint64_t cachedTokens = 0; // prompt tokens served from the prefix cache
    Duration queueTime {};          // grant to start on the server
    Duration firstTokenTime {};     // start on the server to first token
    Duration totalTime {};          // start on the server to last token

    bool operator==(const Usage &) const = default;
};

// --- entry daemon to agent ---

// First message of a session.
struct Hello
{
    std::string entry; // name of the entry daemon
    std::uint64_t entryIncarnation = 0;
    std::uint64_t configurationVersion = 0;

    bool operator==(const Hello &) const = default;
};

// Asks for a place; the request itself stays with the entry daemon until a grant arrives.
struct Reserve
{
    RequestId request;
    TierRank tier = 0;
    std::string organisation;
    std::uint32_t organisationWeight = 1;
    std::string route;
    std::string model;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;          // expected
    Duration remaining {};                   // until the caller's deadline
    std::vector<std::uint64_t> prefixHashes; // hashes of growing prompt prefixes, shortest first

    bool operator==(const Reserve &) const = default;
};

// Takes a reservation back. Void if the reservation was granted already: the entry daemon then
// declines the grant.
struct Withdraw
{
    RequestId request;

    bool operator==(const Withdraw &) const = default;
};

// Hands the request over. Sent at most once in the life of a grant.
struct Dispatch
{
    RequestId request;
    GrantId grant;
    std::string method;
    std::string path;
    Headers headers;
    std::string body;
    Duration remaining {};

    bool operator==(const Dispatch &) const = default;
};

// Returns a grant unused.
struct Decline
{
    RequestId request;
    GrantId grant;

    bool operator==(const Decline &) const = default;
};

// The caller went away or the deadline passed: stop the request on the server.
struct Cancel
{
    RequestId request;

    bool operator==(const Cancel &) const = default;
};

// Carries an accepted configuration to the agent.
struct ConfigurationNotice
{
    std::uint64_t version = 0;
    std::string text;

    bool operator==(const ConfigurationNotice &) const = default;
};

using EntryMessage =
        std::variant<Hello, Reserve, Withdraw, Dispatch, Decline, Cancel, ConfigurationNotice>;

// --- agent to entry daemon ---

// Answer to Hello; describes the backend server.
struct Welcome
{
    BackendServerId backendServer;
    std::string pool;
    std::string availabilityZone;
    std::string version; // version the backend server runs
    std::vector<std::string> models;
    std::uint64_t configurationVersion = 0;
    LoadReport load;

    bool operator==(const Welcome &) const = default;
};

// The server has room; it is held for this request until the grant's hold time is over.
struct Grant
{
    RequestId request;
    GrantId grant;
    Duration expectedFirstToken {}; // from dispatch, by the agent's estimate
    Duration expectedTotal {};
    LoadReport load;

    bool operator==(const Grant &) const = default;
};

enum class RejectReason {
    QueueFull,
    Draining,
    ZoneWithdrawn,
    UnknownModel,
    DeadlineUnreachable,
    Shed
};

// The reservation is gone; the request was not run by this agent.
struct Reject
{
    RequestId request;
    RejectReason reason = RejectReason::QueueFull;
    LoadReport load;

    bool operator==(const Reject &) const = default;
};

struct ResponseHead
{
    RequestId request;
    std::uint32_t status = 200;
    Headers headers;

    bool operator==(const ResponseHead &) const = default;
};

// A part of the answer's body, in order.
struct Chunk
{
    RequestId request;
    std::string data;

    bool operator==(const Chunk &) const = default;
};

// The whole answer was sent.
struct Finished
{
    RequestId request;
    Usage usage;
    LoadReport load;

    bool operator==(const Finished &) const = default;
};

enum class FailReason {
    GrantExpired,
    EngineUnreachable,
    EngineError,
    StreamCut,
    Cancelled,
    Draining
};

// The answer will not be completed. notRun is set only if the request never reached the backend
// server; an agent that does not know leaves it unset.
struct Failed
{
    RequestId request;
    bool notRun = false;
    FailReason reason = FailReason::EngineError;
    LoadReport load;

    bool operator==(const Failed &) const = default;
};

struct Load
{
    LoadReport load;

    bool operator==(const Load &) const = default;
};

// The agent takes no new work from now on; what runs is finished.
struct Leaving
{
    bool operator==(const Leaving &) const = default;
};

using AgentMessage =
        std::variant<Welcome, Grant, Reject, ResponseHead, Chunk, Finished, Failed, Load, Leaving>;

} // namespace cornelshed

#endif // CORNELSHED_MESSAGES_H
