// Rules of the injected engine faults.

#include "enginefault.h"

#include <map>

namespace cornelshed::standins {

namespace {

constexpr double slowFactor = 8;
constexpr double coldOverloadFactor = 20;

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
    };
    const auto it = modes.find(mode);
    return it == modes.end() ? std::nullopt : std::optional(it->second);
}

void EngineFaultState::set(EngineFault fault, std::string route)
{
    m_fault = fault;
    m_route = std::move(route);
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

bool EngineFaultState::failsArrival(const std::string &route, std::size_t runningCount)
{
    m_arrivalCount += 1;
    // Far over its limit a cold engine fails; just over it, it slows down.
    if (m_cold && runningCount >= 2 * m_limits.coldLimitCount)
        return true;
    switch (m_fault) {
    case EngineFault::Failing:
        return true;
    case EngineFault::BadLater:
        return m_arrivalCount > m_limits.badLaterCount;
    case EngineFault::BadUnderLoad:
        return runningCount >= m_limits.badUnderLoadLimitCount;
    case EngineFault::BadOnRoute:
        return route == m_route;
    case EngineFault::None:
    case EngineFault::Cold:
    case EngineFault::Slow:
        break;
    }
    return false;
}

void EngineFaultState::requestCompleted()
{
    m_completedCount += 1;
    if (m_completedCount >= m_limits.warmUpCount)
        m_cold = false;
}

double EngineFaultState::slowdown(std::size_t runningCount) const
{
    if (m_cold && runningCount > m_limits.coldLimitCount)
        return coldOverloadFactor;
    return m_fault == EngineFault::Slow ? slowFactor : 1;
}

} // namespace cornelshed::standins
