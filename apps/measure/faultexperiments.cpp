#include "experiment.h"
namespace cornelshed::measure {
void addFaultExperiments(Experiments &) { }
} // namespace cornelshed::measure
