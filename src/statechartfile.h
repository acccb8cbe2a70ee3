// Reads state charts from TOML files (charts/*.toml):
//
//     name = "lease"
//     initial = "free"
//     final = []
//     transitions = [
//         { from = "free", event = "acquire", to = "held" },
//         { from = "held", event = "release", to = "free" },
//     ]

#ifndef CORNELSHED_STATECHARTFILE_H
#define CORNELSHED_STATECHARTFILE_H

#include "statechart.h"

#include <string>

namespace cornelshed {

// Reads and validates the chart in the file. Each problem starts with the path of the file.
Result<StateChart, StateChartError> readStateChart(const std::string &path);

} // namespace cornelshed

#endif // CORNELSHED_STATECHARTFILE_H
