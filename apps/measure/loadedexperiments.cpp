// Share of requests served in time, by rank, where many gateways share servers under load, with the
// settings as they were and with those of deploy/gatewayd.toml. The bound is one queue for all
// servers.

#include "experiment.h"
#include "loadedfleet.h"

namespace cornelshed::measure {

namespace {

// As in deploy/gatewayd.toml.
DirectSettings deployedSettings()
{
    DirectSettings settings;
    settings.agents = true;
    settings.initialSlotRequests = 2;
    settings.slotRequestLimit = 5;
    settings.yieldAfter = std::chrono::milliseconds(25);
    settings.serverQueueShare = 0.33;
    return settings;
}

DirectSettings defaultSettings()
{
    DirectSettings settings;
    settings.agents = true;
    return settings;
}

class LoadedGateways final : public Experiment
{
public:
    LoadedGateways(std::string name, double load) : m_name(std::move(name)), m_load(load) { }

    std::string name() const override { return m_name; }

    std::uint64_t seedCount() const override { return 5; }

    std::vector<FigureSpec> figures() const override
    {
        std::vector<FigureSpec> specs;
        for (std::size_t rank = 0; rank < loadedRankCount; ++rank) {
            const std::string prefix = m_name + "_rank" + std::to_string(rank);
            specs.push_back({prefix + "_against_one_queue",
                             "ratio",
                             Bound::AtLeast,
                             0.92,
                             {"default_settings"}});
            specs.push_back({prefix + "_in_time",
                             "share",
                             Bound::NoTarget,
                             0,
                             {"default_settings", "one_queue"}});
        }
        specs.push_back({m_name + "_all_in_time",
                         "share",
                         Bound::NoTarget,
                         0,
                         {"default_settings", "one_queue"}});
        specs.push_back({m_name + "_refused_connections",
                         "attempts",
                         Bound::NoTarget,
                         0,
                         {"default_settings"}});
        specs.push_back({m_name + "_most_running_on_a_server",
                         "requests",
                         Bound::AtMost,
                         7,
                         {"default_settings"}});
        return specs;
    }

    std::vector<Sample> run(std::uint64_t seed) const override
    {
        LoadedScenario scenario;
        scenario.load = m_load;
        const LoadedCounts own = runLoadedFleet(scenario, deployedSettings(), seed);
        const LoadedCounts before = runLoadedFleet(scenario, defaultSettings(), seed);
        const LoadedCounts bound = runOneQueue(scenario, seed);
        const auto ratio = [&](const LoadedCounts &it, std::size_t rank) {
            return bound.inTime[rank] == 0 ? 1 : it.share(rank) / bound.share(rank);
        };
        std::vector<Sample> samples;
        for (std::size_t rank = 0; rank < loadedRankCount; ++rank) {
            samples.push_back({ratio(own, rank), {ratio(before, rank)}});
            samples.push_back({own.share(rank), {before.share(rank), bound.share(rank)}});
        }
        samples.push_back({own.share(), {before.share(), bound.share()}});
        const auto number = [](std::uint64_t n) { return static_cast<double>(n); };
        samples.push_back({number(own.refusedConnections), {number(before.refusedConnections)}});
        samples.push_back({number(own.maxRunning), {number(before.maxRunning)}});
        return samples;
    }

private:
    std::string m_name;
    double m_load;
};

} // namespace

void addLoadedExperiments(Experiments &experiments)
{
    experiments.push_back(std::make_unique<LoadedGateways>("loaded_gateways_08", 0.8));
    experiments.push_back(std::make_unique<LoadedGateways>("loaded_gateways_11", 1.1));
    experiments.push_back(std::make_unique<LoadedGateways>("loaded_gateways_15", 1.5));
}

} // namespace cornelshed::measure
