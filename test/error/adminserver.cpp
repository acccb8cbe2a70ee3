// Guards against a client of the admin port that fills the daemon's memory with a request that
// never ends.

#include "adminserver.h"
#include "loopback.h"

#include <boost/asio/io_context.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>

using namespace cornelshed;
using namespace cornelshed::testing;
using namespace std::chrono_literals;

TEST_CASE("a request with a chunk line or a trailer section without end closes the connection")
{
    boost::asio::io_context context;
    AdminHandlers handlers;
    handlers.metrics = [] { return std::string("metrics"); };
    handlers.ready = [] { return true; };
    AdminServer server(context, handlers);
    REQUIRE_FALSE(server.listen("127.0.0.1", 0));
    std::thread thread([&] { context.run(); });
    for (const std::string &start : {std::string("5;"), std::string("0\r\nX-Filler: ")}) {
        CAPTURE(start);
        Caller caller(server.port());
        const auto sentAt = std::chrono::steady_clock::now();
        caller.send("GET /metrics HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + (start + std::string(200000, 'x')));
        Caller other(server.port());
        other.send("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
        CHECK(other.receive().body == "metrics");
        CHECK(caller.receiveUntilClosed().empty());
        CHECK(std::chrono::steady_clock::now() - sentAt < 5s); // the time limit is 10 s
    }
    context.stop();
    thread.join();
}
