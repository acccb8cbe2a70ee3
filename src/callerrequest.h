// A caller's request inside the entry daemon, and the interface that receives its response.

#ifndef CORNELSHED_CALLERREQUEST_H
#define CORNELSHED_CALLERREQUEST_H

#include "controlthread.h"
#include "entryscheduler.h"
#include "messages.h"

#include <memory>
#include <optional>
#include <string>

namespace cornelshed {

// Receives the response to a request. All members are thread-safe. Calls for a request other than
// the one the receiver is waiting for are ignored.
class ResponseSink
{
public:
    virtual ~ResponseSink() = default;
    virtual void responseHead(RequestId request, std::uint32_t status, Headers headers) = 0;
    virtual void chunk(RequestId request, std::string data) = 0;
    virtual void ended(RequestId request, const Ending &ending) = 0;
};

// Data that the entry daemon keeps until the request has ended. Immutable once submitted.
struct CallerRequest
{
    RequestArrival arrival;
    std::string method;
    std::string path;
    Headers headers; // as sent to the backend server
    std::string body;
    std::optional<ClaimKey> claim; // set if the route is not idempotent
    std::uint64_t bodyDigest = 0;  // hash of method, path and body; set if claim is set
    std::shared_ptr<ResponseSink> sink;
};

} // namespace cornelshed

#endif // CORNELSHED_CALLERREQUEST_H
