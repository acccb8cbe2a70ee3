// Interface to the headers that callers and backend servers of a platform use. An implementation
// only translates them; it makes no decisions.

#ifndef CORNELSHED_INGRESSPROTOCOL_H
#define CORNELSHED_INGRESSPROTOCOL_H

#include "messages.h"
#include "requestvalidator.h"
#include "types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cornelshed {

// Contents of a caller's headers.
struct CallerMetadata
{
    std::string requestId;             // identifies one attempt of the caller
    std::string key;                   // API key; empty: none was sent
    std::optional<Duration> remaining; // time that the caller still waits
    bool tokensKnown = false;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0; // upper limit
    std::string sessionAffinityKey; // last part of the prompt; equal for requests of one session
    // Ids of the parts of the prompt before the last one, in order. Other requests may share them.
    std::vector<std::string> sharedPromptParts;
    // Tokens of these parts, in the same order, and of the last one. 0: unknown.
    std::vector<std::uint32_t> sharedPartTokens;
    std::uint32_t lastPartTokens = 0;
    std::optional<std::uint64_t> resumeAfter; // id of the last event that the caller has

    bool operator==(const CallerMetadata &) const = default;
};

// What a backend server is told in addition to the caller's own headers.
struct ForwardMetadata
{
    Duration remaining {};
    std::string organisation;    // empty: none
    std::string expectedBackend; // id of the backend server that the request is sent to
    std::optional<std::uint64_t> resumeAfter;

    bool operator==(const ForwardMetadata &) const = default;
};

// Contents of a backend server's answer headers.
struct BackendReply
{
    bool notRun = false;        // the request was not run and will not be run
    bool misdirected = false;   // the address now belongs to another backend server
    bool authenticated = false; // has the backend server's message authentication code
    bool encoded = false; // has a content encoding: the backend server did not write this body
    std::optional<std::uint32_t> running; // number of requests, as counted by the backend server
    std::optional<std::uint32_t> waiting;
    // Requests per second that the backend server takes from all gateways together, if it names a
    // limit; not negative.
    std::optional<double> requestsPerSecond;
    bool leaving = false;          // it is about to stop and wants no further request
    std::optional<Duration> pause; // it wants no request for this time; not negative
    bool noticeMalformed = false;  // a header for one of these two has a value without a meaning

    bool operator==(const BackendReply &) const = default;
};

class IngressProtocol
{
public:
    virtual ~IngressProtocol() = default;

    virtual Result<CallerMetadata, InputError> decodeCaller(const Headers &headers) const = 0;

    // Returns the headers for the backend server: the caller's end-to-end headers, without those
    // that only this system may set, followed by those that encode the given metadata.
    virtual Headers forwardHeaders(const Headers &headers,
                                   const ForwardMetadata &metadata) const = 0;

    virtual BackendReply decodeReply(std::uint32_t status, const Headers &headers) const = 0;

    // Name of the header that matches an answer to its request.
    virtual const char *echoHeader() const = 0;
};

} // namespace cornelshed

#endif // CORNELSHED_INGRESSPROTOCOL_H
