// TCP connection that carries frames: a 4-byte little-endian length followed by one message. All
// calls and callbacks run on the socket's executor (a strand, or the single thread of the
// io_context).

#ifndef CORNELSHED_FRAMEDCONNECTION_H
#define CORNELSHED_FRAMEDCONNECTION_H

#include "answerbudget.h"
#include "frameroom.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cornelshed {

struct FramedConnectionLimits
{
    std::size_t frameLimitBytes = std::size_t {16} << 20U;
    std::size_t writeQueueLimitBytes = std::size_t {64} << 20U;

    bool operator==(const FramedConnectionLimits &) const = default;
};

class FramedConnection : public std::enable_shared_from_this<FramedConnection>
{
public:
    // The view is valid only during the call. Returning false closes the connection.
    using FrameCallback = std::function<bool(std::string_view)>;
    using ClosedCallback = std::function<void(const std::string &reason)>;

    FramedConnection(boost::asio::ip::tcp::socket socket, const FramedConnectionLimits &limits);

    // Starts reading. onClosed is called exactly once, and no callback is called after it.
    // room: for large frames; without it, there is room for one of the largest size.
    void start(FrameCallback onFrame, ClosedCallback onClosed,
               std::unique_ptr<FrameRoom> room = nullptr);

    // For frames from now on; may be called from onFrame.
    void setFrameLimit(std::size_t bytes) { m_limits.frameLimitBytes = bytes; }

    // Queues a complete frame, including its header. A peer that does not read fast enough to keep
    // the queue within its limit is disconnected, because an unbounded queue would exhaust memory.
    // share: holds size bytes, which are released once the frame is written.
    void send(std::string frame, std::shared_ptr<AnswerShare> share = nullptr,
              std::size_t size = 0);

    void close(const std::string &reason);

    // Shuts down the sending side once the queue is empty. The peer is then expected to close the
    // connection.
    void finish();

    bool isOpen() const { return m_socket.is_open(); }

private:
    struct HeldBytes
    {
        std::shared_ptr<AnswerShare> share; // never null
        std::size_t size = 0;
    };

    void readSome();
    void consumeFrames();
    void compactInput();
    bool takeRoom();
    void releaseRoom();
    void retryLater();
    void writeSome();
    void writeDone();
    static void releaseHeld(std::vector<HeldBytes> &held);

    boost::asio::ip::tcp::socket m_socket;
    FramedConnectionLimits m_limits;
    FrameCallback m_onFrame;
    ClosedCallback m_onClosed;
    std::unique_ptr<FrameRoom> m_room; // may be null
    bool m_hasRoom = false;            // for the frame that is arriving
    boost::asio::steady_timer m_retryTimer;
    std::string m_input;
    // Invariant: m_begin <= m_end <= m_input.size(). The unread bytes are between m_begin and
    // m_end.
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
    std::string m_queued;                 // frames not yet passed to the socket
    std::string m_writing;                // invariant: unchanged while a write is in progress
    std::vector<HeldBytes> m_queuedHeld;  // of the frames in m_queued
    std::vector<HeldBytes> m_writingHeld; // of the frames in m_writing
    bool m_isWriting = false;             // a write is posted or in progress
    bool m_isFinishing = false;
};

} // namespace cornelshed

#endif // CORNELSHED_FRAMEDCONNECTION_H
