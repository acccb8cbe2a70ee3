// Implementation for the GNU C library.

#include "processmemory.h"

#include <malloc.h>

namespace cornelshed {

void returnLargeBlocks()
{
    constexpr int largeBlockBytes = 128 << 10; // the library's own initial value
    ::mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
}

} // namespace cornelshed
