// Guards against gateway processes that do not report their usage, or report it twice or with
// different counts, when the one that has the duties is killed, and against a gateway without the
// settings for duties that reads or writes their row.

#include "childprocess.h"
#include "gatewayfixture.h"
#include "modelplatform.h"
#include "storestub.h"

#include <boost/json.hpp>
#include <boost/system/system_error.hpp>

#include <doctest/doctest.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <thread>

using namespace cornelshed;
using namespace cornelshed::testing;
using namespace std::chrono_literals;

namespace {

class Folder
{
public:
    Folder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "duties-XXXXXX").string();
        REQUIRE(::mkdtemp(name.data()) != nullptr);
        path = name;
    }
    ~Folder() { std::filesystem::remove_all(path); }
    Folder(const Folder &) = delete;
    Folder &operator=(const Folder &) = delete;

    std::filesystem::path path;
};

// A gateway process. cloudPort: of the platform's endpoint; 0: no duties.
class Process
{
public:
    Process(const std::string &gateway, const Folder &folder, std::uint16_t storePort,
            std::uint16_t cloudPort)
        : name(gateway), port(freePort()),
          m_child(CORNELSHED_BINARY_DIR "/cornelshed-gatewayd",
                  {"--settings", writeSettings(folder, storePort, cloudPort)},
                  (folder.path / (gateway + ".log")).string())
    { }

    // Status of a request; 0: no answer.
    int send(const std::string &id) const
    {
        try {
            Caller caller(port);
            caller.send(requestText("GET", "/look/a", id));
            return caller.receive().status;
        } catch (const boost::system::system_error &) {
            return 0; // it does not listen yet
        }
    }

    void kill()
    {
        m_child.sendSignal(SIGKILL);
        m_child.waitForExit(5s);
    }
    // Suspends the process, or resumes it.
    void suspend(bool suspended) { m_child.sendSignal(suspended ? SIGSTOP : SIGCONT); }
    std::optional<int> terminate()
    {
        m_child.sendSignal(SIGTERM);
        return m_child.waitForExit(10s);
    }

    const std::string name;
    const std::uint16_t port;

private:
    std::string writeSettings(const Folder &folder, std::uint16_t storePort,
                              std::uint16_t cloudPort) const
    {
        const auto address = [](std::uint16_t number) {
            return "\"127.0.0.1:" + std::to_string(number) + "\"\n";
        };
        std::string file = (folder.path / (name + ".toml")).string();
        std::ofstream out(file);
        out << "[gateway]\nname = \"" << name
            << "\"\navailability_zone = \"a\"\nlisten = " << address(port)
            << "readiness = " << address(freePort())
            << "peer_address = \"127.0.0.1\"\npeer_port = " << freePort()
            << "\ncharts_directory = \"" CORNELSHED_SOURCE_DIR "/charts\"\n"
            << "[platform]\naddress = " << address(storePort)
            << "[bounds]\nshutdown_timeout_ms = 3000\nlease_ms = 1200\nthaw_ms = 100\n"
            << "window_s = 1\nusage_late_s = 6\n";
        if (cloudPort != 0)
            out << "[cloud]\naddress = " << address(cloudPort) << "duties = [\"usage_report\"]\n";
        return file;
    }

    cornelshed::demo::ChildProcess m_child;
};

// Waits for 20 s at most.
template<typename Condition> bool waitUntil(Condition condition)
{
    for (int n = 0; n < 1000; ++n) {
        if (condition())
            return true;
        std::this_thread::sleep_for(20ms);
    }
    return false;
}

