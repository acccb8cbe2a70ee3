// Counts for the burn rate of service-level objectives: the exact number of requests that met or
// missed their objective, per tier and organisation, over several sliding windows. burnreport.h
// computes burn rates from them.

#ifndef CORNELSHED_BURN_H
#define CORNELSHED_BURN_H

#include "types.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cornelshed {

// A sliding window that is divided into buckets. A bucket expires as a whole.
struct BurnWindow
{
    const char *name;
    Duration length;
    Duration bucketLength;
};

constexpr std::array<BurnWindow, 4> burnWindows {{
        {"5m", std::chrono::minutes(5), std::chrono::seconds(10)},
        {"1h", std::chrono::hours(1), std::chrono::minutes(2)},
        {"6h", std::chrono::hours(6), std::chrono::minutes(12)},
        {"3d", std::chrono::hours(72), std::chrono::hours(2)},
}};

struct BurnKey
{
    TierRank tier = 0;
    std::string organisation;

    auto operator<=>(const BurnKey &) const = default;
};

struct BurnCount
{
    std::uint64_t total = 0;
    std::uint64_t bad = 0; // requests without a complete answer in time

    bool operator==(const BurnCount &) const = default;
};

// One row of the report, with the counts in each window in the order of burnWindows.
struct BurnRow
{
    BurnKey key;
    std::array<BurnCount, burnWindows.size()> counts {};

    bool operator==(const BurnRow &) const = default;
};

class BurnCounter
{
public:
    // Once organisationLimit pairs of tier and organisation are counted, further organisations of a
    // tier are counted together under the name "(other)", so that memory use is bounded.
    explicit BurnCounter(std::size_t organisationLimit = 1000);
    ~BurnCounter();
    BurnCounter(BurnCounter &&) noexcept;
    BurnCounter &operator=(BurnCounter &&) noexcept;

    void record(TierRank tier, const std::string &organisation, bool good, Instant now);

    // Returns the counts at time now, sorted by tier and organisation.
    std::vector<BurnRow> report(Instant now) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace cornelshed

#endif // CORNELSHED_BURN_H
