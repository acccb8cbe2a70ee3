// Finds free loopback ports. They are below the kernel's range of ephemeral ports, so that no
// outgoing connection takes the port of a process before it is started again.

#ifndef CORNELSHED_DEMO_FREEPORTS_H
#define CORNELSHED_DEMO_FREEPORTS_H

#include <cstdint>

namespace cornelshed::demo {

// Returns a different port on each call. Throws std::runtime_error when no port is free.
std::uint16_t takeFreePort();

} // namespace cornelshed::demo

#endif // CORNELSHED_DEMO_FREEPORTS_H
