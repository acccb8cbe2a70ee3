// Guards against one odd request, or one error that no handler expects, that ends the whole process
// and with it the requests of all other callers.

#include "backendclient.h"
#include "gatewaymessages.h"
#include "gatewayrunner.h"
#include "handlerloop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>

using namespace cornelshed;
using namespace cornelshed::testing;
using namespace std::chrono_literals;

namespace {

std::string methodRequest(const std::string &method, const std::string &id,
                          const std::string &framing)
{
    return method + " /order/a HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id
            + "\r\nX-Key: key-1\r\nX-Deadline-Ms: 2000\r\n" + framing;
}

const std::string noBody = "\r\n";
const std::string emptyBody = "Content-Length: 0\r\n\r\n";
const std::string bodyWithLength = "Content-Length: 3\r\n\r\nabc";
const std::string bodyInChunks = "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";

} // namespace

// Guards against an exception of prepare_payload(), which refuses a body for this method.
TEST_CASE("a TRACE request with a body is refused while other requests go on")
{
    for (const std::string &framing : {bodyWithLength, bodyInChunks}) {
        BackendStub server([](const StubRequest &request, StubReply &reply) {
            std::this_thread::sleep_for(200ms);
            sendAnswer(request, reply, "done");
        });
        GatewayRunner runner;
        runner.configure(gatewayRouteTable(), {gatewayBackend("i-1", server.port())});
        Caller waiting(runner.port());
        waiting.send(methodRequest("POST", "r-1", bodyWithLength));
        REQUIRE(server.waitForRequest("/order/a"));
        Caller odd(runner.port());
        odd.send(methodRequest("TRACE", "r-2", framing));
        CHECK(odd.receive().status == 400);
        CHECK(waiting.receive().status == 200);
        CHECK(server.requests().size() == 1);
    }
}

TEST_CASE("requests with any other method and body are answered, and so is the next one on their "
          "connection")
{
    BackendStub server([](const StubRequest &request, StubReply &reply) {
        sendAnswer(request, reply, request.method + request.body);
    });
    GatewayRunner runner;
    runner.configure(gatewayRouteTable(), {gatewayBackend("i-1", server.port())});
    int n = 0;
    for (const std::string method :
         {"GET", "POST", "PUT", "DELETE", "OPTIONS", "PATCH", "TRACE", "PROPFIND", "UNHEARD-OF"}) {
        for (const std::string &framing : {noBody, emptyBody, bodyWithLength, bodyInChunks}) {
            const bool hasBody = framing == bodyWithLength || framing == bodyInChunks;
            if (method == "TRACE" && hasBody)
                continue;
            CAPTURE(method);
            CAPTURE(framing);
            Caller caller(runner.port());
            for (int round = 0; round < 2; ++round) {
                caller.send(methodRequest(method, "r-" + std::to_string(++n), framing));
                const CallerAnswer answer = caller.receive();
                CHECK(answer.status == 200);
                CHECK(answer.body == method + (hasBody ? "abc" : ""));
            }
        }
    }
}

TEST_CASE("a backend server gets any method with a body")
{
    class Outcome final : public BackendResponseHandler
    {
    public:
        void head(std::uint32_t code, Headers /*headers*/) override { status = code; }
        void body(std::string /*data*/) override { }
        void finished() override { }
        void failed(BackendError /*failure*/) override { }

        std::uint32_t status = 0;
    };
    BackendStub server(
            [](const StubRequest &, StubReply &reply) { reply.sendResponse(200, "{}"); });
    boost::asio::io_context context;
    BackendClient client(context, "127.0.0.1", server.port(), {});
    const auto outcome = std::make_shared<Outcome>();
    const auto exchange = client.start({"TRACE", "/order/", {}, "ab", 2s}, outcome);
    context.run_for(1s);
    CHECK(outcome->status == 200);
    REQUIRE(server.requests().size() == 1);
    CHECK(server.requests()[0].body == "ab");
}

TEST_CASE("an exception ends the handler that it leaves, and no other one")
{
    boost::asio::io_context context;
    int handled = 0;
    boost::asio::post(context, [] { throw std::runtime_error("unexpected"); });
    boost::asio::post(context, [&] { ++handled; });
    boost::asio::post(context, [] { throw 1; });
    boost::asio::post(context, [&] { ++handled; });
    runHandlers(context, "test");
    CHECK(handled == 2);
}
