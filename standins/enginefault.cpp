// Effects of the injected engine faults on requests and on the duration of steps.

#include "enginefault.h"

#include <map>

namespace cornelshed::standins {

namespace {

// Factors on the duration of a step.
constexpr double slowFaultSlowdown = 8;
constexpr double coldOverloadSlowdown = 20;

} // namespace

std::optional<EngineFault> parseEngineFault(const std::string &mode)
{
    static const std::map<std::string, EngineFault> modes {
            {"none", EngineFault::None},
            {"cold", EngineFault::Cold},
            {"slow", EngineFault::Slow},
            {"failing", EngineFault::Failing},
            {"bad_later", EngineFault::BadLater},
            {"bad_under_load", EngineFault::BadUnderLoad},
            {"bad_on_route", EngineFault::BadOnRoute},
            {"crash_on_prompt", EngineFault::CrashOnPrompt},
    };
    const auto it = modes.find(mode);
    return it == modes.end() ? std::nullopt : std::optional(it->second);
}

void EngineFaultState::set(EngineFault fault, std::string subject)
{
    m_fault = fault;
    m_subject = std::move(subject);
    m_arrivalCount = 0;
    m_cold = false;
    if (fault == EngineFault::Cold)
        turnCold();
}

void EngineFaultState::turnCold()
{
    m_cold = true;
    m_completedCount = 0;
}

bool EngineFaultState::arrivalFails(const std::string &route, std::size_t runningCount)
{
    m_arrivalCount += 1;
    // A cold engine fails a request that arrives when at least twice its concurrency limit are in
    // progress. Between the limit and this point it only slows down, see slowdown().
    if (m_cold && runningCount >= 2 * m_limits.coldConcurrencyLimit)
        return true;
    switch (m_fault) {
    case EngineFault::Failing:
        return true;
    case EngineFault::BadLater:
        return m_arrivalCount > m_limits.badLaterRequestCount;
    case EngineFault::BadUnderLoad:
        return runningCount >= m_limits.badUnderLoadConcurrencyLimit;
    case EngineFault::BadOnRoute:
        return route == m_subject;
    case EngineFault::None:
    case EngineFault::Cold:
    case EngineFault::Slow:
    case EngineFault::CrashOnPrompt:
        break;
    }
    return false;
}

void EngineFaultState::requestCompleted()
{
    m_completedCount += 1;
    if (m_completedCount >= m_limits.warmUpRequestCount)
        m_cold = false;
}

bool EngineFaultState::crashesOn(const std::string &prompt) const
{
    return m_fault == EngineFault::CrashOnPrompt && prompt == m_subject;
}

double EngineFaultState::slowdown(std::size_t runningCount) const
{
    if (m_cold && runningCount > m_limits.coldConcurrencyLimit)
        return coldOverloadSlowdown;
    return m_fault == EngineFault::Slow ? slowFaultSlowdown : 1;
}

} // namespace cornelshed::standins
