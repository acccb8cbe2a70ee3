// The check by a timer.

#include "freedmemory.h"

#include "eventlog.h"
#include "hostresources.h"

#include <chrono>
#include <utility>

namespace cornelshed::detail {

namespace {

constexpr std::chrono::seconds checkInterval {1};

} // namespace

FreedMemoryReturn::FreedMemoryReturn(boost::asio::io_context &context,
                                     std::function<std::size_t()> usedBytes)
    : m_timer(context), m_usedBytes(std::move(usedBytes))
{ }

void FreedMemoryReturn::start()
{
    const std::size_t usedBytes = m_usedBytes();
    if (m_check.hasFallen(usedBytes)) {
        returnFreePages();
        EventLog("freed_memory_returned").field("used_bytes", usedBytes);
    }
    m_timer.expires_after(checkInterval);
    m_timer.async_wait([this](auto ec) {
        if (!ec)
            start();
    });
}

} // namespace cornelshed::detail
