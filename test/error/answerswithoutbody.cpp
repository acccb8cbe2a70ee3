// Guards against bytes of a body after a response that has none, which the caller takes for the
// beginning of the next response on the connection.

#include "gatewaymessages.h"
#include "gatewayrunner.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace cornelshed;
using namespace cornelshed::testing;

namespace {

const std::string endOfHead = "\r\n\r\n";

std::string request(const std::string &method, const std::string &path, const std::string &id,
                    const std::string &header = {})
{
    return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id
            + "\r\nX-Key: key-1\r\nX-Deadline-Ms: 2000\r\n" + header + "Content-Length: 0\r\n\r\n";
}

// Answers requests for paths that end in "next" with a body, others only with a head.
void serve(const std::string &status, const std::string &framing, const StubRequest &request,
           StubReply &reply)
{
    if (request.target.ends_with("next"))
        sendAnswer(request, reply, "next");
    else
        reply.send("HTTP/1.1 " + status + "\r\nX-Request-Id: " + headerOf(request, "X-Request-Id")
                   + "\r\nX-Response-Seal: s\r\n" + framing + "\r\n");
}

} // namespace

TEST_CASE("the next response follows directly after one to HEAD, or one with a status without body")
{
    struct Answer
    {
        std::string method;
        std::string status;
        std::vector<std::string> framings;
    };
    const std::string eventStream = "Content-Type: text/event-stream\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::vector<Answer> answers {
            {"HEAD", "200 OK", {"", eventStream, eventStream + chunked, "Content-Length: 9\r\n"}},
            {"POST", "204 No Content", {"", eventStream}},
            {"GET", "304 Not Modified", {"", "Content-Length: 9\r\n"}}};
    for (const Answer &it : answers) {
        for (const std::string &framing : it.framings) {
            for (const std::string path : {"/quote/", "/query/", "/look/"}) {
                CAPTURE(it.method);
                CAPTURE(it.status);
                CAPTURE(framing);
                CAPTURE(path);
                BackendStub server([&](const StubRequest &received, StubReply &reply) {
                    serve(it.status, framing, received, reply);
                });
                GatewayRunner runner;
                runner.configure(gatewayRouteTable(), {gatewayBackend("i-1", server.port())});
                Caller caller(runner.port());
                caller.send(request(it.method, path + "a", "r-1")
                            + request("GET", "/look/next", "r-2", "Connection: close\r\n"));
                const std::string received = caller.receiveUntilClosed();
                CAPTURE(received);
                CHECK(received.starts_with("HTTP/1.1 " + it.status.substr(0, 3)));
                const std::size_t end = received.find(endOfHead);
                REQUIRE(end != std::string::npos);
                const std::string next = received.substr(end + endOfHead.size());
                CHECK(next.starts_with("HTTP/1.1 200 "));
                CHECK(next.ends_with(endOfHead + "next"));
            }
        }
    }
}
