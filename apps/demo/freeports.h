// Free loopback ports below the range from which the kernel takes ports of outgoing connections, so
// that a process started again finds its port still free.

#ifndef CORNELSHED_DEMO_FREEPORTS_H
#define CORNELSHED_DEMO_FREEPORTS_H

#include <cstdint>

namespace cornelshed::demo {

// Returns another port on each call. Throws std::runtime_error when none is left.
std::uint16_t takeFreePort();

} // namespace cornelshed::demo

#endif // CORNELSHED_DEMO_FREEPORTS_H
