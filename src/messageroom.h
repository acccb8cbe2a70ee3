// Streams of peers that take room for a large message before they read it. The reader of messages
// allocates the length that a peer claims, and many peers could each send a part of a long one.
// Internal header: it includes KJ.

#ifndef CORNELSHED_MESSAGEROOM_H
#define CORNELSHED_MESSAGEROOM_H

#include <kj/async-io.h>
#include <kj/timer.h>

#include <cstddef>
#include <cstdint>

namespace cornelshed::detail {

// Room for the large messages that arrive on all connections at the same time.
class MessageRoom
{
public:
    explicit MessageRoom(std::uint64_t limitBytes) : m_limitBytes(limitBytes) { }

    // Returns false, and takes nothing, if there is no room.
    bool tryTake(std::uint64_t bytes);
    void release(std::uint64_t bytes) { m_heldBytes -= bytes; }

private:
    std::uint64_t m_limitBytes;
    std::uint64_t m_heldBytes = 0;
};

// Wraps a stream: a large message for which there is no room, or that takes too long, fails its
// read, which closes the connection. room and timer must outlive the stream.
kj::Own<kj::AsyncIoStream> limitMessages(kj::Own<kj::AsyncIoStream> stream, MessageRoom &room,
                                         kj::Timer &timer);

} // namespace cornelshed::detail

#endif // CORNELSHED_MESSAGEROOM_H
