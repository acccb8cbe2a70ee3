// Forwards each connection with two blocking threads and applies the current fault to each read.

#include "faultproxy.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>
#include <mutex>
#include <thread>
#include <vector>

namespace cornelshed::testing {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

class FaultProxy::Private
{
public:
    struct Connection
    {
        Tcp::socket caller;
        Tcp::socket server;
    };

    Private(const std::string &address, std::uint16_t targetPort)
        : acceptor(context, {asio::ip::make_address(address), 0}), target(targetPort)
    { }

    void acceptLoop()
    {
        while (!stopped) {
            boost::system::error_code ec;
            Tcp::socket caller(context);
            acceptor.accept(caller, ec);
            if (ec || stopped)
                return;
            auto connection = std::make_shared<Connection>(
                    Connection {std::move(caller), Tcp::socket(context)});
            connection->server.connect({asio::ip::address_v4::loopback(), target}, ec);
            if (ec || fault == ProxyFault::Reset) {
                reset(*connection);
                continue;
            }
            connection->caller.set_option(Tcp::no_delay(true), ec);
            connection->server.set_option(Tcp::no_delay(true), ec);
            const std::lock_guard lock(mutex);
            connections.push_back(connection);
            threads.emplace_back(
                    [this, connection] { forward(connection->caller, connection->server, false); });
            threads.emplace_back(
                    [this, connection] { forward(connection->server, connection->caller, true); });
        }
    }

    bool stalled(bool isResponse) const
    {
        return fault == ProxyFault::StallBoth
                || (isResponse && fault == ProxyFault::StallResponses);
    }

    void forward(Tcp::socket &from, Tcp::socket &to, bool isResponse)
    {
        std::array<char, 16384> buf {};
        boost::system::error_code ec;
        while (!ec && !stopped) {
            const std::size_t n = from.read_some(asio::buffer(buf), ec);
            if (fault == ProxyFault::Delay)
                std::this_thread::sleep_for(std::chrono::milliseconds(150));
            while (stalled(isResponse) && !stopped)
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            if (n > 0 && !ec)
                asio::write(to, asio::buffer(buf.data(), n), ec);
        }
        boost::system::error_code ignored;
        to.shutdown(Tcp::socket::shutdown_send, ignored);
    }

    static void reset(Connection &connection)
    {
        boost::system::error_code ignored;
        for (Tcp::socket *it : {&connection.caller, &connection.server}) {
            it->set_option(asio::socket_base::linger(true, 0), ignored);
            it->shutdown(Tcp::socket::shutdown_both, ignored);
        }
    }

    void resetAll()
    {
        const std::lock_guard lock(mutex);
        for (const auto &it : connections)
            reset(*it);
    }

    asio::io_context context;
    Tcp::acceptor acceptor;
    std::uint16_t target;
    std::atomic<ProxyFault> fault {ProxyFault::None};
    std::atomic<bool> stopped {false};
    std::mutex mutex; // guards connections and threads
    std::vector<std::shared_ptr<Connection>> connections;
    std::vector<std::thread> threads;
    std::thread acceptThread;
};

FaultProxy::FaultProxy(const std::string &address, std::uint16_t targetPort)
    : d(std::make_unique<Private>(address, targetPort))
{
    d->acceptThread = std::thread([this] { d->acceptLoop(); });
}

FaultProxy::~FaultProxy()
{
    d->stopped = true;
    boost::system::error_code ignored;
    Tcp::socket wake(d->context);
    wake.connect(d->acceptor.local_endpoint(), ignored); // unblocks accept()
    d->acceptThread.join();
    d->resetAll();
    for (std::thread &it : d->threads)
        it.join();
}

std::uint16_t FaultProxy::port() const
{
    return d->acceptor.local_endpoint().port();
}

void FaultProxy::set(ProxyFault fault)
{
    d->fault = fault;
    if (fault == ProxyFault::Reset)
        d->resetAll();
}

} // namespace cornelshed::testing
