// HTTP/1.1 connection of a caller. It serves one request at a time: the request is validated and
// passed to the dispatcher, and the response is sent once the request has ended, or as it arrives
// if it is a stream.

#ifndef CORNELSHED_CALLERCONNECTION_H
#define CORNELSHED_CALLERCONNECTION_H

#include "answerbudget.h"
#include "bodypace.h"
#include "callercontext.h"
#include "callerrequest.h"
#include "errorresponse.h"
#include "requestreader.h"
#include "responsewriter.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cornelshed {

class CallerConnection final : public ResponseSink,
                               public ResponseWriterOwner,
                               public DroppableConnection,
                               public std::enable_shared_from_this<CallerConnection>
{
public:
    // The socket's executor must not run handlers concurrently.
    CallerConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<CallerContext> context);
    ~CallerConnection() override;

    // Starts to serve the caller or, if the daemon has too many connections, refuses it.
    void start();

    // Closes the connection if no request is being received, run or answered, nor arrives within a
    // short delay after the last response. Call this during the shutdown.
    void closeIfIdle();

    void responseHead(RequestId request, std::uint32_t status, Headers headers) override;
    void chunk(RequestId request, std::string data) override;
    void ended(RequestId request, const Ending &ending) override;

    void dropped() override;

    std::shared_ptr<void> retainOwner() override { return shared_from_this(); }
    void bytesWritten() override;
    void responseSent() override;
    void writeFailed() override;

private:
    enum class Phase { Idle, Receiving, Running, Answering, Lingering, Closed };
    enum class SocketState { Empty, HasData, Closed };

    // --- receiving ---
    void readNext();
    void waitForRequest();
    void waitReadable();
    void handleReadable(const boost::system::error_code &ec);
    void beginReceiving();
    void receive();
    void parse(std::string_view bytes);
    bool handleHead();
    void refuseForRoom();
    void armReceiveTimer();
    void handleReceiveTimeout();
    SocketState peek();
    void chargeUnreadInput();
    void checkCallerDisconnected();

    // --- running ---
    void handleRequest();
    std::shared_ptr<CallerRequest> makeRequest();
    void claim();
    void handleClaim(const ClaimResult &result);
    void callerDisconnected();
    void handleEnding(const Ending &ending);
    void sendBody();
    void dropBody();
    void finishOrReleaseClaim(const Ending &ending);
    void handleResponseHead(std::uint32_t status, const Headers &headers);
    void handleChunk(const std::string &data);
    void handleOverLimit(AnswerRoom room);

    // --- answering ---
    ResponseHeader makeHead(std::uint32_t status, Headers headers);
    void refuseConnection();
    bool countRefused();
    void sendErrorResponse(const ErrorResponse &answer);
    void sendResponse(std::uint32_t status, const Headers &headers, const std::string &body);
    void finishStream(const Ending &ending);
    void linger();
    void discardInput();
    void close();
    void setActive(bool active);
    void armTimer(Duration limit);
    void handleTimeout();
    bool isCurrent(RequestId request) const;

    template<typename Function> void post(Function function);
    template<typename Function> void dispatch(Function function);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    // Shared ownership, because pending handlers keep connections alive until the io_contexts are
    // destroyed.
    std::shared_ptr<CallerContext> m_callerContext;
    bool m_isProvisional = false;      // beyond the limit of connections; closed after one request
    CallerMemory::Holder m_holder = 0; // 0: not counted, because it was refused or is closed
    std::size_t m_heldBytes = 0;       // charged for the request
    RequestReader m_reader;
    ResponseWriter m_writer;
    Phase m_phase = Phase::Idle;
    bool m_waitPending = false; // waitReadable() is waiting for input
    // Whether the current response leaves the connection open; final once its head is written.
    bool m_keepAlive = false;
    bool m_isActive = false;                  // counted in activeCount
    bool m_isRefused = false;                 // counted in refusedCount
    bool m_isOverdue = false;                 // the time limit passed in phase Receiving
    bool m_callerGone = false;                // the caller closed the connection
    bool m_submitted = false;                 // m_request was passed to the dispatcher
    std::shared_ptr<CallerRequest> m_request; // set in phase Running
    Instant m_receivedAt;
    Instant m_waitingSince; // start of phase Idle

    // Of phase Receiving.
    Instant m_receiveDeadline;
    BodyPace m_pace;

    // The part of the response that has arrived so far.
    bool m_hasResponseHead = false;
    bool m_isStream = false;
    bool m_isOverLimit = false; // the rest of the response is dropped
    std::uint32_t m_status = 0;
    Headers m_headers;
    std::string m_body;           // response that is not a stream, until the request has ended
    std::string m_streamEndEvent; // final event of a stream, held until the request has ended

    // Holds the chunks that are on their way to this connection's thread, m_body, m_streamEndEvent
    // and m_writerBytes. Taken on the threads of the agents' sessions, released on this
    // connection's.
    AnswerShare m_share;
    std::size_t m_writerBytes = 0; // of m_share, of data that was passed to m_writer
};

} // namespace cornelshed

#endif // CORNELSHED_CALLERCONNECTION_H
