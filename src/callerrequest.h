// A caller's request inside the entry daemon, and who receives its answer.

#ifndef CORNELSHED_CALLERREQUEST_H
#define CORNELSHED_CALLERREQUEST_H

#include "controlthread.h"
#include "entryscheduler.h"
#include "messages.h"

#include <memory>
#include <optional>
#include <string>

namespace cornelshed {

// Receives the answer of a request. All members are safe from any thread; calls for a request that
// the receiver does not wait for are ignored.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;
    virtual void responseHead(RequestId request, std::uint32_t status, Headers headers) = 0;
    virtual void chunk(RequestId request, std::string data) = 0;
    virtual void ended(RequestId request, const Ending &ending) = 0;
};

// What the entry daemon keeps of a request until it has ended; not changed once submitted.
struct CallerRequest
{
    RequestArrival arrival;
    std::string method;
    std::string path;
    Headers headers; // as they go to the backend server
    std::string body;
    std::optional<ClaimKey> claim; // set on routes that are not idempotent
    std::uint64_t bodyDigest = 0;  // of method, path and body; set with claim
    std::shared_ptr<AnswerSink> sink;
};

} // namespace cornelshed

#endif // CORNELSHED_CALLERREQUEST_H
