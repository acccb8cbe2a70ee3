// Value types shared by all parts of the decision library: time, identifiers, tier ranks and the
// random number interface. The library itself reads no clock and no entropy source, so that its
// decisions can be reproduced in tests.

#ifndef CORNELSHED_TYPES_H
#define CORNELSHED_TYPES_H

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>

namespace cornelshed {

using Duration = std::chrono::microseconds;

// Clock type without now(): the decision library receives the current time as an argument. Daemons
// pass the time of a steady clock, tests and experiments that of a simulated one.
struct SchedulerClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<SchedulerClock, duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): required name
};

using Instant = SchedulerClock::time_point;

constexpr Instant instantNever = Instant::max();

// Result of an operation that can fail: its value or an error. Each layer has its own error types.
template<typename Value, typename Error> using Result = std::variant<Value, Error>;

// Priority of a tier; 0 is served first and shed last.
using TierRank = std::uint32_t;

// Identifies a request for its whole lifetime. An entry daemon gets a new incarnation number at
// each start, so that a delayed message for a request of an earlier incarnation matches no request.
struct RequestId
{
    std::uint64_t entryIncarnation = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const RequestId &) const = default;
};

// Identifies a grant, uniquely over all incarnations of the agent that issued it.
struct GrantId
{
    std::uint64_t agentIncarnation = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const GrantId &) const = default;
};

// Identifies a connected backend server by its name and the incarnation of its agent. A replacement
// host at the same address has another incarnation and takes over no state of its predecessor.
struct BackendServerId
{
    std::string name;
    std::uint64_t incarnation = 0;

    auto operator<=>(const BackendServerId &) const = default;
};

// Random number generator, passed to the decision library by its caller so that runs are
// reproducible.
class RandomSource
{
public:
    virtual ~RandomSource() = default;

    // Returns 64 uniformly distributed bits.
    virtual std::uint64_t next() = 0;

    // Returns a uniform integer in [0, n); n must be positive.
    std::uint64_t below(std::uint64_t n) { return next() % n; }

    // Returns a uniform real number in [0, 1).
    double unit() { return static_cast<double>(next() >> 11U) * 0x1.0p-53; }
};

// SplitMix64 generator (public-domain algorithm by S. Vigna, 2015). A seed gives the same sequence
// on every platform.
class SeededRandom final : public RandomSource
{
public:
    explicit SeededRandom(std::uint64_t seed) : m_state(seed) { }

    std::uint64_t next() override
    {
        m_state += 0x9e3779b97f4a7c15ULL;
        std::uint64_t z = m_state;
        z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
        return z ^ (z >> 31U);
    }

private:
    std::uint64_t m_state;
};

} // namespace cornelshed

template<> struct std::hash<cornelshed::RequestId>
{
    std::size_t operator()(const cornelshed::RequestId &id) const noexcept
    {
        return std::hash<std::uint64_t>()(id.entryIncarnation * 0x9e3779b97f4a7c15ULL
                                          + id.sequence);
    }
};

#endif // CORNELSHED_TYPES_H
