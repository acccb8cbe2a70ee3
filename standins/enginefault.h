// Faults that tests inject into the engine stand-in, and its cold state. A cold engine sustains
// only a few concurrent requests, until it has completed enough of them to be warm.

#ifndef CORNELSHED_STANDINS_ENGINEFAULT_H
#define CORNELSHED_STANDINS_ENGINEFAULT_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace cornelshed::standins {

enum class EngineFault {
    None,
    Cold,
    Slow,
    Failing,
    BadLater,
    BadUnderLoad,
    BadOnRoute,
    CrashOnPrompt,
};

// Parses a mode of POST /fault: none, cold, slow, failing, bad_later, bad_under_load, bad_on_route
// or crash_on_prompt. Returns std::nullopt for any other text.
std::optional<EngineFault> parseEngineFault(const std::string &mode);

struct EngineFaultLimits
{
    std::size_t coldConcurrencyLimit = 2;    // concurrent requests that a cold engine sustains
    std::uint64_t warmUpRequestCount = 16;   // completed requests after which an engine is warm
    std::uint64_t badLaterRequestCount = 50; // requests that succeed before bad_later takes effect
    // Requests in progress from which bad_under_load fails further ones.
    std::size_t badUnderLoadConcurrencyLimit = 4;
};

class EngineFaultState
{
public:
    explicit EngineFaultState(EngineFaultLimits limits) : m_limits(limits) { }

    // Replaces the current fault. This ends the cold state, unless the new fault is Cold. subject:
    // the route of bad_on_route, or the prompt of crash_on_prompt.
    void set(EngineFault fault, std::string subject);

    // Makes the engine cold, whichever fault is set.
    void turnCold();

    // Counts an arriving request, and returns whether it fails immediately. runningCount is the
    // number of other requests in progress.
    bool arrivalFails(const std::string &route, std::size_t runningCount);
    void requestCompleted();

    // Whether the engine crashes when it begins to answer the prompt.
    [[nodiscard]] bool crashesOn(const std::string &prompt) const;

    // Returns the factor on the duration of a step with this number of running requests; 1 if no
    // fault slows it down.
    [[nodiscard]] double slowdown(std::size_t runningCount) const;
    [[nodiscard]] bool isCold() const { return m_cold; }

private:
    EngineFaultLimits m_limits;
    EngineFault m_fault = EngineFault::None;
    std::string m_subject;
    bool m_cold = false;
    std::uint64_t m_arrivalCount = 0;   // since the fault was set
    std::uint64_t m_completedCount = 0; // since the engine turned cold
};

} // namespace cornelshed::standins

#endif // CORNELSHED_STANDINS_ENGINEFAULT_H
