// Measures the slopes that docs/CAPACITY.md extrapolates from: bytes of each control message,
// processor time and memory per known agent, per waiting request, per organisation and per
// configuration change. Everything runs in this process; figures are of the machine it runs on.

#include "agentscheduler.h"
#include "burn.h"
#include "configurationfile.h"
#include "entryscheduler.h"
#include "wirecodec.h"

#include <docopt/docopt.h>

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <exception>
#include <memory>
#include <string>
#include <vector>

using namespace cornelshed;

namespace {

constexpr const char *usageText = R"(Measures slopes for the capacity page.

Usage:
  cornelshed-capacity [--agents=N] [--organisations=N]
  cornelshed-capacity --help
  cornelshed-capacity --version

Options:
  --agents=N         Agents known to one entry daemon [default: 1200].
  --organisations=N  Organisations of the configuration [default: 31000].
  --help             Show this text.
  --version          Show the version.

Prints one line for each figure: slope name=<id> value=<n> unit=<u>.
)";

void print(const char *name, double value, const char *unit)
{
    std::printf("slope name=%s value=%.4g unit=%s\n", name, value, unit);
}

// Bytes allocated on the heap, by the C library's count.
double heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

// Processor time of this process, which other load on the machine does not change much.
double cpuMicros()
{
    return static_cast<double>(std::clock()) * 1e6 / CLOCKS_PER_SEC;
}

Welcome welcomeOf(int n)
{
    Welcome welcome;
    welcome.backendServer = {"runner-" + std::to_string(n),
                             1000000ULL + static_cast<std::uint64_t>(n)};
    welcome.pool = "writers-g" + std::to_string(n % 3);
    welcome.availabilityZone = "zone-" + std::to_string(n % 4);
    welcome.version = "v1";
    welcome.models = {"model-" + std::to_string(n % 34)};
    welcome.load = {2, 1, 4000, 8000, 60, 16};
    return welcome;
}

Configuration configurationOf(int organisations)
{
    Configuration configuration;
    configuration.deployment = "capacity";
    configuration.tiers = {{"orders", 0, 0}, {"quotes", 1, 0.1}, {"archive", 2, 0.05}};
    for (int n = 0; n < organisations; ++n)
        configuration.organisations.push_back(
                {"organisation-" + std::to_string(n), configuration.tiers[n % 3].name, 1});
    for (int n = 0; n < 4; ++n)
        configuration.availabilityZones.push_back({"zone-" + std::to_string(n), "region-1"});
    for (int n = 0; n < 3; ++n) {
        PoolSettings pool;
        pool.name = "writers-g" + std::to_string(n);
        pool.generation = "g" + std::to_string(n);
        for (int model = 0; model < 34; ++model)
            pool.models.push_back("model-" + std::to_string(model));
        configuration.pools.push_back(pool);
    }
    configuration.routes.push_back({"/v1/completions", {"writers-g0", "writers-g1", "writers-g2"}});
    return configuration;
}

Reserve reserveOf(std::uint64_t n)
{
    Reserve reserve;
    reserve.request = {77, n};
    reserve.organisation = "organisation-12345";
    reserve.route = "/v1/completions";
    reserve.model = "model-1";
    reserve.promptTokens = 1200;
    reserve.outputTokens = 300;
    reserve.remaining = std::chrono::seconds(30);
    reserve.prefixHashes = {1, 2, 3, 4};
    return reserve;
}

void measureMessages()
{
    const LoadReport load {2, 1, 4000, 8000, 60, 16};
    const auto bytes = [](const char *name, const auto &message) {
        print(name, static_cast<double>(encodeFrame(message).size()), "bytes");
    };
    bytes("message_reserve", EntryMessage(reserveOf(1)));
    bytes("message_withdraw", EntryMessage(Withdraw {{77, 1}}));
    bytes("message_decline", EntryMessage(Decline {{77, 1}, {5, 1}}));
    bytes("message_grant", AgentMessage(Grant {{77, 1}, {5, 1}, {}, {}, load}));
    bytes("message_load", AgentMessage(Load {load}));
    bytes("message_welcome", AgentMessage(welcomeOf(1)));
    bytes("message_finished", AgentMessage(Finished {{77, 1}, {}, load}));

    constexpr int count = 100000;
    std::size_t total = 0;
    const double start = cpuMicros();
    for (int n = 0; n < count; ++n) {
        const std::string frame =
                encodeFrame(EntryMessage(reserveOf(static_cast<std::uint64_t>(n))));
        total += std::get<EntryMessage>(
                         decodeEntryMessage(std::string_view(frame).substr(frameHeaderBytes), {}))
                         .index();
    }
    print("cpu_reserve_encode_and_decode", (cpuMicros() - start) / count, "us");
    if (total == 0)
        std::terminate(); // every message is a Reserve, whose index is not 0
}

