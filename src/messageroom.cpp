// A message is read by one call for its whole length.

#include "messageroom.h"

#include <kj/debug.h>

#include <utility>

namespace cornelshed::detail {

namespace {

// A read of this size or less needs no room.
constexpr std::size_t smallReadBytes = std::size_t {16} << 10U;
constexpr kj::Duration largeReadTimeout = 10 * kj::SECONDS;

class RoomShare
{
public:
    RoomShare(MessageRoom &room, std::uint64_t bytes) : m_room(room), m_bytes(bytes) { }
    ~RoomShare() { m_room.release(m_bytes); }
    RoomShare(const RoomShare &) = delete;
    RoomShare &operator=(const RoomShare &) = delete;

private:
    MessageRoom &m_room;
    std::uint64_t m_bytes;
};

class LimitedStream final : public kj::AsyncIoStream
{
public:
    LimitedStream(kj::Own<kj::AsyncIoStream> stream, MessageRoom &room, kj::Timer &timer)
        : m_stream(kj::mv(stream)), m_room(room), m_timer(timer)
    { }

    kj::Promise<std::size_t> tryRead(void *buffer, std::size_t minBytes,
                                     std::size_t maxBytes) override
    {
        if (minBytes <= smallReadBytes)
            return m_stream->tryRead(buffer, minBytes, maxBytes);
        if (!m_room.tryTake(minBytes))
            return KJ_EXCEPTION(DISCONNECTED, "no room for a large message");
        return m_timer.timeoutAfter(largeReadTimeout, m_stream->tryRead(buffer, minBytes, maxBytes))
                .attach(kj::heap<RoomShare>(m_room, minBytes));
    }

    kj::Promise<void> write(const void *buffer, std::size_t size) override
    {
        return m_stream->write(buffer, size);
    }
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override
    {
        return m_stream->write(pieces);
    }
    kj::Promise<void> whenWriteDisconnected() override { return m_stream->whenWriteDisconnected(); }
    void shutdownWrite() override { m_stream->shutdownWrite(); }
    void abortRead() override { m_stream->abortRead(); }
    void getsockopt(int level, int option, void *value, kj::uint *length) override
    {
        m_stream->getsockopt(level, option, value, length);
    }
    void setsockopt(int level, int option, const void *value, kj::uint length) override
    {
        m_stream->setsockopt(level, option, value, length);
    }

private:
    kj::Own<kj::AsyncIoStream> m_stream;
    MessageRoom &m_room;
    kj::Timer &m_timer;
};

} // namespace

bool MessageRoom::tryTake(std::uint64_t bytes)
{
    if (m_heldBytes + bytes > m_limitBytes)
        return false;
    m_heldBytes += bytes;
    return true;
}

kj::Own<kj::AsyncIoStream> limitMessages(kj::Own<kj::AsyncIoStream> stream, MessageRoom &room,
                                         kj::Timer &timer)
{
    return kj::heap<LimitedStream>(kj::mv(stream), room, timer);
}

} // namespace cornelshed::detail