// The store, a backend server and the platform's endpoint.
class Site
{
public:
    Site()
        : server(sendCompleteResponse),
          cloud([](const StubRequest &, StubReply &reply) { reply.sendResponse(200, "{}"); })
    {
        store.set(RowTable::Orders, "config",
                  R"({"version":1,"routes":[{"name":"look","host":"shop.example",)"
                  R"("prefix":"/look/","kind":"idempotent","service":"writer",)"
                  R"("timeout_ms":3000,"target_latency_ms":2000,"max_attempts":2}],)"
                  R"("services":[{"name":"writer"}],)"
                  R"("tenants":[{"name":"acme","api_keys":["key-1"]}]})");
        store.set(RowTable::Backends, "i-1",
                  R"({"service":"writer","address":"127.0.0.1:)" + std::to_string(server.port())
                          + R"(","zone":"a","version":"v1","slots":50,"born":1000,)"
                          + R"("state":"ready"})");
    }

    std::string holder() const
    {
        return headerValue(cloud.requests().back().headers, "X-Duty-Holder");
    }

    // Checks that no call has a lower number than one before it.
    void checkNumbers() const
    {
        std::uint64_t highest = 0;
        for (const StubRequest &it : cloud.requests()) {
            const std::uint64_t number = std::stoull(headerValue(it.headers, "X-Fence-Token"));
            CHECK(number >= highest);
            highest = std::max(highest, number);
        }
    }

    // Requests that were reported, each window once; checks that no window has different counts.
    std::uint64_t reported() const
    {
        std::map<std::int64_t, std::pair<std::string, std::uint64_t>> windows;
        for (const StubRequest &it : cloud.requests()) {
            const auto body = boost::json::parse(it.body).as_object();
            const auto window = body.at("window").to_number<std::int64_t>();
            const auto *count = body.at("counts").as_object().if_contains("acme");
            const auto value = count == nullptr ? 0 : count->to_number<std::uint64_t>();
            CHECK(windows.emplace(window, std::pair(it.body, value)).first->second.first
                  == it.body);
        }
        std::uint64_t sum = 0;
        for (const auto &[window, text] : windows)
            sum += text.second;
        return sum;
    }

    Folder folder;
    StoreStub store;
    BackendStub server;
    BackendStub cloud;
};

} // namespace

TEST_CASE("usage of two gateway processes is reported once, also after the holder was killed")
{
    Site site;
    Process first("gateway-1", site.folder, site.store.port(), site.cloud.port());
    Process second("gateway-2", site.folder, site.store.port(), site.cloud.port());
    std::uint64_t begun = 0;
    const auto send = [&](const Process &gateway, const std::string &id) {
        const bool answered = gateway.send(id) == 200;
        begun += answered ? 1 : 0;
        return answered;
    };
    // Until a gateway has read the configuration, it runs nothing.
    REQUIRE(waitUntil([&] { return send(first, "ready-1"); }));
    REQUIRE(waitUntil([&] { return send(second, "ready-2"); }));
    for (int n = 0; n < 40; ++n) {
        CHECK(send(first, "a-" + std::to_string(n)));
        CHECK(send(second, "b-" + std::to_string(n)));
        std::this_thread::sleep_for(20ms);
    }
    REQUIRE(waitUntil([&] { return site.reported() == begun; }));
    const std::string holder = site.holder();
    Process &killed = holder == first.name ? first : second;
    Process &survivor = holder == first.name ? second : first;
    killed.kill();
    for (int n = 0; n < 40; ++n) {
        CHECK(send(survivor, "c-" + std::to_string(n)));
        std::this_thread::sleep_for(20ms);
    }
    CHECK(waitUntil([&] { return site.reported() == begun; }));
    CHECK(site.holder() == survivor.name);
    site.checkNumbers();
    CHECK(survivor.terminate() == 0);
}

TEST_CASE("a process that was suspended while it had the duties does not act on them afterwards")
{
    Site site;
    Process first("gateway-1", site.folder, site.store.port(), site.cloud.port());
    Process second("gateway-2", site.folder, site.store.port(), site.cloud.port());
    REQUIRE(waitUntil([&] { return first.send("ready-1") == 200; }));
    REQUIRE(waitUntil([&] { return second.send("ready-2") == 200; }));
    REQUIRE(waitUntil([&] { return !site.cloud.requests().empty(); }));
    const std::string holder = site.holder();
    Process &suspended = holder == first.name ? first : second;
    suspended.suspend(true);
    CHECK(waitUntil([&] { return site.holder() != holder; }));
    suspended.suspend(false);
    std::this_thread::sleep_for(4s);
    CHECK(site.holder() != holder);
    site.checkNumbers();
    CHECK(site.reported() == 2);
}

TEST_CASE("a gateway without settings for duties neither reads nor writes their row")
{
    Site site;
    Process gateway("gateway-1", site.folder, site.store.port(), 0);
    REQUIRE(waitUntil([&] { return gateway.send("ready") == 200; }));
    std::this_thread::sleep_for(2s);
    for (const StubRequest &it : site.store.requests()) {
        CHECK(it.target.find("duties") == std::string::npos);
        CHECK(it.body.find("duties") == std::string::npos);
    }
    CHECK(site.cloud.requests().empty());
    CHECK(gateway.terminate() == 0);
}
