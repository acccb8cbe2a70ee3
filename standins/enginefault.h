// Injected faults of the engine stand-in and its cold state.

#ifndef CORNELSHED_STANDINS_ENGINEFAULT_H
#define CORNELSHED_STANDINS_ENGINEFAULT_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace cornelshed::standins {

enum class EngineFault { None, Cold, Slow, Failing, BadLater, BadUnderLoad, BadOnRoute };

// Mode names are those of POST /fault: none, cold, slow, failing, bad_later, bad_under_load,
// bad_on_route.
std::optional<EngineFault> parseEngineFault(const std::string &mode);

struct EngineFaultLimits
{
    std::size_t coldLimitCount = 2;         // concurrent requests that a cold engine bears
    std::uint64_t warmUpCount = 16;         // completed requests after which it is warm
    std::uint64_t badLaterCount = 50;       // requests served well before bad_later shows
    std::size_t badUnderLoadLimitCount = 4; // concurrent requests before bad_under_load shows
};

class EngineFaultState
{
public:
    explicit EngineFaultState(EngineFaultLimits limits) : m_limits(limits) { }

    // route is used by bad_on_route only.
    void set(EngineFault fault, std::string route);

    // The engine has lost its warm state; independent of the other faults.
    void turnCold();

    // Tells whether the request that arrives while others run fails at once.
    bool failsArrival(const std::string &route, std::size_t runningCount);
    void requestCompleted();

    // Factor on the duration of a step with this number of running requests.
    [[nodiscard]] double slowdown(std::size_t runningCount) const;
    [[nodiscard]] bool isCold() const { return m_cold; }

private:
    EngineFaultLimits m_limits;
    EngineFault m_fault = EngineFault::None;
    std::string m_route;
    bool m_cold = false;
    std::uint64_t m_arrivalCount = 0;   // since the fault was set
    std::uint64_t m_completedCount = 0; // since the engine turned cold
};

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_ENGINEFAULT_H
