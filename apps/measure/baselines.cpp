// Systems to compare with: requests are pushed to an engine on arrival, without tiers.

#include "system.h"

#include <algorithm>
#include <deque>

namespace cornelshed::measure {

namespace {

// How often engines take a load report, apart from the time it is late.
constexpr Duration reportPeriod = std::chrono::milliseconds(100);

// Requests that the queue beside an engine holds for each request that the engine bears.
constexpr std::size_t queuedPerPlace = 2;

class PushSystem final : public System
{
public:
    PushSystem(Run &run, SystemKind kind)
        : m_run(run), m_kind(kind), m_reports(run.fleet.size()), m_queues(run.fleet.size()),
          m_engineOf(run.workload.size(), 0)
    {
        takeReport();
    }

    void submit(std::size_t index) override
    {
        const std::size_t engine = choose();
        m_engineOf[index] = engine;
        const SimulatedRequest &request = m_run.workload[index];
        m_run.events.after(request.deadline, [this, index] { expire(index); });
        m_run.events.after(m_run.scenario.messageDelay, [this, index] { arrive(index); });
    }

    void tokens(std::size_t, RequestId request, std::uint64_t, bool first) override
    {
        if (first)
            m_run.recorder.firstToken(indexOf(request), back());
    }

    void finished(std::size_t engine, RequestId request, const Usage &) override
    {
        m_run.recorder.ended(indexOf(request), RunEnding::Answered, back());
        serveQueue(engine);
    }

    void failed(std::size_t engine, RequestId request, FailReason) override
    {
        m_run.recorder.ended(indexOf(request), RunEnding::Unknown, back());
        serveQueue(engine);
    }

private:
    static RequestId idOf(std::size_t index) { return {1, index + 1}; }

    // Time at which the entry daemon sees what happens at an engine now.
    Instant back() const { return m_run.events.now() + m_run.scenario.messageDelay; }

    std::size_t choose()
    {
        const std::size_t n = m_run.fleet.size();
        if (m_kind == SystemKind::RoundRobin)
            return m_next++ % n;
        const std::size_t a = m_run.random.below(n);
        if (m_kind == SystemKind::Random)
            return a;
        const std::size_t b = m_run.random.below(n);
        return m_reports[a] <= m_reports[b] ? a : b;
    }

    void takeReport()
    {
        std::vector<std::size_t> loads;
        for (std::size_t n = 0; n < m_run.fleet.size(); ++n) {
            const EngineModel &engine = m_run.fleet.at(n);
            loads.push_back(engine.running() + engine.waiting() + m_queues[n].size());
        }
        m_run.events.after(m_run.scenario.reportAge + m_run.scenario.messageDelay,
                           [this, loads] { m_reports = loads; });
        if (m_run.events.now() < Instant(m_run.scenario.workload.length))
            m_run.events.after(reportPeriod, [this] { takeReport(); });
    }

    std::size_t places(std::size_t engine) const
    {
        return EngineModel::comfortableBatch(m_run.fleet.settings(engine));
    }

    void arrive(std::size_t index)
    {
        const std::size_t engine = m_engineOf[index];
        if (m_kind != SystemKind::PushQueue) {
            m_run.fleet.start(engine, idOf(index));
            return;
        }
        if (m_queues[engine].size() >= queuedPerPlace * places(engine)) {
            m_run.recorder.ended(index, RunEnding::NotRun, back());
            return;
        }
        m_queues[engine].push_back(index);
        serveQueue(engine);
    }

    void serveQueue(std::size_t engine)
    {
        std::deque<std::size_t> &queue = m_queues[engine];
        while (!queue.empty()
               && m_run.fleet.at(engine).running() + m_run.fleet.at(engine).waiting()
                       < places(engine)) {
            const std::size_t index = queue.front();
            queue.pop_front();
            m_run.fleet.start(engine, idOf(index));
        }
    }

    // The caller gives up.
    void expire(std::size_t index)
    {
        if (m_run.recorder.at(index).ending != RunEnding::Open)
            return;
        const std::size_t engine = m_engineOf[index];
        m_run.recorder.ended(index, RunEnding::Unknown, m_run.events.now());
        if (std::erase(m_queues[engine], index) == 0)
            m_run.fleet.cancel(engine, idOf(index));
    }

    Run &m_run;
    SystemKind m_kind;
    std::vector<std::size_t> m_reports; // requests at each engine by the last report
    std::vector<std::deque<std::size_t>> m_queues;
    std::vector<std::size_t> m_engineOf; // by request
    std::size_t m_next = 0;
};

} // namespace

std::unique_ptr<System> makeBaseline(Run &run, SystemKind kind)
{
    return std::make_unique<PushSystem>(run, kind);
}

} // namespace cornelshed::measure
