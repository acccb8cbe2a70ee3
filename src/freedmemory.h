// Returns the pages of freed memory to the system once much less is in use than before.
// Internal header: it includes Asio.

#ifndef CORNELSHED_FREEDMEMORY_H
#define CORNELSHED_FREEDMEMORY_H

#include "memorypool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>

namespace cornelshed::detail {

class FreedMemoryReturn
{
public:
    // usedBytes is called every second on the context's thread, from start() on.
    FreedMemoryReturn(boost::asio::io_context &context, std::function<std::size_t()> usedBytes);

    void start();

private:
    boost::asio::steady_timer m_timer;
    std::function<std::size_t()> m_usedBytes;
    FreedMemoryCheck m_check;
};

} // namespace cornelshed::detail

#endif // CORNELSHED_FREEDMEMORY_H