void measureConfiguration(int organisations)
{
    const Configuration configuration = configurationOf(organisations);
    const std::string text = formatConfiguration(configuration);
    print("configuration_text", static_cast<double>(text.size()), "bytes");
    print("configuration_text_per_organisation", static_cast<double>(text.size()) / organisations,
          "bytes");
    const double heap = heapBytes();
    const double start = cpuMicros();
    const auto parsed = parseConfiguration(text, "capacity.toml");
    print("cpu_configuration_parse", (cpuMicros() - start) / 1000, "ms");
    print("memory_configuration_per_organisation", (heapBytes() - heap) / organisations, "bytes");
    if (!std::holds_alternative<Configuration>(parsed))
        std::printf("slope name=configuration_parse error=%s\n",
                    std::get<TomlProblems>(parsed).front().toString().c_str());
}

RequestArrival arrivalOf(std::uint64_t n, Instant now)
{
    RequestArrival arrival;
    arrival.request = {77, n};
    arrival.organisation = "organisation-1";
    arrival.route = "/v1/completions";
    arrival.model = "model-1";
    arrival.promptTokens = 1200;
    arrival.outputTokens = 300;
    arrival.deadline = now + std::chrono::seconds(60);
    return arrival;
}

void measureEntry(int agents)
{
    auto view = std::make_shared<RoutingView>();
    view->configuration = std::make_shared<const Configuration>(configurationOf(100));
    SeededRandom random(1);
    Instant now {std::chrono::hours(1)};
    EntryLimits limits;
    limits.waitingRequestLimit = 1000000;
    const double before = heapBytes();
    EntryScheduler scheduler(limits, view, random);
    double start = cpuMicros();
    for (int n = 0; n < agents; ++n)
        scheduler.connected(welcomeOf(n), now);
    print("cpu_agent_connected", (cpuMicros() - start) / agents, "us");
    print("memory_entry_per_agent", (heapBytes() - before) / agents, "bytes");

    start = cpuMicros();
    constexpr int reports = 100000;
    for (int n = 0; n < reports; ++n) {
        now += std::chrono::microseconds(10);
        scheduler.handle(welcomeOf(n % agents).backendServer, Load {{2, 1, 4000, 8000, 60, 16}},
                         now);
    }
    print("cpu_entry_per_load_report", (cpuMicros() - start) / reports, "us");

    const double waitingHeap = heapBytes();
    constexpr int requests = 20000;
    start = cpuMicros();
    for (int n = 0; n < requests; ++n)
        scheduler.submit(arrivalOf(static_cast<std::uint64_t>(n) + 1, now), now);
    print("cpu_entry_submit", (cpuMicros() - start) / requests, "us");
    print("memory_entry_per_waiting_request", (heapBytes() - waitingHeap) / requests, "bytes");

    start = cpuMicros();
    auto changed = std::make_shared<RoutingView>(*view);
    scheduler.setView(changed, now);
    print("cpu_entry_view_change", (cpuMicros() - start) / 1000, "ms");
}

void measureAgent()
{
    const Configuration configuration = configurationOf(10);
    Welcome identity = welcomeOf(1);
    AgentLimits limits;
    limits.reservationLimit = 1000000;
    AgentScheduler agent(limits, identity, configuration.tiers);
    Instant now {std::chrono::hours(1)};
    constexpr int sessions = 38;
    const double before = heapBytes();
    for (SessionId n = 1; n <= sessions; ++n)
        agent.sessionOpened(n, {"entry-" + std::to_string(n), n, 1}, now);
    agent.serverReachable(true, now);
    print("memory_agent_per_session", (heapBytes() - before) / sessions, "bytes");
    constexpr int reservations = 20000;
    const double heap = heapBytes();
    const double start = cpuMicros();
    for (int n = 0; n < reservations; ++n)
        agent.handle(1 + static_cast<SessionId>(n % sessions),
                     reserveOf(static_cast<std::uint64_t>(n) + 1), now);
    print("cpu_agent_reserve", (cpuMicros() - start) / reservations, "us");
    print("memory_agent_per_reservation", (heapBytes() - heap) / reservations, "bytes");
}

void measureBurn(int organisations)
{
    BurnCounter counter;
    const double before = heapBytes();
    Instant now {std::chrono::hours(1)};
    for (int hour = 0; hour < 72; ++hour) {
        for (int n = 0; n < std::min(organisations, 1000); ++n)
            counter.record(0, "organisation-" + std::to_string(n), true, now);
        now += std::chrono::hours(1);
    }
    print("memory_burn_1000_organisations", heapBytes() - before, "bytes");
}

} // namespace

int main(int argc, char **argv)
{
    auto arguments = docopt::docopt(usageText, {argv + 1, argv + argc}, true,
                                    "cornelshed-capacity " CORNELSHED_VERSION);
    const int agents = std::max(1, static_cast<int>(arguments["--agents"].asLong()));
    const int organisations = std::max(1, static_cast<int>(arguments["--organisations"].asLong()));
    measureMessages();
    measureConfiguration(organisations);
    measureEntry(agents);
    measureAgent();
    measureBurn(organisations);
    return 0;
}
