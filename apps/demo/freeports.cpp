// Finds free ports by binding to them.

#include "freeports.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <stdexcept>

#include <unistd.h>

namespace cornelshed::demo {

namespace {

constexpr std::uint32_t firstPort = 20000;
constexpr std::uint32_t portCount = 12000;
// A prime, so that the searches of concurrent processes start at different ports.
constexpr std::uint32_t portsPerProcess = 101;

bool isFree(std::uint16_t port)
{
    using Tcp = boost::asio::ip::tcp;
    boost::asio::io_context context;
    Tcp::acceptor acceptor(context);
    boost::system::error_code ec;
    acceptor.open(Tcp::v4(), ec);
    acceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
    acceptor.bind({boost::asio::ip::address_v4::loopback(), port}, ec);
    if (!ec)
        acceptor.listen(1, ec);
    return !ec;
}

} // namespace

std::uint16_t takeFreePort()
{
    static std::uint32_t nextOffset = static_cast<std::uint32_t>(::getpid()) * portsPerProcess;
    for (std::uint32_t i = 0; i < portCount; ++i) {
        const auto port = static_cast<std::uint16_t>(firstPort + nextOffset++ % portCount);
        if (isFree(port))
            return port;
    }
    throw std::runtime_error("all loopback ports of the probed range are in use");
}

} // namespace cornelshed::demo
