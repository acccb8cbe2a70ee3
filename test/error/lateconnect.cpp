// Guards against a request that is sent, reported as not sent, and so run a second time: when the
// thread is late, the connection is established and its time limit has passed at the same moment.
// Also guards against a request that is written after its latest time because the host was
// suspended meanwhile, which stops the timers.

#include "backendclient.h"
#include "loopback.h"
#include "monotonicclock.h"

#include <boost/asio/io_context.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <thread>

using namespace cornelshed;
using namespace cornelshed::testing;
using namespace std::chrono_literals;

namespace {

class Outcome final : public BackendResponseHandler
{
public:
    void head(std::uint32_t code, Headers /*headers*/) override { status = code; }
    void body(std::string /*data*/) override { }
    void finished() override { isFinished = true; }
    void failed(BackendError failure) override { error = failure; }

    std::uint32_t status = 0;
    bool isFinished = false;
    std::optional<BackendError> error;
};

} // namespace

TEST_CASE(
        "a thread that is late by more than the time limit of a connection: the request is either "
        "not sent, or not reported as not sent")
{
    BackendStub server(
            [](const StubRequest &, StubReply &reply) { reply.sendResponse(200, "{}"); });
    boost::asio::io_context context;
    BackendClientSettings settings;
    settings.connectTimeout = 10ms;
    BackendClient client(context, "127.0.0.1", server.port(), settings);
    const auto outcome = std::make_shared<Outcome>();
    const auto exchange = client.start({"POST", "/order/", {}, "ab", 2s}, outcome);
    std::this_thread::sleep_for(50ms);
    context.run_for(3s);
    const bool wasSent = !server.requests().empty();
    CHECK((outcome->isFinished || outcome->error.has_value()));
    if (outcome->error)
        CHECK(mayHaveBeenSent(*outcome->error) == wasSent);
    else
        CHECK(outcome->status == 200);
}

TEST_CASE("a request whose latest time to be written passes during the connecting is not sent")
{
    BackendStub server(
            [](const StubRequest &, StubReply &reply) { reply.sendResponse(200, "{}"); });
    boost::asio::io_context context;
    BackendClient client(context, "127.0.0.1", server.port());
    const auto outcome = std::make_shared<Outcome>();
    // Far longer than the test takes, as if the timers had stood still.
    BackendRequest request {"POST", "/usage", {}, "ab", 20s};
    request.writeBefore = timeSinceBoot() + 20ms;
    const auto exchange = client.start(std::move(request), outcome);
    std::this_thread::sleep_for(50ms);
    context.run_for(3s);
    CHECK(server.requests().empty());
    CHECK(outcome->error == BackendError::NotSent);
}
