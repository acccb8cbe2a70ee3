// Guards against deadly requests that go on crashing the few servers of a service because their
// crashes came together: several under way at the same moment, or two of different content at once.
// The users allow three further requests after the third crash.

#include "crashingservers.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <cstdlib>
#include <future>
#include <string>
#include <vector>

using namespace cornelshed;
using namespace cornelshed::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t furtherRequestsAllowed = 3;
constexpr auto downTime = 1200ms;
constexpr auto turn = 400ms; // of a gateway, with a request on probation

// Sends one request with each of the bodies to each gateway at the same moment.
std::vector<std::future<CallerAnswer>> sendAtOnce(CrashingServers &fixture,
                                                  const std::vector<std::string> &bodies)
{
    std::vector<std::future<CallerAnswer>> answers;
    for (std::size_t n = 0; n < fixture.gateways.size(); ++n) {
        for (const std::string &it : bodies)
            answers.push_back(fixture.requestAsync(n, it));
    }
    return answers;
}

// Sends them again and again, as callers do that do not wait for their answers.
void sendForAWhile(CrashingServers &fixture, const std::vector<std::string> &bodies)
{
    std::vector<std::future<CallerAnswer>> answers;
    for (int n = 0; n < 80; ++n) {
        for (auto &it : sendAtOnce(fixture, bodies))
            answers.push_back(std::move(it));
        std::this_thread::sleep_for(60ms);
    }
    for (auto &it : answers)
        it.get();
    REQUIRE(fixture.waitUntil([&] { return fixture.allUp(); }));
}

// Sends the request, and once more after the Retry-After of a refusal, which may be as long as the
// gateways take to have a turn each.
CallerAnswer requestInTurn(CrashingServers &fixture, const std::string &body)
{
    CallerAnswer first = fixture.request(0, body);
    if (first.status != 503)
        return first;
    const auto wait = std::chrono::duration<double>(
            std::atof(headerValue(first.headers, "Retry-After").c_str()));
    CHECK(wait <= turn * fixture.gateways.size());
    std::this_thread::sleep_for(wait);
    return fixture.request(0, body);
}

} // namespace

TEST_CASE("a request that crashes all servers at the same moment crashes at most three more")
{
    CrashingServers fixture({"deadly"}, downTime, 20ms, 3);
    fixture.crashTogether = true;
    std::vector<std::future<CallerAnswer>> first;
    for (int n = 0; n < 3; ++n) {
        for (auto &it : sendAtOnce(fixture, {"deadly"}))
            first.push_back(std::move(it));
    }
    REQUIRE(fixture.waitUntil([&] { return fixture.crashes() == CrashingServers::serverCount; }));
    fixture.crashTogether = false;
    for (auto &it : first)
        CHECK(it.get().status != 200);
    sendForAWhile(fixture, {"deadly"});
    CHECK(fixture.furtherArrivals("deadly") <= furtherRequestsAllowed);
    CHECK(fixture.request(0, "sound").status == 200);
    CHECK(fixture.arrivals("sound") == 1);
}

TEST_CASE("two requests that crash the same servers are both held back, and a sound one that was "
          "cut beside them is answered in the next turn of its gateway")
{
    CrashingServers fixture({"deadly1", "deadly2"}, downTime, 20ms, 3);
    fixture.soundRun = 30ms;
    sendForAWhile(fixture, {"deadly1", "sound", "deadly2"});
    CHECK(fixture.furtherArrivals("deadly1") <= furtherRequestsAllowed);
    CHECK(fixture.furtherArrivals("deadly2") <= furtherRequestsAllowed);
    const std::size_t before = fixture.arrivals("sound");
    CHECK(requestInTurn(fixture, "sound").status == 200);
    CHECK(fixture.arrivals("sound") == before + 1);
}
