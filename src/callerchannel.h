// One caller's HTTP/1.1 connection of the gateway. Reads requests strictly, one at a time, hands
// each to an IngressHandler and writes the answer. A request that is not proper HTTP is answered
// here and the connection closed, because what follows it cannot be trusted.
//
// Everything runs on the io_context's only thread. Internal to the runtime; includes Asio.

#ifndef CORNELSHED_CALLERCHANNEL_H
#define CORNELSHED_CALLERCHANNEL_H

#include "messages.h"
#include "routetable.h"
#include "types.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cornelshed::detail {

struct IngressRequest
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
    Instant receivedAt {}; // when its first byte was read
};

// A request under way, as its connection sees it.
class IngressExchange
{
public:
    virtual ~IngressExchange() = default;

    // The caller closed the connection; nothing may be written any more.
    virtual void callerLeft() = 0;
};

class CallerChannel : public std::enable_shared_from_this<CallerChannel>
{
public:
    // Called for each whole request. The answer is written through the channel, during the call or
    // later; a null result means that it was answered during the call.
    using Handler = std::function<std::shared_ptr<IngressExchange>(IngressRequest,
                                                                   std::shared_ptr<CallerChannel>)>;
    using Limits = std::function<CallerLimits()>;

    static std::shared_ptr<CallerChannel> create(boost::asio::ip::tcp::socket socket,
                                                 Handler handler, Limits limits);
    virtual ~CallerChannel() = default;

    virtual void start() = 0;

    // A whole answer; Content-Length is set here.
    virtual void respond(std::uint32_t status, Headers headers, std::string body) = 0;

    // A streamed answer: the head, any number of parts, and its end. The end is what makes it
    // complete for the caller.
    virtual void beginStream(std::uint32_t status, Headers headers) = 0;
    virtual void streamPart(std::string data) = 0;
    virtual void endStream() = 0;

    // Whether the caller's close has arrived, even if it was not read yet: behind the request that
    // is being handled, or while the process was held up.
    virtual bool callerClosed() = 0;

    // Closes the connection without completing the answer.
    virtual void abort() = 0;

    // From now on, answers announce that the connection closes after them.
    virtual void announceClose() = 0;

    // Closes the connection if no request is on it; otherwise after the answer.
    virtual void closeWhenIdle() = 0;
};

} // namespace cornelshed::detail

#endif // CORNELSHED_CALLERCHANNEL_H
