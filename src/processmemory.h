// Settings of the C library's allocator.

#ifndef CORNELSHED_PROCESSMEMORY_H
#define CORNELSHED_PROCESSMEMORY_H

namespace cornelshed {

// Lets the allocator return large blocks to the system as soon as they are freed. By default it
// raises the size from which it does so to that of the largest block that was freed, after which
// bodies of requests would leave gaps that stay part of the process's memory. Call this once, at
// the start of a daemon.
void returnLargeBlocks();

} // namespace cornelshed

#endif // CORNELSHED_PROCESSMEMORY_H
