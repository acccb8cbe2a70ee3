// Frames queued while a write is in progress are sent together in the next write, so that a busy
// session needs one system call for many messages.

#include "framedconnection.h"

#include "wirecodec.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <cstring>
#include <utility>

namespace cornelshed {

namespace {

constexpr std::size_t initialInputBytes = std::size_t {16} << 10U;
// A larger buffer is freed after it is written, so that a session does not keep the memory of its
// longest queue.
constexpr std::size_t keptWriteBytes = std::size_t {1} << 20U;
// While there is no room for a large frame, nothing is read. Its peer is slowed down by TCP.
constexpr std::chrono::milliseconds roomRetryInterval {20};

} // namespace

FramedConnection::FramedConnection(boost::asio::ip::tcp::socket socket,
                                   const FramedConnectionLimits &limits)
    : m_socket(std::move(socket)), m_limits(limits), m_retryTimer(m_socket.get_executor()),
      m_input(initialInputBytes, '\0')
{
    boost::system::error_code ec;
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
}

void FramedConnection::start(FrameCallback onFrame, ClosedCallback onClosed,
                             std::unique_ptr<FrameRoom> room)
{
    m_room = std::move(room);
    m_onFrame = std::move(onFrame);
    m_onClosed = std::move(onClosed);
    readSome();
}

void FramedConnection::send(std::string frame, std::shared_ptr<AnswerShare> share, std::size_t size)
{
    if (!m_socket.is_open() || m_isFinishing) {
        if (share)
            share->release(size);
        return;
    }
    if (share)
        m_queuedHeld.push_back({std::move(share), size});
    if (m_queued.size() + m_writing.size() + frame.size() > m_limits.writeQueueLimitBytes) {
        close("write queue limit exceeded");
        return;
    }
    if (m_queued.empty())
        m_queued = std::move(frame);
    else
        m_queued += frame;
    if (std::exchange(m_isWriting, true))
        return;
    // Posted, so that the frames of all handlers that are ready now go out in one write.
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_socket.is_open())
            self->writeSome();
    });
}

void FramedConnection::close(const std::string &reason)
{
    if (!m_socket.is_open())
        return;
    boost::system::error_code ec;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ec);
    m_socket.close(ec);
    releaseHeld(m_queuedHeld);
    m_retryTimer.cancel();
    // Posted, because close() may be called from one of the owner's callbacks.
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this(), reason] {
        const ClosedCallback closed = std::exchange(self->m_onClosed, nullptr);
        self->m_onFrame = nullptr;
        self->m_room = nullptr;
        self->m_input = std::string();
        if (closed)
            closed(reason);
    });
}

void FramedConnection::finish()
{
    m_isFinishing = true;
    if (!m_socket.is_open() || m_isWriting)
        return;
    boost::system::error_code ec;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
}

void FramedConnection::readSome()
{
    auto space = boost::asio::buffer(m_input.data() + m_end, m_input.size() - m_end);
    m_socket.async_read_some(space, [self = shared_from_this()](auto ec, std::size_t n) {
        if (!self->m_socket.is_open())
            return;
        if (ec) {
            self->close(ec.message());
            return;
        }
        self->m_end += n;
        self->consumeFrames();
    });
}

void FramedConnection::consumeFrames()
{
    while (m_end - m_begin >= frameHeaderBytes) {
        const std::string_view unread(m_input.data() + m_begin, m_end - m_begin);
        const std::size_t length = messageLength(unread);
        if (length > m_limits.frameLimitBytes) {
            close("frame limit exceeded");
            return;
        }
        if (unread.size() < frameHeaderBytes + length)
            break;
        if (!m_onFrame(unread.substr(frameHeaderBytes, length)))
            close("malformed or unexpected message");
        if (!m_socket.is_open())
            return;
        m_begin += frameHeaderBytes + length;
        releaseRoom();
    }
    if (!takeRoom()) {
        retryLater();
        return;
    }
    compactInput();
    readSome();
}

// Frames that fit the buffer need no room. Returns false if there is none now.
bool FramedConnection::takeRoom()
{
    const std::size_t unread = m_end - m_begin;
    if (!m_room || unread < frameHeaderBytes)
        return true;
    const std::size_t needed = frameHeaderBytes + messageLength({m_input.data() + m_begin, unread});
    if (needed <= initialInputBytes)
        return true;
    if (!m_hasRoom)
        m_hasRoom = m_room->take(needed);
    if (m_hasRoom)
        m_room->noteArrived(unread);
    return m_hasRoom;
}

void FramedConnection::releaseRoom()
{
    if (std::exchange(m_hasRoom, false))
        m_room->release();
}

void FramedConnection::retryLater()
{
    m_retryTimer.expires_after(roomRetryInterval);
    m_retryTimer.async_wait([self = shared_from_this()](auto ec) {
        if (!ec && self->m_socket.is_open())
            self->consumeFrames();
    });
}

// Moves the unread bytes to the front of the buffer and enlarges it, if necessary, to hold the rest
// of a partially received frame.
void FramedConnection::compactInput()
{
    const std::size_t unread = m_end - m_begin;
    if (m_begin > 0 && unread > 0)
        std::memmove(m_input.data(), m_input.data() + m_begin, unread);
    m_begin = 0;
    m_end = unread;
    std::size_t needed = initialInputBytes;
    // Grows with the bytes that have arrived, because a peer can declare a length and send nothing.
    if (unread >= frameHeaderBytes)
        needed = std::max(needed, std::min(frameHeaderBytes + messageLength(m_input), unread * 2));
    // Shrinks the buffer again after a large frame, so that it does not keep the memory for the
    // rest of the session.
    if (needed > m_input.size() || (unread == 0 && m_input.size() > initialInputBytes))
        m_input.resize(needed);
}

void FramedConnection::writeSome()
{
    std::swap(m_writing, m_queued);
    std::swap(m_writingHeld, m_queuedHeld);
    boost::asio::async_write(m_socket, boost::asio::buffer(m_writing),
                             [self = shared_from_this()](auto ec, std::size_t) {
                                 self->releaseHeld(self->m_writingHeld);
                                 if (self->m_writing.capacity() > keptWriteBytes)
                                     self->m_writing = std::string();
                                 self->m_writing.clear();
                                 if (!self->m_socket.is_open())
                                     return;
                                 if (ec)
                                     self->close(ec.message());
                                 else if (!self->m_queued.empty())
                                     self->writeSome();
                                 else
                                     self->writeDone();
                             });
}

void FramedConnection::releaseHeld(std::vector<HeldBytes> &held)
{
    for (const HeldBytes &it : held)
        it.share->release(it.size);
    held.clear();
}

void FramedConnection::writeDone()
{
    m_isWriting = false;
    if (m_isFinishing)
        finish();
}

} // namespace cornelshed
