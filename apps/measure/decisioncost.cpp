// Measures the duration of an entry scheduler's decisions in real time, and its heap growth, with
// many backend servers.

#include "experiment.h"

#include "entryscheduler.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <deque>

namespace cornelshed::measure {

namespace {

constexpr std::size_t serverCount = 1200;
constexpr std::size_t warmUpRequests = 20000;
constexpr std::size_t measuredRequests = 60000;

std::shared_ptr<const RoutingView> routingView()
{
    auto configuration = std::make_shared<Configuration>();
    configuration->tiers = {{"gold", 0, 0}, {"silver", 1, 0.05}, {"bronze", 2, 0.02}};
    PoolSettings pool;
    pool.name = "writers";
    pool.models = {"reed"};
    configuration->pools = {pool};
    RouteSettings route;
    route.path = "/v1/completions";
    route.pools = {"writers"};
    configuration->routes = {route};
    auto view = std::make_shared<RoutingView>();
    view->configuration = configuration;
    return view;
}

LoadReport randomLoad(RandomSource &random)
{
    LoadReport load;
    load.running = static_cast<std::uint32_t>(random.below(40));
    load.waiting = static_cast<std::uint32_t>(random.below(10));
    load.outstandingTokens = random.below(20000);
    load.prefillTokensPerSecond = 9000 + static_cast<double>(random.below(15000));
    load.decodeTokensPerSecond = 30 + static_cast<double>(random.below(40));
    load.concurrencyLimit = 40;
    return load;
}

BackendServerId serverId(std::size_t n)
{
    return {"runner-" + std::to_string(n), n + 1};
}

// Sends requests through an entry scheduler one at a time, answers for the agents at once, and
// measures the duration of every call into the scheduler.
class SchedulerBenchmark
{
public:
    explicit SchedulerBenchmark(std::uint64_t seed)
        : m_random(seed), m_scheduler({}, routingView(), m_random)
    {
        for (std::size_t n = 0; n < serverCount; ++n) {
            Welcome welcome;
            welcome.backendServer = serverId(n);
            welcome.pool = "writers";
            welcome.availabilityZone = "a";
            welcome.version = "1";
            welcome.models = {"reed"};
            welcome.load = randomLoad(m_random);
            m_scheduler.connected(welcome, m_now);
        }
        m_callTimesUs.reserve(8 * measuredRequests);
    }

    void serve(std::size_t count)
    {
        for (std::size_t n = 0; n < count; ++n) {
            m_now += std::chrono::microseconds(500);
            perform(timed([&] { return m_scheduler.submit(randomArrival(), m_now); }));
            while (!m_messages.empty())
                answerNextMessage();
        }
    }

    void discardCallTimes() { m_callTimesUs.clear(); }

    double callTimeP99Us()
    {
        const auto at = m_callTimesUs.begin()
                + static_cast<std::ptrdiff_t>(m_callTimesUs.size() * 99 / 100);
        std::nth_element(m_callTimesUs.begin(), at, m_callTimesUs.end());
        return *at;
    }

private:
    template<typename Call> EntryActions timed(Call call)
    {
        const auto start = std::chrono::steady_clock::now();
        EntryActions actions = call();
        const std::chrono::duration<double, std::micro> cost =
                std::chrono::steady_clock::now() - start;
        if (m_callTimesUs.size() < m_callTimesUs.capacity())
            m_callTimesUs.push_back(cost.count());
        return actions;
    }

    RequestArrival randomArrival()
    {
        RequestArrival it;
        it.request = {1, ++m_sequence};
        it.organisation = "organisation-" + std::to_string(m_random.below(50));
        it.tier = static_cast<TierRank>(m_random.below(3));
        it.route = "/v1/completions";
        it.model = "reed";
        it.promptTokens = 100 + m_random.below(4000);
        it.outputTokens = 20 + m_random.below(400);
        it.deadline = m_now + std::chrono::seconds(60);
        const std::uint64_t prefix = m_random.below(500);
        for (std::uint64_t n = 0; n < 8; ++n)
            it.prefixHashes.push_back(prefix * 1000 + n);
        it.prefixTokensPerHash = 256;
        return it;
    }

    void perform(const EntryActions &actions)
    {
        for (const EntryAction &it : actions) {
            if (const auto *send = std::get_if<SendToAgent>(&it))
                m_messages.push_back(*send);
        }
    }

    // Answers as an agent that grants every reservation and finishes every dispatched request.
    void answerNextMessage()
    {
        const SendToAgent sent = std::move(m_messages.front());
        m_messages.pop_front();
        AgentMessage answer = Load {randomLoad(m_random)};
        if (const auto *reserve = std::get_if<Reserve>(&sent.message)) {
            answer = Grant {reserve->request,
                            {sent.backendServer.incarnation, ++m_grants},
                            {},
                            {},
                            randomLoad(m_random)};
        } else if (const auto *dispatch = std::get_if<Dispatch>(&sent.message)) {
            Usage usage {1000, 100, 0, {}, std::chrono::milliseconds(100), std::chrono::seconds(2)};
            answer = Finished {dispatch->request, usage, randomLoad(m_random)};
        } else {
            return;
        }
        perform(timed([&] { return m_scheduler.handle(sent.backendServer, answer, m_now); }));
    }

    SeededRandom m_random;
    EntryScheduler m_scheduler;
    Instant m_now {std::chrono::seconds(1)};
    std::uint64_t m_sequence = 0;
    std::uint64_t m_grants = 0;
    std::deque<SendToAgent> m_messages;
    std::vector<double> m_callTimesUs; // reserved beforehand, so not part of the heap growth
};

std::size_t heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

class DecisionCost final : public Experiment
{
public:
    std::string name() const override { return "decision_cost"; }
    bool runsAlone() const override { return true; }

    std::vector<FigureSpec> figures() const override
    {
        return {{"decision_cost_p99", "us", Bound::AtMost, 20, {}},
                {"decision_heap_growth", "B/request", Bound::AtMost, 0, {}}};
    }

    std::vector<Sample> run(std::uint64_t seed) const override
    {
        SchedulerBenchmark bench(seed);
        bench.serve(warmUpRequests);
        bench.discardCallTimes();
        const std::size_t before = heapBytes();
        bench.serve(measuredRequests);
        const double grown = static_cast<double>(heapBytes()) - static_cast<double>(before);
        return {{bench.callTimeP99Us(), {}}, {grown / measuredRequests, {}}};
    }
};

} // namespace

void addDecisionCostExperiments(Experiments &experiments)
{
    experiments.push_back(std::make_unique<DecisionCost>());
}

} // namespace cornelshed::measure
