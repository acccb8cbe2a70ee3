// Server side of one HTTP/1.1 connection from a caller to the gateway. Parses requests strictly,
// one at a time, passes each to a handler and writes the response. A malformed request gets an
// error response from the channel itself, and the connection is closed, because the bytes that
// follow cannot be framed reliably.
//
// All functions must be called on the single thread that runs the io_context. Internal header of
// the runtime, since it includes Asio.

#ifndef CORNELSHED_CALLERCHANNEL_H
#define CORNELSHED_CALLERCHANNEL_H

#include "logthrottle.h"
#include "memorybudget.h"
#include "messages.h"
#include "routetable.h"
#include "types.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace cornelshed::detail {

struct IngressRequest
{
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
    Instant receivedAt {}; // when the first byte of the request was read
};

// A request in progress. The channel notifies it when the caller disconnects.
class IngressExchange
{
public:
    virtual ~IngressExchange() = default;

    // The caller disconnected; nothing more may be written to the channel.
    virtual void callerDisconnected() = 0;
};

class CallerChannel;

// What the connections of all callers share.
struct CallerMemory
{
    explicit CallerMemory(const MemoryLimits &limits) : budget(limits) { }

    MemoryBudget budget;
    LogThrottle closeLog {10, 50}; // lines about connections that were closed around a request
    LogThrottle refusalLog {10, 50};
};

// The response data that is buffered for all callers that read slowly. At the limit, the caller
// whose current write began first loses its connection; those that read finish theirs soon.
class PendingWrites
{
public:
    // budget: counts the data as well; null: none.
    explicit PendingWrites(std::size_t limitBytes, std::shared_ptr<MemoryBudget> budget = nullptr)
        : m_limitBytes(limitBytes), m_budget(std::move(budget))
    { }

    // A channel begins to write. Returns the number under which the write ends.
    std::uint64_t begin(CallerChannel &channel);
    void end(std::uint64_t write) { m_writing.erase(write); }

    // Channels buffer more data, or less.
    void add(std::size_t bytes);
    void remove(std::size_t bytes);

private:
    std::size_t m_limitBytes;
    std::shared_ptr<MemoryBudget> m_budget;
    std::size_t m_bytes = 0;
    std::uint64_t m_lastWrite = 0;
    std::map<std::uint64_t, CallerChannel *> m_writing; // in the order in which the writes began
};

// The bodies of all callers' requests that are being received or are in progress. A body may take
// what is left of the limit; a single one above the limit is let through.
class RequestBodies
{
public:
    explicit RequestBodies(std::size_t limitBytes) : m_limitBytes(limitBytes) { }

    bool hasRoom(std::size_t bytes) const
    {
        return m_bytes == 0 || m_bytes + bytes <= m_limitBytes;
    }
    // Returns false, and takes nothing, if there is no room.
    bool tryTake(std::size_t bytes);
    void release(std::size_t bytes) { m_bytes -= bytes; }

    std::size_t heldBytes() const { return m_bytes; }

private:
    std::size_t m_limitBytes;
    std::size_t m_bytes = 0;
};

class CallerChannel : public std::enable_shared_from_this<CallerChannel>
{
public:
    // Called for each completely received request. The response is written through the channel,
    // either during the call or later. Returns null if the response was completed during the call.
    using Handler = std::function<std::shared_ptr<IngressExchange>(IngressRequest,
                                                                   std::shared_ptr<CallerChannel>)>;
    using LimitsProvider = std::function<CallerLimits()>;

    // requestBodies: null: no limit for the bodies of all requests. memory: null: only this
    // connection's.
    static std::shared_ptr<CallerChannel>
    create(boost::asio::ip::tcp::socket socket, Handler handler, LimitsProvider limits,
           std::shared_ptr<PendingWrites> pendingWrites,
           std::shared_ptr<RequestBodies> requestBodies = nullptr,
           std::shared_ptr<CallerMemory> memory = nullptr);
    virtual ~CallerChannel() = default;

    virtual void start() = 0;

    // Sets the id under which the current request is logged.
    virtual void setRequestId(std::string id) = 0;

    // Sends a complete response and adds its Content-Length.
    virtual void respond(std::uint32_t status, Headers headers, std::string body) = 0;

    // A streamed response in chunked transfer coding: beginStream(), any number of
    // writeStreamChunk() calls, then endStream(). The caller sees an incomplete response unless
    // endStream() is called.
    virtual void beginStream(std::uint32_t status, Headers headers) = 0;
    virtual void writeStreamChunk(std::string data) = 0;
    virtual void endStream() = 0;

    // Returns whether the caller has closed the connection, even if the read loop has not processed
    // the close yet: it may have arrived right after the current request, or while the process was
    // stalled.
    virtual bool isClosedByCaller() = 0;

    // Closes the connection without completing the response.
    virtual void abort() = 0;

    // Closes the connection because the data buffered for all callers has reached its limit.
    virtual void closeForPendingWrites() = 0;

    // Adds "Connection: close" to responses that begin from now on, and closes the connection after
    // the first of them.
    virtual void announceClose() = 0;

    // Closes the connection after the current response, or if it is idle. An idle connection stays
    // open for a short time after its start or its last response, and a request that arrives until
    // then is answered.
    virtual void closeWhenIdle() = 0;
};

} // namespace cornelshed::detail

#endif // CORNELSHED_CALLERCHANNEL_H
