// Reference with perfect knowledge: one queue for all engines, exact sizes, engine states and
// caches, and no delays. Within a tier it serves the earliest deadline first or the shortest
// request first, which loses fewer requests under overload; the caller takes the better of the two.

#include "system.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace cornelshed::measure {

namespace {

// A busy engine gets another request only while its pending prefill takes at most this time.
constexpr double maximumPendingPrefillSeconds = 0.48;

class ReferenceSystem final : public System
{
public:
    ReferenceSystem(Run &run, ReferencePolicy policy)
        : m_run(run), m_policy(policy), m_engineOf(run.workload.size(), 0)
    { }

    void submit(std::size_t index) override
    {
        const SimulatedRequest &request = m_run.workload[index];
        m_queue.insert(keyOf(index));
        m_run.events.after(request.deadline, [this, index] { expire(index); });
        serve();
    }

    void tokens(std::size_t, RequestId request, std::uint64_t, bool first) override
    {
        if (first)
            m_run.recorder.recordFirstToken(indexOf(request), m_run.events.now());
    }

    void finished(std::size_t, RequestId request, const Usage &) override
    {
        m_run.recorder.recordOutcome(indexOf(request), RequestOutcome::Answered,
                                     m_run.events.now());
        serve();
    }

    void failed(std::size_t, RequestId request, FailReason) override
    {
        m_run.recorder.recordOutcome(indexOf(request), RequestOutcome::Unknown, m_run.events.now());
        serve();
    }

private:
    using Key = std::tuple<TierRank, std::uint64_t, std::size_t>; // tier, order, request

    Key keyOf(std::size_t index) const
    {
        const SimulatedRequest &request = m_run.workload[index];
        const Instant deadline = request.arrival + request.deadline;
        const std::uint64_t order = m_policy.shortestFirst
                ? request.job.promptTokens + 20 * request.job.outputTokens
                : static_cast<std::uint64_t>(deadline.time_since_epoch().count());
        return {request.tier, order, index};
    }

    bool canStart(std::size_t engine, const EngineJob &job) const
    {
        const EngineModel &model = m_run.fleet.at(engine);
        const EngineSettings &settings = m_run.fleet.settings(engine);
        const std::uint64_t context = model.contextTokens() + job.promptTokens + job.outputTokens;
        if (model.cold())
            return model.running() < settings.coldConcurrency;
        const std::uint32_t batch = model.running() + model.waiting() + 1;
        if (batch == 1)
            return true;
        if (m_policy.limitStepTime
            && EngineModel::stepTime(settings, batch, context) > std::chrono::milliseconds(27))
            return false;
        // More prompts would only delay those already on the engine.
        const auto prefill = static_cast<double>(model.pendingPrefill());
        return batch <= settings.maximumBatch && context <= settings.memoryTokens
                && prefill <= maximumPendingPrefillSeconds * settings.prefillTokensPerSecond;
    }

    Duration serviceTime(std::size_t engine, const EngineJob &job) const
    {
        const EngineModel &model = m_run.fleet.at(engine);
        const EngineSettings &settings = m_run.fleet.settings(engine);
        const std::uint64_t prefill =
                model.pendingPrefill() + job.promptTokens - model.cachedTokens(job);
        const std::uint64_t context = model.contextTokens() + job.promptTokens + job.outputTokens;
        const Duration step = EngineModel::stepTime(settings, model.running() + 1, context);
        const double seconds = static_cast<double>(prefill) / settings.prefillTokensPerSecond
                + static_cast<double>(step.count()) / 1e6 * static_cast<double>(job.outputTokens);
        const double slowdown = model.cold() ? settings.coldSlowdown : 1;
        return Duration(static_cast<Duration::rep>(seconds * slowdown * 1e6));
    }

    // Skips requests that no engine can take now; they stay queued and are tried again when a
    // request arrives or ends. Skipping costs nothing, because the state of every engine is known
    // exactly and without delay.
    void serve()
    {
        for (auto it = m_queue.begin(); it != m_queue.end();) {
            const std::size_t index = std::get<2>(*it);
            if (!anyEngineFree())
                return;
            it = tryStart(index) ? m_queue.erase(it) : std::next(it);
        }
    }

    bool anyEngineFree() const
    {
        for (std::size_t n = 0; n < m_run.fleet.size(); ++n) {
            if (canStart(n, EngineJob {}))
                return true;
        }
        return false;
    }

    bool tryStart(std::size_t index)
    {
        const SimulatedRequest &request = m_run.workload[index];
        const Instant deadline = request.arrival + request.deadline;
        EngineJob job = request.job;
        job.request = {1, index + 1};
        Duration best = Duration::max();
        std::size_t engine = 0;
        for (std::size_t n = 0; n < m_run.fleet.size(); ++n) {
            const Duration time = canStart(n, job) ? serviceTime(n, job) : Duration::max();
            if (time < best) {
                best = time;
                engine = n;
            }
        }
        if (best == Duration::max() || m_run.events.now() + best > deadline)
            return false; // expire() ends it at its deadline
        m_engineOf[index] = engine;
        m_run.fleet.start(engine, job.request);
        return true;
    }

    void expire(std::size_t index)
    {
        if (m_run.recorder.at(index).outcome != RequestOutcome::Pending)
            return;
        const bool queued = m_queue.erase(keyOf(index)) > 0;
        m_run.recorder.recordOutcome(index,
                                     queued ? RequestOutcome::NotRun : RequestOutcome::Unknown,
                                     m_run.events.now());
        if (!queued)
            m_run.fleet.cancel(m_engineOf[index], {1, index + 1});
    }

    Run &m_run;
    ReferencePolicy m_policy;
    std::set<Key> m_queue;
    std::vector<std::size_t> m_engineOf; // by index in the workload
};

} // namespace

std::unique_ptr<System> makeReference(Run &run, const ReferencePolicy &policy)
{
    return std::make_unique<ReferenceSystem>(run, policy);
}

} // namespace cornelshed::measure
