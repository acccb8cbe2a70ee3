// Routes the events of each engine to the system, and keeps the accounts.

#include "fleet.h"

#include <algorithm>

namespace cornelshed::measure {

class Fleet::Port final : public EngineListener
{
public:
    Port(Fleet &fleet, std::size_t engine) : m_fleet(fleet), m_engine(engine) { }

    void engineTokens(RequestId request, std::uint64_t count, bool first) override
    {
        m_fleet.m_listener->tokens(m_engine, request, count, first);
    }

    void engineFinished(RequestId request, const Usage &usage) override
    {
        m_fleet.m_recorder.at(indexOf(request)).computedPrefill +=
                usage.promptTokens - usage.cachedTokens;
        m_fleet.m_listener->finished(m_engine, request, usage);
    }

    void engineFailed(RequestId request, FailReason reason, std::uint64_t computedTokens) override
    {
        m_fleet.m_recorder.at(indexOf(request)).computedPrefill += computedTokens;
        m_fleet.m_listener->failed(m_engine, request, reason);
    }

private:
    Fleet &m_fleet;
    std::size_t m_engine;
};

Fleet::Fleet(const std::vector<EngineSettings> &settings, EventQueue &events, Recorder &recorder)
    : m_settings(settings), m_recorder(recorder)
{
    for (std::size_t n = 0; n < settings.size(); ++n) {
        m_ports.push_back(std::make_unique<Port>(*this, n));
        m_engines.push_back(std::make_unique<EngineModel>(settings[n], events, *m_ports.back()));
    }
}

Fleet::~Fleet() = default;

void Fleet::start(std::size_t engine, RequestId request)
{
    const std::size_t index = indexOf(request);
    EngineJob job = m_recorder.workload()[index].job;
    job.request = request;
    EngineModel &model = *m_engines[engine];
    const std::uint64_t cached = model.cachedTokens(job);
    std::uint64_t elsewhere = 0;
    if (!job.prefixHashes.empty()) {
        for (const auto &it : m_engines) {
            if (it->hasRoom())
                elsewhere = std::max(elsewhere, it->cachedTokens(job));
        }
    }
    RunRecord &record = m_recorder.at(index);
    ++record.starts;
    record.repeatedPrefill += elsewhere - std::min(cached, elsewhere);
    if (model.cold() && model.running() + model.waiting() >= m_settings[engine].coldConcurrency) {
        const auto turn = std::find_if(m_turns.rbegin(), m_turns.rend(),
                                       [&](const ColdTurn &it) { return it.engine == engine; });
        if (turn != m_turns.rend())
            ++turn->overload;
    }
    model.start(job);
}

void Fleet::turnCold(std::size_t engine)
{
    m_turns.push_back({engine, 0});
    m_engines[engine]->turnCold();
}

std::uint64_t Fleet::coldOverload(std::uint64_t allowed) const
{
    std::uint64_t sum = 0;
    for (const ColdTurn &it : m_turns)
        sum += it.overload - std::min(it.overload, allowed);
    return sum;
}

} // namespace cornelshed::measure
