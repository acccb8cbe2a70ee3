// Messages between entry daemons and agents, as value types of the decision library; the runtime
// converts them to and from Cap'n Proto (see wirecodec.h). Deadlines are sent as remaining
// durations, because the clocks of hosts are not synchronised.

#ifndef CORNELSHED_MESSAGES_H
#define CORNELSHED_MESSAGES_H

#include "types.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace cornelshed {

using Headers = std::vector<std::pair<std::string, std::string>>;

// Load of a backend server at the time its agent sends the message.
struct LoadReport
{
    std::uint32_t running = 0;           // requests that the server is processing
    std::uint32_t waiting = 0;           // reservations queued at the agent
    std::uint64_t outstandingTokens = 0; // prompt and expected output tokens not yet processed
    double prefillTokensPerSecond = 0;   // 0 until measured
    double decodeTokensPerSecond = 0;    // per stream at the current batch size; 0 until measured
    std::uint32_t concurrencyLimit = 0;  // adaptive limit on concurrent requests

    bool operator==(const LoadReport &) const = default;
};

// Resource usage of a finished request as reported by the engine.
struct Usage
{
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    std::uint64_t cachedTokens = 0; // prompt tokens served from the prefix cache
    Duration queueTime {};          // from the grant to the start on the server
    Duration firstTokenTime {};     // from the start on the server to the first token
    Duration totalTime {};          // from the start on the server to the last token

    bool operator==(const Usage &) const = default;
};

// --- Messages from an entry daemon to an agent ---

// Opens a session.
struct Hello
{
    std::string entry; // name of the entry daemon
    std::uint64_t entryIncarnation = 0;
    std::uint64_t configurationVersion = 0;

    bool operator==(const Hello &) const = default;
};

// Requests a reservation on the agent's server. The request itself stays with the entry daemon
// until a grant arrives.
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
    std::vector<std::uint64_t> prefixHashes; // hashes of the prompt's prefixes, shortest first

    bool operator==(const Reserve &) const = default;
};

// Withdraws a reservation. Has no effect if the agent has already granted it; the entry daemon then
// declines the grant.
struct Withdraw
{
    RequestId request;

    bool operator==(const Withdraw &) const = default;
};

// Sends the request to the agent. Sent at most once for each grant.
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

// Releases a grant without using it.
struct Decline
{
    RequestId request;
    GrantId grant;

    bool operator==(const Decline &) const = default;
};

// Stops the request on the server, because the caller disconnected or the deadline passed.
struct Cancel
{
    RequestId request;

    bool operator==(const Cancel &) const = default;
};

// Distributes an accepted configuration to the agent.
struct ConfigurationNotice
{
    std::uint64_t version = 0;
    std::string text;
    // The head row names this text, and the sender held another one with the same version.
    bool replacesText = false;

    bool operator==(const ConfigurationNotice &) const = default;
};

using EntryMessage =
        std::variant<Hello, Reserve, Withdraw, Dispatch, Decline, Cancel, ConfigurationNotice>;

// --- Messages from an agent to an entry daemon ---

// Reply to Hello; describes the backend server.
struct Welcome
{
    BackendServerId backendServer;
    std::string pool;
    std::string availabilityZone;
    std::string version; // software version that the backend server runs
    std::vector<std::string> models;
    std::uint64_t configurationVersion = 0;
    LoadReport load;

    bool operator==(const Welcome &) const = default;
};

// Grants a reservation: capacity on the server is held for the request until the grant's hold time
// expires.
struct Grant
{
    RequestId request;
    GrantId grant;
    Duration expectedFirstToken {}; // time from dispatch, estimated by the agent
    Duration expectedTotal {};      // time from dispatch to the end, estimated by the agent
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

// Ends a reservation without a grant; the agent has not run the request.
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

// Part of the response body; parts are sent in order.
struct Chunk
{
    RequestId request;
    std::string data;

    bool operator==(const Chunk &) const = default;
};

// The complete response has been sent.
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

// The response will not be completed. notRun is set only if the request certainly never reached the
// backend server; an agent that cannot tell leaves it unset.
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

// The agent accepts no new work from now on; running requests are completed.
struct Leaving
{
    bool operator==(const Leaving &) const = default;
};

using AgentMessage =
        std::variant<Welcome, Grant, Reject, ResponseHead, Chunk, Finished, Failed, Load, Leaving>;

} // namespace cornelshed

#endif // CORNELSHED_MESSAGES_H
