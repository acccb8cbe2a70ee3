// Room of a connection for the large frame that is arriving on it.

#ifndef CORNELSHED_FRAMEROOM_H
#define CORNELSHED_FRAMEROOM_H

#include <cstddef>

namespace cornelshed {

class FrameRoom
{
public:
    virtual ~FrameRoom() = default;

    // Takes room for a frame of this size, all of it at once: frames that took it as they grow
    // could fill all room without one of them being complete. Returns false if there is none now.
    virtual bool take(std::size_t frameBytes) = 0;

    // So much of the frame has arrived.
    virtual void noteArrived(std::size_t bytes) = 0;

    // The frame was passed on.
    virtual void release() = 0;
};

} // namespace cornelshed

#endif // CORNELSHED_FRAMEROOM_H
