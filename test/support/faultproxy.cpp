// Threads that copy bytes, or do not.

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
    struct Pair
    {
        Tcp::socket caller;
        Tcp::socket server;
    };

    Private(const std::string &address, std::uint16_t given)
        : acceptor(context, {asio::ip::make_address(address), 0}), target(given)
    { }

    void acceptAll()
    {
        while (!stopped) {
            boost::system::error_code ec;
            Tcp::socket caller(context);
            acceptor.accept(caller, ec);
            if (ec || stopped)
                return;
            auto pair = std::make_shared<Pair>(Pair {std::move(caller), Tcp::socket(context)});
            pair->server.connect({asio::ip::address_v4::loopback(), target}, ec);
            if (ec || fault == ProxyFault::Reset) {
                reset(*pair);
                continue;
            }
            pair->caller.set_option(Tcp::no_delay(true), ec);
            pair->server.set_option(Tcp::no_delay(true), ec);
            const std::lock_guard lock(mutex);
            pairs.push_back(pair);
            threads.emplace_back([this, pair] { copy(pair->caller, pair->server, false); });
            threads.emplace_back([this, pair] { copy(pair->server, pair->caller, true); });
        }
    }

    bool silent(bool back) const
    {
        return fault == ProxyFault::SilenceBoth || (back && fault == ProxyFault::SilenceBack);
    }

    void copy(Tcp::socket &from, Tcp::socket &to, bool back)
    {
        std::array<char, 16384> buf {};
        boost::system::error_code ec;
        while (!ec && !stopped) {
            const std::size_t n = from.read_some(asio::buffer(buf), ec);
            if (fault == ProxyFault::Delay)
                std::this_thread::sleep_for(std::chrono::milliseconds(150));
            while (silent(back) && !stopped)
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            if (n > 0 && !ec)
                asio::write(to, asio::buffer(buf.data(), n), ec);
        }
        boost::system::error_code ignored;
        to.shutdown(Tcp::socket::shutdown_send, ignored);
    }

    static void reset(Pair &pair)
    {
        boost::system::error_code ignored;
        for (Tcp::socket *it : {&pair.caller, &pair.server}) {
            it->set_option(asio::socket_base::linger(true, 0), ignored);
            it->shutdown(Tcp::socket::shutdown_both, ignored);
        }
    }

    void resetAll()
    {
        const std::lock_guard lock(mutex);
        for (const auto &it : pairs)
            reset(*it);
    }

    asio::io_context context;
    Tcp::acceptor acceptor;
    std::uint16_t target;
    std::atomic<ProxyFault> fault {ProxyFault::None};
    std::atomic<bool> stopped {false};
    std::mutex mutex; // guards the following
    std::vector<std::shared_ptr<Pair>> pairs;
    std::vector<std::thread> threads;
    std::thread accepting;
};

FaultProxy::FaultProxy(const std::string &address, std::uint16_t target)
    : d(std::make_unique<Private>(address, target))
{
    d->accepting = std::thread([this] { d->acceptAll(); });
}

FaultProxy::~FaultProxy()
{
    d->stopped = true;
    boost::system::error_code ignored;
    Tcp::socket wake(d->context);
    wake.connect(d->acceptor.local_endpoint(), ignored);
    d->accepting.join();
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
