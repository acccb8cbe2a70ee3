// Guards against an entry daemon that misses a configuration change, cannot get the configuration
// from its peers while the table is down, publishes a view without a configuration, or never calls
// the callback of a claim.

#include "controlthread.h"
#include "acceptance.h"
#include "answers.h"
#include "configurationfile.h"
#include "modelplatform.h"
#include "peernetwork.h"
#include "platformsession.h"

#include <doctest/doctest.h>

#include <atomic>
#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>

using namespace cornelshed;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// The control thread of an entry daemon, and the last view it published.
class Entry
{
public:
    Entry(const std::string &name, std::uint64_t incarnation, std::uint16_t peerPort,
          std::uint16_t platformPort)
        : m_control({name, incarnation, "zone-a", "127.0.0.1", peerPort, "127.0.0.1", platformPort,
                     CORNELSHED_SOURCE_DIR "/charts"},
                    [this](auto view) { viewChanged(std::move(view)); })
    {
        m_control.start();
    }

    std::shared_ptr<const ControlView> view()
    {
        const std::lock_guard lock(m_mutex);
        return m_view;
    }

    // Waits until the published view satisfies the predicate; false on timeout.
    template<typename Predicate>
    bool waitFor(std::chrono::milliseconds timeout, Predicate predicate)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, timeout,
                                  [&] { return m_view != nullptr && predicate(*m_view); });
    }

    bool waitForVersion(std::uint64_t version)
    {
        return waitFor(seconds(4), [&](const ControlView &it) {
            return it.routing->configuration->version >= version;
        });
    }

    ClaimResult claim(const std::string &key, RequestId request, std::uint64_t digest)
    {
        auto result = std::make_shared<std::promise<ClaimResult>>();
        m_control.claim({"org", key}, request, digest,
                        [result](ClaimResult it) { result->set_value(std::move(it)); });
        return result->get_future().get();
    }

    ControlThread &control() { return m_control; }

private:
    void viewChanged(std::shared_ptr<const ControlView> view)
    {
        const std::lock_guard lock(m_mutex);
        m_view = std::move(view);
        m_changed.notify_all();
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::shared_ptr<const ControlView> m_view;
    ControlThread m_control; // destroyed first: its callbacks use the members above
};

std::uint64_t accept(const testing::ModelPlatform &platform, const std::string &deployment)
{
    auto answers = std::get<Answers>(parseAnswers(questionnaireText(), "q"));
    answers.deployment = deployment;
    const std::string text = formatConfiguration(generateConfiguration(answers));
    PlatformSession session(platform.settings());
    const auto outcome = acceptConfiguration(session.table(), {text, "op", deployment});
    return std::get<Accepted>(outcome).version;
}

PlatformHost entryHost(const std::string &name, std::uint16_t peerPort)
{
    return {name, "127.0.0.1", 1, peerPort, "zone-a", "entry", "", "live"};
}

} // namespace

TEST_CASE("accepted configurations reach all entry daemons, and views follow the host list")
{
    testing::ModelPlatform platform;
    const std::uint16_t ports[] = {testing::freePort(), testing::freePort(), testing::freePort()};
    platform.setHosts({entryHost("a", ports[0]),
                       entryHost("b", ports[1]),
                       entryHost("c", ports[2]),
                       {"runner-1", "127.0.0.9", 5, 0, "zone-a", "agent", "writers", "live"},
                       {"runner-2", "127.0.0.9", 6, 0, "zone-a", "agent", "writers", "leaving"}});
    Entry a("a", 1, ports[0], platform.port());
    Entry b("b", 2, ports[1], platform.port());
    Entry c("c", 3, ports[2], platform.port());
    for (const char *name : {"first", "second"}) {
        const std::uint64_t version = accept(platform, name);
        for (Entry *it : {&a, &b, &c}) {
            REQUIRE(it->waitForVersion(version));
            CHECK(it->control().configurationVersion() == version);
            CHECK(it->view()->routing->configuration->deployment == name);
        }
    }
    REQUIRE(a.waitFor(seconds(4), [](const ControlView &it) { return it.agents.size() == 2; }));
    CHECK(a.view()->agents[1] == AgentAddress {"runner-2", "127.0.0.9", 6, "zone-a"});
    CHECK(a.view()->routing->leavingServers == std::vector<std::string> {"runner-2"});
    a.control().agentLeaving("runner-1");
    CHECK(a.waitFor(seconds(4),
                    [](const ControlView &it) { return it.routing->leavingServers.size() == 2; }));
}

