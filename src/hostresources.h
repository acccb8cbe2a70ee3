// Reads how much memory and how many file descriptors this process may use.

#ifndef CORNELSHED_HOSTRESOURCES_H
#define CORNELSHED_HOSTRESOURCES_H

#include "memorybudget.h"

#include <cstddef>

namespace cornelshed {

// The memory of the machine or the limit of the control group, whichever is smaller, and the
// process's limit on open files.
HostResources readHostResources();

// Makes the allocator return the memory of large blocks to the system as soon as they are freed.
// By default it keeps them after the first one was freed, so that bursts of bodies of different
// sizes leave gaps that count toward the memory of the process.
void returnFreedMemory();

// Returns the free pages between blocks that are in use. Takes milliseconds for each 100 MiB.
void returnFreePages();

} // namespace cornelshed

#endif // CORNELSHED_HOSTRESOURCES_H
