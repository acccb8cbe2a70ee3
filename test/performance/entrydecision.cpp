// Checks the CPU time of a scheduling decision among 1,200 backend servers, the number that one
// entry daemon is connected to at the target size, and that memory use does not grow with the
// number of requests served.

#include "entryscheduler.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <ctime>
#include <malloc.h>
#include <new>

using namespace cornelshed;

namespace {

std::size_t liveBytes = 0;

} // namespace

[[gnu::noinline]] void *operator new(std::size_t size)
{
    void *memory = std::malloc(size); // NOLINT: replaces the global operator
    if (memory == nullptr)
        throw std::bad_alloc();
    liveBytes += malloc_usable_size(memory);
    return memory;
}

[[gnu::noinline]] void operator delete(void *memory) noexcept
{
    liveBytes -= malloc_usable_size(memory);
    std::free(memory); // NOLINT
}

void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    operator delete(memory);
}

namespace {

constexpr std::size_t serverCount = 1200;
constexpr std::uint64_t backlog = 200;

std::shared_ptr<const RoutingView> makeView()
{
    auto configuration = std::make_shared<Configuration>();
    configuration->availabilityZones = {{"z0", "r"}, {"z1", "r"}, {"z2", "r"}};
    configuration->pools = {{"p", PoolKind::Engine, "g", {"m"}}};
    configuration->routes = {{"/r", {"p"}}};
    auto view = std::make_shared<RoutingView>();
    view->configuration = configuration;
    view->versionShares = {{"rollout", "p", "v1", "v2", {}, 0.05, false}};
    return view;
}

// CPU time of this thread. Wall-clock time includes the time slices of other processes: these are a
// hundred times the target, and on a busy machine they hit more than 1% of the decisions.
double threadCpuMicros()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

double takePercentile99(std::vector<double> &micros)
{
    const auto position = micros.begin() + static_cast<std::ptrdiff_t>(micros.size() * 99 / 100);
    std::nth_element(micros.begin(), position, micros.end());
    const double result = *position;
    micros.clear();
    return result;
}

// Median over the rounds: other processes share the CPU caches and slow single rounds down.
double median(std::vector<double> rounds)
{
    std::sort(rounds.begin(), rounds.end());
    return rounds[rounds.size() / 2];
}

// Drives a scheduler whose agents answer at once, and measures each of its calls.
class DecisionBenchmark
{
public:
    DecisionBenchmark() : m_random(1), m_scheduler(EntryLimits(), makeView(), m_random)
    {
        for (std::size_t i = 0; i < serverCount; ++i) {
            const LoadReport load {4, 0, 8000, 9000, 40.0 + static_cast<double>(i % 3), 16};
            m_scheduler.connected({{"runner-" + std::to_string(i), i + 1},
                                   "p",
                                   "z" + std::to_string(i % 3),
                                   i % 10 == 0 ? "v2" : "v1",
                                   {"m"},
                                   1,
                                   load},
                                  m_now);
        }
        submitMicros.reserve(20000);
        handleMicros.reserve(80000);
    }

    // Submits one request; grants and finishes the one submitted `backlog` requests earlier.
    void serveRequest()
    {
        m_now += Duration(500);
        const RequestArrival next = arrival();
        m_waiting.push_back(measure(submitMicros, [&] { return m_scheduler.submit(next, m_now); }));
        if (m_waiting.size() <= backlog)
            return;
        const EntryActions reserved = m_waiting.front();
        m_waiting.erase(m_waiting.begin());
        SendToAgent dispatched;
        for (const EntryAction &it : reserved) {
            const auto &sent = std::get<SendToAgent>(it);
            const Grant grant {std::get<Reserve>(sent.message).request,
                               {1, ++m_grants},
                               {},
                               {},
                               {4, 0, 8000, 9000, 40, 16}};
            const auto actions = measure(handleMicros, [&] {
                return m_scheduler.handle(sent.backendServer, grant, m_now);
            });
            if (it == reserved.front())
                dispatched = std::get<SendToAgent>(actions.front());
        }
        const Finished finished {
                std::get<Dispatch>(dispatched.message).request,
                {3000, 200, 1024, {}, std::chrono::milliseconds(200), std::chrono::seconds(5)},
                {4, 0, 8000, 9000, 40, 16}};
        measure(handleMicros,
                [&] { return m_scheduler.handle(dispatched.backendServer, finished, m_now); });
        // Adds an extra reservation to a request that has waited for a grant too long.
        measure(submitMicros, [&] { return m_scheduler.tick(m_now); });
    }

    // CPU time of each call since the vectors were last cleared, in microseconds.
    std::vector<double> submitMicros; // submit() and tick()
    std::vector<double> handleMicros; // handle(): grants and finished requests

private:
    RequestArrival arrival()
    {
        RequestArrival result;
        result.request = {1, ++m_sequence};
        result.organisation = "organisation-" + std::to_string(m_sequence % 500);
        result.tier = m_sequence % 3;
        result.route = "/r";
        result.model = "m";
        result.promptTokens = 3000;
        result.outputTokens = 200;
        result.deadline = m_now + std::chrono::seconds(60);
        result.prefixTokensPerHash = 128;
        for (std::uint64_t i = 0; i < 23; ++i) // the first 8 are shared within an organisation
            result.prefixHashes.push_back(i < 8 ? (m_sequence % 500) * 100 + i
                                                : m_sequence * 1000 + i + (1ULL << 40U));
        return result;
    }

    template<typename Decision> EntryActions measure(std::vector<double> &micros, Decision decision)
    {
        const double start = threadCpuMicros();
        EntryActions actions = decision();
        micros.push_back(threadCpuMicros() - start);
        return actions;
    }

    SeededRandom m_random;
    EntryScheduler m_scheduler;
    Instant m_now {};
    std::uint64_t m_sequence = 0;
    std::uint64_t m_grants = 0;
    std::vector<EntryActions> m_waiting;
};

} // namespace

TEST_CASE("a decision among 1,200 servers takes under 20 us at p99, and memory use does not grow")
{
    DecisionBenchmark benchmark;
    for (int i = 0; i < 20000; ++i)
        benchmark.serveRequest();
    benchmark.submitMicros.clear();
    benchmark.handleMicros.clear();
    std::vector<double> submitP99s(5);
    std::vector<double> handleP99s(5);
    const std::size_t bytesBefore = liveBytes;
    for (std::size_t round = 0; round < submitP99s.size(); ++round) {
        for (int i = 0; i < 10000; ++i)
            benchmark.serveRequest();
        submitP99s[round] = takePercentile99(benchmark.submitMicros);
        handleP99s[round] = takePercentile99(benchmark.handleMicros);
    }
    // The number of requests in the scheduler is the same at both points, so any growth comes from
    // the requests served. 1 KiB allows for names of different length.
    CHECK(liveBytes <= bytesBefore + 1024);
    MESSAGE("p99 in us: submit and tick " << median(submitP99s) << ", grants and finished requests "
                                          << median(handleP99s));
    CHECK(median(submitP99s) < 20);
    CHECK(median(handleP99s) < 20);
}
