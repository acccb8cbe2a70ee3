// Guards against entries of other writers in the tables that gateways read: one that is nested too
// deeply, holds a number too large, or names no usable address, must neither end the process nor
// keep it from following the other entries.

#include "deploymentwatcher.h"
#include "gatewayfixture.h"
#include "inmemoryrowstore.h"
#include "platformrows.h"

#include <boost/asio/io_context.hpp>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace cornelshed;
using namespace cornelshed::testing;
using namespace std::chrono_literals;

namespace {

std::string serverRow(const std::string &address, const std::string &slots = "6",
                      const std::string &coldLeft = "0", const std::string &born = "1")
{
    return R"({"service":"writer","address":")" + address
            + R"(","zone":"a","version":"v1","state":"ready","slots":)" + slots
            + R"(,"cold_left_ms":)" + coldLeft + R"(,"born":)" + born + "}";
}

// At the edges of the fields, and beyond them.
std::vector<std::string> oddRows(const std::string &address)
{
    std::vector<std::string> rows {
            "",
            "{",
            "\xff\xfe",
            std::string(3, '\0'),
            std::string(100000, '['),
            std::string(100000, '[') + std::string(100000, ']'),
            R"({"service":)" + std::string(5000, '{'),
            serverRow("127.0.0.1:0"),
            serverRow("127.0.0.1:65536"),
            serverRow("127.0.0.1:-1"),
            serverRow("127.0.0.1:99999999999999999999"),
            serverRow("127.0.0.1:"),
            serverRow(":8080"),
            serverRow("server.example:8080"),
            serverRow("127.0.0.256:8080"),
            serverRow("127.0.0.1:8080:8080"),
            serverRow("[::1:8080"),
            serverRow("127.0.0.1\\u0000:8080"),
            serverRow(address, "-1"),
            serverRow(address, "6.5e400"),
            serverRow(address, "4294967296"),
            serverRow(address, "\"6\""),
            serverRow(address, "true"),
            serverRow(address, "6", "1e15"),
            serverRow(address, "6", "9.3e12"),
            serverRow(address, "6", "1e400"),
            serverRow(address, "6", "-1"),
            serverRow(address, "6", "99999999999999999999999999"),
            serverRow(address, "6", "0", "1e300"),
            serverRow(address, "6", "0", "-9223372036854775809"),
            serverRow(address, "6", "0", "18446744073709551616"),
    };
    return rows;
}

} // namespace

TEST_CASE("odd entries in the list of backend servers name none, and the gateway uses the others")
{
    BackendStub server(sendCompleteResponse);
    const std::string address = "127.0.0.1:" + std::to_string(server.port());
    GatewayRunner gateway;
    boost::asio::io_context context;
    InMemoryRowStore store(context);
    const PlatformRows codec;
    std::shared_ptr<const DeploymentState> state;
    std::size_t answered = 0;
    DeploymentWatcher watcher(
            context, store, codec, {5ms, 5ms, 5ms, 5ms},
            {[&](std::shared_ptr<const DeploymentState> it) { state = std::move(it); },
             [](RowTable, const ReadProof &) {}, [](RowTable) { return Duration {}; },
             [](const char *) {}, [](std::uint64_t) {}});
    store.set(RowTable::Orders, "config", R"({"version":1,"routes":[],"services":[]})");
    store.set(RowTable::Backends, "i-1", serverRow(address));
    watcher.start({"gateway", "127.0.0.1", 1});
    const auto applyAndRequest = [&] {
        context.restart();
        context.run_for(40ms);
        REQUIRE(state);
        auto configured = std::make_shared<DeploymentState>(*state);
        configured->routes = std::make_shared<const RouteTable>(gatewayRouteTable());
        gateway.configure(configured);
        Caller caller(gateway.port());
        caller.send(requestText("POST", "/order/", "r-" + std::to_string(++answered)));
        CHECK(caller.receive().status == 200);
        return state->backends.size();
    };
    CHECK(applyAndRequest() == 1);
    // At an address of its own, which would be listed beside the other one.
    const std::vector<std::string> rows = oddRows("127.0.0.9:9");
    for (std::size_t n = 0; n < rows.size(); ++n) {
        CAPTURE(n);
        CAPTURE(rows[n].substr(0, 200));
        store.set(RowTable::Backends, "odd", rows[n]);
        CHECK(applyAndRequest() == 1);
    }
    // All of them at once, in the snapshot that a gateway reads when it starts.
    for (std::size_t n = 0; n < rows.size(); ++n)
        store.set(RowTable::Backends, "odd-" + std::to_string(n), rows[n]);
    CHECK(applyAndRequest() == 1);
    BackendStub second(sendCompleteResponse);
    store.set(RowTable::Backends, "i-2", serverRow("127.0.0.1:" + std::to_string(second.port())));
    CHECK(applyAndRequest() == 2);
}
