// Baseline systems: each request is sent to an engine as soon as it arrives, without regard to
// tiers.

#include "system.h"

#include <algorithm>
#include <deque>

namespace cornelshed::measure {

namespace {

// Interval between load reports of an engine; their delay comes on top of it.
constexpr Duration loadReportInterval = std::chrono::milliseconds(100);

// Limit of the queue in front of an engine, per batch slot of the engine.
constexpr std::size_t queueLimitPerSlot = 2;

class PushSystem final : public System
{
public:
    PushSystem(Run &run, SystemKind kind)
        : m_run(run), m_kind(kind), m_reportedLoads(run.fleet.size()), m_queues(run.fleet.size()),
          m_engineOf(run.workload.size(), 0)
    {
        sampleLoads();
    }

    void submit(std::size_t index) override
    {
        const std::size_t engine = chooseEngine();
        m_engineOf[index] = engine;
        const SimulatedRequest &request = m_run.workload[index];
        m_run.events.after(request.deadline, [this, index] { expire(index); });
        m_run.events.after(m_run.scenario.messageDelay, [this, index] { arrive(index); });
    }

    void tokens(std::size_t, RequestId request, std::uint64_t, bool first) override
    {
        if (first)
            m_run.recorder.recordFirstToken(indexOf(request), arrivalTimeAtEntry());
    }

    void finished(std::size_t engine, RequestId request, const Usage &) override
    {
        m_run.recorder.recordOutcome(indexOf(request), RequestOutcome::Answered,
                                     arrivalTimeAtEntry());
        serveQueue(engine);
    }

    void failed(std::size_t engine, RequestId request, FailReason) override
    {
        m_run.recorder.recordOutcome(indexOf(request), RequestOutcome::Unknown,
                                     arrivalTimeAtEntry());
        serveQueue(engine);
    }

private:
    static RequestId idOf(std::size_t index) { return {1, index + 1}; }

    // Time at which a message sent by an engine now arrives at the entry daemon.
    Instant arrivalTimeAtEntry() const { return m_run.events.now() + m_run.scenario.messageDelay; }

    std::size_t chooseEngine()
    {
        const std::size_t n = m_run.fleet.size();
        if (m_kind == SystemKind::RoundRobin)
            return m_nextEngine++ % n;
        const std::size_t a = m_run.random.below(n);
        if (m_kind == SystemKind::Random)
            return a;
        const std::size_t b = m_run.random.below(n);
        return m_reportedLoads[a] <= m_reportedLoads[b] ? a : b;
    }

    void sampleLoads()
    {
        std::vector<std::size_t> loads;
        for (std::size_t n = 0; n < m_run.fleet.size(); ++n) {
            const EngineModel &engine = m_run.fleet.at(n);
            loads.push_back(engine.running() + engine.waiting() + m_queues[n].size());
        }
        m_run.events.after(m_run.scenario.loadReportAge + m_run.scenario.messageDelay,
                           [this, loads] { m_reportedLoads = loads; });
        if (m_run.events.now() < Instant(m_run.scenario.workload.length))
            m_run.events.after(loadReportInterval, [this] { sampleLoads(); });
    }

    // Requests that the engine can run within the step time target.
    std::size_t batchSlots(std::size_t engine) const
    {
        return EngineModel::batchWithinStepTarget(m_run.fleet.settings(engine));
    }

    void arrive(std::size_t index)
    {
        const std::size_t engine = m_engineOf[index];
        if (m_kind != SystemKind::PushQueue) {
            m_run.fleet.start(engine, idOf(index));
            return;
        }
        if (m_queues[engine].size() >= queueLimitPerSlot * batchSlots(engine)) {
            m_run.recorder.recordOutcome(index, RequestOutcome::NotRun, arrivalTimeAtEntry());
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
                       < batchSlots(engine)) {
            const std::size_t index = queue.front();
            queue.pop_front();
            m_run.fleet.start(engine, idOf(index));
        }
    }

    // The caller gives up at its deadline.
    void expire(std::size_t index)
    {
        if (m_run.recorder.at(index).outcome != RequestOutcome::Pending)
            return;
        const std::size_t engine = m_engineOf[index];
        m_run.recorder.recordOutcome(index, RequestOutcome::Unknown, m_run.events.now());
        if (std::erase(m_queues[engine], index) == 0)
            m_run.fleet.cancel(engine, idOf(index));
    }

    Run &m_run;
    SystemKind m_kind;
    std::vector<std::size_t> m_reportedLoads; // requests at each engine by its last report
    std::vector<std::deque<std::size_t>> m_queues;
    std::vector<std::size_t> m_engineOf; // by index in the workload
    std::size_t m_nextEngine = 0;
};

} // namespace

std::unique_ptr<System> makeBaseline(Run &run, SystemKind kind)
{
    return std::make_unique<PushSystem>(run, kind);
}

} // namespace cornelshed::measure
