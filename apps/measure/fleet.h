// The engines of one run. Counts computed prompt tokens and starts on cold engines.

#ifndef CORNELSHED_FLEET_H
#define CORNELSHED_FLEET_H

#include "enginemodel.h"
#include "recorder.h"

#include <memory>
#include <vector>

namespace cornelshed::measure {

// Returns the index of a request in the workload; sequence numbers start at 1.
inline std::size_t indexOf(RequestId request)
{
    return request.sequence - 1;
}

class FleetListener
{
public:
    virtual ~FleetListener() = default;
    virtual void tokens(std::size_t engine, RequestId request, std::uint64_t count, bool first) = 0;
    virtual void finished(std::size_t engine, RequestId request, const Usage &usage) = 0;
    virtual void failed(std::size_t engine, RequestId request, FailReason reason) = 0;
};

class Fleet
{
public:
    Fleet(const std::vector<EngineSettings> &settings, EventQueue &events, Recorder &recorder);
    ~Fleet();

    void setListener(FleetListener *listener) { m_listener = listener; }

    // Starts the job of the workload request that the id refers to.
    void start(std::size_t engine, RequestId request);
    void cancel(std::size_t engine, RequestId request) { m_engines[engine]->cancel(request); }
    void turnCold(std::size_t engine);

    std::size_t size() const { return m_engines.size(); }
    const EngineModel &at(std::size_t engine) const { return *m_engines[engine]; }
    const EngineSettings &settings(std::size_t engine) const { return m_settings[engine]; }

    // Starts beyond the concurrency of cold engines, without the first allowedPerPeriod ones of
    // each cold period.
    std::uint64_t coldOverload(std::uint64_t allowedPerPeriod) const;

private:
    class EngineEventForwarder;

    struct ColdPeriod
    {
        std::size_t engine = 0;
        std::uint64_t overload = 0; // starts beyond EngineSettings::coldConcurrency
    };

    std::vector<EngineSettings> m_settings;
    Recorder &m_recorder;
    FleetListener *m_listener = nullptr;
    std::vector<std::unique_ptr<EngineEventForwarder>> m_forwarders;
    std::vector<std::unique_ptr<EngineModel>> m_engines;
    std::vector<ColdPeriod> m_coldPeriods; // in order of time
};

} // namespace cornelshed::measure

#endif // CORNELSHED_FLEET_H
