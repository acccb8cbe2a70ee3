// HTTP/1.1 connection of a caller. It serves one request after the other; each is validated, handed
// to the dispatcher, and answered when its ending is known, or as it arrives if it is a stream.

#ifndef CORNELSHED_CALLERCONNECTION_H
#define CORNELSHED_CALLERCONNECTION_H

#include "answerbody.h"
#include "answerwriter.h"
#include "callercontext.h"
#include "callerrequest.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace cornelshed {

class CallerConnection final : public AnswerSink,
                               public AnswerWriterOwner,
                               public std::enable_shared_from_this<CallerConnection>
{
public:
    // The socket's executor must run one handler at a time.
    CallerConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<CallerContext> context);
    ~CallerConnection() override;

    void start();

    // Answers that the daemon has too many connections, and closes.
    void refuse();

    // Closes the connection if no request is under way.
    void closeIfIdle();

    void responseHead(RequestId request, std::uint32_t status, Headers headers) override;
    void chunk(RequestId request, std::string data) override;
    void ended(RequestId request, const Ending &ending) override;

    std::shared_ptr<void> keepAlive() override { return shared_from_this(); }
    void answerSent() override;
    void writeFailed() override;

private:
    enum class Phase { Idle, Receiving, Running, Answering, Lingering, Closed };

    // --- receiving ---
    void readNext();
    void waitReadable();
    void handleReadable(const boost::system::error_code &ec);
    void readHeader();
    void readBody();
    void handleReadError(const boost::system::error_code &ec);
    void checkCallerPresent();

    // --- running ---
    void handleRequest();
    std::shared_ptr<CallerRequest> makeRequest();
    void claim();
    void handleClaim(const ClaimResult &result);
    void callerGone();
    void handleEnding(const Ending &ending);
    void settleClaim(const Ending &ending);
    void handleHead(std::uint32_t status, const Headers &headers);
    void handleChunk(std::string data);

    // --- answering ---
    void answerError(const ErrorAnswer &answer);
    void answerWhole(std::uint32_t status, const Headers &headers, const std::string &body);
    void finishStream(const Ending &ending);
    void linger();
    void discardInput();
    void close();
    void armTimer(std::chrono::milliseconds limit);
    void handleTimeout();
    bool isCurrent(RequestId request) const;

    template<typename Function> void post(Function function);
    template<typename Function> void dispatch(Function function);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    // Shared, because connections live until the io_contexts are destroyed.
    std::shared_ptr<CallerContext> m_context;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    AnswerWriter m_writer;
    Phase m_phase = Phase::Idle;
    bool m_waitPending = false; // a wait for readability is under way
    bool m_keepAlive = false;
    bool m_gone = false;                      // the caller closed the connection
    bool m_submitted = false;                 // the dispatcher knows the current request
    std::shared_ptr<CallerRequest> m_request; // set in phase Running
    Instant m_received;

    // The answer so far.
    bool m_hasHead = false;
    bool m_isStream = false;
    bool m_isTooLarge = false;
    std::uint32_t m_status = 0;
    Headers m_headers;
    std::string m_body;      // of a whole answer, until its ending is known
    std::string m_streamEnd; // end event of a stream, kept back until the ending is known
};

} // namespace cornelshed

#endif // CORNELSHED_CALLERCONNECTION_H