TEST_CASE("a daemon that starts while the table is down gets the configuration from a peer")
{
    testing::ModelPlatform platform;
    const std::uint16_t ports[] = {testing::freePort(), testing::freePort()};
    platform.setHosts({entryHost("a", ports[0])}); // outdated host list: b is missing
    Entry a("a", 1, ports[0], platform.port());
    const std::uint64_t version = accept(platform, "first");
    REQUIRE(a.waitForVersion(version));
    platform.setTableDown(true);
    Entry b("b", 2, ports[1], platform.port());
    CHECK(b.waitForVersion(version));
}

TEST_CASE("a daemon publishes no view until it has received a configuration")
{
    testing::ModelPlatform platform;
    platform.setTableDown(true);
    Entry a("a", 1, testing::freePort(), platform.port());
    CHECK_FALSE(a.waitFor(seconds(1), [](const ControlView &) { return true; }));
    CHECK(a.control().configurationVersion() == 0);
    platform.setTableDown(false);
    CHECK(a.waitForVersion(accept(platform, "first")));
}

TEST_CASE("claims exclude each other across entry daemons, and fail while the table is down")
{
    testing::ModelPlatform platform;
    Entry a("a", 1, testing::freePort(), platform.port());
    Entry b("b", 2, testing::freePort(), platform.port());
    CHECK(a.claim("k", {1, 1}, 7).verdict == ClaimVerdict::Claimed);
    CHECK(b.claim("k", {2, 1}, 7).verdict == ClaimVerdict::Open);
    CHECK(b.claim("k", {2, 2}, 8).verdict == ClaimVerdict::BodyMismatch);
    const StoredResponse answer {201, "application/json", "{\"n\":\"\xc3\xa9\"}"};
    a.control().finishClaim({"org", "k"}, {1, 1}, answer);
    ClaimResult result;
    for (std::uint64_t n = 3; n < 103 && result.verdict != ClaimVerdict::Finished; ++n)
        result = b.claim("k", {2, n}, 7);
    CHECK(result == ClaimResult {ClaimVerdict::Finished, answer});
    platform.setTableDown(true);
    CHECK(a.claim("other", {1, 2}, 7).verdict == ClaimVerdict::Unavailable);
}

TEST_CASE("the callback of each claim runs even if the thread stops first")
{
    int calls = 0;
    {
        testing::ModelPlatform platform;
        Entry a("a", 1, testing::freePort(), platform.port());
        for (std::uint64_t n = 0; n < 50; ++n)
            a.control().claim({"org", std::to_string(n)}, {1, n}, 0, [&](auto) { ++calls; });
    }
    CHECK(calls == 50);
}

TEST_CASE("start throws if the port for peers is in use")
{
    testing::ModelPlatform platform;
    const std::uint16_t port = testing::freePort();
    Entry a("a", 1, port, platform.port());
    CHECK_THROWS_AS(Entry("b", 2, port, platform.port()), PeerNetworkError);
}

TEST_CASE("a message over the size limit closes only the connection it came on")
{
    std::atomic<int> received {0};
    std::atomic<bool> stopping {false};
    std::promise<std::uint16_t> port;
    // KJ allows one event loop per thread, so the server needs its own thread.
    std::thread serverThread([&] {
        PeerHandlers handlers;
        handlers.version = [] { return 5; };
        handlers.spreadReceived = [&](const auto &, const PropagationMessage &) {
            ++received;
            return std::vector<PropagationMessage>();
        };
        PeerNetworkSettings settings;
        settings.listenAddress = "127.0.0.1";
        settings.messageLimitBytes = 65536;
        PeerNetwork server(settings, handlers);
        port.set_value(server.port());
        for (; !stopping; std::this_thread::sleep_for(milliseconds(1)))
            server.poll();
    });
    {
        PeerHandlers handlers;
        handlers.spreadReplied = [](const auto &, const auto &) {};
        PeerNetwork client({"client", "", 0}, handlers);
        client.setPeers({{"server", "127.0.0.1", port.get_future().get()}});
        const auto queryPeerVersion = [&client] {
            std::optional<std::uint64_t> version;
            bool done = false;
            client.queryVersion("server", [&](auto it) {
                version = it;
                done = true;
            });
            for (; !done; std::this_thread::sleep_for(milliseconds(1)))
                client.poll(); // the call's timeout bounds this loop
            return version;
        };
        CHECK(queryPeerVersion() == 5);
        client.sendSpread("server",
                          ConfigurationUpdate {1, "d", 0, 0, 0, std::string(100000, 'x')});
        // The query uses the same connection, which the server closes.
        CHECK(queryPeerVersion() == std::nullopt);
        CHECK(queryPeerVersion() == 5);
        client.sendSpread("server", ConfigurationUpdate {1, "d", 0, 0, 0, std::string(10000, 'x')});
        CHECK(queryPeerVersion() == 5);
    }
    stopping = true;
    serverThread.join();
    CHECK(received == 1);
}
