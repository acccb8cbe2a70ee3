// Forwards engine events to the system and updates the request records.

#include "fleet.h"

#include <algorithm>

namespace cornelshed::measure {

class Fleet::EngineEventForwarder final : public EngineListener
{
public:
    EngineEventForwarder(Fleet &fleet, std::size_t engine) : m_fleet(fleet), m_engine(engine) { }

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
        m_forwarders.push_back(std::make_unique<EngineEventForwarder>(*this, n));
        m_engines.push_back(
                std::make_unique<EngineModel>(settings[n], events, *m_forwarders.back()));
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
    std::uint64_t cachedElsewhere = 0;
    if (!job.prefixHashes.empty()) {
        for (const auto &it : m_engines) {
            if (it->hasFreeSlot())
                cachedElsewhere = std::max(cachedElsewhere, it->cachedTokens(job));
        }
    }
    RequestRecord &record = m_recorder.at(index);
    ++record.starts;
    record.repeatedPrefill += cachedElsewhere - std::min(cached, cachedElsewhere);
    if (model.cold() && model.running() + model.waiting() >= m_settings[engine].coldConcurrency) {
        const auto period = std::find_if(m_coldPeriods.rbegin(), m_coldPeriods.rend(),
                                         [&](const ColdPeriod &it) { return it.engine == engine; });
        if (period != m_coldPeriods.rend())
            ++period->overload;
    }
    model.start(job);
}

void Fleet::turnCold(std::size_t engine)
{
    m_coldPeriods.push_back({engine, 0});
    m_engines[engine]->turnCold();
}

std::uint64_t Fleet::coldOverload(std::uint64_t allowedPerPeriod) const
{
    std::uint64_t sum = 0;
    for (const ColdPeriod &it : m_coldPeriods)
        sum += it.overload - std::min(it.overload, allowedPerPeriod);
    return sum;
}

} // namespace cornelshed::measure
