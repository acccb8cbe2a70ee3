// Program cornelshed-capacity: measures the unit costs ("slopes") from which docs/CAPACITY.md
// extrapolates: the size of each control message, and the processor time and memory per known
// agent, waiting request, organisation and configuration change. All measured code runs in this
// process, so the figures hold for the machine that runs it.

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

void printSlope(const char *name, double value, const char *unit)
{
    std::printf("slope name=%s value=%.4g unit=%s\n", name, value, unit);
}

// Number of bytes that the C library reports as allocated on the heap, including mapped blocks.
double heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

// Processor time of this process. Unlike elapsed time it hardly depends on other load on the
// machine.
double cpuMicros()
{
    return static_cast<double>(std::clock()) * 1e6 / CLOCKS_PER_SEC;
}

Welcome makeWelcome(int n)
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

Configuration makeConfiguration(int organisations)
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

Reserve makeReserve(std::uint64_t n)
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
    const auto printFrameSize = [](const char *name, const auto &message) {
        printSlope(name, static_cast<double>(encodeFrame(message).size()), "bytes");
    };
    printFrameSize("message_reserve", EntryMessage(makeReserve(1)));
    printFrameSize("message_withdraw", EntryMessage(Withdraw {{77, 1}}));
    printFrameSize("message_decline", EntryMessage(Decline {{77, 1}, {5, 1}}));
    printFrameSize("message_grant", AgentMessage(Grant {{77, 1}, {5, 1}, {}, {}, load}));
    printFrameSize("message_load", AgentMessage(Load {load}));
    printFrameSize("message_welcome", AgentMessage(makeWelcome(1)));
    printFrameSize("message_finished", AgentMessage(Finished {{77, 1}, {}, load}));

    constexpr int count = 100000;
    std::size_t total = 0;
    const double start = cpuMicros();
    for (int n = 0; n < count; ++n) {
        const std::string frame =
                encodeFrame(EntryMessage(makeReserve(static_cast<std::uint64_t>(n))));
        total += std::get<EntryMessage>(
                         decodeEntryMessage(std::string_view(frame).substr(frameHeaderBytes), {}))
                         .index();
    }
    printSlope("cpu_reserve_encode_and_decode", (cpuMicros() - start) / count, "us");
    if (total == 0)
        std::terminate(); // cannot happen: every message is a Reserve, whose index is not 0
}

void measureConfiguration(int organisations)
{
    const Configuration configuration = makeConfiguration(organisations);
    const std::string text = formatConfiguration(configuration);
    printSlope("configuration_text", static_cast<double>(text.size()), "bytes");
    printSlope("configuration_text_per_organisation",
               static_cast<double>(text.size()) / organisations, "bytes");
    const double heapBefore = heapBytes();
    const double start = cpuMicros();
    const auto parsed = parseConfiguration(text, "capacity.toml");
    printSlope("cpu_configuration_parse", (cpuMicros() - start) / 1000, "ms");
    printSlope("memory_configuration_per_organisation", (heapBytes() - heapBefore) / organisations,
               "bytes");
    if (!std::holds_alternative<Configuration>(parsed))
        std::printf("slope name=configuration_parse error=%s\n",
                    std::get<TomlProblems>(parsed).front().toString().c_str());
}

RequestArrival makeArrival(std::uint64_t n, Instant now)
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
    view->configuration = std::make_shared<const Configuration>(makeConfiguration(100));
    SeededRandom random(1);
    Instant now {std::chrono::hours(1)};
    EntryLimits limits;
    limits.waitingRequestLimit = 1000000;
    const double heapBefore = heapBytes();
    EntryScheduler scheduler(limits, view, random);
    double start = cpuMicros();
    for (int n = 0; n < agents; ++n)
        scheduler.connected(makeWelcome(n), now);
    printSlope("cpu_agent_connected", (cpuMicros() - start) / agents, "us");
    printSlope("memory_entry_per_agent", (heapBytes() - heapBefore) / agents, "bytes");

    start = cpuMicros();
    constexpr int reports = 100000;
    for (int n = 0; n < reports; ++n) {
        now += std::chrono::microseconds(10);
        scheduler.handle(makeWelcome(n % agents).backendServer, Load {{2, 1, 4000, 8000, 60, 16}},
                         now);
    }
    printSlope("cpu_entry_per_load_report", (cpuMicros() - start) / reports, "us");

    const double heapBeforeWaiting = heapBytes();
    constexpr int requests = 20000;
    start = cpuMicros();
    for (int n = 0; n < requests; ++n)
        scheduler.submit(makeArrival(static_cast<std::uint64_t>(n) + 1, now), now);
    printSlope("cpu_entry_submit", (cpuMicros() - start) / requests, "us");
    printSlope("memory_entry_per_waiting_request", (heapBytes() - heapBeforeWaiting) / requests,
               "bytes");

    start = cpuMicros();
    auto changed = std::make_shared<RoutingView>(*view);
    scheduler.setView(changed, now);
    printSlope("cpu_entry_view_change", (cpuMicros() - start) / 1000, "ms");
}

void measureAgent()
{
    const Configuration configuration = makeConfiguration(10);
    Welcome identity = makeWelcome(1);
    AgentLimits limits;
    limits.reservationLimit = 1000000;
    AgentScheduler agent(limits, identity, configuration.tiers);
    Instant now {std::chrono::hours(1)};
    constexpr int sessions = 38;
    const double heapBefore = heapBytes();
    for (SessionId n = 1; n <= sessions; ++n)
        agent.sessionOpened(n, {"entry-" + std::to_string(n), n, 1}, now);
    agent.serverReachable(true, now);
    printSlope("memory_agent_per_session", (heapBytes() - heapBefore) / sessions, "bytes");
    constexpr int reservations = 20000;
    const double heapBeforeReservations = heapBytes();
    const double start = cpuMicros();
    for (int n = 0; n < reservations; ++n)
        agent.handle(1 + static_cast<SessionId>(n % sessions),
                     makeReserve(static_cast<std::uint64_t>(n) + 1), now);
    printSlope("cpu_agent_reserve", (cpuMicros() - start) / reservations, "us");
    printSlope("memory_agent_per_reservation",
               (heapBytes() - heapBeforeReservations) / reservations, "bytes");
}

void measureBurn(int organisations)
{
    BurnCounter counter;
    const double heapBefore = heapBytes();
    Instant now {std::chrono::hours(1)};
    for (int hour = 0; hour < 72; ++hour) {
        for (int n = 0; n < std::min(organisations, 1000); ++n)
            counter.record(0, "organisation-" + std::to_string(n), true, now);
        now += std::chrono::hours(1);
    }
    printSlope("memory_burn_1000_organisations", heapBytes() - heapBefore, "bytes");
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
