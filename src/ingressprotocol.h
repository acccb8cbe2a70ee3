// The header language that callers and backend servers of a platform speak. An implementation
// translates and decides nothing.

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

// What a caller's headers say.
struct CallerFacts
{
    std::string requestId;             // names one attempt of the caller
    std::string key;                   // empty: none was sent
    std::optional<Duration> remaining; // the caller waits that long
    bool tokensKnown = false;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0; // at most
    std::string sessionPart;        // last part of the prompt; requests of a session share it
    std::optional<std::uint64_t> resumeAfter; // the caller has the stream's events up to this one

    bool operator==(const CallerFacts &) const = default;
};

// What the system tells a backend server beside the caller's own headers.
struct ForwardFacts
{
    Duration remaining {};
    std::string organisation;    // empty: none
    std::string expectedBackend; // id of the backend server that is meant
    std::optional<std::uint64_t> resumeAfter;

    bool operator==(const ForwardFacts &) const = default;
};

// What a backend server's answer says.
struct BackendReply
{
    bool notRun = false;        // the request was not run and will not be
    bool misdirected = false;   // another backend server has the address
    bool authenticated = false; // carries the backend server's message authentication code
    bool encoded = false;       // the body is not the backend server's own bytes
    std::optional<std::uint32_t> running; // load as the backend server counts it
    std::optional<std::uint32_t> waiting;

    bool operator==(const BackendReply &) const = default;
};

class IngressProtocol
{
public:
    virtual ~IngressProtocol() = default;

    virtual Result<CallerFacts, InputError> decodeCaller(const Headers &headers) const = 0;

    // Headers for the backend server: end-to-end ones of the caller without those that only the
    // system may set.
    virtual Headers forwardHeaders(const Headers &headers, const ForwardFacts &facts) const = 0;

    virtual BackendReply decodeReply(std::uint32_t status, const Headers &headers) const = 0;

    // Name of the header by which an answer is matched to its request.
    virtual const char *echoHeader() const = 0;
};

} // namespace cornelshed

#endif // CORNELSHED_INGRESSPROTOCOL_H
