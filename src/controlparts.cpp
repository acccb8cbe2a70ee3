// Creates the control thread's parts with their settings and state charts.

#include "controlpart.h"

#include "burnpart.h"
#include "rolloutpart.h"
#include "statechartfile.h"

namespace cornelshed {

namespace {

StateChart readChart(const std::string &directory, const std::string &name)
{
    auto chart = readStateChart(directory + "/" + name + ".toml");
    if (const auto *error = std::get_if<StateChartError>(&chart))
        throw ControlPartError(error->problems.front());
    return std::get<StateChart>(std::move(chart));
}

} // namespace

std::vector<std::unique_ptr<ControlPart>> makeControlParts(ControlPartHost &host,
                                                           const ControlSettings &settings)
{
    RolloutPartSettings rollouts;
    rollouts.entryName = settings.entryName;
    rollouts.entryIncarnation = settings.entryIncarnation;
    std::vector<std::unique_ptr<ControlPart>> parts;
    parts.push_back(makeRolloutPart(host, rollouts, readChart(settings.chartsDirectory, "rollout"),
                                    readChart(settings.chartsDirectory, "lease")));
    parts.push_back(makeBurnPart(host, settings.entryName));
    return parts;
}

} // namespace cornelshed
